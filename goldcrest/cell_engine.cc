#include "goldcrest/cell_engine.h"

namespace goldcrest {

namespace {

// Workers connect one by one after a planner starts. A job that seems too large for the cell is
// rejected only after no new worker has appeared for this long.
constexpr duration fleetSettleTime = 15s;

// Upper bound on the entries of m_impossibleReasons; the cache is cleared beyond it.
constexpr std::size_t maxCheckedShapes = 10000;

// Job slots that each tick checks for waiting jobs that have become impossible.
constexpr std::size_t maxVerifiedPerTick = 16;

std::string describe(const load &amount)
{
    return std::to_string(amount.v[load::coresIndex]) + " millicores, "
        + std::to_string(amount.v[load::memoryIndex]) + " MiB, "
        + std::to_string(amount.v[load::acceleratorsIndex]) + " accelerators";
}

std::string nameOf(adjacency closeness)
{
    switch (closeness) {
    case adjacency::None:
        return "the cell";
    case adjacency::FailureDomain:
        return "one failure domain";
    case adjacency::Rack:
        return "one rack";
    case adjacency::Worker:
        return "one worker";
    }
    return {};
}

} // namespace

cell_engine::cell_engine(std::string_view cell)
    : m_cellName(cell)
    , m_ledger(m_cell)
{ }

// --- configuration and workers ---

team_index cell_engine::teamOf(const team_id &name)
{
    const auto [found, isNew] = m_teamByName.emplace(name, team_index(m_teams.size()));
    if (isNew) {
        m_teams.emplace_back();
        m_teams.back().name = name;
    }
    return found->second;
}

std::vector<guarantee_unit> cell_engine::unitsOf(const catalogue &entries)
{
    std::vector<guarantee_unit> units;
    for (const auto &[name, entry] : entries.teams) {
        for (const guarantee_entry &guarantee : entry.guarantees) {
            const auto shape = entries.shapes.find(guarantee.shape);
            if (shape == entries.shapes.end() || guarantee.cell != m_cellName)
                continue;
            guarantee_unit unit;
            unit.team = teamOf(name);
            unit.label = name + "/" + guarantee.shape;
            unit.tasks = shape->second.tasks;
            unit.perTask = load::ofTask(shape->second.perTask);
            unit.closeness = shape->second.closeness;
            units.insert(units.end(), std::size_t(std::max(0, guarantee.count)), unit);
        }
    }
    return units;
}

void cell_engine::applyConfiguration(const configuration &config, time_point now)
{
    m_now = now;
    m_catalogue = config.entries;
    m_domainsOut = config.domainsOut;
    m_drained = config.drainedWorkers;
    m_impossibleReasons.clear();
    for (team_state &known : m_teams) {
        known.known = false;
        known.guaranteed = {};
    }
    for (const auto &[name, entry] : m_catalogue.teams) {
        team_state &known = m_teams[std::size_t(teamOf(name))];
        known.known = true;
        known.quota = load{{entry.quota.cores, entry.quota.memory, entry.quota.accelerators, 0}};
        known.maxQueued = entry.maxQueued;
    }
    std::vector<guarantee_unit> units = unitsOf(m_catalogue);
    for (const guarantee_unit &unit : units)
        m_teams[std::size_t(unit.team)].guaranteed += unit.perTask * unit.tasks;
    m_ledger.setUnits(std::move(units));
    onConfiguration(config);

    std::vector<worker_index> changed;
    for (worker_index w = 0; std::size_t(w) < m_cell.workers().size(); ++w) {
        const worker_info &info = m_cell.at(w).info;
        const bool out = m_domainsOut.count(info.failureDomain) > 0;
        const bool drained = m_drained.count(info.id) > 0;
        const bool flippedByDomain = m_cell.setBlocked(w, block_reason::DomainOut, out);
        const bool flippedByDrain = m_cell.setBlocked(w, block_reason::Drained, drained);
        // Two changes of service cancel each other out.
        if (flippedByDomain != flippedByDrain)
            changed.push_back(w);
    }
    changeService(changed);
    planGuarantees();
    schedule();
}

void cell_engine::changeService(const std::vector<worker_index> &workers)
{
    bool cameBack = false;
    for (const worker_index w : workers) {
        if (m_cell.at(w).inService()) {
            cameBack = true;
            continue;
        }
        m_ledger.unassign(w);
        const std::vector<job_index> here = jobsOn(w);
        for (const job_index index : here) {
            if (job(index).state == run_state::Claiming)
                abortClaim(index);
        }
    }
    if (!workers.empty() && (cameBack || m_ledger.unmetCount() > 0))
        planGuarantees();
    for (const worker_index w : workers) {
        markChanged(w);
        onServiceChanged(w);
    }
}

void cell_engine::planGuarantees()
{
    m_impossibleReasons.clear();
    for (const worker_index w : m_ledger.plan())
        resolveOvercommit(w);
}

// Converts protected use to borrowed use on a worker where plan() assigned a guarantee to capacity
// that the preemptible jobs of other teams use.
void cell_engine::resolveOvercommit(worker_index worker)
{
    for (const job_index index : jobsOn(worker)) {
        if (!m_ledger.isOvercommitted(worker))
            return;
        job_entry &entry = job(index);
        if (entry.use == use_kind::Borrowed || !entry.spec.preemptible()
            || !m_ledger.hasStoppableExcess(worker, entry.team))
            continue;
        entry.use = use_kind::Borrowed;
        for (const placed_part &part : entry.parts) {
            m_ledger.release(part.worker, entry.team, entry.perTask * part.tasks, false);
            markChanged(part.worker);
        }
    }
}

void cell_engine::block(worker_index worker, block_reason reason, bool on)
{
    if (m_cell.setBlocked(worker, reason, on))
        changeService({worker});
}

void cell_engine::workerUp(const worker_info &info, time_point now)
{
    m_now = now;
    const bool isNew = m_cell.find(info.id) == topology::none;
    const worker_index w = m_cell.add(info);
    if (isNew) {
        m_lastNewWorker = now;
        m_jobsOn.resize(m_cell.workers().size());
    }
    m_impossibleReasons.clear();
    bool changed
        = m_cell.setBlocked(w, block_reason::DomainOut, m_domainsOut.count(info.failureDomain) > 0);
    changed ^= m_cell.setBlocked(w, block_reason::Drained, m_drained.count(info.id) > 0);
    changed ^= m_cell.setBlocked(w, block_reason::Suspended, false);
    changed ^= m_cell.setBlocked(w, block_reason::Down, false);
    if (changed)
        changeService({w});
    schedule();
}

void cell_engine::workerSuspended(const worker_id &worker, time_point now)
{
    m_now = now;
    const worker_index w = m_cell.find(worker);
    if (w == topology::none)
        return;
    block(w, block_reason::Suspended, true);
    schedule();
}

void cell_engine::workerDown(const worker_id &worker, time_point now)
{
    m_now = now;
    const worker_index w = m_cell.find(worker);
    if (w == topology::none)
        return;
    block(w, block_reason::Down, true);
    const std::vector<job_index> here = jobsOn(w);
    for (const job_index index : here)
        stop(index, stop_reason::WorkerLost);
    schedule();
}

// --- jobs ---

std::optional<job_index> cell_engine::findJob(const job_key &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? std::nullopt : std::optional<job_index>(found->second);
}

const std::vector<job_index> &cell_engine::jobsOn(worker_index worker) const
{
    return m_jobsOn[std::size_t(worker)];
}

job_index cell_engine::newJob(const job_spec &spec)
{
    job_index index = job_index(m_jobs.size());
    if (m_freeJobs.empty()) {
        m_jobs.emplace_back();
    } else {
        index = m_freeJobs.back();
        m_freeJobs.pop_back();
    }
    job_entry &entry = job(index);
    entry = job_entry{};
    entry.spec = spec;
    entry.spec.payload.clear(); // scheduling does not need it
    entry.team = teamOf(spec.key.team);
    entry.perTask = load::ofTask(spec.perTask);
    entry.serial = m_nextSerial++;
    const auto known = m_catalogue.classes.find(spec.className);
    if (known != m_catalogue.classes.end()) {
        entry.classWeight = known->second.weight;
        entry.urgent = known->second.urgent;
    }
    m_byKey.emplace(spec.key, index);
    return index;
}

void cell_engine::removeJob(job_index index)
{
    onJobRemoved(index);
    job_entry &entry = job(index);
    if (entry.spec.deadline > 0ms)
        m_deadlines.erase({entry.queuedAt + entry.spec.deadline, index});
    m_byKey.erase(entry.spec.key);
    entry = job_entry{};
    m_freeJobs.push_back(index);
}

void cell_engine::addToQueue(job_index index)
{
    job_entry &entry = job(index);
    entry.state = run_state::Waiting;
    entry.use = use_kind::Protected;
    ++m_waiting;
    ++m_teams[std::size_t(entry.team)].queued;
    enqueue(index);
}

void cell_engine::jobQueued(const job_spec &spec, const queued_state &state, time_point now)
{
    m_now = now;
    if (findJob(spec.key))
        return;
    const job_index index = newJob(spec);
    job_entry &entry = job(index);
    entry.queuedAt = now - state.waited;
    entry.progress = state.progress;
    entry.attempts = state.attempts;
    if (spec.deadline > 0ms)
        m_deadlines.insert({entry.queuedAt + spec.deadline, index});
    addToQueue(index);
    const team_state &owner = team(entry.team);
    const bool isNew = state.attempts == 0 && state.waited == 0ms;
    if (!owner.known && !m_catalogue.teams.empty()) {
        reject(index, code::UnknownTeam, "team " + owner.name + " is not in the catalogue");
    } else if (isNew && owner.known && owner.queued > owner.maxQueued) {
        reject(index, code::TeamLimit,
               "team " + owner.name + " has " + std::to_string(owner.maxQueued)
                   + " jobs queued, its limit");
    } else {
        const std::string impossible = whyImpossible(entry);
        if (!impossible.empty() && isSettled())
            reject(index, code::ShapeFitsNowhere, impossible);
    }
    schedule();
}

bool cell_engine::isSettled() const
{
    return !m_cell.workers().empty() && m_now - m_lastNewWorker >= fleetSettleTime;
}

// Returns why the job can never run on the known workers, including those out of service, or an
// empty string if it can.
std::string cell_engine::whyImpossible(const job_entry &entry)
{
    if (entry.spec.tasks <= 0)
        return "a job must have at least one task";
    const load total = entry.total();
    const load &quota = team(entry.team).quota;
    for (std::size_t i = 0; i < load::slotsIndex; ++i) {
        if (quota.v[i] > 0 && total.v[i] > quota.v[i])
            return "needs " + describe(total) + ", but the quota of team " + team(entry.team).name
                + " is " + describe(quota);
    }
    const bool movable = entry.spec.preemptible();
    const auto key = std::make_tuple(entry.perTask, entry.spec.tasks, entry.spec.closeness,
                                     entry.team, movable);
    if (m_impossibleReasons.size() > maxCheckedShapes)
        m_impossibleReasons.clear();
    const auto known = m_impossibleReasons.find(key);
    if (known != m_impossibleReasons.end())
        return known->second;

    // The scan starts at the worker where a one-task job last fitted and stops at the first group
    // that is large enough, so that only a job that fits nowhere scans every worker.
    std::unordered_map<std::int32_t, std::int64_t> perGroup;
    std::int64_t best = 0;
    const std::size_t count = m_cell.workers().size();
    for (std::size_t i = 0; i < count && best < entry.spec.tasks; ++i) {
        const worker_index w = worker_index((std::size_t(m_lastFittingWorker) + i) % count);
        const worker_state &worker = m_cell.at(w);
        load available = worker.capacity;
        if (!movable) {
            for (const guarantee_ledger::share &s : m_ledger.sharesOn(w))
                available -= s.team == entry.team ? load{} : s.guaranteed;
        }
        std::int64_t &fits = perGroup[groupOf(m_cell, w, entry.spec.closeness)];
        fits += fitCount(available, entry.perTask);
        best = std::max(best, fits);
        if (best >= entry.spec.tasks && entry.spec.tasks == 1)
            m_lastFittingWorker = w;
    }
    std::string why;
    if (best < entry.spec.tasks) {
        why = std::to_string(entry.spec.tasks) + " tasks of " + describe(entry.perTask)
            + " are needed in " + nameOf(entry.spec.closeness) + ", at most " + std::to_string(best)
            + (movable
                   ? " fit on the empty cell"
                   : " fit outside the guarantees of other teams, which this job may not borrow");
    }
    m_impossibleReasons.emplace(key, why);
    return why;
}

// Rejects waiting jobs that can never run since guarantees or workers changed. Each tick checks a
// fixed number of job slots, so that its cost does not grow with the queue.
void cell_engine::verifyWaiting()
{
    if (!isSettled() || m_jobs.empty())
        return;
    const std::size_t count = std::min(m_jobs.size(), maxVerifiedPerTick);
    for (std::size_t i = 0; i < count; ++i) {
        m_verifyNext = (m_verifyNext + 1) % m_jobs.size();
        const job_index index = job_index(m_verifyNext);
        const job_entry &entry = job(index);
        if (entry.state != run_state::Waiting)
            continue;
        const std::string impossible = whyImpossible(entry);
        if (!impossible.empty())
            reject(index, code::ShapeFitsNowhere, impossible);
    }
}

void cell_engine::jobAdopted(const job_spec &spec, const std::vector<gang_part> &parts,
                             duration ranFor, time_point now)
{
    m_now = now;
    if (findJob(spec.key))
        return;
    const job_index index = newJob(spec);
    job_entry &entry = job(index);
    entry.queuedAt = now - ranFor;
    std::vector<placed_part> placed;
    bool isProtected = true;
    for (const gang_part &part : parts) {
        const worker_index w = m_cell.find(part.worker);
        if (w == topology::none)
            continue;
        placed.push_back({w, part.tasks});
        if (!m_ledger.headroom(w, entry.team).covers(entry.perTask * part.tasks))
            isProtected = false;
    }
    const bool borrows = !isProtected && spec.preemptible();
    occupy(index, std::move(placed), borrows ? use_kind::Borrowed : use_kind::Protected);
    entry.state = run_state::Running;
    entry.placedAt = now - ranFor;
    entry.attempts = 1;
    ++m_running;
    onPlaced(index);
    const std::vector<placed_part> where = entry.parts;
    for (const placed_part &part : where) {
        resolveOvercommit(part.worker);
        if (!m_ledger.isOvercommitted(part.worker))
            continue;
        // A job that cannot be stopped uses the guaranteed capacity, so the guarantee is assigned
        // elsewhere.
        m_ledger.unassign(part.worker);
        planGuarantees();
    }
    schedule();
}

void cell_engine::jobCancelled(const job_key &key, time_point now)
{
    m_now = now;
    const std::optional<job_index> index = findJob(key);
    if (!index)
        return;
    job_entry &entry = job(*index);
    entry.cancelled = true;
    if (entry.state == run_state::Running) {
        stop(*index, stop_reason::Cancelled);
        return;
    }
    if (entry.state == run_state::Stopping)
        return;
    if (entry.state == run_state::Claiming)
        abortClaim(*index);
    dequeue(*index);
    --m_waiting;
    --m_teams[std::size_t(entry.team)].queued;
    removeJob(*index);
}

void cell_engine::jobStarted(const job_key &, time_point now)
{
    m_now = now;
}

void cell_engine::jobStopped(const job_key &key, const stopped_event &event, time_point now)
{
    m_now = now;
    const std::optional<job_index> index = findJob(key);
    if (!index)
        return;
    job_entry &entry = job(*index);
    if (entry.state != run_state::Running && entry.state != run_state::Stopping)
        return;
    const bool wasPinned = !entry.spec.preemptible();
    if (event.how != stop_result::NeverStarted)
        ++entry.attempts;
    const bool mayRequeue = onEnded(*index, event) && event.requeue && !entry.cancelled;
    vacate(*index);
    --m_running;
    releaseClaimants(*index);
    if (event.progress <= 0)
        entry.savedRunTime = 0ms;
    else if (event.progress > entry.progress)
        entry.savedRunTime += m_now - entry.placedAt;
    entry.progress = event.progress;
    if (mayRequeue)
        addToQueue(*index);
    else
        removeJob(*index);
    if (wasPinned && m_ledger.unmetCount() > 0)
        planGuarantees();
    schedule();
}

void cell_engine::usageReported(const job_key &, const worker_id &, const resources &,
                                time_point now)
{
    m_now = now;
}

void cell_engine::rejectOverdue()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
        const job_index index = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        job_entry &entry = job(index);
        if (entry.state == run_state::Claiming)
            abortClaim(index);
        if (entry.state == run_state::Waiting)
            reject(index, code::DeadlinePassed, "the deadline passed while the job waited");
    }
}

