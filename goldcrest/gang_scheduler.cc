// The scheduler with the policy of docs/design.md. It tries to place a job in this order: on its
// team's guarantee, on capacity that no guarantee needs, as a borrower, and on its team's guarantee
// after stopping borrowers.

#include "goldcrest/cell_engine.h"
#include "goldcrest/job_queue.h"
#include "goldcrest/placement.h"
#include "goldcrest/preemption.h"
#include "goldcrest/reservations.h"
#include "goldcrest/runtime_estimator.h"
#include "goldcrest/worker_health.h"

#include <cmath>
#include <deque>
#include <functional>

namespace goldcrest {

namespace {

// Jobs, each of a different team, that are tried in a bucket before it counts as blocked.
constexpr std::size_t triesPerBucket = 3;

// The same for urgent jobs.
constexpr std::size_t urgentTriesPerBucket = 8;

// Jobs of one team that are tried on its own guarantee, per bucket and decision.
constexpr std::size_t claimTries = 2;

// Places of a guarantee whose borrowers are compared by the work that a stop would lose.
constexpr std::size_t maxPlacesCompared = 8;

// Urgent work must start within 3 s, so borrowers that stop within this time are preferred.
constexpr duration urgentStopBound = 3000ms;

// A task that uses more than this multiple of a declared resource exceeds its declaration. The
// first report throttles the job; a later one may stop it.
constexpr double usageTolerance = 1.1;

// A preemptible gang that cannot checkpoint may finish in a domain that is out if its estimated
// remaining time is at most this, because a move would lose its work. It is stopped if it runs
// longer.
constexpr duration finishInsteadOfMove = 30s;

// Queue key penalty for each doubling of a team's use above its guarantee, in the unit of
// queue_order::key().
constexpr double overusePenalty = 60000;

// All buckets are tried this often even if no capacity was freed: a running job may have become
// preemptible for a waiting one, or a worker may be allowed again for a job that failed there.
constexpr duration fullPassInterval = 15s;

// A running job yields to a waiting one only after this run time, so that stop times stay a small
// share of the total time.
constexpr duration minRunTime = 2min;

// Running jobs, those with the largest queue keys first, that are examined for one that yields to a
// waiting job.
constexpr int maxYieldProbes = 16;

// Blocked jobs per decision that may search for a running job that yields.
constexpr int maxYieldTries = 6;

// Running jobs whose queue key is recomputed on each tick.
constexpr std::size_t renewedPerTick = 64;

// Planning a reservation examines many workers. So it is done at most once per interval, for this
// many jobs, and with this many racks of each failure domain plus two for each task of the gang.
constexpr duration reservationInterval = 20s;
constexpr int reservationsPerInterval = 2;
constexpr std::int32_t reservationRacks = 16;

// A reservation is dropped and planned again if its gang has not started this long after the
// expected time.
constexpr duration reservationTimeout = 5min;

// A cell has at most one reservation per this many workers, and at least one is allowed.
constexpr std::size_t workersPerReservation = 24;

// A job that fails after more than this many attempts is rejected even if none of the failures was
// on a worker known to be healthy.
constexpr std::int32_t maxFailures = 8;

bool sameParts(const std::vector<placed_part> &a, const std::vector<placed_part> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const placed_part &x, const placed_part &y) {
                          return x.worker == y.worker && x.tasks == y.tasks;
                      });
}

// Returns whether a job may be stopped for the job that is being placed.
using stop_rule = std::function<bool(job_index)>;

// Until when an attempt may finish in a failure domain that is out.
struct finish_deadline
{
    time_point at;
    job_key job;
    time_point placedAt; // tells the attempt from later ones of the job
};

class gang_scheduler final : public cell_engine
{
public:
    explicit gang_scheduler(std::string_view name)
        : cell_engine(name)
        , m_free(cell())
        , m_unguaranteed(cell())
        , m_stoppable(cell())
        , m_fastStoppable(cell())
        , m_yielding(cell())
        , m_placement(std::make_unique<best_fit_placement>(cell()))
        , m_order(std::make_unique<aged_work_order>())
        , m_victimCost(std::make_unique<lost_work_cost>())
    { }

    void usageReported(const job_key &key, const worker_id &worker, const resources &used,
                       time_point now) override;
    void tick(time_point now) override;
    capacity_view capacity() const override;

protected:
    void enqueue(job_index index) override;
    void dequeue(job_index index) override
    {
        m_queue.remove(index);
        m_reservations.remove(index);
    }
    bool isQueued(job_index index) const override { return m_queue.contains(index); }
    std::int32_t positionOf(job_index index) const override { return m_queue.positionOf(index); }
    void schedule() override;
    void onConfiguration(const configuration &config) override;
    bool onEnded(job_index index, const stopped_event &event) override;
    void onJobRemoved(job_index index) override;
    // All buckets are tried at once, including those of gangs that use many workers.
    void onServiceChanged(worker_index) override { m_fullPassDue = true; }
    void onPlaced(job_index index) override;

private:
    friend class free_capacity;
    friend class unguaranteed_capacity;
    friend class protected_capacity;
    friend class claimable_capacity;
    friend class reclaimable_capacity;

    struct unit_occupant
    {
        job_index job = 0;
        std::uint64_t serial = 0;
    };

    struct usage_record
    {
        worker_index worker = 0;
        load used; // per task
        std::int32_t tasks = 0;
    };

    using candidates = std::vector<std::pair<double, job_index>>;

