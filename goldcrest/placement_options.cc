#include "goldcrest/placement_options.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace goldcrest {

resources demandOf(const step_spec &step)
{
    resources demand = step.perTask;
    if (step.bestEffort)
        demand.cores = 0;
    return demand;
}

namespace placing {

namespace {

std::map<std::string, index_list> indexesByRack(const std::vector<worker_capacity> &capacities,
                                                const index_list &eligible)
{
    std::map<std::string, index_list> racks;
    for (const std::size_t index : eligible)
        racks[capacities[index].rack].push_back(index);
    return racks;
}

} // namespace

std::vector<placement_option> optionsOf(const std::vector<worker_capacity> &capacities,
                                        const placement_request &request)
{
    const step_spec &step = *request.step;
    const bool keepsTogether = step.sameRack && request.count > 1;
    std::vector<placement_option> options;
    const double remote = request.remoteFactor;
    index_list eligible = eligibleIndexes(capacities, request);
    if (keepsTogether || !step.dataRack.empty()) {
        for (auto &[rack, among] : indexesByRack(capacities, eligible)) {
            const bool isNear = step.dataRack.empty() || rack == step.dataRack;
            if (isNear || keepsTogether)
                options.push_back({std::move(among), isNear ? 1 : remote});
        }
    }
    const double apart = (keepsTogether ? remote : 1) * (step.dataRack.empty() ? 1 : remote);
    options.push_back({std::move(eligible), apart});
    return options;
}

index_list eligibleIndexes(const std::vector<worker_capacity> &capacities,
                           const placement_request &request)
{
    if (request.eligible)
        return *request.eligible;
    index_list all;
    for (std::size_t i = 0; i < capacities.size(); ++i)
        all.push_back(i);
    return all;
}

std::int32_t placedOn(const placement_request &request, const worker_capacity &capacity)
{
    const auto found = request.placedBefore.find(capacity.worker);
    return found == request.placedBefore.end() ? 0 : found->second;
}

bool takesAnother(const placement_request &request, std::int32_t tasks)
{
    return request.step->maxPerWorker == 0 || tasks < request.step->maxPerWorker;
}

duration timeAtSpeed(duration estimate, double speed)
{
    return speed == 1 ? estimate : scaled(estimate, 1 / speed);
}

double slowestOf(const std::vector<worker_capacity> &capacities, const index_list &among)
{
    double slowest = among.empty() ? 1 : capacities[among.front()].speed;
    for (const std::size_t index : among)
        slowest = std::min(slowest, capacities[index].speed);
    return slowest;
}

} // namespace placing

} // namespace goldcrest