void cell_engine::tick(time_point now)
{
    m_now = now;
    rejectOverdue();
    verifyWaiting();
    schedule();
}

std::vector<scheduler_action> cell_engine::takeActions()
{
    return std::exchange(m_actions, {});
}

// --- placement ---

void cell_engine::markChanged(worker_index worker)
{
    if (m_isChanged.size() < m_cell.workers().size())
        m_isChanged.resize(m_cell.workers().size());
    if (m_isChanged[std::size_t(worker)])
        return;
    m_isChanged[std::size_t(worker)] = true;
    m_changedWorkers.push_back(worker);
}

std::vector<worker_index> cell_engine::takeChangedWorkers()
{
    for (const worker_index w : m_ledger.takeChangedWorkers())
        markChanged(w);
    for (const worker_index w : m_changedWorkers)
        m_isChanged[std::size_t(w)] = false;
    return std::exchange(m_changedWorkers, {});
}

bool cell_engine::quotaAllows(const job_entry &entry) const
{
    const team_state &owner = team(entry.team);
    const load after = owner.inUse + entry.total();
    for (std::size_t i = 0; i < load::slotsIndex; ++i) {
        if (owner.quota.v[i] > 0 && after.v[i] > owner.quota.v[i])
            return false;
    }
    return true;
}