    bool mayUse(worker_index worker, const job_entry &entry) const;
    void refreshIndexes();
    void updatePenalty(team_index owner);
    bool startOneUrgent();
    void runUrgent();
    void runClaims();
    std::vector<worker_index> workersOfGrownRacks();
    void runQueue();
    // Returns up to `count` places of unused guarantees of the job's own shape.
    std::vector<std::vector<placed_part>> guaranteedPlaces(const job_entry &entry,
                                                           const capacity_policy &policy,
                                                           std::size_t count) const;
    std::vector<placed_part> cheapestGuaranteedPlace(const job_entry &entry,
                                                     const capacity_policy &policy,
                                                     const stop_rule &mayStop) const;
    victim_set victimsFor(const job_entry &entry, const std::vector<placed_part> &parts,
                          const stop_rule &mayStop) const;
    load claimableCapacity(worker_index worker, const job_entry &entry) const;
    bool isOccupied(std::size_t unit) const;
    void occupyUnit(job_index index);
    void rebuildOccupants();
    bool hasUnusedGuarantee(const job_entry &entry) const;
    bool hasUnoccupiedPlace(const job_entry &entry) const;
    // @param grownWorkers if given, jobs that fit into one rack are tried on these workers only
    bool tryFree(job_index index, const std::vector<worker_index> *grownWorkers = nullptr);
    bool tryMixed(job_index index);
    bool placeOn(job_index index, std::vector<placed_part> parts);
    bool tryClaim(job_index index);
    bool tryUrgent(job_index index, duration stopBound);
    bool tryYield(job_index index);
    bool tryReserved(job_index index);
    bool isLarge(const job_entry &entry) const;
    bool mayBackfill(worker_index worker, const job_entry &entry) const;
    std::vector<worker_index> workersOfLargestRacks(const job_entry &entry) const;
    std::vector<capacity_forecast> forecastCapacity(job_index index) const;
    void renewReservations(const candidates &blocked);
    bool claimWithVictims(job_index index, std::vector<placed_part> parts, stop_reason reason,
                          const stop_rule &mayStop);
    double runningKey(const job_entry &entry) const;
    static duration minRunTimeOf(const job_entry &entry);
    double yieldMargin(const job_entry &waiting, const job_entry &running) const;
    void renewRunning();
    void dropRunning(job_index index);
    bool fitsProtected(const job_entry &entry, const std::vector<placed_part> &parts) const;
    bool isOutsideGuarantee(const job_entry &entry) const;
    stop_rule borrowersFor(const job_entry &claimant, duration stopBound) const;
    stop_rule yieldingTo(job_index index) const;
    bool isMovable(const job_entry &entry) const;
    std::int64_t freeOutside(const std::vector<worker_index> &workers) const;
    void vacateOutDomains();
    void stopAfterFinishDeadline();
    void estimate(job_entry &entry) const;
    duration estimateLeft(const job_entry &entry, duration ran) const;
    queue_facts factsOf(const job_entry &entry) const;
    static bucket_key bucketOf(const job_entry &entry);

    capacity_index m_free; // free capacity
    capacity_index m_unguaranteed; // the part of free capacity that no guarantee needs
    capacity_index m_stoppable; // free capacity, borrowed use and use of stopping jobs
    capacity_index m_fastStoppable; // free capacity and borrowed use that stops for urgent work
    capacity_index m_yielding; // free capacity and use of jobs that can checkpoint or are stopping
    std::unique_ptr<placement_strategy> m_placement;
    std::unique_ptr<queue_order> m_order;
    std::unique_ptr<victim_cost> m_victimCost;
    job_queue m_queue;
    runtime_estimator m_estimator;
    worker_health m_health;
    std::set<bucket_key> m_newBuckets; // buckets with new jobs since the last decision
    std::set<team_index> m_claimTeams; // teams to try claims for in the next decision
    bool m_capacityGrew = true; // some capacity grew since the last decision
    std::vector<worker_index> m_grownWorkers;
    bool m_fullPassDue = false;
    time_point m_nextFullPass;
    std::set<std::string> m_outDomains; // failure domains that are out
    std::deque<finish_deadline> m_finishDeadlines;
    // Usage of jobs that exceeded their declaration.
    std::unordered_map<job_index, std::vector<usage_record>> m_usage;
    std::set<job_index> m_exceeded; // jobs that were stopped for exceeding it
    std::uint64_t m_examinedJobs = 0;
    // Jobs that occupy guaranteed places, by position in the ledger's units.
    std::unordered_map<std::size_t, unit_occupant> m_occupants;
    reservation_table m_reservations;
    time_point m_nextReservation;
    std::int64_t m_largestWorker = 1; // most accelerators on one worker seen so far
    // Running jobs that can checkpoint and are not urgent, by the key that they would have in the
    // queue.
    std::set<std::pair<double, job_index>> m_running;
    std::unordered_map<job_index, double> m_runningKey;
    job_index m_renewNext = 0;
};

// Free capacity that a job may use.
class free_capacity final : public capacity_policy
{
public:
    free_capacity(const gang_scheduler &engine, const job_entry &entry)
        : m_engine(engine)
        , m_entry(entry)
    { }
    load usable(worker_index w) const override
    {
        return m_engine.mayUse(w, m_entry) ? m_engine.m_free.capacity(w) : load{};
    }

private:
    const gang_scheduler &m_engine;
    const job_entry &m_entry;
};

// Free capacity outside all guarantees.
class unguaranteed_capacity final : public capacity_policy
{
public:
    unguaranteed_capacity(const gang_scheduler &engine, const job_entry &entry)
        : m_engine(engine)
        , m_entry(entry)
    { }
    load usable(worker_index w) const override
    {
        return m_engine.mayUse(w, m_entry) ? m_engine.m_unguaranteed.capacity(w) : load{};
    }

private:
    const gang_scheduler &m_engine;
    const job_entry &m_entry;
};

// Free capacity within the team's guarantee or outside all guarantees.
class protected_capacity final : public capacity_policy
{
public:
    protected_capacity(const gang_scheduler &engine, const job_entry &entry)
        : m_engine(engine)
        , m_entry(entry)
    { }
    load usable(worker_index w) const override
    {
        if (!m_engine.mayUse(w, m_entry))
            return {};
        return minOf(m_engine.m_free.capacity(w), m_engine.ledger().headroom(w, m_entry.team));
    }

private:
    const gang_scheduler &m_engine;
    const job_entry &m_entry;
};

// Free capacity and the use of jobs that may be stopped.
class reclaimable_capacity final : public capacity_policy
{
public:
    // @param onlyGuarantee limits the capacity to what the team may claim of its guarantee
    reclaimable_capacity(const gang_scheduler &engine, const job_entry &entry,
                         const stop_rule &mayStop, bool onlyGuarantee)
        : m_engine(engine)
        , m_entry(entry)
        , m_mayStop(mayStop)
        , m_onlyGuarantee(onlyGuarantee)
    { }
    load usable(worker_index w) const override
    {
        // A claim of a guarantee is allowed on a worker that is being probed.
        const bool allowed
            = m_onlyGuarantee ? m_engine.cell().at(w).inService() : m_engine.mayUse(w, m_entry);
        if (!allowed)
            return {};
        load capacity = m_engine.cell().at(w).free();
        for (const job_index other : m_engine.jobsOn(w)) {
            const job_entry &victim = m_engine.job(other);
            for (const placed_part &part : victim.parts) {
                if (part.worker == w && m_mayStop(other))
                    capacity += victim.perTask * part.tasks;
            }
        }
        if (m_onlyGuarantee)
            return minOf(capacity, m_engine.claimableCapacity(w, m_entry));
        if (!m_entry.spec.preemptible())
            capacity = minOf(capacity, m_engine.ledger().headroom(w, m_entry.team));
        return capacity;
    }

private:
    const gang_scheduler &m_engine;
    const job_entry &m_entry;
    const stop_rule &m_mayStop;
    bool m_onlyGuarantee;
};

