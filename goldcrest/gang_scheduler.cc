// The policy of docs/design.md. A job is tried in this order: on its team's guarantee, on capacity
// that no guarantee needs, as a borrower, and on its team's guarantee after stopping borrowers.

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

// Jobs of different teams that are tried in a bucket before it counts as blocked.
constexpr std::size_t triesPerBucket = 3;

// The same for urgent jobs.
constexpr std::size_t urgentTriesPerBucket = 8;

// Jobs of one team that are tried on its own guarantee, per bucket.
constexpr std::size_t claimTries = 2;

// Places of a guarantee that are compared by what their borrowers lose.
constexpr std::size_t maxPlacesCompared = 8;

// Urgent work starts within 3 s: borrowers that need no longer to stop are preferred.
constexpr duration urgentStopBound = 3000ms;

// Use above the declaration that counts as exceeding it, and reports in a row before a stop.
constexpr double usageTolerance = 1.1;

// A gang that would only lose work by a move out of a domain may finish if little is left.
constexpr duration finishInsteadOfMove = 30s;

// Key penalty for each doubling of a team's use above its guarantee.
constexpr double overusePenalty = 60000;

// All buckets are tried this often even if no capacity grew: a running job may have become one that
// yields, or a worker may be allowed again for a job that failed there.
constexpr duration passInterval = 15s;

// A running job yields to a waiting one only after this time, so that stop times stay a small
// share.
constexpr duration leastRunTime = 2min;

// Longest-running candidates that are looked at when a job looks for one that yields.
constexpr int maxYieldProbes = 16;

// Blocked jobs per decision that may look for one that yields.
constexpr int maxYieldTries = 6;

// Running jobs whose estimate is renewed on each tick.
constexpr std::size_t renewedPerTick = 64;

// Planning a reservation looks at many workers, so it is done at most this often, for this many
// jobs and among this many racks of a failure domain, beside those that the gang itself needs.
constexpr duration reservationInterval = 20s;
constexpr int reservationsPerInterval = 2;
constexpr std::int32_t reservationRacks = 16;

// A reservation that was not met is planned again after this time.
constexpr duration reservationPatience = 5min;

// One reservation per this many workers, at least one.
constexpr std::size_t workersPerReservation = 24;

// A job that fails again and again is stopped even if no worker can be told healthy.
constexpr std::int32_t maxFailures = 8;

bool isSamePlace(const std::vector<placed_part> &a, const std::vector<placed_part> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const placed_part &x, const placed_part &y) {
                          return x.worker == y.worker && x.tasks == y.tasks;
                      });
}

// Whether a running job may be stopped for the one at hand.
using stop_rule = std::function<bool(job_index)>;

class gang_scheduler final : public cell_engine
{
public:
    explicit gang_scheduler(std::string_view name)
        : cell_engine(name)
        , m_free(cell())
        , m_open(cell())
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
    void onForgotten(job_index index) override;
    void onService(worker_index) override { m_passDue = true; } // gangs are tried at once
    void onPlaced(job_index index) override;

private:
    friend class free_room;
    friend class open_room;
    friend class protected_room;
    friend class claim_room;
    friend class stop_room;