void cell_engine::occupy(job_index index, std::vector<placed_part> parts, use_kind use)
{
    job_entry &entry = job(index);
    entry.parts = std::move(parts);
    entry.use = use;
    entry.placedAt = m_now;
    m_teams[std::size_t(entry.team)].inUse += entry.total();
    for (const placed_part &part : entry.parts) {
        const load amount = entry.perTask * part.tasks;
        m_cell.charge(part.worker, amount);
        if (use == use_kind::Protected)
            m_ledger.charge(part.worker, entry.team, amount, !entry.spec.preemptible());
        m_jobsOn[std::size_t(part.worker)].push_back(index);
        markChanged(part.worker);
    }
}

void cell_engine::vacate(job_index index)
{
    job_entry &entry = job(index);
    m_teams[std::size_t(entry.team)].inUse -= entry.total();
    for (const placed_part &part : entry.parts) {
        const load amount = entry.perTask * part.tasks;
        m_cell.release(part.worker, amount);
        if (entry.use == use_kind::Protected)
            m_ledger.release(part.worker, entry.team, amount, !entry.spec.preemptible());
        std::vector<job_index> &here = m_jobsOn[std::size_t(part.worker)];
        here.erase(std::find(here.begin(), here.end(), index));
        markChanged(part.worker);
    }
    entry.parts.clear();
}

