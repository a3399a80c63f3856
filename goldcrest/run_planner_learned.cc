// Collects what run_planner has learned, and restores what an earlier planner has learned.

#include "goldcrest/run_planner.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <vector>

namespace goldcrest {

learned_state run_planner::learnedState(time_point now) const
{
    learned_state state;
    for (const auto &[service, model] : m_speeds) {
        for (learned_speed &one : model.save(now)) {
            one.service = service;
            state.speeds.push_back(std::move(one));
        }
    }
    state.runTimes = m_runTimes.save();
    state.pairs = m_interference.model.save();
    state.uses = m_shares.save();
    state.pauses = m_preemption.save();
    for (const auto &[id, worker] : m_pool.workers()) {
        const time_point until = std::max(worker.avoidUntil, worker.slowUntil);
        if (until > now && !worker.incarnation.empty())
            state.avoided.push_back({worker.incarnation, until - now});
    }
    return state;
}

void run_planner::restoreLearned(const learned_state &state, time_point now)
{
    m_runTimes.restore(state.runTimes);
    if (m_options.workerSpeeds) {
        std::map<std::string, std::vector<learned_speed>> byService;
        for (const learned_speed &one : state.speeds)
            byService[one.service].push_back(one);
        for (const auto &[service, speeds] : byService)
            m_speeds[service].restore(speeds, now);
    }
    if (m_options.interference)
        m_interference.model.restore(state.pairs);
    if (m_options.teamShares)
        m_shares.restore(state.uses);
    if (m_options.preemptionLimits)
        m_preemption.restore(state.pauses);
    for (const learned_avoidance &one : state.avoided)
        m_learnedAvoidance[one.incarnation] = now + std::min(one.left, m_options.avoidTime);
    for (auto &[id, worker] : m_pool.workers())
        avoidAsLearned(worker, now);
}

// Avoids a backend server for as long as an earlier planner would have.
void run_planner::avoidAsLearned(pool_worker &worker, time_point now)
{
    const auto found = m_learnedAvoidance.find(worker.incarnation);
    if (found == m_learnedAvoidance.end())
        return;
    if (found->second > now) {
        worker.avoidUntil = std::max(worker.avoidUntil, found->second);
        recordDecision("worker avoided", {}, 0, worker.id, "an earlier planner avoided it");
    }
    m_learnedAvoidance.erase(found);
}

} // namespace goldcrest
