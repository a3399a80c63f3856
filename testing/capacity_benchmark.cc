// Measures memory, processor time and messages of a planner for cells of several sizes, to
// extrapolate to the target size in docs/CAPACITY.md. Agents and the store are simulated in the
// benchmark and reply at once, so that only the planner's own cost is measured.
//
//   build/capacity_benchmark [workers...]
//   build/capacity_benchmark outage          starts during a store outage under each outage rule
//   build/capacity_benchmark speeds          cost of worker speeds in a planning pass
//
// Message and byte counts are exact; processor times depend on the machine.

#include "goldcrest/cell_planner.h"
#include "goldcrest/message_codec.h"
#include "goldcrest/run_placement.h"
#include "goldcrest/worker_speed_model.h"

#include <fmt/format.h>

#include <cmath>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <vector>

#include <malloc.h>

using namespace goldcrest;

namespace {

constexpr int targetWorkers = 4900;
constexpr int targetTasks = 60000;
constexpr int targetAccelerators = 7200;
constexpr int targetTeams = 150;
constexpr int tasksPerJob = 8;
constexpr std::size_t tcpIpAndFrameBytes
    = 40 + 12 + 8; // IPv4, TCP with timestamps, WebSocket with mask
constexpr std::int64_t startUnixMs = 1'700'000'000'000;
constexpr std::int64_t acceptedAtUnixMs
    = startUnixMs + 600'000; // long after the planner's start, so no earlier planner had it
constexpr link_id entryLink = 1'000'000;
constexpr link_id entryCount = 3;

std::size_t usedBytes()
{
    return mallinfo2().uordblks;
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

configuration makeConfiguration(revision number)
{
    configuration config;
    config.number = number;
    config.entries.cells["cell-1"] = {"cell-1", "operations", {"domain-1"}};
    class_entry batch;
    batch.name = "batch";
    config.entries.classes["batch"] = batch;
    for (int i = 0; i < targetTeams; ++i) {
        team_entry team;
        team.name = fmt::format("team-{:03}", i);
        team.className = "batch";
        team.maxQueued = 100000;
        config.entries.teams[team.name] = team;
    }
    return config;
}

worker_info makeWorker(int index)
{
    constexpr int workersPerRack = 20;
    worker_info worker;
    worker.id = fmt::format("domain-1-w{:04}", index);
    worker.failureDomain = "domain-1";
    worker.rack = fmt::format("rack-{:03}", index / workersPerRack);
    worker.address = fmt::format("10.0.{}.{}:7201", index / 250, index % 250);
    const int before = index * targetAccelerators / targetWorkers;
    const int after = (index + 1) * targetAccelerators / targetWorkers;
    worker.capacity = {64000, 262144, after - before};
    return worker;
}

job_spec makeJob(int index, int tasks)
{
    job_spec spec;
    spec.key
        = {fmt::format("team-{:03}", index % targetTeams), fmt::format("request-{:08}", index)};
    spec.className = "batch";
    spec.tasks = tasks;
    spec.perTask = {1000, 1024, 0};
    spec.idempotent = true;
    spec.declaredRunTime = 2h;
    spec.payload = std::string(200, 'p');
    return spec;
}

// A planner with simulated agents and a simulated store that reply at once.
class planner_bench
{
public:
    explicit planner_bench(int workers,
                           std::unique_ptr<outage_policy> policy = makeUnanimousPolicy())
        : m_workers(workers)
        , m_planner(options(), makeGangScheduler("cell-1"), std::move(policy), m_now)
    { }

    void bringUp()
    {
        m_planner.leaseChanged(true, false, m_now);
        m_planner.configurationOffered(makeConfiguration(1), 0ms, m_now);
        m_planner.recordsLoaded(std::vector<loaded_record>{}, m_now);
        for (link_id i = 0; i < entryCount; ++i)
            m_planner.entryOpened(entryLink + i, fmt::format("entry-{}", i + 1), m_now);
        for (int i = 0; i < m_workers; ++i) {
            inventory_message inventory;
            inventory.worker = makeWorker(i);
            inventory.backendReachable = true;
            deliver(static_cast<link_id>(i) + 1, inventory);
        }
        advanceInTicks(3s);
    }

    // Ticks as often as the process does, so that the planner does not detect a pause of its own
    // process.
    void advanceInTicks(duration time)
    {
        constexpr duration step = 100ms;
        for (duration passed = 0ms; passed < time; passed += step)
            advance(step);
    }

    void submit(int first, int count, int tasks)
    {
        for (int i = first; i < first + count; ++i) {
            submit_job_message message;
            message.spec = makeJob(i, tasks);
            message.acceptedAtUnixMs = acceptedAtUnixMs;
            deliver(entryLink, message);
        }
        advanceInTicks(500ms);
    }

    void heartbeats(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (int i = 0; i < m_workers; ++i) {
                heartbeat_message heartbeat;
                heartbeat.worker = makeWorker(i).id;
                heartbeat.plannerEpoch = 1;
                heartbeat.sequence = static_cast<std::uint64_t>(round) + 1;
                heartbeat.partCount = m_parts[static_cast<link_id>(i) + 1];
                deliver(static_cast<link_id>(i) + 1, heartbeat);
            }
        }
    }

    void changeConfiguration(revision number)
    {
        m_planner.configurationOffered(makeConfiguration(number), 0ms, m_now);
        executeActions();
    }

    // The store stops responding; `reachable` of the entries still respond to the planner.
    void beginOutage(link_id reachable)
    {
        m_storeDown = true;
        for (link_id i = reachable; i < entryCount; ++i)
            m_planner.linkClosed(entryLink + i, m_now);
        m_planner.leaseChanged(false, true, m_now);
    }

    std::size_t running() const { return m_planner.engine().capacity().runningJobs; }
    std::size_t queued() const { return m_planner.engine().capacity().queuedJobs; }
    std::size_t startedGangs() const { return m_started.size(); }
    std::size_t messages() const { return m_messages; }
    std::size_t bytes() const { return m_bytes; }
    std::size_t storeCalls() const { return m_storeCalls; }

private:
    static planner_options options()
    {
        planner_options options;
        options.cell = "cell-1";
        options.worker = "domain-1-w0000";
        options.number = 1;
        options.startUnixMs = startUnixMs;
        return options;
    }

    void deliver(link_id link, const message &content)
    {
        count(content);
        m_planner.received(link, content, m_now);
        executeActions();
    }

    void count(const message &content)
    {
        ++m_messages;
        m_bytes += encodeMessage(content).size() + tcpIpAndFrameBytes;
    }

    void advance(duration step)
    {
        m_now += step;
        if (!m_storeDown)
            m_planner.configurationConfirmed(m_revision, 0ms, m_now);
        m_planner.tick(m_now);
        executeActions();
    }

    void executeActions()
    {
        for (planner_action &action : m_planner.takeActions())
            m_pending.push_back(std::move(action));
        while (!m_pending.empty()) {
            const planner_action action = std::move(m_pending.front());
            m_pending.pop_front();
            std::visit([&](const auto &typed) { answer(typed); }, action);
            for (planner_action &next : m_planner.takeActions())
                m_pending.push_back(std::move(next));
        }
    }

    void answer(const send_message &sent)
    {
        count(sent.content);
        if (const auto *hold = std::get_if<hold_message>(&sent.content)) {
            reply(sent.link, hold_reply_message{hold->gang.attempt, workerOf(sent.link), 1, {}});
        } else if (const auto *start = std::get_if<start_message>(&sent.content)) {
            ++m_parts[sent.link];
            m_started.insert(start->attempt.job);
            reply(sent.link, task_started_message{start->attempt, workerOf(sent.link), 1, {}});
        } else if (const auto *query = std::get_if<outage_query_message>(&sent.content)) {
            reply(sent.link, outage_reply_message{query->query, false, m_revision});
        }
    }

    void reply(link_id link, const message &content)
    {
        count(content);
        m_planner.received(link, content, m_now);
    }

    void answer(const read_record &read)
    {
        ++m_storeCalls;
        if (m_storeDown) {
            m_planner.recordRead(read.job, makeFailure(code::StoreUnavailable, "down"), m_now);
            return;
        }
        loaded_record loaded;
        loaded.record.spec.key = read.job;
        const int index = std::atoi(read.job.requestId.c_str() + std::string("request-").size());
        loaded.record.spec = makeJob(index, tasksPerJob);
        loaded.record.cell = "cell-1";
        loaded.record.acceptedAtUnixMs = acceptedAtUnixMs;
        loaded.modRevision = ++m_storeRevision;
        m_planner.recordRead(read.job, std::optional<loaded_record>(loaded), m_now);
    }

    void answer(const write_record &write)
    {
        ++m_storeCalls;
        const write_answer applied{write_status::Applied, ++m_storeRevision};
        const write_answer unavailable{write_status::Unavailable, 0};
        m_planner.recordWritten(write.job, m_storeDown ? unavailable : applied, m_now);
    }

    void answer(const load_records &) { ++m_storeCalls; }
    void answer(const step_down &) { std::abort(); }

    static worker_id workerOf(link_id link) { return makeWorker(static_cast<int>(link) - 1).id; }

    int m_workers;
    time_point m_now{1h};
    revision m_revision = 1;
    bool m_storeDown = false;
    cell_planner m_planner;
    std::deque<planner_action> m_pending;
    std::set<job_key> m_started;
    std::map<link_id, std::int32_t> m_parts;
    store_revision m_storeRevision = 0;
    std::size_t m_messages = 0;
    std::size_t m_bytes = 0;
    std::size_t m_storeCalls = 0;
};

void measure(int workers)
{
    const std::size_t empty = usedBytes();
    planner_bench bench(workers);
    const double upStart = processorSeconds();
    bench.bringUp();
    const double upTime = processorSeconds() - upStart;
    const std::size_t withWorkers = usedBytes();

    const int jobs = static_cast<int>(static_cast<std::int64_t>(workers) * targetTasks
                                      / targetWorkers / tasksPerJob);
    const std::size_t messagesBefore = bench.messages();
    const std::size_t bytesBefore = bench.bytes();
    const std::size_t callsBefore = bench.storeCalls();
    const double jobsStart = processorSeconds();
    bench.submit(0, jobs, tasksPerJob);
    const double jobsTime = processorSeconds() - jobsStart;
    const std::size_t withJobs = usedBytes();
    const std::size_t running = bench.running();
    const std::size_t messages = bench.messages() - messagesBefore;
    const std::size_t bytes = bench.bytes() - bytesBefore;
    const std::size_t calls = bench.storeCalls() - callsBefore;

    constexpr int queuedJobs = 1000;
    bench.submit(jobs, queuedJobs, workers * 100); // larger than the cell, so rejected at once
    const std::size_t beforeQueue = usedBytes();
    bench.submit(jobs + queuedJobs, queuedJobs, 60 * workers);
    const std::size_t withQueue = usedBytes();

    constexpr int rounds = 10;
    const double heartbeatStart = processorSeconds();
    bench.heartbeats(rounds);
    const double heartbeatTime = processorSeconds() - heartbeatStart;

    constexpr int changes = 10;
    const double changeStart = processorSeconds();
    for (int i = 0; i < changes; ++i)
        bench.changeConfiguration(2 + i);
    const double changeTime = processorSeconds() - changeStart;

    const double microseconds = 1e6;
    fmt::print(
        "{:>7} {:>7} {:>7} {:>9.0f} {:>9.0f} {:>9.0f} {:>9.1f} {:>9.1f} {:>8.1f} {:>8.1f} "
        "{:>9.0f} {:>9.1f} {:>9.1f}\n",
        workers, running, bench.queued(), static_cast<double>(withWorkers - empty) / workers,
        static_cast<double>(withJobs - withWorkers) / static_cast<double>(running * tasksPerJob),
        static_cast<double>(withQueue - beforeQueue) / queuedJobs, upTime * microseconds / workers,
        jobsTime * microseconds / jobs, static_cast<double>(messages) / jobs,
        static_cast<double>(calls) / jobs, static_cast<double>(bytes) / jobs,
        heartbeatTime * microseconds / (rounds * workers), changeTime * microseconds / changes);
}

// Submits a job each second of an outage of ten minutes and counts those that start. The planner
// cannot tell an entry that is down from one on the other side of a partition, where it may accept
// a change: the same column shows work saved in the first case and starts that may violate a
// change in the second.
void compareOutageRules()
{
    constexpr int workers = 111;
    constexpr int jobs = 600;
    fmt::print("{} jobs submitted during a store outage; started by rule\n", jobs);
    fmt::print("{:<12} {:>18} {:>26} {:>26}\n", "rule", "3 of 3 entries",
               "2 of 3 entries reachable", "1 of 3 entries reachable");
    const std::pair<const char *, std::unique_ptr<outage_policy> (*)()> rules[]
        = {{"stop", makeStoppingPolicy},
           {"all entries", makeUnanimousPolicy},
           {"majority", makeMajorityPolicy}};
    for (const auto &[name, makePolicy] : rules) {
        fmt::print("{:<12}", name);
        for (const link_id reachable : {3, 2, 1}) {
            planner_bench bench(workers, makePolicy());
            bench.bringUp();
            bench.beginOutage(reachable);
            for (int i = 0; i < jobs; ++i) {
                bench.submit(i, 1, 1);
                bench.heartbeats(1);
                bench.advanceInTicks(500ms);
            }
            fmt::print(" {:>22}", bench.startedGangs());
        }
        fmt::print("\n");
    }
}

// Workers with 12 runs each, of which most have free accelerators. Tasks of two accelerators fit
// best on the slowest ones, so that all sets of faster workers are searched.
// @param speeds number of different speeds
std::vector<worker_capacity> makeCapacities(int workers, int speeds)
{
    constexpr int runsPerWorker = 12;
    constexpr double speedStep = 0.075; // in log(speed), as in worker_speed_model
    std::vector<worker_capacity> capacities;
    for (int i = 0; i < workers; ++i) {
        const worker_info info = makeWorker(i);
        worker_capacity capacity;
        capacity.worker = info.id;
        capacity.rack = info.rack;
        const int stepsFromUsual = i % speeds - speeds / 2;
        capacity.speed = speeds == 1 ? 1 : std::exp(speedStep * stepsFromUsual);
        capacity.free = {64000, 262144, 8};
        const int used = speeds == 1 ? i % 7 : 6 - 6 * (i % speeds) / (speeds - 1);
        for (int run = 0; run < runsPerWorker; ++run) {
            placed_run placed;
            placed.demand = {1000, 1024, run < used ? 1 : 0};
            placed.endsAt = time_point{} + duration(100 + (i * 7919 + run * 104729) % 20000);
            capacity.free -= placed.demand;
            capacity.runs.push_back(placed);
        }
        capacities.push_back(std::move(capacity));
    }
    return capacities;
}

// Returns the processor time of one search for a placement, in microseconds.
double placementTime(const std::vector<worker_capacity> &capacities, const step_spec &step,
                     std::int32_t count, bool prefersSlow)
{
    constexpr int searches = 20;
    placement_request request;
    request.step = &step;
    request.count = count;
    request.estimate = 2500ms;
    request.prefersSlow = prefersSlow;
    std::size_t found = 0;
    const double start = processorSeconds();
    for (int i = 0; i < searches; ++i)
        found += bestPlacement(capacities, request, time_point{}) ? 1 : 0;
    if (found != searches)
        std::abort();
    return (processorSeconds() - start) * 1e6 / searches;
}

// Returns the processor time of one refresh of the speeds of all machines, in microseconds.
double refreshTime(int workers)
{
    constexpr int refreshes = 20;
    worker_speed_model model;
    time_point now{1h};
    double total = 0;
    for (int i = 0; i < refreshes; ++i) {
        now += 2s;
        for (int worker = 0; worker < workers; ++worker)
            model.observe(makeWorker(worker).id, 2500ms,
                          duration(2000 + (worker * 7919 + i * 31) % 1000), 1, now);
        const double start = processorSeconds();
        model.refresh(now);
        total += processorSeconds() - start;
    }
    return total * 1e6 / refreshes;
}

// Prints what the speeds cost in a pass: one search for each unit that is tried, and one refresh.
void measureSpeeds()
{
    step_spec step;
    step.perTask = {1000, 1024, 2};
    fmt::print("processor time in us; speeds: different speeds among the workers\n");
    fmt::print("{:>7} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9}\n", "workers", "speeds", "urgent",
               "spare", "gang of 8", "waiting", "refresh");
    for (const int workers : {30, 300, 1000, targetWorkers}) {
        const double refresh = refreshTime(workers);
        for (const int speeds : {1, 7, 19}) {
            const std::vector<worker_capacity> capacities = makeCapacities(workers, speeds);
            std::vector<worker_capacity> full = capacities;
            for (worker_capacity &capacity : full)
                capacity.free.accelerators = 0;
            fmt::print("{:>7} {:>7} {:>9.1f} {:>9.1f} {:>9.1f} {:>9.1f} {:>9.1f}\n", workers,
                       speeds, placementTime(capacities, step, 1, false),
                       placementTime(capacities, step, 1, true),
                       placementTime(capacities, step, 8, false),
                       placementTime(full, step, 1, false), refresh);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "outage") {
        compareOutageRules();
        return EXIT_SUCCESS;
    }
    if (argc > 1 && std::string_view(argv[1]) == "speeds") {
        measureSpeeds();
        return EXIT_SUCCESS;
    }
    fmt::print("planner of one cell; jobs of {} tasks, {} teams\n", tasksPerJob, targetTeams);
    fmt::print("{:>7} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9} {:>9}\n",
               "workers", "running", "queued", "B/worker", "B/task", "B/queued", "us/worker",
               "us/job", "msg/job", "calls/jb", "B/job", "us/beat", "us/change");
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::atoi(argv[i]));
    if (sizes.empty())
        sizes = {11, 111, 445, 1225, 4900};
    for (const int workers : sizes)
        measure(workers);
    return EXIT_SUCCESS;
}