void cell_engine::place(job_index index, std::vector<placed_part> parts, use_kind use)
{
    dequeue(index);
    occupy(index, std::move(parts), use);
    emitPlace(index);
}

void cell_engine::emitPlace(job_index index)
{
    job_entry &entry = job(index);
    --m_waiting;
    --m_teams[std::size_t(entry.team)].queued;
    ++m_running;
    entry.state = run_state::Running;
    entry.placedAt = m_now;
    place_action action;
    action.job = entry.spec.key;
    action.borrowed = entry.use == use_kind::Borrowed;
    std::int32_t next = 0;
    for (const placed_part &part : entry.parts) {
        const worker_state &worker = m_cell.at(part.worker);
        action.parts.push_back({worker.info.id, next, part.tasks});
        next += part.tasks;
        if (!worker.inService() && m_violation.empty())
            m_violation = "placed on " + worker.info.id + ", which is out of service";
    }
    if (next != entry.spec.tasks && m_violation.empty())
        m_violation = "placed only part of a gang";
    m_actions.emplace_back(std::move(action));
    onPlaced(index);
}

void cell_engine::claim(job_index index, std::vector<placed_part> parts, use_kind use,
                        const std::vector<job_index> &victims, stop_reason reason)
{
    dequeue(index);
    occupy(index, std::move(parts), use);
    job(index).state = run_state::Claiming;
    for (const job_index victim : victims) {
        if (job(victim).state == run_state::Claiming) {
            abortClaim(victim); // none of its tasks run yet
            continue;
        }
        job(victim).claimants.push_back(index);
        ++job(index).victimsLeft;
        stop(victim, reason);
    }
    if (job(index).victimsLeft == 0)
        emitPlace(index);
}

