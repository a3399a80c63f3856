#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include "goldcrest/graph_job.h"
#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"

#include <cstddef>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration probeInterval = 500ms;
// A suspension that ends shortly before the wait for the lease must still be noticed.
constexpr duration lastProbesTime = 1s;
constexpr duration lastProbesInterval = 200ms;
// A process that works answers within this time, also on a slow machine.
constexpr duration probeLimit = 400ms;
// Addresses are needed only by a successor, for workers that have been silent for seconds.
constexpr duration addressInterval = 1s;
// The address of a worker without runs that has not reported for this long is removed.
constexpr duration addressLifetime = 60s;
const call_options addressOptions{call_priority::Background, 2s, largeAnswer};
// The platform accepts 32 entries in one transaction, one of which is the condition.
constexpr std::size_t addressesPerCommit = 30;

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

// Reads the addresses of agents that have not reported to this planner yet. The planner works
// without them, so that a takeover does not wait for this.
void planner_service::state::loadAddresses()
{
    if (!options.probe)
        return;
    store.list(agentAddressPrefix, 0, addressOptions,
               guarded([this](const result<std::vector<store_entry>> &listed) {
                   if (const failure *error = failureOf(listed)) {
                       log_line(log_level::Warning, "cannot read addresses of agents")
                           .error(*error)
                           .limit("addresses")
                           .write();
                       addressTimer = loop.after(addressInterval, [this] { loadAddresses(); });
                       return;
                   }
                   for (const store_entry &entry : valueOf(listed)) {
                       known_agent &agent
                           = knownAgents[entry.key.substr(agentAddressPrefix.size())];
                       agent.storedAddress = entry.value;
                       if (agent.address.empty()) {
                           agent.address = entry.value;
                           agent.seenAt = loop.now();
                       }
                   }
                   addressTimer = loop.every(addressInterval, [this] { storeAddresses(); });
               }));
}

// Stores the addresses of workers with runs for the successor, each once, and removes those of
// workers that are gone.
void planner_service::state::storeAddresses()
{
    if (isStoringAddresses || !role->isLeaseValid(loop.now()))
        return;
    store_transaction transaction;
    transaction.requireCreateRevision(leaderKey(options.cell), role->currentEpoch());
    std::map<worker_id, std::string> changes;
    for (const auto &[worker, agent] : knownAgents) {
        const bool isChanged = agent.address != agent.storedAddress;
        const bool isOld
            = !agent.storedAddress.empty() && loop.now() - agent.seenAt > addressLifetime;
        if ((!isChanged && !isOld) || changes.size() == addressesPerCommit)
            continue;
        const std::string key = std::string(agentAddressPrefix) + worker;
        if (isOld && !planner->hasRunsOn(worker)) {
            transaction.remove(key);
            changes[worker] = {};
        } else if (isChanged && planner->hasRunsOn(worker)) {
            transaction.put(key, agent.address);
            changes[worker] = agent.address;
        }
    }
    if (changes.empty())
        return;
    isStoringAddresses = true;
    store.commit(std::move(transaction), addressOptions,
                 guarded([this, changes](const result<commit_reply> &outcome) {
                     isStoringAddresses = false;
                     if (failureOf(outcome) || !valueOf(outcome).applied)
                         return; // the next attempt follows with the timer
                     for (const auto &[worker, address] : changes) {
                         if (address.empty() && agents.count(worker) == 0)
                             knownAgents.erase(worker);
                         else
                             knownAgents[worker].storedAddress = address;
                     }
                 }));
}

} // namespace goldcrest
