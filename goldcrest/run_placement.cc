#include "goldcrest/run_placement.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace goldcrest {

namespace {

// Ends of runs that are looked at for a later start. Beyond this many the estimates say little.
constexpr std::size_t maxStartTimes = 24;

// Work at a slow place takes room from others for longer, so it counts against the place.
constexpr double slowPlaceWeight = 0.5;

using room_set = std::vector<std::size_t>;

// Room of a worker at a time, for a task that ends at `until`.
resources availableAt(const worker_room &room, time_point at, time_point until)
{
    resources available = room.free;
    for (const room_run &run : room.runs) {
        if (run.endsAt <= at)
            available += run.demand;
    }
    if (until > room.claimedFrom)
        available -= room.claimed;
    return available;
}

struct scratch_room
{
    std::size_t index = 0;
    resources available;
    std::int32_t tasks = 0; // of the step
};

std::int32_t placedOn(const placement_request &request, const worker_room &room)
{
    const auto found = request.placedBefore.find(room.worker);
    return found == request.placedBefore.end() ? 0 : found->second;
}

bool takesAnother(const placement_request &request, const scratch_room &room)
{
    return request.step->maxPerWorker == 0 || room.tasks < request.step->maxPerWorker;
}

// Best fit: the least accelerators, then cores, left over.
auto leftoverOf(const scratch_room &room, const resources &demand)
{
    return std::make_tuple(room.available.accelerators - demand.accelerators,
                           room.available.cores - demand.cores, room.index);
}

// Assigns each task to a room, or nothing if not all fit.
std::optional<room_set> assign(std::vector<scratch_room> rooms, const placement_request &request)
{
    const resources demand = demandOf(*request.step);
    room_set chosen;
    for (std::int32_t i = 0; i < request.count; ++i) {
        scratch_room *best = nullptr;
        for (scratch_room &room : rooms) {
            if (!room.available.covers(demand) || !takesAnother(request, room))
                continue;
            if (!best || leftoverOf(room, demand) < leftoverOf(*best, demand))
                best = &room;
        }
        if (!best)
            return std::nullopt;
        best->available -= demand;
        ++best->tasks;
        chosen.push_back(best->index);
    }
    return chosen;
}

std::vector<scratch_room> scratchAt(const std::vector<worker_room> &rooms, const room_set &among,
                                    const placement_request &request, time_point at,
                                    duration estimate)
{
    std::vector<scratch_room> scratch;
    for (const std::size_t index : among) {
        const worker_room &room = rooms[index];
        scratch.push_back({index, availableAt(room, at, at + estimate), placedOn(request, room)});
    }
    return scratch;
}

std::vector<time_point> startTimes(const std::vector<worker_room> &rooms, const room_set &among,
                                   time_point now)
{
    std::set<time_point> times{now};
    for (const std::size_t index : among) {
        for (const room_run &run : rooms[index].runs)
            times.insert(std::max(now, run.endsAt));
    }
    std::vector<time_point> ordered(times.begin(), times.end());
    if (ordered.size() > maxStartTimes) {
        // The last time, when all is over, tells whether the tasks fit at all.
        ordered[maxStartTimes - 1] = ordered.back();
        ordered.resize(maxStartTimes);
    }
    return ordered;
}

std::optional<placement> earliestIn(const std::vector<worker_room> &rooms, const room_set &among,
                                    const placement_request &request, duration estimate,
                                    time_point now)
{
    for (const time_point at : startTimes(rooms, among, now)) {
        if (auto chosen = assign(scratchAt(rooms, among, request, at, estimate), request))
            return placement{at, estimate, *std::move(chosen)};
    }
    return std::nullopt;
}

room_set allRooms(const std::vector<worker_room> &rooms)
{
    room_set all;
    for (std::size_t i = 0; i < rooms.size(); ++i)
        all.push_back(i);
    return all;
}

std::map<std::string, room_set> roomsByRack(const std::vector<worker_room> &rooms)
{
    std::map<std::string, room_set> racks;
    for (std::size_t i = 0; i < rooms.size(); ++i)
        racks[rooms[i].rack].push_back(i);
    return racks;
}

// A set of rooms with the factor by which the step is slower there.
struct room_option
{
    room_set rooms;
    double factor = 1;
};

std::vector<room_option> optionsOf(const std::vector<worker_room> &rooms,
                                   const placement_request &request)
{
    const step_spec &step = *request.step;
    const bool keepsTogether = step.sameRack && request.count > 1;
    std::vector<room_option> options;
    const double remote = request.remoteFactor;
    if (keepsTogether || !step.dataRack.empty()) {
        for (auto &[rack, among] : roomsByRack(rooms)) {
            const bool isNear = step.dataRack.empty() || rack == step.dataRack;
            if (isNear || keepsTogether)
                options.push_back({std::move(among), isNear ? 1 : remote});
        }
    }
    const double apart = (keepsTogether ? remote : 1) * (step.dataRack.empty() ? 1 : remote);
    options.push_back({allRooms(rooms), apart});
    return options;
}

bool mayEvict(const room_run &run, const eviction_rule &rule)
{
    if (run.isStopping || !run.mayStop)
        return false;
    if (rule.anyUnit)
        return true;
    if (run.isGuaranteed)
        return false;
    return run.priority > rule.belowPriority || rule.alsoUnguaranteed;
}

// A run that ends this soon is waited for rather than stopped, which takes almost as long.
constexpr duration soon = 700ms;

// Room that is free, or free soon, or freed by the units chosen so far.
resources freedRoom(const worker_room &room, const std::set<std::size_t> &chosen, time_point now)
{
    resources available = room.free;
    available -= room.claimed;
    for (const room_run &run : room.runs) {
        if (run.isStopping || run.endsAt <= now + soon || chosen.count(run.unit) > 0)
            available += run.demand;
    }
    return available;
}

struct victim_set
{
    std::set<std::size_t> units;
    double loss = 0;
};

// The units to stop on one worker, cheapest first, until the demand fits beside `taken`.
std::optional<victim_set> victimsOn(const worker_room &room, const resources &demand,
                                    const resources &taken, const std::set<std::size_t> &chosen,
                                    const eviction_rule &rule, time_point now)
{
    resources available = freedRoom(room, chosen, now);
    available -= taken;
    std::vector<const room_run *> candidates;
    for (const room_run &run : room.runs) {
        const bool isCounted = run.endsAt <= now + soon || chosen.count(run.unit) > 0;
        if (!isCounted && mayEvict(run, rule))
            candidates.push_back(&run);
    }
    std::sort(candidates.begin(), candidates.end(), [](const room_run *a, const room_run *b) {
        return std::make_tuple(a->isGuaranteed, a->lossOnStop, a->unit)
            < std::make_tuple(b->isGuaranteed, b->lossOnStop, b->unit);
    });
    victim_set victims;
    for (const room_run *run : candidates) {
        if (available.covers(demand))
            break;
        available += run->demand;
        if (victims.units.insert(run->unit).second)
            victims.loss += run->lossOnStop;
    }
    if (!available.covers(demand))
        return std::nullopt;
    return victims;
}

std::optional<eviction> evictIn(const std::vector<worker_room> &rooms, const room_set &among,
                                const placement_request &request, const eviction_rule &rule,
                                duration estimate, time_point now)
{
    const resources demand = demandOf(*request.step);
    std::set<std::size_t> chosen;
    std::map<std::size_t, resources> taken;
    std::map<std::size_t, std::int32_t> tasks;
    eviction found;
    found.where.start = now;
    found.where.estimate = estimate;
    for (std::int32_t i = 0; i < request.count; ++i) {
        std::optional<victim_set> best;
        std::size_t bestRoom = 0;
        for (const std::size_t index : among) {
            const scratch_room limit{index, {}, placedOn(request, rooms[index]) + tasks[index]};
            if (!takesAnother(request, limit))
                continue;
            auto victims = victimsOn(rooms[index], demand, taken[index], chosen, rule, now);
            if (victims && (!best || victims->loss < best->loss)) {
                best = std::move(victims);
                bestRoom = index;
            }
        }
        if (!best)
            return std::nullopt;
        chosen.insert(best->units.begin(), best->units.end());
        found.loss += best->loss;
        taken[bestRoom] += demand;
        ++tasks[bestRoom];
        found.where.rooms.push_back(bestRoom);
    }
    found.units.assign(chosen.begin(), chosen.end());
    return found;
}

} // namespace