// --- queue ---

// Returns the estimated remaining run time.
// @param ran run time of the current attempt, zero for a waiting job
duration gang_scheduler::estimateLeft(const job_entry &entry, duration ran) const
{
    constexpr double minProgressForSpeed = 0.05;
    const duration total = entry.savedRunTime + ran;
    if (entry.progress < minProgressForSpeed || entry.savedRunTime <= 0ms)
        return runtime_estimator::remaining(entry.estimated, total);
    // The progress in the checkpoint gives the speed of the job.
    const duration whole
        = duration(std::int64_t(double(entry.savedRunTime.count()) / entry.progress));
    constexpr int minShareDivisor = 20;
    return std::max(whole - total, total / minShareDivisor);
}

queue_facts gang_scheduler::factsOf(const job_entry &entry) const
{
    const bool runs = entry.state == run_state::Running || entry.state == run_state::Stopping;
    queue_facts facts;
    facts.queuedAt = entry.queuedAt;
    facts.remaining = estimateLeft(entry, runs ? now() - entry.placedAt : 0ms);
    facts.accelerators = entry.total().accelerators();
    facts.weight = entry.classWeight;
    return facts;
}

bucket_key gang_scheduler::bucketOf(const job_entry &entry)
{
    bucket_key key;
    key.urgent = entry.urgent;
    key.preemptible = entry.spec.preemptible();
    key.closeness = entry.spec.tasks == 1 ? adjacency::Worker : entry.spec.closeness;
    key.accelerators = std::int32_t(entry.perTask.accelerators());
    key.tasks = taskClass(entry.spec.tasks);
    // Doublings of the need in units of 1 core or 4 GiB, whichever needs more units, so that a job
    // with a small need is not blocked by one with a large need.
    const double units = std::max(double(entry.spec.perTask.cores) / 1000,
                                  double(entry.spec.perTask.memory) / 4096);
    key.share = std::int32_t(std::ceil(std::log2(std::max(1.0, units))));
    return key;
}

void gang_scheduler::estimate(job_entry &entry) const
{
    constexpr double medianQuantile = 0.5;
    constexpr double cautiousQuantile = 0.8;
    entry.estimated = m_estimator.estimate(entry.spec, medianQuantile);
    entry.conservativeEstimate = m_estimator.estimate(entry.spec, cautiousQuantile);
}

void gang_scheduler::enqueue(job_index index)
{
    job_entry &entry = job(index);
    estimate(entry);
    const bucket_key key = bucketOf(entry);
    m_queue.add(index, entry.team, key, m_order->key(factsOf(entry)));
    m_newBuckets.insert(key);
    m_claimTeams.insert(entry.team);
}

void gang_scheduler::updatePenalty(team_index owner)
{
    const team_state &state = team(owner);
    const double used = double(std::max<std::int64_t>(1, state.inUse.accelerators()));
    const double own = double(std::max<std::int64_t>(1, state.guaranteed.accelerators()));
    const double doublings = std::floor(std::log2(std::max(1.0, used / own)));
    m_queue.setPenalty(owner, doublings * overusePenalty);
}

// --- indexes ---

// Returns whether the job may be placed on the worker. A worker that is being probed takes one job
// at a time, and a job is not placed again on a worker where it failed recently.
bool gang_scheduler::mayUse(worker_index worker, const job_entry &entry) const
{
    if (!cell().at(worker).inService())
        return false;
    if (m_health.isProbing(worker) && !jobsOn(worker).empty())
        return false;
    return !m_health.failedOn(entry.serial, worker, now()) && mayBackfill(worker, entry);
}

// Returns whether the reservation of the worker, if any, allows the job. Work on a reserved worker
// must end before the expected start of the gang, or be stoppable without loss. The owner of an
// unused guarantee there and urgent work are always allowed.
bool gang_scheduler::mayBackfill(worker_index worker, const job_entry &entry) const
{
    const job_index holder = m_reservations.holderOf(worker);
    if (holder == reservation_table::none || &job(holder) == &entry || entry.urgent
        || entry.spec.canCheckpoint)
        return true;
    if (ledger().unusedGuarantee(worker, entry.team).accelerators() > 0)
        return true;
    return now() + entry.conservativeEstimate <= m_reservations.find(holder)->expected;
}

void gang_scheduler::refreshIndexes()
{
    for (const worker_index w : takeChangedWorkers()) {
        const worker_state &worker = cell().at(w);
        if (!worker.inService()) {
            m_free.set(w, {});
            m_unguaranteed.set(w, {});
            m_stoppable.set(w, {});
            m_fastStoppable.set(w, {});
            m_yielding.set(w, {});
            continue;
        }
        m_largestWorker = std::max(m_largestWorker, worker.capacity.accelerators());
        const load free = worker.free();
        load stoppable = free;
        load fastStoppable = free;
        load yielding = free;
        for (const job_index index : jobsOn(w)) {
            const job_entry &entry = job(index);
            const bool stops = entry.state == run_state::Stopping;
            for (const placed_part &part : entry.parts) {
                if (part.worker != w)
                    continue;
                if (stops || entry.use == use_kind::Borrowed)
                    stoppable += entry.perTask * part.tasks;
                if (entry.use == use_kind::Borrowed && entry.spec.stopTime <= urgentStopBound)
                    fastStoppable += entry.perTask * part.tasks;
                if (stops || (entry.state == run_state::Running && entry.spec.canCheckpoint))
                    yielding += entry.perTask * part.tasks;
            }
        }
        constexpr team_index noTeam = -1;
        const load unguaranteed = minOf(free, ledger().headroom(w, noTeam));
        const bool grew = !m_free.capacity(w).covers(maxOf(free, {}))
            || !m_unguaranteed.capacity(w).covers(maxOf(unguaranteed, {}));
        m_capacityGrew = m_capacityGrew || grew;
        if (grew)
            m_grownWorkers.push_back(w);
        m_free.set(w, free);
        m_unguaranteed.set(w, unguaranteed);
        m_stoppable.set(w, stoppable);
        m_fastStoppable.set(w, fastStoppable);
        m_yielding.set(w, yielding);
        for (const guarantee_ledger::share &s : ledger().sharesOn(w)) {
            if (s.guaranteed != load{})
                m_claimTeams.insert(s.team);
        }
    }
}