void cell_engine::abortClaim(job_index index)
{
    for (const placed_part &part : job(index).parts) {
        for (const job_index other : jobsOn(part.worker)) {
            std::vector<job_index> &claimants = job(other).claimants;
            claimants.erase(std::remove(claimants.begin(), claimants.end(), index),
                            claimants.end());
        }
    }
    vacate(index);
    job(index).victimsLeft = 0;
    job(index).state = run_state::Waiting;
    enqueue(index);
    if (!job(index).spec.preemptible() && m_ledger.unmetCount() > 0)
        planGuarantees();
}

void cell_engine::releaseClaimants(job_index victim)
{
    for (const job_index claimant : std::exchange(job(victim).claimants, {})) {
        if (--job(claimant).victimsLeft == 0)
            emitPlace(claimant);
    }
}

void cell_engine::stop(job_index index, stop_reason reason)
{
    job_entry &entry = job(index);
    if (entry.state != run_state::Running)
        return;
    entry.state = run_state::Stopping;
    entry.stopSentAt = m_now;
    m_actions.emplace_back(stop_action{entry.spec.key, reason});
}

void cell_engine::reject(job_index index, code number, std::string reason)
{
    job_entry &entry = job(index);
    m_actions.emplace_back(reject_action{entry.spec.key, makeFailure(number, std::move(reason))});
    if (entry.state == run_state::Waiting) {
        dequeue(index);
        --m_waiting;
        --m_teams[std::size_t(entry.team)].queued;
        removeJob(index);
    }
}

