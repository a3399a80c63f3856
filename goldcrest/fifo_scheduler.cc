// The baseline scheduler: jobs start in order of arrival, each on the first workers with enough
// capacity. A job that does not fit blocks all later ones, except those that fit into their own
// team's guarantee. Only borrowers are preempted, when the owner of a guarantee claims it. The
// first-fit variant skips blocked jobs instead of waiting for them.

#include "goldcrest/cell_engine.h"

namespace goldcrest {

namespace {

// Blocked jobs that are kept during one pass over the queue, for isDominated().
constexpr std::size_t maxFailedKept = 64;

class fifo_scheduler final : public cell_engine
{
public:
    fifo_scheduler(std::string_view name, bool skipsBlocked)
        : cell_engine(name)
        , m_skipsBlocked(skipsBlocked)
    { }

protected:
    void enqueue(job_index index) override
    {
        m_queue.emplace(job(index).serial, index);
        m_byTeam[job(index).team].emplace(job(index).serial, index);
        m_changedTeams.insert(job(index).team);
    }
    void dequeue(job_index index) override
    {
        m_queue.erase(job(index).serial);
        m_byTeam[job(index).team].erase(job(index).serial);
        m_changedTeams.insert(job(index).team); // the team's next job may fit
    }
    bool isQueued(job_index index) const override { return m_queue.count(job(index).serial) > 0; }
    std::int32_t positionOf(job_index index) const override
    {
        return std::int32_t(std::distance(m_queue.begin(), m_queue.find(job(index).serial)) + 1);
    }
    void schedule() override;
    void onConfiguration(const configuration &) override { m_newConfiguration = true; }

private:
    using capacity_of = load (fifo_scheduler::*)(worker_index, const job_entry &) const;

    load protectedCapacity(worker_index w, const job_entry &entry) const
    {
        return minOf(cell().at(w).free(), ledger().headroom(w, entry.team));
    }
    load freeCapacity(worker_index w, const job_entry &) const { return cell().at(w).free(); }
    load claimableCapacity(worker_index w, const job_entry &entry) const;

    std::vector<placed_part> firstFit(const job_entry &entry, capacity_of capacity) const;
    bool exceedsFreeAccelerators(const job_entry &entry) const;
    bool isDominated(const job_entry &entry, const std::vector<job_index> &failed) const;
    void startAllThatFit();
    void claimGuarantees(bool all);
    bool tryStart(job_index index);
    bool tryClaim(job_index index);
    std::optional<job_index>
    firstWithinLimits(const std::map<std::uint64_t, job_index> &queue) const;