// --- decisions ---

bool gang_scheduler::fitsProtected(const job_entry &entry,
                                   const std::vector<placed_part> &parts) const
{
    return std::all_of(parts.begin(), parts.end(), [&](const placed_part &part) {
        return ledger().headroom(part.worker, entry.team).covers(entry.perTask * part.tasks);
    });
}

// Returns whether a job of the guaranteed shape runs in the place of the unit. The amounts in the
// ledger do not distinguish two units on one worker, so the occupants are recorded here.
bool gang_scheduler::isOccupied(std::size_t unit) const
{
    const auto found = m_occupants.find(unit);
    return found != m_occupants.end() && job(found->second.job).serial == found->second.serial
        && sameParts(job(found->second.job).parts, ledger().units()[unit].parts);
}

void gang_scheduler::occupyUnit(job_index index)
{
    const job_entry &entry = job(index);
    for (const std::size_t i : ledger().unitsOf(entry.team)) {
        const guarantee_unit &unit = ledger().units()[i];
        if (unit.tasks != entry.spec.tasks || unit.perTask != entry.perTask
            || !sameParts(entry.parts, unit.parts) || isOccupied(i))
            continue;
        m_occupants[i] = {index, entry.serial};
        return;
    }
}

void gang_scheduler::rebuildOccupants()
{
    m_occupants.clear();
    for (job_index index = 0; index < jobLimit(); ++index) {
        if (!job(index).parts.empty())
            occupyUnit(index);
    }
}

// Returns what the team may claim on a worker of its guarantee. A job of the team that runs outside
// the guaranteed place on that worker is counted as using the guarantee. So a team whose total use
// stays below its total guarantee may also claim the capacity outside that place.
load gang_scheduler::claimableCapacity(worker_index worker, const job_entry &entry) const
{
    const team_state &owner = team(entry.team);
    const bool entitled = owner.guaranteed.covers(owner.inUse + entry.total());
    return entitled ? ledger().headroom(worker, entry.team)
                    : ledger().unusedGuarantee(worker, entry.team);
}

// Returns whether a guarantee of the job's shape has a place that no job occupies. Then the job
// must not use the capacity of the team's other guarantees.
bool gang_scheduler::hasUnoccupiedPlace(const job_entry &entry) const
{
    for (const std::size_t i : ledger().unitsOf(entry.team)) {
        const guarantee_unit &unit = ledger().units()[i];
        if (unit.tasks == entry.spec.tasks && unit.perTask == entry.perTask && !unit.parts.empty()
            && !isOccupied(i))
            return true;
    }
    return false;
}

// Jobs of a guaranteed shape use the place of one whole guarantee, so that the places of the team's
// other guarantees stay usable for their shapes.
std::vector<std::vector<placed_part>>
gang_scheduler::guaranteedPlaces(const job_entry &entry, const capacity_policy &policy,
                                 std::size_t count) const
{
    std::vector<std::vector<placed_part>> places;
    for (const std::size_t i : ledger().unitsOf(entry.team)) {
        const guarantee_unit &unit = ledger().units()[i];
        if (unit.tasks != entry.spec.tasks || unit.perTask != entry.perTask
            || unit.closeness < entry.spec.closeness || isOccupied(i))
            continue;
        const bool fits = !unit.parts.empty()
            && std::all_of(unit.parts.begin(), unit.parts.end(), [&](const placed_part &part) {
                   const load need = entry.perTask * part.tasks;
                   return claimableCapacity(part.worker, entry).covers(need)
                       && policy.usable(part.worker).covers(need);
               });
        if (fits)
            places.push_back(unit.parts);
        if (places.size() == count)
            break;
    }
    return places;
}

bool gang_scheduler::placeOn(job_index index, std::vector<placed_part> parts)
{
    if (parts.empty())
        return false;
    const use_kind use
        = fitsProtected(job(index), parts) ? use_kind::Protected : use_kind::Borrowed;
    place(index, std::move(parts), use);
    occupyUnit(index);
    return true;
}

bool gang_scheduler::tryFree(job_index index, const std::vector<worker_index> *grownWorkers)
{
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    if (!m_free.mayFit(request.perTask, request.tasks, request.closeness))
        return false;
    const protected_capacity policy(*this, entry);
    const bool isLocal = entry.spec.tasks == 1 || entry.spec.closeness >= adjacency::Rack;
    if (grownWorkers && isLocal) {
        std::vector<placed_part> parts = m_placement->findAmong(request, *grownWorkers, policy);
        if (parts.empty() && entry.spec.preemptible())
            parts = m_placement->findAmong(request, *grownWorkers, free_capacity(*this, entry));
        return placeOn(index, std::move(parts));
    }
    std::vector<placed_part> parts;
    for (std::vector<placed_part> &place : guaranteedPlaces(entry, policy, 1))
        parts = std::move(place);
    if (parts.empty() && !hasUnoccupiedPlace(entry))
        parts = m_placement->findAmong(request, ledger().workersOf(entry.team), policy);
    if (parts.empty())
        parts = m_placement->find(request, m_unguaranteed, unguaranteed_capacity(*this, entry));
    if (parts.empty() && entry.spec.preemptible())
        parts = m_placement->find(request, m_free, free_capacity(*this, entry));
    return placeOn(index, std::move(parts));
}

// Places a job that is not preemptible partly on its team's guarantee and partly on capacity that
// no guarantee needs.
bool gang_scheduler::tryMixed(job_index index)
{
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    if (entry.spec.preemptible())
        return false;
    return placeOn(index, m_placement->find(request, m_free, protected_capacity(*this, entry)));
}

stop_rule gang_scheduler::borrowersFor(const job_entry &claimant, duration stopBound) const
{
    return [this, &claimant, stopBound](job_index index) {
        const job_entry &victim = job(index);
        if (victim.state == run_state::Stopping)
            return stopBound == duration::max()
                || now() + stopBound >= victim.stopSentAt + victim.spec.stopTime;
        if (victim.use != use_kind::Borrowed || (victim.urgent && claimant.urgent))
            return false;
        // A borrower that still waits for others to stop is not running and can be stopped at once.
        return victim.state == run_state::Claiming
            || (victim.state == run_state::Running && victim.spec.stopTime <= stopBound);
    };
}

// Returns whether no part of the job runs inside its own team's guarantee.
bool gang_scheduler::isOutsideGuarantee(const job_entry &entry) const
{
    return entry.use == use_kind::Borrowed
        || std::all_of(entry.parts.begin(), entry.parts.end(), [&](const placed_part &part) {
               return ledger().hasStoppableExcess(part.worker, entry.team);
           });
}