    struct unit_holder
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
    std::vector<worker_index> grownRacks();
    void runQueue();
    // Returns places of unused guarantees of the job's own shape.
    std::vector<std::vector<placed_part>>
    guaranteedPlaces(const job_entry &entry, const room_policy &room, std::size_t count) const;
    std::vector<placed_part> cheapestGuaranteedPlace(const job_entry &entry,
                                                     const room_policy &room,
                                                     const stop_rule &mayStop) const;
    victim_set victimsFor(const job_entry &entry, const std::vector<placed_part> &parts,
                          const stop_rule &mayStop) const;
    load claimableRoom(worker_index worker, const job_entry &entry) const;
    bool isHeld(std::size_t unit) const;
    void holdUnit(job_index index);
    void holdUnitsAnew();
    bool hasUnusedGuarantee(const job_entry &entry) const;
    bool hasGuaranteedPlace(const job_entry &entry) const;
    // @param near if given, jobs that fit into one rack are tried on these workers only
    bool tryFree(job_index index, const std::vector<worker_index> *near = nullptr);
    bool tryMixed(job_index index);
    bool placeOn(job_index index, std::vector<placed_part> parts);
    bool tryClaim(job_index index);
    bool tryUrgent(job_index index, duration stopBound);
    bool tryYield(job_index index);
    bool tryReserved(job_index index);
    bool isLarge(const job_entry &entry) const;
    bool mayBackfill(worker_index worker, const job_entry &entry) const;
    std::vector<worker_index> roomiestWorkers(const job_entry &entry) const;
    std::vector<room_forecast> forecastFor(job_index index) const;
    void renewReservations(const candidates &blocked);
    bool claimWithVictims(job_index index, std::vector<placed_part> parts, stop_reason reason,
                          const stop_rule &mayStop);
    double runningKey(const job_entry &entry) const;
    static duration leastRun(const job_entry &entry);
    double yieldMargin(const job_entry &waiting, const job_entry &running) const;
    void renewRunning();
    void dropRunning(job_index index);
    bool fitsProtected(const job_entry &entry, const std::vector<placed_part> &parts) const;
    bool isOutsideGuarantee(const job_entry &entry) const;
    stop_rule borrowersFor(const job_entry &claimant, duration stopBound) const;
    stop_rule yieldingTo(job_index index) const;
    bool isMovable(const job_entry &entry) const;
    std::int64_t freeOutside(const std::vector<worker_index> &workers) const;
    void leaveDomains();
    void stopLingering();
    void estimate(job_entry &entry) const;
    duration estimateLeft(const job_entry &entry, duration ran) const;
    queue_facts factsOf(const job_entry &entry) const;
    static bucket_key bucketOf(const job_entry &entry);

    capacity_index m_free; // free capacity
    capacity_index m_open; // the part of it that no guarantee needs
    capacity_index m_stoppable; // free capacity and borrowed use
    capacity_index m_fastStoppable; // the same, only borrowers that stop in time for urgent work
    capacity_index m_yielding; // free capacity and use of jobs that can checkpoint
    std::unique_ptr<placement_strategy> m_placement;
    std::unique_ptr<queue_order> m_order;
    std::unique_ptr<victim_cost> m_victimCost;
    job_queue m_queue;
    runtime_estimator m_estimator;
    worker_health m_health;
    std::set<bucket_key> m_newWork; // buckets that got a job since the last decision
    std::set<team_index> m_claimTeams; // teams that may claim since the last decision
    bool m_grown = true; // capacity grew since the last decision
    std::vector<worker_index> m_grownWorkers;
    bool m_passDue = false;
    time_point m_nextPass;
    std::set<std::string> m_leaving; // failure domains that are out
    std::deque<std::pair<time_point, job_key>> m_lingering; // may finish there until this time
    std::unordered_map<job_index, std::vector<usage_record>> m_usage; // of jobs above declaration
    std::set<job_index> m_exceeded; // jobs that were stopped for it
    std::uint64_t m_examinedJobs = 0;
    std::unordered_map<std::size_t, unit_holder> m_holders; // by position in the ledger's units
    reservation_table m_reservations;
    time_point m_nextReservation;
    std::int64_t m_largestWorker = 1; // accelerators
    // Running jobs that can checkpoint, by the key that they would have in the queue.
    std::set<std::pair<double, job_index>> m_running;
    std::unordered_map<job_index, double> m_runningKey;
    job_index m_renewNext = 0;
};

// Free capacity that a job may use.
class free_room final : public room_policy
{
public:
    free_room(const gang_scheduler &engine, const job_entry &entry)
        : m_engine(engine)
        , m_entry(entry)
    { }
    load room(worker_index w) const override
    {
        return m_engine.mayUse(w, m_entry) ? m_engine.m_free.room(w) : load{};
    }

private:
    const gang_scheduler &m_engine;
    const job_entry &m_entry;
};

// Free capacity outside all guarantees.
class open_room final : public room_policy
{
public:
    open_room(const gang_scheduler &engine, const job_entry &entry)
        : m_engine(engine)
        , m_entry(entry)
    { }
    load room(worker_index w) const override
    {
        return m_engine.mayUse(w, m_entry) ? m_engine.m_open.room(w) : load{};
    }

private:
    const gang_scheduler &m_engine;
    const job_entry &m_entry;
};

