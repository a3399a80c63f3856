#include "goldcrest/maintenance_planner.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace goldcrest {

namespace {

// A machine has left permanently if this many lists in a row are without it. One list may miss a
// machine that changes its place between two pages.
constexpr int listsWithoutMachine = 3;

} // namespace

std::string_view nameOf(machine_answer answer)
{
    switch (answer) {
    case machine_answer::Done:
        return "done";
    case machine_answer::Fenced:
        return "fenced";
    case machine_answer::Busy:
        return "busy";
    case machine_answer::NotInWave:
        return "not in wave";
    case machine_answer::NotFound:
        return "not found";
    case machine_answer::NotSent:
        return "not sent";
    case machine_answer::Lost:
        return "lost";
    }
    return "unknown";
}

maintenance_planner::maintenance_planner(const maintenance_options &options, time_point electedAt)
    : m_options(options)
    , m_electedAt(electedAt)
{ }

void maintenance_planner::setStoredStates(std::map<std::int64_t, stored_wave_state> states)
{
    m_stored = std::move(states);
}

void maintenance_planner::onMachines(const std::vector<machine_entry> &machines, time_point sentAt,
                                     time_point now)
{
    // A service that has lost its list must not make all machines look as if they had left.
    if (machines.empty())
        return;
    const std::vector<machine_entry> down = downMachines();
    m_hasList = true;
    m_listSentAt = sentAt;
    m_listTime = now - sentAt;
    m_machines.clear();
    for (const machine_entry &machine : machines)
        m_machines.emplace(machine.id, machine);
    std::map<std::string, int> missing;
    for (auto &[number, current] : m_waves) {
        for (auto &[id, state] : current.members) {
            if (!find(id))
                missing[id] = std::min(m_missing[id] + 1, listsWithoutMachine);
            if (state.isUncertain && !state.isCalled && sentAt > state.answeredAt)
                settleLostCall(current, id, state);
        }
    }
    m_missing = std::move(missing);
    for (const machine_entry &machine : down) {
        if (!hasLeft(machine.id))
            m_machines.emplace(machine.id, machine);
    }
    indexCalls();
}

// Returns the machines of waves that are down, without those whose calls are open. A list that
// misses one of them doesn't show that it is back.
std::vector<machine_entry> maintenance_planner::downMachines() const
{
    std::set<std::string> ids;
    for (const auto &[number, current] : m_waves) {
        for (const auto &[id, state] : current.members) {
            if (isDown(id) && !hasOpenCall(id))
                ids.insert(id);
        }
    }
    std::vector<machine_entry> down;
    for (const std::string &id : ids) {
        machine_entry entry;
        entry.id = id;
        entry.state = machine_state::InMaintenance;
        down.push_back(std::move(entry));
    }
    return down;
}

// Finds the machines with calls that no list has shown yet, so that each decision costs no search
// of all waves for each machine.
void maintenance_planner::indexCalls()
{
    m_openCalls.clear();
    m_unlisted.clear();
    for (const auto &[number, current] : m_waves) {
        for (const auto &[id, state] : current.members) {
            if (state.isCalled || state.isUncertain)
                m_openCalls.insert(id);
            else if (state.hasBegun && m_listSentAt <= state.answeredAt)
                m_unlisted.insert(id);
        }
    }
}

// Uses a list that was requested after the answer of a call was lost.
void maintenance_planner::settleLostCall(const wave &current, const std::string &id,
                                         member &state) const
{
    const machine_entry *machine = find(id);
    const bool isMember = current.isRequested
        && std::binary_search(current.machines.begin(), current.machines.end(), id);
    if (machine && machine->state == machine_state::InMaintenance) {
        state.isUncertain = false;
        state.hasBegun = true;
    } else if (!isMember && m_listSentAt > state.answeredAt + m_options.settleTime) {
        // The call is not repeated for a machine that is no longer in the wave.
        state.isUncertain = false;
    }
}

maintenance_decisions maintenance_planner::plan(const maintenance_inputs &inputs)
{
    maintenance_decisions decisions;
    updateWaves(inputs);
    for (auto &[number, current] : m_waves) {
        if (!current.isRequested)
            continue;
        if (m_hasList)
            planWave(number, current, inputs, decisions);
        else
            decisions.states[number]
                = current.isCompleted ? wave_state::Completed : wave_state::Running;
    }
    drainCalled(inputs.now, decisions);
    return decisions;
}