// Returns the key that a running job would have in the queue.
double gang_scheduler::runningKey(const job_entry &entry) const
{
    return m_order->key(factsOf(entry)) + m_queue.penaltyOf(entry.team);
}

// Returns by how much the key of a waiting job must be below that of a running one that yields to
// it. The work of the waiting job counts a second time, since its estimate may be too short. The
// stop time and a minimum run time of the running job are added, since a stop costs capacity.
double gang_scheduler::yieldMargin(const job_entry &waiting, const job_entry &running) const
{
    const queue_facts facts = factsOf(waiting);
    const double width = double(std::max<std::int64_t>(1, facts.accelerators));
    const double runningWidth = double(std::max<std::int64_t>(1, running.total().accelerators()));
    return double(facts.remaining.count()) * width / double(facts.weight)
        + double(running.spec.stopTime.count() + minRunTime.count()) * runningWidth;
}

// Returns the run time after which the job may yield. It doubles each time that the job yields, so
// that two jobs cannot keep stopping each other.
duration gang_scheduler::minRunTimeOf(const job_entry &entry)
{
    constexpr std::int32_t maxDoublings = 12;
    return minRunTime * (1 << std::min(entry.yields, maxDoublings));
}

stop_rule gang_scheduler::yieldingTo(job_index index) const
{
    const double order = m_queue.orderOf(index);
    return [this, index, order](job_index other) {
        const job_entry &victim = job(other);
        if (victim.state == run_state::Stopping)
            return true;
        return victim.state == run_state::Running && victim.spec.canCheckpoint && !victim.urgent
            && now() - victim.placedAt >= minRunTimeOf(victim)
            && (victim.team == job(index).team || isOutsideGuarantee(victim))
            && order + yieldMargin(job(index), victim) < runningKey(victim);
    };
}

victim_set gang_scheduler::victimsFor(const job_entry &entry, const std::vector<placed_part> &parts,
                                      const stop_rule &mayStop) const
{
    std::vector<shortage> shortages;
    std::set<job_index> seen;
    std::vector<victim_candidate> found;
    for (const placed_part &part : parts) {
        const load missing = entry.perTask * part.tasks - cell().at(part.worker).free();
        if (load{}.covers(missing))
            continue;
        shortages.push_back({part.worker, missing});
        for (const job_index other : jobsOn(part.worker)) {
            const job_entry &victim = job(other);
            if (!mayStop(other) || !seen.insert(other).second)
                continue;
            const double cost
                = victim.state != run_state::Running ? 0 : m_victimCost->of(victim, now());
            found.push_back({other, cost, victim.perTask, victim.parts});
        }
    }
    return chooseVictims(shortages, found);
}

bool gang_scheduler::claimWithVictims(job_index index, std::vector<placed_part> parts,
                                      stop_reason reason, const stop_rule &mayStop)
{
    const job_entry &entry = job(index);
    const victim_set victims = victimsFor(entry, parts, mayStop);
    if (!victims.isEnough)
        return false;
    const use_kind use = fitsProtected(entry, parts) ? use_kind::Protected : use_kind::Borrowed;
    if (use == use_kind::Borrowed && !entry.spec.preemptible())
        return false;
    if (reason == stop_reason::Move) {
        for (const job_index victim : victims.jobs)
            ++job(victim).yields;
    }
    if (victims.jobs.empty())
        place(index, std::move(parts), use);
    else
        claim(index, std::move(parts), use, victims.jobs, reason);
    occupyUnit(index);
    return true;
}

// Returns the guaranteed place whose borrowers would lose the least work, or nothing.
std::vector<placed_part> gang_scheduler::cheapestGuaranteedPlace(const job_entry &entry,
                                                                 const capacity_policy &policy,
                                                                 const stop_rule &mayStop) const
{
    std::vector<placed_part> best;
    double bestCost = 0;
    for (std::vector<placed_part> &parts : guaranteedPlaces(entry, policy, maxPlacesCompared)) {
        const victim_set victims = victimsFor(entry, parts, mayStop);
        if (!victims.isEnough || (!best.empty() && victims.cost >= bestCost))
            continue;
        bestCost = victims.cost;
        best = std::move(parts);
    }
    return best;
}

bool gang_scheduler::tryClaim(job_index index)
{
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    const stop_rule mayStop = borrowersFor(entry, duration::max());
    const reclaimable_capacity policy(*this, entry, mayStop, true);
    std::vector<placed_part> parts = cheapestGuaranteedPlace(entry, policy, mayStop);
    if (parts.empty() && !hasUnoccupiedPlace(entry))
        parts = m_placement->findAmong(request, ledger().workersOf(entry.team), policy);
    return !parts.empty()
        && claimWithVictims(index, std::move(parts), stop_reason::Reclaim, mayStop);
}

bool gang_scheduler::tryUrgent(job_index index, duration stopBound)
{
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    const stop_rule mayStop = borrowersFor(entry, stopBound);
    const capacity_index &where = stopBound <= urgentStopBound ? m_fastStoppable : m_stoppable;
    std::vector<placed_part> parts
        = m_placement->find(request, where, reclaimable_capacity(*this, entry, mayStop, false));
    return !parts.empty()
        && claimWithVictims(index, std::move(parts), stop_reason::Urgent, mayStop);
}

// Stops jobs that can checkpoint and have much more work left than the waiting one.
bool gang_scheduler::tryYield(job_index index)
{
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    if (m_running.empty() || !m_yielding.mayFit(request.perTask, request.tasks, request.closeness))
        return false;
    const stop_rule mayStop = yieldingTo(index);
    const reclaimable_capacity policy(*this, entry, mayStop, false);
    std::vector<placed_part> parts;
    int probes = 0;
    for (auto it = m_running.rbegin(); it != m_running.rend() && parts.empty(); ++it) {
        ++m_examinedJobs;
        if (++probes > maxYieldProbes || it->first <= m_queue.orderOf(index))
            break;
        if (!mayStop(it->second))
            continue;
        std::vector<worker_index> workers;
        for (const placed_part &part : job(it->second).parts)
            workers.push_back(part.worker);
        parts = m_placement->findAmong(request, workers, policy);
    }
    if (parts.empty() && request.tasks > 1)
        parts = m_placement->find(request, m_yielding, policy);
    return !parts.empty() && claimWithVictims(index, std::move(parts), stop_reason::Move, mayStop);
}