void cell_engine::throttle(job_index index, worker_index worker, const resources &limit)
{
    m_actions.emplace_back(throttle_action{job(index).spec.key, m_cell.at(worker).info.id, limit});
}

// --- views ---

std::optional<explanation> cell_engine::explain(const job_key &key, time_point) const
{
    const std::optional<job_index> index = findJob(key);
    if (!index)
        return std::nullopt;
    const job_entry &entry = job(*index);
    if (entry.state != run_state::Waiting && entry.state != run_state::Claiming)
        return std::nullopt;
    explanation why;
    why.position = positionOf(*index);
    if (entry.state == run_state::Claiming) {
        why.constraint = "stopping borrowers";
        why.detail = std::to_string(entry.victimsLeft) + " jobs are being stopped for this one";
        why.wouldHelp = "nothing is needed; the job starts once they have stopped";
        return why;
    }
    if (!quotaAllows(entry)) {
        why.constraint = "team quota";
        why.detail = "needs " + describe(entry.total()) + ", team " + team(entry.team).name
            + " uses " + describe(team(entry.team).inUse) + " of "
            + describe(team(entry.team).quota);
        why.wouldHelp = "a job of the team ends, or the quota is raised";
        return why;
    }
    std::int64_t free = 0;
    std::int64_t permitted = 0;
    std::unordered_map<std::int32_t, std::int64_t> groups;
    std::int64_t best = 0;
    for (worker_index w = 0; std::size_t(w) < m_cell.workers().size(); ++w) {
        const worker_state &worker = m_cell.at(w);
        if (!worker.inService())
            continue;
        const std::int64_t fits = fitCount(worker.free(), entry.perTask);
        load available = worker.free();
        if (!entry.spec.preemptible())
            available = minOf(available, m_ledger.headroom(w, entry.team));
        const std::int64_t permittedHere = fitCount(available, entry.perTask);
        free += fits;
        permitted += permittedHere;
        best = std::max(best, groups[groupOf(m_cell, w, entry.spec.closeness)] += permittedHere);
    }
    const std::string wanted = std::to_string(entry.spec.tasks) + " tasks of "
        + describe(entry.perTask) + " are needed in " + nameOf(entry.spec.closeness);
    if (free < entry.spec.tasks) {
        why.constraint = "capacity";
        why.detail = wanted + ", " + std::to_string(free) + " fit now";
        why.wouldHelp = "running jobs end";
    } else if (permitted < entry.spec.tasks) {
        why.constraint = "guarantees of other teams";
        why.detail = wanted + ", " + std::to_string(free) + " fit on free capacity but only "
            + std::to_string(permitted) + " outside the guarantees of other teams";
        why.wouldHelp = "a job that can checkpoint or is idempotent may borrow that capacity";
    } else if (best < entry.spec.tasks) {
        why.constraint = "adjacency";
        why.detail = wanted + ", at most " + std::to_string(best) + " fit there now";
        why.wouldHelp = "a shape with looser adjacency, or jobs on adjacent workers end";
    } else {
        why.constraint = "queue order";
        why.detail = "jobs ahead of it, or a reservation for one, hold the capacity that it needs";
        why.wouldHelp = "the jobs ahead of it start";
    }
    return why;
}

