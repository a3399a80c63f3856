#include "testing/planner_cell_support.h"

#include <algorithm>
#include <ctime>
#include <iterator>

namespace goldcrest {

namespace {

constexpr std::size_t workersPerRack = 10;
constexpr int priorities = 3;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

double valueOf(const cell_job_outcome &outcome)
{
    struct class_value
    {
        const char *queue;
        double full;
        double reduced; // share of it
    };
    constexpr class_value values[] = {{"q0", 4, 0.8}, {"q1", 3, 0.9}, {"q2", 1, 0.3}};
    constexpr int lateFactor = 3;
    if (!outcome.isDone())
        return 0;
    const duration taken = *outcome.doneAt - outcome.submittedAt;
    for (const class_value &value : values) {
        if (outcome.queue != value.queue || taken > outcome.target * lateFactor)
            continue;
        return taken <= outcome.target ? value.full : value.full * value.reduced;
    }
    return 0;
}

planner_cell::planner_cell(const run_planner_options &options)
    : m_options(options)
    , m_catalogue(std::make_shared<queue_catalogue>())
    , m_planner(std::make_unique<run_planner>(options, m_epoch, m_now))
{
    m_catalogue->at = 1;
    for (std::int32_t priority = 0; priority < priorities; ++priority) {
        queue_entry queue;
        queue.name = "q" + std::to_string(priority);
        queue.policy.service = "s";
        queue.policy.priority = priority;
        queue.policy.maxAttempts = 3;
        queue.policy.slackFactor = priority == 0 ? 1.5 : 3;
        queue.policy.completionTarget = 1s;
        m_catalogue->queues.push_back(queue);
    }
    confirm();
}

queue_policy &planner_cell::policyOf(std::int32_t priority)
{
    return m_catalogue->queues.at(static_cast<std::size_t>(priority)).policy;
}

void planner_cell::addTeam(const std::string &name, std::int64_t guaranteedAccelerators)
{
    queue_team team;
    team.name = name;
    team.guaranteedAccelerators = guaranteedAccelerators;
    m_catalogue->teams.push_back(team);
    confirm();
}

void planner_cell::addWorkers(std::size_t count, const resources &capacity)
{
    for (std::size_t i = 0; i < count; ++i) {
        cell_worker worker;
        worker.name = "w" + std::to_string(m_workers.size());
        worker.rack = "r" + std::to_string(m_workers.size() / workersPerRack);
        worker.capacity = capacity;
        m_workers.push_back(worker);
        report(m_workers.back());
    }
}

void planner_cell::submit(const std::string &id, std::int32_t priority, const std::string &team,
                          const step_spec &step, duration runTime)
{
    cell_job &job = m_jobs[id];
    job.runTime = runTime;
    job.spec.id = id;
    job.spec.queue = "q" + std::to_string(priority);
    job.spec.team = team;
    job.spec.policy = policyOf(priority);
    job.spec.steps.push_back(step);
    job.spec.acceptedAt = m_wall;
    cell_job_outcome outcome;
    outcome.queue = job.spec.queue;
    outcome.team = team;
    outcome.tasks = step.count;
    outcome.submittedAt = m_now;
    outcome.target
        = scaled(runTime, job.spec.policy.slackFactor) + job.spec.policy.completionTarget;
    m_outcomes[id] = outcome;
    m_planner->addJob(job.spec, std::nullopt, m_wall, m_now);
}

void planner_cell::run(duration time)
{
    for (const time_point end = m_now + time; m_now < end;) {
        m_now += tick;
        m_wall += tick.count();
        confirm();
        for (cell_worker &worker : m_workers) {
            endRuns(worker);
            report(worker);
        }
        const double before = processorSeconds();
        m_planner->plan(m_wall, m_now);
        m_passSeconds += processorSeconds() - before;
        ++m_passes;
        store();
        for (cell_worker &worker : m_workers)
            carryOut(worker);
        for (const run_decision &decision : m_planner->takeDecisions())
            ++m_decisions[decision.event];
    }
}

void planner_cell::replacePlanner()
{
    m_planner = std::make_unique<run_planner>(m_options, ++m_epoch, m_now);
    confirm();
    for (const auto &[id, job] : m_jobs) {
        const auto stored = m_stored.find(id);
        m_planner->addJob(job.spec,
                          stored == m_stored.end() ? std::nullopt : std::optional(stored->second),
                          m_wall, m_now);
    }
    for (cell_worker &worker : m_workers) {
        worker.ordersSeen = 0;
        report(worker);
    }
}

void planner_cell::setOptions(const run_planner_options &options)
{
    m_options = options;
    m_planner->setOptions(options);
}

std::int32_t planner_cell::decisions(const std::string &event) const
{
    const auto found = m_decisions.find(event);
    return found == m_decisions.end() ? 0 : found->second;
}

void planner_cell::confirm()
{
    operator_view view;
    view.catalogue = m_catalogue;
    view.confirmedAt = m_now;
    m_planner->setView(view);
}

void planner_cell::store()
{
    constexpr std::size_t perCall = 1000;
    while (m_planner->hasChanges()) {
        const std::vector<stored_change> changes = m_planner->takeChanges(perCall);
        for (const stored_change &change : changes) {
            m_stored[change.job] = change.progress;
            if (change.progress.state == graph_job_state::Completed
                && !m_outcomes[change.job].doneAt)
                m_outcomes[change.job].doneAt = m_now;
        }
        m_planner->onStored(changes);
    }
}

duration planner_cell::workOf(const cell_run &run) const
{
    constexpr std::uint64_t parts = 1000;
    // Unlike std::hash, the same with every library.
    std::uint64_t hash = 14695981039346656037U;
    for (const char c : run.id.task)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
    const auto part = static_cast<double>((hash >> 20) % parts) / parts;
    const duration runTime = m_jobs.at(run.job).runTime;
    return part < m_tailShare ? scaled(runTime, m_tailFactor) : runTime;
}

void planner_cell::setTail(double share, double factor)
{
    m_tailShare = share;
    m_tailFactor = factor;
}

void planner_cell::report(cell_worker &worker)
{
    constexpr int whole = 100;
    worker_report_message report;
    report.plannerEpoch = m_epoch;
    report.ordersSeen = worker.ordersSeen;
    report.worker = worker.name;
    report.incarnation = worker.name + "-1";
    report.machine = worker.name + "-machine";
    report.service = "s";
    report.failureDomain = "d";
    report.rack = worker.rack;
    report.capacity = worker.capacity;
    report.clock = m_wall;
    for (const cell_run &run : worker.runs) {
        running_task running;
        running.run = run.id;
        const duration worked = m_now - run.startedAt + run.skipped;
        running.percent = static_cast<std::int32_t>(
            std::min<duration::rep>(whole - 1, worked.count() * whole / workOf(run).count()));
        const step_spec &step = m_jobs.at(run.job).spec.steps.front();
        if (step.checkpointing && worked > 0ms)
            running.saved = std::to_string(worked / m_options.checkpointInterval
                                           * m_options.checkpointInterval.count());
        report.running.push_back(running);
    }
    report.ended = worker.ended;
    m_planner->onReport(report, m_wall, m_now);
}

void planner_cell::carryOut(cell_worker &worker)
{
    const std::optional<worker_orders_message> orders = m_planner->ordersFor(worker.name, m_now);
    if (!orders)
        return;
    worker.ordersSeen = orders->sequence;
    worker.ended.erase(
        std::remove_if(worker.ended.begin(), worker.ended.end(),
                       [&](const ended_task &ended) { return ended.number <= orders->endsStored; }),
        worker.ended.end());
    for (const run_id &stopped : orders->stops) {
        for (cell_run &run : worker.runs) {
            if (run.id == stopped && !run.stopsAt)
                run.stopsAt = m_now + m_options.stopTime + m_stopDelays[worker.name];
        }
    }
    for (const start_order &order : orders->starts)
        startRun(worker, order);
}

void planner_cell::startRun(cell_worker &worker, const start_order &order)
{
    const auto isKnown = [&order](const auto &one) { return one == order.run; };
    if (std::any_of(worker.runs.begin(), worker.runs.end(),
                    [&](const cell_run &run) { return isKnown(run.id); })
        || std::any_of(worker.ended.begin(), worker.ended.end(),
                       [&](const ended_task &ended) { return isKnown(ended.run); }))
        return;
    cell_run run;
    run.id = order.run;
    run.job = valueOf(parseTask(order.run.task)).job;
    run.startedAt = m_now;
    if (!order.saved.empty())
        run.skipped = duration(std::stoll(order.saved));
    worker.runs.push_back(run);
    ++m_started;
    cell_job_outcome &outcome = m_outcomes[run.job];
    if (!outcome.startedAt)
        outcome.startedAt = m_now;
}

void planner_cell::endRuns(cell_worker &worker)
{
    for (auto run = worker.runs.begin(); run != worker.runs.end();) {
        const step_spec &step = m_jobs.at(run->job).spec.steps.front();
        const duration worked = m_now - run->startedAt;
        const bool isDone = worked + run->skipped >= workOf(*run);
        const bool isStopped = run->stopsAt && *run->stopsAt <= m_now;
        if (!isDone && !isStopped) {
            ++run;
            continue;
        }
        ended_task ended;
        ended.number = ++worker.lastEnd;
        ended.run = run->id;
        ended.how = isDone ? run_end::Done : run_end::Stopped;
        if (!isDone) {
            const duration total = worked + run->skipped;
            const duration saved = step.checkpointing
                ? total / m_options.checkpointInterval * m_options.checkpointInterval
                : 0ms;
            if (saved > 0ms)
                ended.saved = std::to_string(saved.count());
            ++m_stops;
            ++m_outcomes[run->job].stops;
            m_wasted += static_cast<double>(step.perTask.cores) / 1000
                * static_cast<double>((total - std::max(saved, run->skipped)).count()) / 1000;
        }
        worker.ended.push_back(ended);
        run = worker.runs.erase(run);
    }
}

} // namespace goldcrest