// Returns whether the job may need a reservation: it has several tasks, or one task that needs more
// than one accelerator and more than half of the largest worker.
bool gang_scheduler::isLarge(const job_entry &entry) const
{
    return entry.spec.tasks > 1
        || entry.perTask.accelerators() * 2 > std::max<std::int64_t>(2, m_largestWorker);
}

// Returns whether the job may be stopped in order to start again at once on another worker. This
// also applies inside its team's guarantee, because the team can claim the guarantee for it.
bool gang_scheduler::isMovable(const job_entry &entry) const
{
    return entry.state == run_state::Running && entry.spec.canCheckpoint && !entry.urgent
        && entry.parts.size() == 1 && now() - entry.placedAt >= minRunTimeOf(entry)
        && m_free.mayFit(entry.perTask, entry.spec.tasks, adjacency::Worker);
}

std::int64_t gang_scheduler::freeOutside(const std::vector<worker_index> &workers) const
{
    std::int64_t free = m_free.totalAccelerators();
    for (const worker_index w : workers)
        free -= m_free.capacity(w).accelerators();
    return free;
}

// Places a job with a reservation: stops the backfilled jobs on its reserved workers that can
// checkpoint, and moves jobs that fit elsewhere. A move costs the stop time but loses no work.
bool gang_scheduler::tryReserved(job_index index)
{
    const reservation *reserved = m_reservations.find(index);
    if (!reserved)
        return false;
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    const stop_rule yields = yieldingTo(index);
    const std::int64_t free = freeOutside(reserved->workers);
    const stop_rule mayStop = [&](job_index other) {
        const job_entry &victim = job(other);
        const bool backfilled = victim.state == run_state::Running && victim.spec.canCheckpoint
            && !victim.urgent && now() - victim.placedAt >= minRunTimeOf(victim)
            && victim.backfilledFor == index && isOutsideGuarantee(victim);
        return backfilled || yields(other)
            || (victim.total().accelerators() <= free && isMovable(victim));
    };
    const reclaimable_capacity policy(*this, entry, mayStop, false);
    std::vector<placed_part> parts = m_placement->findAmong(request, reserved->workers, policy);
    return !parts.empty() && claimWithVictims(index, std::move(parts), stop_reason::Move, mayStop);
}

// Returns the workers of the racks with the most capacity, where the use of jobs that can
// checkpoint counts as free.
std::vector<worker_index> gang_scheduler::workersOfLargestRacks(const job_entry &entry) const
{
    std::vector<worker_index> workers;
    for (domain_index d = 0; std::size_t(d) < m_yielding.domainCount(); ++d) {
        std::int32_t left = reservationRacks + 2 * entry.spec.tasks;
        const auto &racks = m_yielding.racksOf(d);
        for (auto it = racks.rbegin(); it != racks.rend() && left-- > 0; ++it) {
            const std::vector<worker_index> &here = cell().racks()[std::size_t(it->second)].workers;
            workers.insert(workers.end(), here.begin(), here.end());
        }
    }
    return workers;
}

// Returns the times at which each worker can take more tasks of the job, if nothing else starts
// there.
std::vector<capacity_forecast> gang_scheduler::forecastCapacity(job_index index) const
{
    const job_entry &entry = job(index);
    const stop_rule yields = yieldingTo(index);
    std::vector<capacity_forecast> forecasts;
    std::vector<std::pair<time_point, load>> ends;
    for (const worker_index w : workersOfLargestRacks(entry)) {
        const job_index holder = m_reservations.holderOf(w);
        if (!cell().at(w).inService() || (holder != reservation_table::none && holder != index))
            continue;
        load capacity = cell().at(w).free();
        ends.clear();
        for (const job_index other : jobsOn(w)) {
            const job_entry &running = job(other);
            load amount;
            for (const placed_part &part : running.parts) {
                if (part.worker == w)
                    amount += running.perTask * part.tasks;
            }
            if (yields(other) || isMovable(running)) {
                capacity += amount;
                continue;
            }
            const duration left = factsOf(running).remaining;
            ends.emplace_back(now() + left, amount);
        }
        std::sort(ends.begin(), ends.end(),
                  [](const auto &a, const auto &b) { return a.first < b.first; });
        load permitted = cell().at(w).capacity;
        if (!entry.spec.preemptible()) {
            for (const guarantee_ledger::share &s : ledger().sharesOn(w))
                permitted -= s.team == entry.team ? load{} : s.guaranteed;
        }
        std::int64_t counted = 0;
        const auto offer = [&](time_point when) {
            const std::int64_t fits = fitCount(minOf(capacity, permitted), entry.perTask);
            if (fits > counted)
                forecasts.push_back({when, w, fits - counted});
            counted = std::max(counted, fits);
        };
        offer(now());
        for (const auto &[when, amount] : ends) {
            capacity += amount;
            offer(when);
        }
    }
    return forecasts;
}

// Drops outdated reservations and plans new ones for the large jobs at the head of the queue.
// @param blocked jobs that did not fit, in the order of the queue
void gang_scheduler::renewReservations(const candidates &blocked)
{
    if (now() < m_nextReservation)
        return;
    m_nextReservation = now() + reservationInterval;
    const std::size_t limit
        = std::max<std::size_t>(1, cell().workers().size() / workersPerReservation);
    std::set<job_index> keep;
    for (const auto &[order, index] : blocked) {
        if (keep.size() >= limit || !isLarge(job(index)))
            break;
        keep.insert(index);
    }
    for (const job_index index : m_reservations.jobs()) {
        const bool late = now() > m_reservations.find(index)->expected + reservationTimeout;
        if (keep.count(index) == 0 || late)
            m_reservations.remove(index);
    }
    // One job is passed over, and those after it are planned. All of eight ways to keep to
    // reservationsPerInterval, or to remove it, made 1 to 10 urgent jobs of the target burst start
    // later than 3 s (policy_bounds.urgentStartsInTimeInLargeCell).
    int planned = 0;
    for (const job_index index : keep) {
        if (m_reservations.find(index) || planned++ == reservationsPerInterval)
            continue;
        const job_entry &entry = job(index);
        const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
        if (std::optional<reservation> best
            = planReservation(cell(), request, forecastCapacity(index)))
            m_reservations.add(index, std::move(*best));
    }
}

void gang_scheduler::dropRunning(job_index index)
{
    const auto found = m_runningKey.find(index);
    if (found == m_runningKey.end())
        return;
    m_running.erase({found->second, index});
    m_runningKey.erase(found);
}