// Free capacity within the team's guarantee or outside all guarantees.
class protected_room final : public room_policy
{
public:
    protected_room(const gang_scheduler &engine, const job_entry &entry)
        : m_engine(engine)
        , m_entry(entry)
    { }
    load room(worker_index w) const override
    {
        if (!m_engine.mayUse(w, m_entry))
            return {};
        return minOf(m_engine.m_free.room(w), m_engine.ledger().headroom(w, m_entry.team));
    }

private:
    const gang_scheduler &m_engine;
    const job_entry &m_entry;
};

// Free capacity and what jobs use that may be stopped.
class stop_room final : public room_policy
{
public:
    // @param onlyGuarantee the room ends at the team's unused guarantee
    stop_room(const gang_scheduler &engine, const job_entry &entry, const stop_rule &mayStop,
              bool onlyGuarantee)
        : m_engine(engine)
        , m_entry(entry)
        , m_mayStop(mayStop)
        , m_onlyGuarantee(onlyGuarantee)
    { }
    load room(worker_index w) const override
    {
        // A claim of a guarantee is not refused because the worker is under probe.
        const bool allowed
            = m_onlyGuarantee ? m_engine.cell().at(w).inService() : m_engine.mayUse(w, m_entry);
        if (!allowed)
            return {};
        load room = m_engine.cell().at(w).free();
        for (const job_index other : m_engine.jobsOn(w)) {
            const job_entry &victim = m_engine.job(other);
            for (const placed_part &part : victim.parts) {
                if (part.worker == w && m_mayStop(other))
                    room += victim.perTask * part.tasks;
            }
        }
        if (m_onlyGuarantee)
            return minOf(room, m_engine.claimableRoom(w, m_entry));
        if (!m_entry.spec.preemptible())
            room = minOf(room, m_engine.ledger().headroom(w, m_entry.team));
        return room;
    }

private:
    const gang_scheduler &m_engine;
    const job_entry &m_entry;
    const stop_rule &m_mayStop;
    bool m_onlyGuarantee;
};

// --- queue ---

// @param ran run time of the current attempt, zero for a waiting job
duration gang_scheduler::estimateLeft(const job_entry &entry, duration ran) const
{
    constexpr double tellingProgress = 0.05;
    const duration total = entry.ranKept + ran;
    if (entry.progress < tellingProgress || entry.ranKept <= 0ms)
        return runtime_estimator::remaining(entry.estimated, total);
    // A checkpoint tells the speed.
    const duration whole = duration(std::int64_t(double(entry.ranKept.count()) / entry.progress));
    constexpr int atLeast = 20;
    return std::max(whole - total, total / atLeast);
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
    // Doublings of the larger of 1 core and 4 GiB, so that a job with little need is not held back
    // by one with much.
    const double units = std::max(double(entry.spec.perTask.cores) / 1000,
                                  double(entry.spec.perTask.memory) / 4096);
    key.share = std::int32_t(std::ceil(std::log2(std::max(1.0, units))));
    return key;
}

void gang_scheduler::estimate(job_entry &entry) const
{
    constexpr double typical = 0.5;
    constexpr double cautious = 0.8;
    entry.estimated = m_estimator.estimate(entry.spec, typical);
    entry.estimatedLong = m_estimator.estimate(entry.spec, cautious);
}

