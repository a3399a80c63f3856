#include "testing/planner_scene_support.h"

#include <algorithm>
#include <ctime>
#include <iterator>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration tick = 100ms;
constexpr duration reportInterval = 500ms;
constexpr int workersPerRack = 8;

std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

planner_scene::planner_scene(const run_planner_options &options, int workers,
                             const resources &capacity)
    : m_options(options)
{
    for (std::int32_t priority = 0; priority < 3; ++priority) {
        queue_entry queue;
        queue.name = "q" + std::to_string(priority);
        queue.policy.service = "s";
        queue.policy.priority = priority;
        queue.policy.maxAttempts = 3;
        queue.policy.slackFactor = priority == 0 ? 1.5 : 3;
        queue.policy.completionTarget = priority == 0 ? 300ms : 1s * priority;
        m_catalogue->queues.push_back(queue);
    }
    m_catalogue->at = 1;
    m_catalogue->teams.push_back({"t", {}, 0});
    for (int i = 0; i < workers; ++i) {
        backend &added = m_backends.emplace_back();
        const std::string number = std::to_string(10'000 + i).substr(1);
        added.report.worker = "w" + number;
        added.report.incarnation = "w" + number + "/1";
        added.report.machine = "m" + number;
        added.report.service = "s";
        added.report.failureDomain = "north";
        added.report.rack = "r" + std::to_string(i / workersPerRack);
        added.report.capacity = capacity;
    }
    replacePlanner();
}

void planner_scene::replacePlanner()
{
    ++m_epoch;
    m_planner = std::make_unique<run_planner>(m_options, m_epoch, m_now);
    operator_view view;
    view.catalogue = m_catalogue;
    view.confirmedAt = m_now;
    m_planner->setView(view);
    for (const auto &[id, spec] : m_specs) {
        const auto stored = m_stored.find(id);
        m_planner->addJob(spec,
                          stored == m_stored.end() ? std::nullopt : std::optional(stored->second),
                          m_wall, m_now);
    }
    for (backend &one : m_backends) {
        one.ordersSeen = 0;
        sendReport(one);
    }
}

void planner_scene::setOptions(const run_planner_options &options)
{
    m_options = options;
    m_planner->setOptions(options);
}

void planner_scene::setSpeeds(const std::vector<double> &speeds)
{
    for (std::size_t i = 0; i < m_backends.size(); ++i)
        m_backends[i].speed = speeds[i % speeds.size()];
}

void planner_scene::addJob(const std::string &id, std::int32_t priority, const step_spec &step,
                           duration runTime)
{
    graph_job job;
    job.id = id;
    job.queue = "q" + std::to_string(priority);
    job.team = "t";
    job.policy = m_catalogue->queues[static_cast<std::size_t>(priority)].policy;
    job.steps.push_back(step);
    job.acceptedAt = m_wall;
    m_specs[id] = job;
    scene_job &added = m_jobs[id];
    added.addedAt = m_now;
    added.runTime = runTime;
    added.image = step.image;
    added.left = step.count;
    m_demands[id] = step.perTask;
    m_planner->addJob(job, std::nullopt, m_wall, m_now);
}

void planner_scene::advance(duration time)
{
    for (duration passed = 0ms; passed < time; passed += tick) {
        m_now += tick;
        m_wall += tick.count();
        for (backend &one : m_backends)
            work(one, tick);
        if (m_now.time_since_epoch() % reportInterval == 0ms) {
            for (backend &one : m_backends)
                sendReport(one);
        }
        plan();
    }
}

void planner_scene::plan()
{
    operator_view view;
    view.catalogue = m_catalogue;
    view.confirmedAt = m_now;
    m_planner->setView(view);
    const std::chrono::nanoseconds begun = processorTime();
    m_planner->plan(m_wall, m_now);
    m_passTime += processorTime() - begun;
    ++m_passes;
    for (bool hasMore = true; hasMore;) {
        const std::vector<stored_change> changes = m_planner->takeChanges(100);
        for (const stored_change &change : changes)
            m_stored[change.job] = change.progress;
        m_planner->onStored(changes);
        hasMore = !changes.empty();
    }
    const std::set<worker_id> changed = m_planner->takeChangedWorkers();
    for (backend &one : m_backends) {
        if (changed.count(one.report.worker) > 0)
            deliverOrders(one);
    }
    std::vector<run_decision> decisions = m_planner->takeDecisions();
    std::move(decisions.begin(), decisions.end(), std::back_inserter(m_decisions));
}

double planner_scene::slowdownOf(const backend &on, const run_id &run) const
{
    if (!m_slowdown)
        return 1;
    double factor = 1;
    const std::string &image = m_jobs.at(on.running.at(run).job).image;
    std::set<std::string> neighbours;
    for (const auto &[other, state] : on.running) {
        if (!(other == run))
            neighbours.insert(m_jobs.at(state.job).image);
    }
    for (const std::string &neighbour : neighbours)
        factor = std::max(factor, m_slowdown(image, neighbour));
    return factor;
}

void planner_scene::work(backend &on, duration time)
{
    std::vector<std::pair<run_id, run_end>> over;
    for (auto &[run, state] : on.running) {
        const double rate = static_cast<double>(time.count())
            / static_cast<double>(m_jobs.at(state.job).runTime.count());
        state.done += rate * on.speed / slowdownOf(on, run);
        if (state.done >= 1 - 1e-9)
            over.emplace_back(run, run_end::Done);
        else if (m_now >= state.stopsAt)
            over.emplace_back(run, run_end::Stopped);
    }
    for (const auto &[run, how] : over)
        end(on, run, how);
}

void planner_scene::end(backend &on, const run_id &run, run_end how)
{
    const scene_run ended = on.running.at(run);
    scene_job &job = m_jobs.at(ended.job);
    on.running.erase(run);
    on.ended.push_back({++on.ends, run, how, {}});
    if (how != run_end::Done) {
        ++m_stopped;
        const double seconds = std::chrono::duration<double>(m_now - ended.begunAt).count();
        m_wasted += seconds * ended.cores;
    } else if (--job.left == 0) {
        job.doneAt = m_now;
    }
    sendReport(on);
}

void planner_scene::sendReport(backend &on)
{
    worker_report_message report = on.report;
    report.plannerEpoch = m_epoch;
    report.ordersSeen = on.ordersSeen;
    report.clock = m_now.time_since_epoch().count();
    report.ended = on.ended;
    for (const auto &[run, state] : on.running)
        report.running.push_back({run, {}, static_cast<std::int32_t>(state.done * 100), 0});
    m_planner->onReport(report, m_wall, m_now);
    deliverOrders(on);
}

void planner_scene::deliverOrders(backend &on)
{
    const std::optional<worker_orders_message> orders
        = m_planner->ordersFor(on.report.worker, m_now);
    if (!orders)
        return;
    on.ordersSeen = orders->sequence;
    on.ended.erase(
        std::remove_if(on.ended.begin(), on.ended.end(),
                       [&](const ended_task &one) { return one.number <= orders->endsStored; }),
        on.ended.end());
    for (const start_order &start : orders->starts) {
        const auto isEnd = [&](const ended_task &one) { return one.run == start.run; };
        if (on.running.count(start.run) > 0 || std::any_of(on.ended.begin(), on.ended.end(), isEnd))
            continue;
        scene_run &added = on.running[start.run];
        added.job = start.run.task.substr(0, start.run.task.find('.'));
        added.begunAt = m_now;
        added.cores = static_cast<double>(m_demands.at(added.job).cores) / 1000;
        scene_job &job = m_jobs.at(added.job);
        if (!job.begunAt)
            job.begunAt = m_now;
    }
    for (const run_id &stop : orders->stops) {
        const auto found = on.running.find(stop);
        if (found != on.running.end() && found->second.stopsAt == time_point::max())
            found->second.stopsAt = m_now + m_options.stopTime;
    }
}

std::vector<std::string> planner_scene::jobsOn(int worker) const
{
    std::vector<std::string> jobs;
    for (const auto &[run, state] : m_backends.at(static_cast<std::size_t>(worker)).running)
        jobs.push_back(state.job);
    return jobs;
}

std::chrono::nanoseconds planner_scene::takePassTime()
{
    const std::chrono::nanoseconds mean = m_passTime / std::max(1, std::exchange(m_passes, 0));
    m_passTime = {};
    return mean;
}

int planner_scene::freeWorkers() const
{
    return static_cast<int>(std::count_if(m_backends.begin(), m_backends.end(),
                                          [](const backend &one) { return one.running.empty(); }));
}

} // namespace goldcrest