// Recomputes the keys of some running jobs, since an estimate grows when a job runs longer than it.
void gang_scheduler::renewRunning()
{
    for (std::size_t i = 0; i < renewedPerTick && m_renewNext < jobLimit(); ++i, ++m_renewNext) {
        const auto found = m_runningKey.find(m_renewNext);
        if (found == m_runningKey.end())
            continue;
        m_running.erase({found->second, m_renewNext});
        found->second = runningKey(job(m_renewNext));
        m_running.insert({found->second, m_renewNext});
    }
    if (m_renewNext >= jobLimit())
        m_renewNext = 0;
}

bool gang_scheduler::startOneUrgent()
{
    candidates jobs;
    for (const auto &[key, bucket] : m_queue.buckets()) {
        if (key.urgent)
            m_queue.firstOf(bucket, urgentTriesPerBucket, jobs);
    }
    std::sort(jobs.begin(), jobs.end());
    for (const auto &[order, index] : jobs) {
        ++m_examinedJobs;
        if (!quotaAllows(job(index)))
            continue;
        if (tryFree(index) || tryUrgent(index, urgentStopBound) || tryClaim(index)
            || tryUrgent(index, duration::max()) || tryMixed(index))
            return true;
    }
    return false;
}

void gang_scheduler::runUrgent()
{
    while (startOneUrgent())
        refreshIndexes();
}

bool gang_scheduler::hasUnusedGuarantee(const job_entry &entry) const
{
    const load need = entry.total();
    load unused;
    for (const worker_index w : ledger().workersOf(entry.team)) {
        unused += maxOf(claimableCapacity(w, entry), {});
        if (unused.covers(need))
            return true;
    }
    return false;
}

// Tries to place jobs on their teams' guarantees, where teams may have become able to claim since
// the last decision.
void gang_scheduler::runClaims()
{
    while (!m_claimTeams.empty()) {
        const team_index owner = *m_claimTeams.begin();
        m_claimTeams.erase(m_claimTeams.begin());
        if (ledger().workersOf(owner).empty())
            continue;
        candidates jobs;
        m_queue.firstOfOwner(owner, claimTries, jobs);
        std::sort(jobs.begin(), jobs.end());
        for (const auto &[order, index] : jobs) {
            ++m_examinedJobs;
            if (!quotaAllows(job(index)) || !hasUnusedGuarantee(job(index))
                || !(tryFree(index) || tryClaim(index) || tryMixed(index)))
                continue;
            refreshIndexes(); // also adds the teams with guarantees on changed workers
            m_claimTeams.insert(owner);
            break;
        }
    }
}

// Returns the workers of the racks where capacity grew since the last decision.
std::vector<worker_index> gang_scheduler::workersOfGrownRacks()
{
    std::set<rack_index> racks;
    for (const worker_index w : std::exchange(m_grownWorkers, {}))
        racks.insert(cell().at(w).rack);
    std::vector<worker_index> workers;
    for (const rack_index rack : racks) {
        const std::vector<worker_index> &here = cell().racks()[std::size_t(rack)].workers;
        workers.insert(workers.end(), here.begin(), here.end());
    }
    return workers;
}

// Tries the buckets with new jobs, or all buckets if capacity grew or a full pass is due. Only a
// full pass lets every bucket stop running jobs and renews the reservations.
void gang_scheduler::runQueue()
{
    const bool mayYield = std::exchange(m_fullPassDue, false);
    const bool all = std::exchange(m_capacityGrew, false) || mayYield;
    const std::set<bucket_key> newBuckets = std::exchange(m_newBuckets, {});
    const std::vector<worker_index> grownWorkers = workersOfGrownRacks();
    std::set<std::tuple<double, job_index, const job_queue::bucket *>> heads;
    candidates blocked;
    const auto offer = [&](const job_queue::bucket &bucket) {
        const bucket_key &key = bucket.key;
        if (key.urgent)
            return;
        candidates first;
        m_queue.firstOf(bucket, 1, first);
        const bool thorough = mayYield || newBuckets.count(key) > 0;
        const bool isLocal = key.tasks == 1 || key.closeness >= adjacency::Rack;
        if (!thorough && !isLocal)
            return; // the gang may use many workers, so it waits for the next full pass
        // Other jobs of the bucket may have fewer tasks than the first, and need down to half of
        // its cores and memory.
        const std::int32_t tasks = minTasksOfClass(key.tasks);
        load least = job(first.front().second).perTask;
        for (const std::size_t i : {load::coresIndex, load::memoryIndex})
            least.v[i] /= 2;
        const bool mayFit = m_free.mayFit(least, tasks, key.closeness)
            || (thorough && m_yielding.mayFit(least, tasks, key.closeness));
        if (mayFit)
            heads.insert({first.front().first, first.front().second, &bucket});
        else
            blocked.push_back(first.front());
    };
    for (const auto &[key, bucket] : m_queue.buckets()) {
        if (all || newBuckets.count(key) > 0)
            offer(bucket);
    }
    candidates jobs;
    int yieldTries = 0;
    while (!heads.empty()) {
        const job_queue::bucket *bucket = std::get<2>(*heads.begin());
        const bucket_key key = bucket->key;
        heads.erase(heads.begin());
        jobs.clear();
        m_queue.firstOf(*bucket, triesPerBucket, jobs);
        const bool onlyGrown = !mayYield && newBuckets.count(key) == 0;
        bool first = true;
        for (const auto &[order, index] : jobs) {
            ++m_examinedJobs;
            if (!quotaAllows(job(index)))
                continue;
            const bool triesYield = first && (mayYield || newBuckets.count(key) > 0);
            const bool started = tryFree(index, onlyGrown ? &grownWorkers : nullptr)
                || (!onlyGrown && tryMixed(index)) || tryReserved(index)
                || (triesYield && ++yieldTries <= maxYieldTries && tryYield(index));
            if (!started) {
                if (std::exchange(first, false))
                    blocked.emplace_back(order, index);
                continue;
            }
            refreshIndexes();
            const auto left = m_queue.buckets().find(key);
            if (left != m_queue.buckets().end())
                offer(left->second);
            break;
        }
    }
    if (mayYield) {
        std::sort(blocked.begin(), blocked.end());
        renewReservations(blocked);
    }
}

void gang_scheduler::schedule()
{
    if (m_queue.isEmpty()) {
        refreshIndexes();
        return;
    }
    refreshIndexes();
    runUrgent();
    runClaims();
    runQueue();
}

// --- events ---