void gang_scheduler::enqueue(job_index index)
{
    job_entry &entry = job(index);
    estimate(entry);
    const bucket_key key = bucketOf(entry);
    m_queue.add(index, entry.team, key, m_order->key(factsOf(entry)));
    m_newWork.insert(key);
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

// A worker under probe takes one job at a time, and a job is not tried where it failed before.
bool gang_scheduler::mayUse(worker_index worker, const job_entry &entry) const
{
    if (!cell().at(worker).inService())
        return false;
    if (m_health.isProbing(worker) && !jobsOn(worker).empty())
        return false;
    return !m_health.failedOn(entry.serial, worker, now()) && mayBackfill(worker, entry);
}

// Work on a worker that is kept for a gang must end before the gang is expected, or be stoppable
// without loss. The owner of a guarantee and urgent work are not held back.
bool gang_scheduler::mayBackfill(worker_index worker, const job_entry &entry) const
{
    const job_index holder = m_reservations.holderOf(worker);
    if (holder == reservation_table::none || &job(holder) == &entry || entry.urgent
        || entry.spec.canCheckpoint)
        return true;
    if (ledger().unusedGuarantee(worker, entry.team).accelerators() > 0)
        return true;
    return now() + entry.estimatedLong <= m_reservations.find(holder)->expected;
}

void gang_scheduler::refreshIndexes()
{
    for (const worker_index w : takeTouched()) {
        const worker_state &worker = cell().at(w);
        if (!worker.inService()) {
            m_free.set(w, {});
            m_open.set(w, {});
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
        const load open = minOf(free, ledger().headroom(w, noTeam));
        const bool grew
            = !m_free.room(w).covers(maxOf(free, {})) || !m_open.room(w).covers(maxOf(open, {}));
        m_grown = m_grown || grew;
        if (grew)
            m_grownWorkers.push_back(w);
        m_free.set(w, free);
        m_open.set(w, open);
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

// Returns whether a job of the guaranteed shape runs in the place of the unit. Two units on one
// worker cannot be told apart by the amounts in the ledger.
bool gang_scheduler::isHeld(std::size_t unit) const
{
    const auto found = m_holders.find(unit);
    return found != m_holders.end() && job(found->second.job).serial == found->second.serial
        && isSamePlace(job(found->second.job).parts, ledger().units()[unit].parts);
}

void gang_scheduler::holdUnit(job_index index)
{
    const job_entry &entry = job(index);
    for (const std::size_t i : ledger().unitsOf(entry.team)) {
        const guarantee_unit &unit = ledger().units()[i];
        if (unit.tasks != entry.spec.tasks || unit.perTask != entry.perTask
            || !isSamePlace(entry.parts, unit.parts) || isHeld(i))
            continue;
        m_holders[i] = {index, entry.serial};
        return;
    }
}

void gang_scheduler::holdUnitsAnew()
{
    m_holders.clear();
    for (job_index index = 0; index < jobLimit(); ++index) {
        if (!job(index).parts.empty())
            holdUnit(index);
    }
}

// Returns what the team may claim on a worker of its guarantee. A job of the team that runs beside
// the guaranteed place counts as using it, so a team that uses less than it is guaranteed in all
// may take the capacity beside that place as well.
load gang_scheduler::claimableRoom(worker_index worker, const job_entry &entry) const
{
    const team_state &owner = team(entry.team);
    const bool entitled = owner.guaranteed.covers(owner.inUse + entry.total());
    return entitled ? ledger().headroom(worker, entry.team)
                    : ledger().unusedGuarantee(worker, entry.team);
}

// Returns whether a guarantee of the job's shape has a place that no job holds. Then the job must
// not take room from the team's other guarantees.
bool gang_scheduler::hasGuaranteedPlace(const job_entry &entry) const
{
    for (const std::size_t i : ledger().unitsOf(entry.team)) {
        const guarantee_unit &unit = ledger().units()[i];
        if (unit.tasks == entry.spec.tasks && unit.perTask == entry.perTask && !unit.parts.empty()
            && !isHeld(i))
            return true;
    }
    return false;
}

// Jobs of a guaranteed shape take the place of one whole guarantee, so that the places of the
// team's other guarantees stay usable for their shapes.
std::vector<std::vector<placed_part>> gang_scheduler::guaranteedPlaces(const job_entry &entry,
                                                                       const room_policy &room,
                                                                       std::size_t count) const
{
    std::vector<std::vector<placed_part>> places;
    for (const std::size_t i : ledger().unitsOf(entry.team)) {
        const guarantee_unit &unit = ledger().units()[i];
        if (unit.tasks != entry.spec.tasks || unit.perTask != entry.perTask
            || unit.closeness < entry.spec.closeness || isHeld(i))
            continue;
        const bool fits = !unit.parts.empty()
            && std::all_of(unit.parts.begin(), unit.parts.end(), [&](const placed_part &part) {
                   const load need = entry.perTask * part.tasks;
                   return claimableRoom(part.worker, entry).covers(need)
                       && room.room(part.worker).covers(need);
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
    holdUnit(index);
    return true;
}

bool gang_scheduler::tryFree(job_index index, const std::vector<worker_index> *near)
{
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    if (!m_free.mayFit(request.perTask, request.tasks, request.closeness))
        return false;
    const protected_room room(*this, entry);
    const bool isLocal = entry.spec.tasks == 1 || entry.spec.closeness >= adjacency::Rack;
    if (near && isLocal) {
        std::vector<placed_part> parts = m_placement->findAmong(request, *near, room);
        if (parts.empty() && entry.spec.preemptible())
            parts = m_placement->findAmong(request, *near, free_room(*this, entry));
        return placeOn(index, std::move(parts));
    }
    std::vector<placed_part> parts;
    for (std::vector<placed_part> &place : guaranteedPlaces(entry, room, 1))
        parts = std::move(place);
    if (parts.empty() && !hasGuaranteedPlace(entry))
        parts = m_placement->findAmong(request, ledger().workersOf(entry.team), room);
    if (parts.empty())
        parts = m_placement->find(request, m_open, open_room(*this, entry));
    if (parts.empty() && entry.spec.preemptible())
        parts = m_placement->find(request, m_free, free_room(*this, entry));
    return placeOn(index, std::move(parts));
}

// Partly on the own guarantee, partly on open capacity.
bool gang_scheduler::tryMixed(job_index index)
{
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    if (entry.spec.preemptible())
        return false;
    return placeOn(index, m_placement->find(request, m_free, protected_room(*this, entry)));
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
        // A borrower that waits for others to stop gives way at once.
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

// Returns the order that a running job would have in the queue.
double gang_scheduler::runningKey(const job_entry &entry) const
{
    return m_order->key(factsOf(entry)) + m_queue.penaltyOf(entry.team);
}

// By how much the order of a waiting job must be ahead of a running one that yields to it. The work
// of the waiting job counts twice, since its estimate may be too short, and a stop costs capacity.
double gang_scheduler::yieldMargin(const job_entry &waiting, const job_entry &running) const
{
    const queue_facts facts = factsOf(waiting);
    const double width = double(std::max<std::int64_t>(1, facts.accelerators));
    const double theirs = double(std::max<std::int64_t>(1, running.total().accelerators()));
    return double(facts.remaining.count()) * width / double(facts.weight)
        + double(running.spec.stopTime.count() + leastRunTime.count()) * theirs;
}

// Doubles with each time that the job yielded, so that two jobs cannot go on stopping each other.
duration gang_scheduler::leastRun(const job_entry &entry)
{
    constexpr std::int32_t maxDoublings = 12;
    return leastRunTime * (1 << std::min(entry.yields, maxDoublings));
}

stop_rule gang_scheduler::yieldingTo(job_index index) const
{
    const double order = m_queue.orderOf(index);
    return [this, index, order](job_index other) {
        const job_entry &victim = job(other);
        if (victim.state == run_state::Stopping)
            return true;
        return victim.state == run_state::Running && victim.spec.canCheckpoint && !victim.urgent
            && now() - victim.placedAt >= leastRun(victim)
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
    holdUnit(index);
    return true;
}

// Returns the guaranteed place whose borrowers lose least.
std::vector<placed_part> gang_scheduler::cheapestGuaranteedPlace(const job_entry &entry,
                                                                 const room_policy &room,
                                                                 const stop_rule &mayStop) const
{
    std::vector<placed_part> best;
    double bestCost = 0;
    for (std::vector<placed_part> &parts : guaranteedPlaces(entry, room, maxPlacesCompared)) {
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
    const stop_room room(*this, entry, mayStop, true);
    std::vector<placed_part> parts = cheapestGuaranteedPlace(entry, room, mayStop);
    if (parts.empty() && !hasGuaranteedPlace(entry))
        parts = m_placement->findAmong(request, ledger().workersOf(entry.team), room);
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
        = m_placement->find(request, where, stop_room(*this, entry, mayStop, false));
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
    const stop_room room(*this, entry, mayStop, false);
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
        parts = m_placement->findAmong(request, workers, room);
    }
    if (parts.empty() && request.tasks > 1)
        parts = m_placement->find(request, m_yielding, room);
    return !parts.empty() && claimWithVictims(index, std::move(parts), stop_reason::Move, mayStop);
}

// Returns whether the job needs more than one accelerator together with others.
bool gang_scheduler::isLarge(const job_entry &entry) const
{
    return entry.spec.tasks > 1
        || entry.perTask.accelerators() * 2 > std::max<std::int64_t>(2, m_largestWorker);
}

// Returns whether the job may be stopped in order to start again at once on another worker. That
// holds inside its team's guarantee as well: the team can claim the guarantee for it.
bool gang_scheduler::isMovable(const job_entry &entry) const
{
    return entry.state == run_state::Running && entry.spec.canCheckpoint && !entry.urgent
        && entry.parts.size() == 1 && now() - entry.placedAt >= leastRun(entry)
        && m_free.mayFit(entry.perTask, entry.spec.tasks, adjacency::Worker);
}

std::int64_t gang_scheduler::freeOutside(const std::vector<worker_index> &workers) const
{
    std::int64_t free = m_free.totalAccelerators();
    for (const worker_index w : workers)
        free -= m_free.room(w).accelerators();
    return free;
}

// Stops on the reserved workers what was let in on condition that it can be stopped, and moves away
// what fits elsewhere. A move costs a stop time and no work.
bool gang_scheduler::tryReserved(job_index index)
{
    const reservation *kept = m_reservations.find(index);
    if (!kept)
        return false;
    const job_entry &entry = job(index);
    const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
    const stop_rule yields = yieldingTo(index);
    const std::int64_t free = freeOutside(kept->workers);
    const stop_rule mayStop = [&](job_index other) {
        const job_entry &victim = job(other);
        const bool backfilled = victim.state == run_state::Running && victim.spec.canCheckpoint
            && !victim.urgent && now() - victim.placedAt >= leastRun(victim)
            && victim.backfilledFor == index && isOutsideGuarantee(victim);
        return backfilled || yields(other)
            || (victim.total().accelerators() <= free && isMovable(victim));
    };
    const stop_room room(*this, entry, mayStop, false);
    std::vector<placed_part> parts = m_placement->findAmong(request, kept->workers, room);
    return !parts.empty() && claimWithVictims(index, std::move(parts), stop_reason::Move, mayStop);
}

// Returns the workers of the racks with the most room, counting what can checkpoint.
std::vector<worker_index> gang_scheduler::roomiestWorkers(const job_entry &entry) const
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

// Returns when which workers can take how many tasks of the job, if nothing else starts there.
std::vector<room_forecast> gang_scheduler::forecastFor(job_index index) const
{
    const job_entry &entry = job(index);
    const stop_rule yields = yieldingTo(index);
    std::vector<room_forecast> forecasts;
    std::vector<std::pair<time_point, load>> ends;
    for (const worker_index w : roomiestWorkers(entry)) {
        const job_index holder = m_reservations.holderOf(w);
        if (!cell().at(w).inService() || (holder != reservation_table::none && holder != index))
            continue;
        load room = cell().at(w).free();
        ends.clear();
        for (const job_index other : jobsOn(w)) {
            const job_entry &running = job(other);
            load amount;
            for (const placed_part &part : running.parts) {
                if (part.worker == w)
                    amount += running.perTask * part.tasks;
            }
            if (yields(other) || isMovable(running)) {
                room += amount;
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
            const std::int64_t fits = fitCount(minOf(room, permitted), entry.perTask);
            if (fits > counted)
                forecasts.push_back({when, w, fits - counted});
            counted = std::max(counted, fits);
        };
        offer(now());
        for (const auto &[when, amount] : ends) {
            room += amount;
            offer(when);
        }
    }
    return forecasts;
}

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
        const bool late = now() > m_reservations.find(index)->expected + reservationPatience;
        if (keep.count(index) == 0 || late)
            m_reservations.remove(index);
    }
    int planned = 0;
    for (const job_index index : keep) {
        if (m_reservations.find(index) || planned++ == reservationsPerInterval)
            continue;
        const job_entry &entry = job(index);
        const placement_request request{entry.perTask, entry.spec.tasks, entry.spec.closeness};
        if (std::optional<reservation> best = planReservation(cell(), request, forecastFor(index)))
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

// Estimates grow with the time that a job has run beyond them.
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
        unused += maxOf(claimableRoom(w, entry), {});
        if (unused.covers(need))
            return true;
    }
    return false;
}

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
            refreshIndexes(); // adds the team again
            m_claimTeams.insert(owner);
            break;
        }
    }
}

// Returns the workers of the racks where capacity grew since the last decision.
std::vector<worker_index> gang_scheduler::grownRacks()
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

void gang_scheduler::runQueue()
{
    const bool mayYield = std::exchange(m_passDue, false);
    const bool all = std::exchange(m_grown, false) || mayYield;
    const std::set<bucket_key> fresh = std::exchange(m_newWork, {});
    const std::vector<worker_index> near = grownRacks();
    std::set<std::tuple<double, job_index, const job_queue::bucket *>> heads;
    candidates blocked;
    const auto offer = [&](const job_queue::bucket &bucket) {
        const bucket_key &key = bucket.key;
        if (key.urgent)
            return;
        candidates first;
        m_queue.firstOf(bucket, 1, first);
        const bool thorough = mayYield || fresh.count(key) > 0;
        const bool isLocal = key.tasks == 1 || key.closeness >= adjacency::Rack;
        if (!thorough && !isLocal)
            return; // many workers take part, so it waits for the next full pass
        // Other jobs of the bucket may need less than the first, by its class of cores and memory.
        const std::int32_t tasks = leastTasks(key.tasks);
        load least = job(first.front().second).perTask;
        for (const std::size_t i : {load::coresAt, load::memoryAt})
            least.v[i] /= 2;
        const bool mayFit = m_free.mayFit(least, tasks, key.closeness)
            || (thorough && m_yielding.mayFit(least, tasks, key.closeness));
        if (mayFit)
            heads.insert({first.front().first, first.front().second, &bucket});
        else
            blocked.push_back(first.front());
    };
    for (const auto &[key, bucket] : m_queue.buckets()) {
        if (all || fresh.count(key) > 0)
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
        const bool onlyNear = !mayYield && fresh.count(key) == 0;
        bool first = true;
        for (const auto &[order, index] : jobs) {
            ++m_examinedJobs;
            if (!quotaAllows(job(index)))
                continue;
            const bool looksForYield = first && (mayYield || fresh.count(key) > 0);
            const bool started = tryFree(index, onlyNear ? &near : nullptr)
                || (!onlyNear && tryMixed(index)) || tryReserved(index)
                || (looksForYield && ++yieldTries <= maxYieldTries && tryYield(index));
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
    if (job(index).estimated == 0ms) // adopted
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

void gang_scheduler::onForgotten(job_index index)
{
    updatePenalty(job(index).team);
    m_health.forgetJob(job(index).serial);
}

void gang_scheduler::onConfiguration(const configuration &config)
{
    m_leaving = config.domainsOut;
    m_passDue = true;
    holdUnitsAnew();
    leaveDomains();
}

// Preemptible work leaves a failure domain that is out; the rest finishes.
void gang_scheduler::leaveDomains()
{
    if (m_leaving.empty())
        return;
    for (const domain_state &domain : cell().domains()) {
        if (m_leaving.count(domain.name) == 0)
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
                        m_lingering.emplace_back(now() + finishInsteadOfMove, entry.spec.key);
                }
            }
        }
    }
}

// Stops work that was left to finish in a domain that is out and did not.
void gang_scheduler::stopLingering()
{
    while (!m_lingering.empty() && m_lingering.front().first <= now()) {
        const std::optional<job_index> index = findJob(m_lingering.front().second);
        m_lingering.pop_front();
        if (!index || job(*index).state != run_state::Running)
            continue;
        const std::vector<placed_part> &parts = job(*index).parts;
        if (std::any_of(parts.begin(), parts.end(), [&](const placed_part &part) {
                return m_leaving.count(cell().at(part.worker).info.failureDomain) > 0;
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
    for (std::size_t i = 0; i < load::slotsAt; ++i)
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
    // Still above the declaration after it was throttled: does it take what others were promised?
    const load excess = (reported - entry.perTask) * known->tasks;
    const load spare = cell().at(w).free();
    for (std::size_t i = 0; i < load::slotsAt; ++i) {
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
    stopLingering();
    renewRunning();
    if (now >= m_nextPass) {
        m_passDue = true;
        m_nextPass = now + passInterval;
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