void maintenance_planner::updateWaves(const maintenance_inputs &inputs)
{
    for (auto &[number, current] : m_waves)
        current.isRequested = false;
    for (const maintenance_wave &requested : inputs.waves) {
        const auto [found, isNew] = m_waves.try_emplace(requested.number);
        wave &current = found->second;
        if (isNew) {
            const auto stored = m_stored.find(requested.number);
            const bool isStored = stored != m_stored.end();
            const bool wasCompleted = isStored && stored->second.state == wave_state::Completed;
            current.seenAt = inputs.now;
            current.isCompleted = wasCompleted && stored->second.at > requested.at;
            // A wave that was requested again after it was completed has all of its time left.
            current.isRestored = isStored && (!wasCompleted || current.isCompleted);
        }
        updateWave(current, requested, isNew, inputs.now);
    }
    for (auto next = m_waves.begin(); next != m_waves.end();) {
        const auto &members = next->second.members;
        const bool isOpen = std::any_of(members.begin(), members.end(), [&](const auto &one) {
            return hasOpenCall(one.first) || m_unlisted.count(one.first) > 0;
        });
        if (next->second.isRequested || isOpen) {
            ++next;
        } else {
            m_stored.erase(next->first);
            next = m_waves.erase(next);
        }
    }
}

void maintenance_planner::updateWave(wave &current, const maintenance_wave &requested, bool isNew,
                                     time_point now)
{
    current.isRequested = true;
    current.cap = requested.cap;
    // How long ago a predecessor began is not known, so the wave counts as due.
    current.deadline = current.seenAt + (current.isRestored ? 0ms : requested.time);
    const std::set<std::string> unique(requested.machines.begin(), requested.machines.end());
    std::vector<std::string> machines(unique.begin(), unique.end());
    if (machines == current.machines)
        return;
    if (!isNew && current.isCompleted) {
        // A completed wave that is changed runs again.
        current.isCompleted = false;
        current.isRestored = false;
        current.seenAt = now;
        current.deadline = now + requested.time;
    }
    current.machines = std::move(machines);
    current.changedAt = now;
    for (const std::string &id : current.machines)
        m_missing.erase(id);
    for (auto &[id, state] : current.members)
        state.isDraining = state.isDraining && unique.count(id) > 0;
    for (const std::string &id : current.machines)
        current.members.try_emplace(id);
}

void maintenance_planner::planWave(std::int64_t number, wave &current,
                                   const maintenance_inputs &inputs,
                                   maintenance_decisions &decisions)
{
    current.isCompleted = current.isCompleted || isCompleted(current);
    decisions.states[number] = current.isCompleted ? wave_state::Completed : wave_state::Running;
    if (current.isCompleted)
        return;
    const std::vector<std::string> candidates = candidatesOf(current, inputs);
    if (current.cap > 0) {
        chooseDrains(current, candidates, inputs);
        if (mayRelease(current, inputs)) {
            repeatUncertain(number, current, inputs, decisions);
            chooseReleases(number, current, candidates, inputs, decisions);
        }
    }
    const bool isDrained = current.cap > 0 && mayDrain(inputs.now);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::string &server = m_machines.at(candidates[i]).server;
        if (!isDrained || !current.members.at(candidates[i]).isDraining || server.empty())
            continue;
        const time_point due = dueAt(current, i, candidates.size());
        const auto [found, isNew] = decisions.drains.emplace(server, due);
        if (!isNew)
            found->second = std::min(found->second, due);
    }
}

// No work starts between a call and the end of the backend server, also if the wave was withdrawn.
void maintenance_planner::drainCalled(time_point now, maintenance_decisions &decisions) const
{
    for (const auto &[number, current] : m_waves) {
        for (const auto &[id, state] : current.members) {
            const machine_entry *machine = find(id);
            const bool isEnding = state.isCalled || (mayDrain(now) && isDown(id));
            if (machine && !machine->server.empty() && isEnding)
                decisions.drains.emplace(machine->server, now);
        }
    }
}

// Machines are not left idle while their service is out.
bool maintenance_planner::mayDrain(time_point now) const
{
    return now - m_listSentAt <= m_options.longestDrainWithoutList + 2 * m_listTime;
}