    bool m_skipsBlocked;
    bool m_newConfiguration = false;
    std::set<team_index> m_changedTeams; // teams whose queue changed since the last decision
    std::int64_t m_freeAccelerators = 0;
    std::map<std::uint64_t, job_index> m_queue;
    std::map<team_index, std::map<std::uint64_t, job_index>> m_byTeam;
};

// Returns the part of the team's unused guarantee on the worker that is free once the borrowers
// there have stopped.
load fifo_scheduler::claimableCapacity(worker_index w, const job_entry &entry) const
{
    const load unused = ledger().unusedGuarantee(w, entry.team);
    if (!unused.covers(entry.perTask))
        return {};
    load capacity = cell().at(w).free();
    for (const job_index other : jobsOn(w)) {
        if (job(other).use != use_kind::Borrowed && job(other).state != run_state::Stopping)
            continue;
        if (job(other).state == run_state::Claiming)
            continue;
        for (const placed_part &part : job(other).parts) {
            if (part.worker == w)
                capacity += job(other).perTask * part.tasks;
        }
    }
    return minOf(capacity, unused);
}

std::vector<placed_part> fifo_scheduler::firstFit(const job_entry &entry,
                                                  capacity_of capacity) const
{
    const auto take = [&](const std::vector<worker_index> &workers) {
        std::vector<placed_part> parts;
        std::int32_t left = entry.spec.tasks;
        for (const worker_index w : workers) {
            if (left == 0)
                break;
            const worker_state &worker = cell().at(w);
            if (!worker.inService())
                continue;
            const std::int64_t fits = fitCount((this->*capacity)(w, entry), entry.perTask);
            const std::int32_t taken = std::int32_t(std::min<std::int64_t>(left, fits));
            if (taken > 0)
                parts.push_back({w, taken});
            left -= taken;
        }
        return left == 0 ? parts : std::vector<placed_part>{};
    };
    if (entry.spec.tasks == 1 || entry.spec.closeness == adjacency::Worker) {
        const load need = entry.total();
        for (worker_index w = 0; std::size_t(w) < cell().workers().size(); ++w) {
            if (cell().at(w).inService() && (this->*capacity)(w, entry).covers(need))
                return {{w, entry.spec.tasks}};
        }
        return {};
    }
    std::vector<std::vector<worker_index>> groups(1);
    for (const rack_state &rack : cell().racks()) {
        if (entry.spec.closeness == adjacency::Rack)
            groups.push_back(rack.workers);
        for (const worker_index w : rack.workers) {
            if (entry.spec.closeness == adjacency::None)
                groups.front().push_back(w);
        }
    }
    if (entry.spec.closeness == adjacency::FailureDomain) {
        for (const domain_state &domain : cell().domains()) {
            groups.emplace_back();
            for (const rack_index rack : domain.racks) {
                const std::vector<worker_index> &here = cell().racks()[std::size_t(rack)].workers;
                groups.back().insert(groups.back().end(), here.begin(), here.end());
            }
        }
    }
    for (const std::vector<worker_index> &group : groups) {
        std::vector<placed_part> parts = take(group);
        if (!parts.empty())
            return parts;
    }
    return {};
}

bool fifo_scheduler::tryStart(job_index index)
{
    const job_entry &entry = job(index);
    std::vector<placed_part> parts = firstFit(entry, &fifo_scheduler::protectedCapacity);
    if (!parts.empty()) {
        place(index, std::move(parts), use_kind::Protected);
        return true;
    }
    if (entry.spec.preemptible()) {
        parts = firstFit(entry, &fifo_scheduler::freeCapacity);
        if (!parts.empty()) {
            place(index, std::move(parts), use_kind::Borrowed);
            return true;
        }
    }
    return !m_skipsBlocked && tryClaim(index); // the first-fit variant claims after its pass
}

bool fifo_scheduler::tryClaim(job_index index)
{
    const job_entry &entry = job(index);
    load unused;
    for (const worker_index w : ledger().workersOf(entry.team))
        unused += ledger().unusedGuarantee(w, entry.team);
    if (!unused.covers(entry.total()))
        return false;
    std::vector<placed_part> parts = firstFit(entry, &fifo_scheduler::claimableCapacity);
    if (parts.empty())
        return false;
    std::vector<job_index> victims;
    for (const placed_part &part : parts) {
        load missing = entry.perTask * part.tasks - cell().at(part.worker).free();
        // The newest borrower stops first.
        const std::vector<job_index> here = jobsOn(part.worker);
        for (auto it = here.rbegin(); it != here.rend(); ++it) {
            if (load{}.covers(missing))
                break;
            const job_entry &other = job(*it);
            const bool stoppable = other.state == run_state::Stopping
                || (other.state == run_state::Running && other.use == use_kind::Borrowed);
            if (!stoppable)
                continue;
            for (const placed_part &theirs : other.parts) {
                if (theirs.worker == part.worker)
                    missing -= other.perTask * theirs.tasks;
            }
            if (std::find(victims.begin(), victims.end(), *it) == victims.end())
                victims.push_back(*it);
        }
    }
    if (victims.empty())
        place(index, std::move(parts), use_kind::Protected);
    else
        claim(index, std::move(parts), use_kind::Protected, victims, stop_reason::Reclaim);
    return true;
}

std::optional<job_index>
fifo_scheduler::firstWithinLimits(const std::map<std::uint64_t, job_index> &queue) const
{
    for (const auto &[serial, index] : queue) {
        if (quotaAllows(job(index)))
            return index;
    }
    return std::nullopt;
}

// Returns whether the job needs more accelerators than are free in the whole cell, which avoids a
// search over all workers.
bool fifo_scheduler::exceedsFreeAccelerators(const job_entry &entry) const
{
    return m_freeAccelerators < entry.total().accelerators();
}

// Returns whether a job that needs no more than this one did not fit in the same pass.
bool fifo_scheduler::isDominated(const job_entry &entry, const std::vector<job_index> &failed) const
{
    return std::any_of(failed.begin(), failed.end(), [&](job_index index) {
        const job_entry &other = job(index);
        const bool pinned = !entry.spec.preemptible();
        return entry.perTask.covers(other.perTask) && entry.spec.tasks >= other.spec.tasks
            && (entry.spec.closeness == other.spec.closeness || other.spec.tasks == 1)
            && pinned == !other.spec.preemptible() && (!pinned || entry.team == other.team);
    });
}

void fifo_scheduler::startAllThatFit()
{
    std::vector<job_index> order;
    for (const auto &[serial, index] : m_queue)
        order.push_back(index);
    std::vector<job_index> failed;
    for (const job_index index : order) {
        const job_entry &entry = job(index);
        if (!quotaAllows(entry) || exceedsFreeAccelerators(entry) || isDominated(entry, failed))
            continue;
        if (tryStart(index))
            m_freeAccelerators -= entry.total().accelerators();
        else if (failed.size() < maxFailedKept)
            failed.push_back(index);
    }
}

void fifo_scheduler::claimGuarantees(bool all)
{
    const std::set<team_index> changed = std::exchange(m_changedTeams, {});
    for (auto &[owner, queue] : m_byTeam) {
        if (!all && changed.count(owner) == 0)
            continue;
        while (const std::optional<job_index> head = firstWithinLimits(queue)) {
            if (!tryClaim(*head))
                break;
        }
    }
}

void fifo_scheduler::schedule()
{
    const bool changed = !takeChangedWorkers().empty() || std::exchange(m_newConfiguration, false);
    if (!changed && m_changedTeams.empty())
        return;
    if (changed) {
        m_freeAccelerators = 0;
        for (const worker_state &worker : cell().workers()) {
            if (worker.inService())
                m_freeAccelerators += std::max<std::int64_t>(0, worker.free().accelerators());
        }
    }
    if (m_skipsBlocked)
        startAllThatFit();
    while (const std::optional<job_index> head
           = m_skipsBlocked ? std::nullopt : firstWithinLimits(m_queue)) {
        if (!tryStart(*head))
            break;
    }
    claimGuarantees(changed);
}

} // namespace

std::unique_ptr<scheduler> makeFifoScheduler(std::string_view cell)
{
    return std::make_unique<fifo_scheduler>(cell, false);
}

std::unique_ptr<scheduler> makeFirstFitScheduler(std::string_view cell)
{
    return std::make_unique<fifo_scheduler>(cell, true);
}

} // namespace goldcrest
