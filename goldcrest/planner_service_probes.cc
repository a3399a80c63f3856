#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include <utility>

namespace goldcrest {

namespace {

constexpr duration probeInterval = 500ms;
// A suspension that ends shortly before the wait for the lease must still be noticed.
constexpr duration lastProbesTime = 1s;
constexpr duration lastProbesInterval = 200ms;
// A process that works answers within this time, also on a slow machine.
constexpr duration probeLimit = 400ms;

} // namespace

void planner_service::state::probeSilentWorkers()
{
    if (!isActive || !options.probe)
        return;
    for (const worker_id &worker : planner->silentWorkers(loop.now())) {
        const auto agent = knownAgents.find(worker);
        if (agent == knownAgents.end())
            continue;
        const duration left = planner->workers().workers().at(worker).leaseEnds - loop.now();
        const duration interval = left < lastProbesTime ? lastProbesInterval : probeInterval;
        if (loop.now() - agent->second.probedAt >= interval)
            probe(worker, agent->second);
    }
}

// The link of an agent has closed. If the agent's process has ended, its machine shows now that it
// runs; later it may be suspended.
void planner_service::state::probeAfterClose(const worker_id &worker)
{
    const auto agent = knownAgents.find(worker);
    if (isActive && options.probe && agent != knownAgents.end() && planner->hasRunsOn(worker))
        probe(worker, agent->second);
}

void planner_service::state::probe(const worker_id &worker, known_agent &agent)
{
    agent.probedAt = loop.now();
    options.probe->probe(agent.address, probeLimit, guarded([this, worker](probe_outcome outcome) {
                             if (outcome == probe_outcome::Refused)
                                 planner->noteProcessDown(worker, loop.now());
                             else if (outcome == probe_outcome::Unserved)
                                 planner->noteProcessPaused(worker, loop.now());
                         }));
}

} // namespace goldcrest