// Returns the machines that can have their maintenance, in the order in which they get it.
std::vector<std::string> maintenance_planner::candidatesOf(wave &current,
                                                           const maintenance_inputs &inputs) const
{
    std::vector<std::string> candidates;
    for (const std::string &id : current.machines) {
        member &state = current.members.at(id);
        const machine_entry *machine = find(id);
        const bool isPossible = machine && machine->state == machine_state::Up && !isDown(id)
            && !state.hasBegun && inputs.now >= state.retryAt;
        if (isPossible)
            candidates.push_back(id);
        else
            state.isDraining = false;
    }
    using rank = std::tuple<bool, bool, bool, bool, std::string>;
    std::vector<rank> ranked;
    for (std::string &id : candidates) {
        const std::string &server = m_machines.at(id).server;
        const server_use use = useOf(id, inputs);
        ranked.emplace_back(!current.members.at(id).isDraining,
                            !server.empty() && server == inputs.ownServer, use.hasLongRunning,
                            use.hasRuns, std::move(id));
    }
    std::sort(ranked.begin(), ranked.end());
    std::transform(ranked.begin(), ranked.end(), candidates.begin(),
                   [](rank &one) { return std::get<std::string>(std::move(one)); });
    return candidates;
}

// Drains as many machines as can be released next. If the time of the wave is short, the machines
// after those are drained too.
void maintenance_planner::chooseDrains(wave &current, const std::vector<std::string> &candidates,
                                       const maintenance_inputs &inputs) const
{
    std::int64_t draining = 0;
    const std::int64_t down = downCount(current);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        member &state = current.members.at(candidates[i]);
        const time_point due = dueAt(current, i, candidates.size());
        const bool isDue = inputs.now + m_options.drainLead >= due;
        const bool wasDraining = state.isDraining;
        state.isDraining = draining + down < current.cap || (isDue && draining < current.cap);
        draining += state.isDraining ? 1 : 0;
        if (!state.isDraining)
            continue;
        if (!wasDraining)
            state.drainedAt = inputs.now;
        // A long-running task that may not be stopped must not keep other machines from their turn.
        const bool isHeld = inputs.now >= std::max(due, state.drainedAt + m_options.drainLead);
        if (isHeld && useOf(candidates[i], inputs).hasLongRunning)
            delayRetry(state, inputs.now);
    }
}

// Calls whose answer was lost are sent again, since a list that shows a machine up doesn't tell
// whether the call was carried out. If a long-running task has begun since, the call is given up
// once it can't arrive any more.
void maintenance_planner::repeatUncertain(std::int64_t number, wave &current,
                                          const maintenance_inputs &inputs,
                                          maintenance_decisions &decisions)
{
    for (const std::string &id : current.machines) {
        member &state = current.members.at(id);
        if (!state.isUncertain || state.isCalled)
            continue;
        const machine_entry *machine = find(id);
        const bool isUp = machine && machine->state == machine_state::Up;
        if (!useOf(id, inputs).hasLongRunning) {
            decisions.releases.push_back({number, id});
        } else if (isUp && m_listSentAt > state.answeredAt + m_options.settleTime) {
            state.isUncertain = false;
            indexCalls();
        }
    }
}

void maintenance_planner::chooseReleases(std::int64_t number, wave &current,
                                         const std::vector<std::string> &candidates,
                                         const maintenance_inputs &inputs,
                                         maintenance_decisions &decisions) const
{
    std::int64_t down = downCount(current);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::string &id = candidates[i];
        const bool isTaken
            = std::any_of(decisions.releases.begin(), decisions.releases.end(),
                          [&](const maintenance_release &one) { return one.machine == id; });
        if (isTaken || !current.members.at(id).isDraining || down >= current.cap)
            continue;
        const server_use use = useOf(id, inputs);
        const bool isDue
            = inputs.now >= dueAt(current, i, candidates.size()) && !use.hasLongRunning;
        if (use.hasRuns && !isDue)
            continue;
        decisions.releases.push_back({number, id});
        ++down;
    }
}

// Returns whether the inputs are recent enough to begin a maintenance.
bool maintenance_planner::mayRelease(const wave &current, const maintenance_inputs &inputs) const
{
    const time_point settledAt = m_electedAt + m_options.settleTime;
    const bool isRecent = m_listSentAt >= settledAt
        && inputs.now - m_listSentAt <= m_options.freshList + 2 * m_listTime
        && inputs.now - inputs.viewConfirmedAt <= m_options.freshView;
    const bool isListNeeded
        = std::any_of(current.members.begin(), current.members.end(), [&](const auto &one) {
              return one.second.isUncertain && m_listSentAt <= one.second.answeredAt;
          });
    return isRecent && !isListNeeded && inputs.now >= m_pausedUntil;
}