resources demandOf(const step_spec &step)
{
    resources demand = step.perTask;
    if (step.fills)
        demand.cores = 0;
    return demand;
}

std::optional<placement> bestPlacement(const std::vector<worker_room> &rooms,
                                       const placement_request &request, time_point now)
{
    std::optional<placement> best;
    duration bestCost = duration::max();
    for (const room_option &option : optionsOf(rooms, request)) {
        const duration estimate = scaled(request.estimate, option.factor);
        auto found = earliestIn(rooms, option.rooms, request, estimate, now);
        if (!found)
            continue;
        const duration cost = found->start - now + estimate
            + scaled(request.estimate, (option.factor - 1) * slowPlaceWeight);
        if (cost < bestCost) {
            bestCost = cost;
            best = std::move(found);
        }
    }
    return best;
}

std::optional<eviction> cheapestEviction(const std::vector<worker_room> &rooms,
                                         const placement_request &request,
                                         const eviction_rule &rule, time_point now)
{
    std::optional<eviction> best;
    double bestCost = 0;
    const resources demand = demandOf(*request.step) * request.count;
    for (const room_option &option : optionsOf(rooms, request)) {
        const duration estimate = scaled(request.estimate, option.factor);
        auto found = evictIn(rooms, option.rooms, request, rule, estimate, now);
        if (!found || found->loss > rule.maxLoss)
            continue;
        const double extra = static_cast<double>(demand.cores) / 1000
            * static_cast<double>(request.estimate.count()) / 1000 * (option.factor - 1);
        const double cost = found->loss + extra;
        if (!best || cost < bestCost) {
            bestCost = cost;
            best = std::move(found);
        }
    }
    return best;
}

void occupy(std::vector<worker_room> &rooms, const placement_request &request,
            const placement &where, const room_run &run)
{
    for (const std::size_t index : where.rooms) {
        rooms[index].free -= demandOf(*request.step);
        rooms[index].runs.push_back(run);
    }
}

void claim(std::vector<worker_room> &rooms, const placement_request &request,
           const placement &where)
{
    for (const std::size_t index : where.rooms) {
        rooms[index].claimed += demandOf(*request.step);
        rooms[index].claimedFrom = std::min(rooms[index].claimedFrom, where.start);
    }
}

} // namespace goldcrest