void gang_scheduler::onPlaced(job_index index)
{
    if (job(index).estimated == 0ms) // an adopted job was never queued
        estimate(job(index));
    m_reservations.remove(index);
    job(index).backfilledFor = reservation_table::none;
    for (const placed_part &part : job(index).parts) {
        if (m_reservations.holderOf(part.worker) != reservation_table::none)
            job(index).backfilledFor = m_reservations.holderOf(part.worker);
    }
    if (job(index).spec.canCheckpoint && !job(index).urgent) {
        const double key = runningKey(job(index));
        m_running.insert({key, index});
        m_runningKey[index] = key;
    }
    updatePenalty(job(index).team);
}

bool gang_scheduler::onEnded(job_index index, const stopped_event &event)
{
    job_entry &entry = job(index);
    dropRunning(index);
    m_usage.erase(index);
    const duration ran = now() - entry.placedAt;
    if (event.how == stop_result::Finished) {
        constexpr double smallest = 0.01;
        const double share = std::max(smallest, 1 - entry.progress);
        m_estimator.finished(entry.spec, duration(std::int64_t(double(ran.count()) / share)));
        for (const placed_part &part : entry.parts)
            m_health.succeeded(part.worker);
    }
    if (m_exceeded.erase(index) > 0 && event.requeue) {
        reject(index, code::ExceededDeclaration,
               "a task used more than it declared, and more than was free on its worker");
        return false;
    }
    if (event.how != stop_result::Failed)
        return true;
    const worker_index worker = cell().find(event.failedOn);
    if (worker != topology::none
        && m_health.failed(worker, entry.serial, now()) == health_change::Quarantine)
        block(worker, block_reason::Quarantined, true);
    const std::size_t failures = m_health.healthyFailures(entry.serial);
    if (!event.requeue
        || (failures < worker_health::jobFailureLimit && entry.attempts <= maxFailures))
        return true;
    reject(index, code::FailedOnSeveralWorkers,
           "a task failed on " + std::to_string(failures) + " healthy workers in "
               + std::to_string(entry.attempts) + " attempts");
    return false;
}

void gang_scheduler::onJobRemoved(job_index index)
{
    updatePenalty(job(index).team);
    m_health.forgetJob(job(index).serial);
}

void gang_scheduler::onConfiguration(const configuration &config)
{
    m_outDomains = config.domainsOut;
    m_fullPassDue = true;
    rebuildOccupants();
    vacateOutDomains();
}

// Stops preemptible jobs in failure domains that are out, except those that have little work left
// and cannot checkpoint (finishInsteadOfMove). Jobs that are not preemptible run to their end.
void gang_scheduler::vacateOutDomains()
{
    if (m_outDomains.empty())
        return;
    for (const domain_state &domain : cell().domains()) {
        if (m_outDomains.count(domain.name) == 0)
            continue;
        for (const rack_index rack : domain.racks) {
            for (const worker_index w : cell().racks()[std::size_t(rack)].workers) {
                for (const job_index index : jobsOn(w)) {
                    const job_entry &entry = job(index);
                    if (entry.state != run_state::Running || !entry.spec.preemptible())
                        continue;
                    const duration left = factsOf(entry).remaining;
                    if (entry.spec.canCheckpoint || left > finishInsteadOfMove)
                        stop(index, stop_reason::DomainOut);
                    else
                        m_finishDeadlines.push_back(
                            {now() + finishInsteadOfMove, entry.spec.key, entry.placedAt});
                }
            }
        }
    }
}

// Stops jobs that were allowed to finish in a domain that is out but did not do so in time.
void gang_scheduler::stopAfterFinishDeadline()
{
    while (!m_finishDeadlines.empty() && m_finishDeadlines.front().at <= now()) {
        const finish_deadline passed = m_finishDeadlines.front();
        m_finishDeadlines.pop_front();
        const std::optional<job_index> index = findJob(passed.job);
        if (!index || job(*index).state != run_state::Running
            || job(*index).placedAt != passed.placedAt)
            continue;
        const std::vector<placed_part> &parts = job(*index).parts;
        if (std::any_of(parts.begin(), parts.end(), [&](const placed_part &part) {
                return m_outDomains.count(cell().at(part.worker).info.failureDomain) > 0;
            }))
            stop(*index, stop_reason::DomainOut);
    }
}

void gang_scheduler::usageReported(const job_key &key, const worker_id &worker,
                                   const resources &used, time_point now)
{
    cell_engine::usageReported(key, worker, used, now);
    const std::optional<job_index> index = findJob(key);
    const worker_index w = cell().find(worker);
    if (!index || w == topology::none || job(*index).state != run_state::Running)
        return;
    const job_entry &entry = job(*index);
    const load reported = load::ofTask(used);
    bool exceeds = false;
    for (std::size_t i = 0; i < load::slotsIndex; ++i)
        exceeds = exceeds || double(reported.v[i]) > double(entry.perTask.v[i]) * usageTolerance;
    if (!exceeds)
        return;
    std::vector<usage_record> &records = m_usage[*index];
    const auto known = std::find_if(records.begin(), records.end(),
                                    [&](const usage_record &r) { return r.worker == w; });
    if (known == records.end()) {
        std::int32_t tasks = 0;
        for (const placed_part &part : entry.parts)
            tasks += part.worker == w ? part.tasks : 0;
        records.push_back({w, reported, tasks});
        throttle(*index, w, entry.spec.perTask);
        return;
    }
    known->used = reported;
    // The job still exceeds its declaration after it was throttled. It is stopped if the excess is
    // more than what is free on the worker, since it then uses what other jobs reserved.
    const load excess = (reported - entry.perTask) * known->tasks;
    const load spare = cell().at(w).free();
    for (std::size_t i = 0; i < load::slotsIndex; ++i) {
        if (excess.v[i] > std::max<std::int64_t>(0, spare.v[i])) {
            stop(*index, stop_reason::Exceeded);
            m_exceeded.insert(*index);
            return;
        }
    }
}

void gang_scheduler::tick(time_point now)
{
    cell_engine::tick(now);
    for (const worker_index w : m_health.dueProbes(now))
        block(w, block_reason::Quarantined, false);
    stopAfterFinishDeadline();
    renewRunning();
    if (now >= m_nextFullPass) {
        m_fullPassDue = true;
        m_nextFullPass = now + fullPassInterval;
    }
    schedule();
}

capacity_view gang_scheduler::capacity() const
{
    capacity_view view = cell_engine::capacity();
    view.examined = m_placement->examined() + m_examinedJobs;
    return view;
}

} // namespace

std::unique_ptr<scheduler> makeGangScheduler(std::string_view cell)
{
    return std::make_unique<gang_scheduler>(cell);
}

} // namespace goldcrest