// Returns the latest time at which a machine can be released so that those after it, `cap` at a
// time, are done in time too.
time_point maintenance_planner::dueAt(const wave &current, std::size_t position,
                                      std::size_t count) const
{
    const auto cap = static_cast<std::size_t>(std::max(1, current.cap));
    const auto rounds = static_cast<duration::rep>((count - position + cap - 1) / cap);
    return current.deadline - (m_options.maintenanceTime + m_options.overhead) * rounds;
}

server_use maintenance_planner::useOf(const std::string &machine,
                                      const maintenance_inputs &inputs) const
{
    const machine_entry *entry = find(machine);
    auto found = entry ? inputs.uses.find(entry->server) : inputs.uses.end();
    // A worker that has not reported yet may be on this machine.
    if (found == inputs.uses.end())
        found = inputs.uses.find({});
    return found == inputs.uses.end() ? server_use{} : found->second;
}

const machine_entry *maintenance_planner::find(const std::string &machine) const
{
    const auto found = m_machines.find(machine);
    return found == m_machines.end() ? nullptr : &found->second;
}

bool maintenance_planner::hasOpenCall(const std::string &machine) const
{
    return m_openCalls.count(machine) > 0;
}

bool maintenance_planner::hasOpenCalls() const
{
    return !m_openCalls.empty() || !m_unlisted.empty();
}

bool maintenance_planner::needsMachines() const
{
    return hasOpenCalls() || std::any_of(m_waves.begin(), m_waves.end(), [](const auto &one) {
               return one.second.isRequested && !one.second.isCompleted;
           });
}

// Returns whether a machine is down for maintenance, or may be.
bool maintenance_planner::isDown(const std::string &machine) const
{
    const machine_entry *entry = find(machine);
    if (entry && entry->state == machine_state::InMaintenance)
        return true;
    return hasOpenCall(machine) || m_unlisted.count(machine) > 0;
}

std::int64_t maintenance_planner::downCount(const wave &current) const
{
    return std::count_if(current.members.begin(), current.members.end(),
                         [&](const auto &one) { return isDown(one.first); });
}

bool maintenance_planner::hasLeft(const std::string &machine) const
{
    const auto found = m_missing.find(machine);
    return found != m_missing.end() && found->second >= listsWithoutMachine;
}

// A wave is completed once all machines that remain in it had their maintenance and are back.
bool maintenance_planner::isCompleted(const wave &current) const
{
    return m_listSentAt >= current.changedAt
        && std::all_of(current.machines.begin(), current.machines.end(),
                       [&](const std::string &id) {
                           if (hasOpenCall(id))
                               return false;
                           const bool hasBegun = current.members.at(id).hasBegun;
                           return hasLeft(id) || (hasBegun && !isDown(id));
                       });
}

void maintenance_planner::onSent(const maintenance_release &release)
{
    m_waves[release.wave].members[release.machine].isCalled = true;
    indexCalls();
}

void maintenance_planner::onAnswer(const maintenance_release &release, machine_answer answer,
                                   time_point now)
{
    applyAnswer(m_waves[release.wave].members[release.machine], answer, now);
    indexCalls();
}

void maintenance_planner::applyAnswer(member &state, machine_answer answer, time_point now)
{
    state.isCalled = false;
    // A call that was not sent does not settle an earlier one whose answer was lost.
    if (answer == machine_answer::NotSent)
        return;
    state.answeredAt = now;
    state.isUncertain = answer == machine_answer::Lost;
    if (answer == machine_answer::Done) {
        state.hasBegun = true;
        state.isDraining = false;
    } else if (answer == machine_answer::Fenced) {
        m_pausedUntil = now + m_options.fencePause;
    } else if (answer != machine_answer::Lost) {
        state.isDraining = false;
        delayRetry(state, now);
    }
}

void maintenance_planner::delayRetry(member &state, time_point now) const
{
    state.retryPause
        = std::clamp(state.retryPause * 2, m_options.firstRetryPause, m_options.longestRetryPause);
    state.retryAt = now + state.retryPause;
}

std::vector<wave_progress> maintenance_planner::progress(time_point now) const
{
    std::vector<wave_progress> all;
    for (const auto &[number, current] : m_waves) {
        if (!current.isRequested)
            continue;
        wave_progress one;
        one.wave = number;
        one.down = downCount(current);
        one.timeLeft = current.deadline - now;
        for (const std::string &id : current.machines) {
            const member &state = current.members.at(id);
            one.machines += hasLeft(id) ? 0 : 1;
            one.begun += state.hasBegun ? 1 : 0;
            one.refused += now < state.retryAt ? 1 : 0;
        }
        all.push_back(one);
    }
    return all;
}

} // namespace goldcrest
