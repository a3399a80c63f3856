// The baseline: jobs start in order of arrival, each on the first workers that have room. A job
// that does not fit holds back all later ones, except those that fit into their own team's
// guarantee. Nothing is stopped but borrowers of a guarantee that its owner claims.

#include "goldcrest/cell_engine.h"

namespace goldcrest {

namespace {

// Jobs without room that are remembered during one pass over the queue.
constexpr std::size_t maxFailedKept = 64;

class fifo_scheduler final : public cell_engine
{
public:
    fifo_scheduler(std::string_view name, bool skips)
        : cell_engine(name)
        , m_skips(skips)
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
        m_changedTeams.insert(job(index).team); // its next job may fit
    }
    bool isQueued(job_index index) const override { return m_queue.count(job(index).serial) > 0; }
    std::int32_t positionOf(job_index index) const override
    {
        return std::int32_t(std::distance(m_queue.begin(), m_queue.find(job(index).serial)) + 1);
    }
    void schedule() override;
    void onConfiguration(const configuration &) override { m_newConfiguration = true; }

private:
    using room_of = load (fifo_scheduler::*)(worker_index, const job_entry &) const;

    load protectedRoom(worker_index w, const job_entry &entry) const
    {
        return minOf(cell().at(w).free(), ledger().headroom(w, entry.team));
    }
    load freeRoom(worker_index w, const job_entry &) const { return cell().at(w).free(); }
    load guaranteeRoom(worker_index w, const job_entry &entry) const;

    std::vector<placed_part> firstFit(const job_entry &entry, room_of room) const;
    bool isHopeless(const job_entry &entry) const;
    bool isDominated(const job_entry &entry, const std::vector<job_index> &failed) const;
    void startSkipping();
    void claimGuarantees(bool all);
    bool tryStart(job_index index);
    bool tryClaim(job_index index);
    std::optional<job_index>
    firstWithinLimits(const std::map<std::uint64_t, job_index> &queue) const;

    bool m_skips;
    bool m_newConfiguration = false;
    std::set<team_index> m_changedTeams; // got a job since the last decision
    std::int64_t m_freeAccelerators = 0;
    std::map<std::uint64_t, job_index> m_queue;
    std::map<team_index, std::map<std::uint64_t, job_index>> m_byTeam;
};

// What the owner of a guarantee may use there once its borrowers have stopped.
load fifo_scheduler::guaranteeRoom(worker_index w, const job_entry &entry) const
{
    const load unused = ledger().unusedGuarantee(w, entry.team);
    if (!unused.covers(entry.perTask))
        return {};
    load room = cell().at(w).free();
    for (const job_index other : jobsOn(w)) {
        if (job(other).use != use_kind::Borrowed && job(other).state != run_state::Stopping)
            continue;
        if (job(other).state == run_state::Claiming)
            continue;
        for (const placed_part &part : job(other).parts) {
            if (part.worker == w)
                room += job(other).perTask * part.tasks;
        }
    }
    return minOf(room, unused);
}

std::vector<placed_part> fifo_scheduler::firstFit(const job_entry &entry, room_of room) const
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
            const std::int64_t fits = fitCount((this->*room)(w, entry), entry.perTask);
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
            if (cell().at(w).inService() && (this->*room)(w, entry).covers(need))
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
    std::vector<placed_part> parts = firstFit(entry, &fifo_scheduler::protectedRoom);
    if (!parts.empty()) {
        place(index, std::move(parts), use_kind::Protected);
        return true;
    }
    if (entry.spec.preemptible()) {
        parts = firstFit(entry, &fifo_scheduler::freeRoom);
        if (!parts.empty()) {
            place(index, std::move(parts), use_kind::Borrowed);
            return true;
        }
    }
    return !m_skips && tryClaim(index); // the skipping variant claims after its pass
}

bool fifo_scheduler::tryClaim(job_index index)
{
    const job_entry &entry = job(index);
    load unused;
    for (const worker_index w : ledger().workersOf(entry.team))
        unused += ledger().unusedGuarantee(w, entry.team);
    if (!unused.covers(entry.total()))
        return false;
    std::vector<placed_part> parts = firstFit(entry, &fifo_scheduler::guaranteeRoom);
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
            const bool leaves = other.state == run_state::Stopping
                || (other.state == run_state::Running && other.use == use_kind::Borrowed);
            if (!leaves)
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

// Spares a search over all workers where the total rules it out.
bool fifo_scheduler::isHopeless(const job_entry &entry) const
{
    return m_freeAccelerators < entry.total().accelerators();
}

// Returns whether a job that needs no more than this one found no room in the same pass.
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

void fifo_scheduler::startSkipping()
{
    std::vector<job_index> order;
    for (const auto &[serial, index] : m_queue)
        order.push_back(index);
    std::vector<job_index> failed;
    for (const job_index index : order) {
        const job_entry &entry = job(index);
        if (!quotaAllows(entry) || isHopeless(entry) || isDominated(entry, failed))
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
    const bool changed = !takeTouched().empty() || std::exchange(m_newConfiguration, false);
    if (!changed && m_changedTeams.empty())
        return;
    if (changed) {
        m_freeAccelerators = 0;
        for (const worker_state &worker : cell().workers()) {
            if (worker.inService())
                m_freeAccelerators += std::max<std::int64_t>(0, worker.free().accelerators());
        }
    }
    if (m_skips)
        startSkipping();
    while (const std::optional<job_index> head
           = m_skips ? std::nullopt : firstWithinLimits(m_queue)) {
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