capacity_view cell_engine::capacity() const
{
    capacity_view view;
    std::vector<std::int64_t> perRack(m_cell.racks().size());
    for (const worker_state &worker : m_cell.workers()) {
        if (!worker.inService())
            continue;
        view.totalAccelerators += worker.capacity.accelerators();
        const std::int64_t free = std::max<std::int64_t>(0, worker.free().accelerators());
        view.freeAccelerators += free;
        perRack[std::size_t(worker.rack)] += free;
    }
    for (const std::int64_t rack : perRack)
        view.largestPlaceableGang = std::max(view.largestPlaceableGang, rack);
    for (const job_entry &entry : m_jobs) {
        const bool runs = entry.state == run_state::Running || entry.state == run_state::Stopping;
        if (runs && entry.use == use_kind::Borrowed)
            view.borrowedAccelerators += entry.total().accelerators();
    }
    view.queuedJobs = m_waiting;
    view.runningJobs = m_running;
    for (const guarantee_unit &unit : m_ledger.units()) {
        if (unit.parts.empty())
            view.unmetGuarantees.push_back(unit.label);
    }
    return view;
}

// --- invariants ---

std::string cell_engine::checkInvariants() const
{
    if (!m_violation.empty())
        return m_violation;
    for (const std::string &broken : {checkJobs(), checkWorkers(), checkGuarantees()}) {
        if (!broken.empty())
            return broken;
    }
    return {};
}

