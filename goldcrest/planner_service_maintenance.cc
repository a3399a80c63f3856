#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include <utility>

namespace goldcrest {

// Begins to act on maintenance waves in this term, if there is a service for machines.
void planner_service::state::beginMaintenance()
{
    if (!options.machines)
        return;
    maintenance_service_options own = options.maintenance;
    own.cell = options.cell;
    own.holder = options.worker;
    maintenance_callbacks callbacks;
    callbacks.mayAct
        = [this] { return isActive && !isResigning && role->isLeaseValid(loop.now()); };
    callbacks.uses = [this] { return planner->serverUses(); };
    callbacks.ownServer = [this] {
        const auto &workers = planner->workers().workers();
        const auto found = workers.find(options.worker);
        return found == workers.end() ? std::string() : found->second.machine;
    };
    callbacks.setDrains = [this](const std::map<std::string, time_point> &drains) {
        planner->setPlannedDrains(drains);
        if (planner->needsPass())
            schedulePlan();
    };
    callbacks.onAnswer = options.onMachineAnswer;
    maintenance = std::make_unique<maintenance_service>(loop, store, *options.machines, own,
                                                        role->currentEpoch(), std::move(callbacks));
    maintenance->setView(view);
}

std::vector<wave_progress> planner_service::maintenanceProgress() const
{
    return m_state->maintenance ? m_state->maintenance->progress() : std::vector<wave_progress>();
}

} // namespace goldcrest