std::string cell_engine::checkJobs() const
{
    std::size_t waiting = 0;
    std::size_t running = 0;
    for (job_index i = 0; std::size_t(i) < m_jobs.size(); ++i) {
        const job_entry &entry = job(i);
        if (entry.state == run_state::Free)
            continue;
        const std::string name = entry.spec.key.team + "/" + entry.spec.key.requestId;
        const auto known = m_byKey.find(entry.spec.key);
        if (known == m_byKey.end() || known->second != i)
            return "job " + name + " cannot be found by its key";
        const bool waits = entry.state == run_state::Waiting || entry.state == run_state::Claiming;
        if ((entry.state == run_state::Waiting) != isQueued(i))
            return "job " + name + (waits ? " waits but is not queued" : " runs but is queued");
        std::int32_t tasks = 0;
        for (const placed_part &part : entry.parts)
            tasks += part.tasks;
        if (tasks != (entry.state == run_state::Waiting ? 0 : entry.spec.tasks))
            return "job " + name + " holds " + std::to_string(tasks) + " tasks of "
                + std::to_string(entry.spec.tasks);
        if (entry.use == use_kind::Borrowed && !entry.spec.preemptible())
            return "job " + name + " borrows but is not preemptible";
        if (entry.state == run_state::Claiming && entry.victimsLeft == 0)
            return "job " + name + " claims workers but no job is left to be stopped";
        ++(waits ? waiting : running);
    }
    if (waiting != m_waiting || running != m_running)
        return "the counters of waiting and running jobs do not match the jobs' states";
    return {};
}

std::string cell_engine::checkWorkers() const
{
    for (worker_index w = 0; std::size_t(w) < m_cell.workers().size(); ++w) {
        const worker_state &worker = m_cell.at(w);
        load charged;
        load present;
        std::map<team_index, load> protectedUse;
        for (const job_index index : jobsOn(w)) {
            const job_entry &entry = job(index);
            for (const placed_part &part : entry.parts) {
                if (part.worker != w)
                    continue;
                const load amount = entry.perTask * part.tasks;
                charged += amount;
                if (entry.state != run_state::Claiming)
                    present += amount;
                if (entry.use == use_kind::Protected)
                    protectedUse[entry.team] += amount;
            }
        }
        if (charged != worker.used)
            return "the recorded use of " + worker.info.id + " does not match its jobs";
        if (!worker.capacity.covers(present))
            return worker.info.id + " is overbooked";
        // Stopping borrowers alone must free each team's guarantee on this worker.
        load committed;
        for (const guarantee_ledger::share &s : m_ledger.sharesOn(w)) {
            committed += maxOf(s.guaranteed, protectedUse[s.team]);
            protectedUse.erase(s.team);
        }
        for (const auto &[owner, use] : protectedUse)
            committed += use;
        if (!worker.capacity.covers(committed))
            return "guarantees on " + worker.info.id + " cannot be reclaimed";
    }
    return {};
}

std::string cell_engine::checkGuarantees() const
{
    std::map<std::pair<worker_index, team_index>, load> expected;
    for (const guarantee_unit &unit : m_ledger.units()) {
        if (unit.parts.empty()) {
            if (m_ledger.couldPlace(unit))
                return "guarantee " + unit.label + " fits but is not assigned";
            continue;
        }
        std::int32_t tasks = 0;
        const worker_state &first = m_cell.at(unit.parts.front().worker);
        for (const placed_part &part : unit.parts) {
            const worker_state &worker = m_cell.at(part.worker);
            tasks += part.tasks;
            expected[{part.worker, unit.team}] += unit.perTask * part.tasks;
            if (!worker.inService())
                return "guarantee " + unit.label + " is on " + worker.info.id
                    + ", which is out of service";
            const bool apart
                = (unit.closeness == adjacency::FailureDomain && worker.domain != first.domain)
                || (unit.closeness == adjacency::Rack && worker.rack != first.rack)
                || (unit.closeness == adjacency::Worker && unit.parts.size() > 1);
            if (apart)
                return "guarantee " + unit.label + " violates its adjacency";
        }
        if (tasks != unit.tasks)
            return "guarantee " + unit.label + " is only partly assigned";
    }
    for (worker_index w = 0; std::size_t(w) < m_cell.workers().size(); ++w) {
        for (const guarantee_ledger::share &s : m_ledger.sharesOn(w)) {
            const auto found = expected.find({w, s.team});
            if (s.guaranteed != (found == expected.end() ? load{} : found->second))
                return "the ledger's guarantees on " + m_cell.at(w).info.id
                    + " do not match the assigned units";
        }
    }
    return {};
}

} // namespace goldcrest
