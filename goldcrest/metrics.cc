#include "goldcrest/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <sstream>

namespace goldcrest {

namespace {

namespace bh = boost::histogram;

enum class metric_kind { Counter, Gauge, Histogram };

struct metric_row
{
    metric id;
    std::string_view name;
    metric_kind kind;
    std::string_view label; // name of the label; empty if there is none
    std::string_view programs; // that fill it, separated by commas, or "all"
    std::string_view help;
};

constexpr metric_kind counterKind = metric_kind::Counter;
constexpr metric_kind gaugeKind = metric_kind::Gauge;
constexpr metric_kind histogramKind = metric_kind::Histogram;

constexpr metric_row metricTable[] = {
    {metric::JobsAccepted, "jobs_accepted_total", counterKind, "class", "entry",
     "Jobs accepted by this entry."},
    {metric::JobsAttached, "jobs_attached_total", counterKind, "", "entry",
     "Submissions that attached to an existing job."},
    {metric::JobsRefused, "jobs_refused_total", counterKind, "code", "entry",
     "Submissions that this entry refused, by the name of the error."},
    {metric::JobsFinished, "jobs_finished_total", counterKind, "outcome", "entry",
     "Jobs whose outcome this entry received."},
    {metric::OpenJobs, "open_jobs", gaugeKind, "", "entry",
     "Accepted jobs without an outcome that this entry tracks."},
    {metric::StartDelay, "start_delay_seconds", histogramKind, "class", "entry",
     "Time from acceptance to the start of all tasks."},
    {metric::CompletionTime, "completion_seconds", histogramKind, "class", "entry",
     "Time from acceptance to the outcome."},
    {metric::HttpRequests, "http_requests_total", counterKind, "status", "entry, agent",
     "HTTP requests that were answered, by status."},
    {metric::HttpRequestTime, "http_request_seconds", histogramKind, "", "entry, agent",
     "Time from a complete request to its response, including the time that callers ask to wait."},
    {metric::HttpOpenRequests, "http_open_requests", gaugeKind, "", "entry, agent",
     "HTTP requests without a complete response."},
    {metric::HttpOpenConnections, "http_open_connections", gaugeKind, "", "entry, agent",
     "Open HTTP connections."},
    {metric::ConnectedAgents, "connected_agents", gaugeKind, "", "entry",
     "Agents that are connected to this entry."},
    {metric::ConfigInForceTime, "config_in_force_seconds", histogramKind, "", "entry",
     "Time from storing a configuration change until it is in force in all cells."},
    {metric::ConfigRevision, "config_revision", gaugeKind, "", "entry, planner",
     "Configuration revision that this process applies."},
    {metric::ConfigConfirmedAge, "config_confirmed_age_seconds", gaugeKind, "", "entry, planner",
     "Time since the configuration was last confirmed as current."},
    {metric::StoreCalls, "store_calls_total", counterKind, "result", "entry, planner",
     "Calls to the platform's store by result."},
    {metric::StoreCallTime, "store_call_seconds", histogramKind, "", "entry, planner",
     "Duration of one call to the platform's store, including retries."},
    {metric::PlannerEpoch, "planner_epoch", gaugeKind, "", "planner",
     "Epoch of the planner in this process; 0 if it is not elected."},
    {metric::QueuedJobs, "queued_jobs", gaugeKind, "", "planner", "Jobs that wait in the cell."},
    {metric::RunningJobs, "running_jobs", gaugeKind, "", "planner", "Jobs that run in the cell."},
    {metric::FreeAccelerators, "free_accelerators", gaugeKind, "", "planner",
     "Accelerators in service that no task uses."},
    {metric::BorrowedAccelerators, "borrowed_accelerators", gaugeKind, "", "planner",
     "Accelerators that tasks of one team use within the guarantee of another team."},
    {metric::LargestPlaceableGang, "largest_placeable_gang", gaugeKind, "", "planner",
     "Largest gang of single-accelerator tasks that would fit within one rack now."},
    {metric::UnmetGuarantees, "unmet_guarantees", gaugeKind, "", "planner",
     "Number of guarantees that do not fit on the workers in service."},
    {metric::Workers, "workers", gaugeKind, "state", "planner", "Workers of the cell by state."},
    {metric::GangsStarted, "gangs_started_total", counterKind, "class", "planner",
     "Gangs whose tasks have all started."},
    {metric::GangsStopped, "gangs_stopped_total", counterKind, "reason", "planner",
     "Gangs that ran and were stopped before their end, by reason."},
    {metric::HoldsRefused, "holds_refused_total", counterKind, "code", "planner",
     "Holds that an agent refused, by the name of the error."},
    {metric::DecisionTime, "decision_seconds", histogramKind, "", "planner",
     "Processor time that the scheduler uses for one event."},
    {metric::RunDecisions, "run_decisions_total", counterKind, "event", "sidecar",
     "Decisions of the planner of graph jobs, by kind."},
    {metric::UrgentRoom, "urgent_room_accelerators", gaugeKind, "kind", "sidecar",
     "Accelerators that urgent jobs are expected to need at a time (needed), and those that are "
     "kept free for them (held)."},
    {metric::HeldWorkBytes, "held_work_bytes", gaugeKind, "", "sidecar",
     "Memory that the planner is charged for the tasks of accepted jobs."},
    {metric::JobsWithoutRoom, "jobs_without_room", gaugeKind, "", "sidecar",
     "Jobs that are due and of which nothing is in the planner's memory yet."},
    {metric::InterferingPairs, "interfering_pairs", gaugeKind, "", "sidecar",
     "Ordered pairs of images of which the tasks of one are found to slow those of the other on "
     "the "
     "same worker."},
    {metric::LongTailRuns, "long_tail_runs", gaugeKind, "", "sidecar",
     "Runs whose expected end the last pass took from the quantiles of a queue with a heavy tail."},
    {metric::RunStops, "run_stops_total", counterKind, "reason", "sidecar",
     "Runs that this planner has stopped, by reason."},
    {metric::StopsRefused, "stops_refused_total", counterKind, "limit", "sidecar",
     "Times that a claim on running work was refused by a limit, once a pass: the rate of all "
     "stops, jobs spared after a stop, or capacity that becomes free soon."},
    {metric::TeamsOverShare, "teams_over_share", gaugeKind, "", "sidecar",
     "Teams that use far more than their fair share of a service for which others wait."},
    {metric::MaintenanceCalls, "maintenance_calls_total", counterKind, "answer", "sidecar",
     "Calls that take machines out for maintenance, by answer."},
    {metric::MaintenanceMachines, "maintenance_machines", gaugeKind, "state", "sidecar",
     "Machines of maintenance waves: requested, begun, down now, or refused for the time being."},
    {metric::MaintenanceWavesLate, "maintenance_waves_late", gaugeKind, "", "sidecar",
     "Maintenance waves whose time is over before all of their machines have begun."},
    {metric::AnnouncementsRefused, "announcements_refused_total", counterKind, "reason", "sidecar",
     "Announcements that were not taken as the backend server's own, by reason."},
    {metric::WorkerMachines, "worker_machines", gaugeKind, "speed", "sidecar",
     "Machines whose speed the planner of graph jobs knows: slow, usual or fast."},
    {metric::SpeedObservations, "worker_speed_observations_total", counterKind, "", "sidecar",
     "Runs from which the planner of graph jobs has learned the speeds of machines."},
    {metric::LearnedStateAge, "learned_state_age_seconds", gaugeKind, "", "sidecar",
     "Time since the record of learned state that this process last read or wrote was written; -1 "
     "if there is none."},
    {metric::LearnedStateBytes, "learned_state_bytes", gaugeKind, "", "sidecar",
     "Size of that record before the encoding of the store."},
    {metric::LearnedStateReads, "learned_state_reads_total", counterKind, "outcome", "sidecar",
     "Reads of the record by a new planner: used, absent, refused (stale or unreadable) or "
     "failed."},
    {metric::LearnedStateWrites, "learned_state_writes_total", counterKind, "outcome", "sidecar",
     "Writes of the record: done, replaced (another planner is elected) or failed."},
    {metric::AdmissionRefused, "admission_refused_total", counterKind, "priority", "front",
     "Jobs that were refused because they would start too late to be of use, by priority."},
    {metric::AdmissionOutlookAge, "admission_outlook_age_seconds", gaugeKind, "", "front",
     "Age of the planner's last admission outlook; -1 if there is none of the current planner."},
    {metric::AgentParts, "agent_parts", gaugeKind, "state", "agent",
     "Gang parts on the worker: held, running or finished."},
    {metric::AgentMessagesFenced, "agent_messages_fenced_total", counterKind, "", "agent",
     "Messages refused because their epoch was below the highest seen."},
    {metric::BackendCalls, "backend_calls_total", counterKind, "result", "agent",
     "Calls to the backend server by result."},
    {metric::BackendCallTime, "backend_call_seconds", histogramKind, "", "agent",
     "Duration of one call to the backend server."},
    {metric::BackendReachable, "backend_reachable", gaugeKind, "", "agent",
     "1 if the backend server answers, else 0."},
    {metric::OpenLinks, "open_links", gaugeKind, "", "all",
     "Open links to other processes, outgoing and accepted."},
    {metric::LinkBytesSent, "link_bytes_sent_total", counterKind, "", "all",
     "Bytes sent on links, with WebSocket frame headers, without TCP/IP headers."},
    {metric::LinkBytesReceived, "link_bytes_received_total", counterKind, "", "all",
     "Bytes received on links, with WebSocket frame headers, without TCP/IP headers."},
    {metric::LinkFramesSent, "link_frames_sent_total", counterKind, "", "all",
     "Frames sent on links, pings included."},
    {metric::LinkFramesReceived, "link_frames_received_total", counterKind, "", "all",
     "Frames received on links, pings included."},
    {metric::LinkSendsRefused, "link_sends_refused_total", counterKind, "", "all",
     "Messages dropped because the link was closed or its send buffer full."},
    {metric::LinksRefused, "links_refused_total", counterKind, "", "all",
     "Links closed because of a limit, an invalid hello message or a malformed frame."},
    {metric::LinksIdleClosed, "links_idle_closed_total", counterKind, "", "all",
     "Links closed because no data arrived within the idle timeout."},
    {metric::ClientMemory, "client_memory_bytes", gaugeKind, "", "all",
     "Memory for connections and requests in flight, as charged to the budget."},
    {metric::ClientMemoryLimit, "client_memory_limit_bytes", gaugeKind, "", "all",
     "Budget for connections and requests in flight."},
    {metric::ClientsRefused, "clients_refused_total", counterKind, "cause", "all",
     "Clients that were refused or whose connection was closed in favour of others, by cause."},
};

constexpr std::string_view namePrefix = "goldcrest_";
constexpr std::string_view otherLabel = "other";

// Returns whether a comma-separated list of programs contains `program`.
bool listContains(std::string_view programs, std::string_view program)
{
    std::istringstream list{std::string(programs)};
    for (std::string item; std::getline(list >> std::ws, item, ',');) {
        if (item == program)
            return true;
    }
    return false;
}

// Checks that the row of each metric stands at the index of its enum value, which rowOf() needs.
constexpr bool isTableInOrder()
{
    std::size_t index = 0;
    for (const metric_row &row : metricTable) {
        if (static_cast<std::size_t>(row.id) != index++)
            return false;
    }
    return index == static_cast<std::size_t>(metric::ClientsRefused) + 1;
}
static_assert(isTableInOrder(), "metricTable must have one row for each metric, in order");

const metric_row &rowOf(metric id)
{
    return metricTable[static_cast<std::size_t>(id)];
}

// Four buckets per decade from 1 ms to 10^5 s, which is more than a day.
constexpr unsigned bucketCount = 32;
constexpr double lowestBound = 1e-3;
constexpr double highestBound = 1e5;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

// Histogram of times in seconds, with their sum and number.
class latency_histogram
{
public:
    void add(double seconds)
    {
        // The logarithm of 0 is undefined; a time of 0 is counted in the underflow bucket.
        m_counts(seconds > 0 ? seconds : lowestBound / 2);
        m_sum += seconds;
        ++m_total;
    }

    std::uint64_t total() const { return m_total; }
    double sum() const { return m_sum; }

    // Calls `visit` with the upper bound of each bucket, in seconds, and the number of times up to
    // that bound.
    template<typename F>
    void forEachBound(F visit) const
    {
        std::uint64_t cumulated = countAt(-1);
        visit(lowestBound, cumulated);
        for (int i = 0; i < static_cast<int>(bucketCount); ++i) {
            cumulated += countAt(i);
            visit(m_counts.axis().bin(i).upper(), cumulated);
        }
    }

private:
    // Returns the count of one bucket; -1 is the underflow bucket.
    std::uint64_t countAt(int index) const
    {
        return static_cast<std::uint64_t>(m_counts.at(index));
    }

    using counts = decltype(bh::make_histogram(log_axis(bucketCount, lowestBound, highestBound)));
    counts m_counts = bh::make_histogram(log_axis(bucketCount, lowestBound, highestBound));
    double m_sum = 0;
    std::uint64_t m_total = 0;
};

std::string_view kindName(metric_kind kind)
{
    switch (kind) {
    case metric_kind::Counter:
        return "counter";
    case metric_kind::Gauge:
        return "gauge";
    case metric_kind::Histogram:
        break;
    }
    return "histogram";
}

std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const char *format = std::floor(value) == value && std::fabs(value) < 1e15 ? "%.0f" : "%.6g";
    std::snprintf(buffer.data(), buffer.size(), format, value);
    return buffer.data();
}

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

// Formats the labels of a sample, with the `le` label of a histogram bucket unless `bound` is
// empty.
std::string formatLabels(const metric_row &row, const std::string &label, const std::string &bound)
{
    std::string labels;
    if (!row.label.empty())
        labels.append(row.label).append("=\"").append(escapeLabel(label)).append("\"");
    if (!bound.empty())
        labels.append(labels.empty() ? "" : ",").append("le=\"").append(bound).append("\"");
    return labels.empty() ? labels : "{" + labels + "}";
}

void writeHistogram(std::ostream &out, const metric_row &row, const std::string &label,
                    const latency_histogram &histogram)
{
    const auto bucket = [&](const std::string &bound, std::uint64_t count) {
        out << namePrefix << row.name << "_bucket" << formatLabels(row, label, bound) << ' '
            << count << '\n';
    };
    histogram.forEachBound(
        [&](double bound, std::uint64_t count) { bucket(formatNumber(bound), count); });
    bucket("+Inf", histogram.total());
    out << namePrefix << row.name << "_sum" << formatLabels(row, label, "") << ' '
        << formatNumber(histogram.sum()) << '\n';
    out << namePrefix << row.name << "_count" << formatLabels(row, label, "") << ' '
        << histogram.total() << '\n';
}

} // namespace

struct metrics_registry::state
{
    template<typename T>
    using series = std::map<std::string, T, std::less<>>;

    // Values by label value; a metric without a label has one value, under the empty label.
    std::map<metric, series<double>> numbers;
    std::map<metric, series<latency_histogram>> histograms;

    // Returns the value for a label value, added if it is new. Label values beyond maxLabelValues
    // share the value of otherLabel.
    template<typename T>
    static T &seriesValue(series<T> &values, const metric_row &row, std::string_view label)
    {
        const std::string_view used = row.label.empty() ? std::string_view{} : label;
        const auto found = values.find(used);
        if (found != values.end())
            return found->second;
        return values[std::string(values.size() < maxLabelValues ? used : otherLabel)];
    }
};

metrics_registry::metrics_registry()
    : m_state(std::make_unique<state>())
{ }

metrics_registry::~metrics_registry() = default;

void metrics_registry::add(metric id, std::string_view label, std::uint64_t amount)
{
    state::seriesValue(m_state->numbers[id], rowOf(id), label) += static_cast<double>(amount);
}

void metrics_registry::set(metric id, double value, std::string_view label)
{
    state::seriesValue(m_state->numbers[id], rowOf(id), label) = value;
}

void metrics_registry::observe(metric id, std::chrono::nanoseconds time, std::string_view label)
{
    const double seconds = std::chrono::duration<double>(time).count();
    state::seriesValue(m_state->histograms[id], rowOf(id), label).add(seconds);
}

void metrics_registry::setLinkTraffic(const link_traffic &traffic, std::size_t openLinks)
{
    set(metric::OpenLinks, static_cast<double>(openLinks));
    set(metric::LinkBytesSent, static_cast<double>(traffic.bytesSent));
    set(metric::LinkBytesReceived, static_cast<double>(traffic.bytesReceived));
    set(metric::LinkFramesSent, static_cast<double>(traffic.framesSent));
    set(metric::LinkFramesReceived, static_cast<double>(traffic.framesReceived));
    set(metric::LinkSendsRefused, static_cast<double>(traffic.sendsRefused));
    set(metric::LinksRefused, static_cast<double>(traffic.linksRefused));
    set(metric::LinksIdleClosed, static_cast<double>(traffic.idleClosed));
}

void metrics_registry::setClientMemory(const memory_budget &budget)
{
    set(metric::ClientMemory, static_cast<double>(budget.used()));
    set(metric::ClientMemoryLimit, static_cast<double>(budget.limit()));
    for (std::size_t i = 0; i < refusalCauses; ++i) {
        set(metric::ClientsRefused, static_cast<double>(budget.refusals()[i]),
            nameOf(static_cast<refusal_cause>(i)));
    }
}

void metrics_registry::setStoreCalls(const store_client_counts &counts)
{
    const auto set = [this](std::string_view result, std::uint64_t count) {
        this->set(metric::StoreCalls, static_cast<double>(count), result);
    };
    set("sent", counts.attempts);
    set("repeated", counts.retries);
    set("over budget", counts.overBudget);
    set("failed fast", counts.failedFast);
    set("unresolved", counts.unresolved);
}

void metrics_registry::clear(std::string_view program)
{
    for (const metric_row &row : metricTable) {
        if (row.programs == program)
            clear(row.id);
    }
}

void metrics_registry::clear(metric id)
{
    m_state->numbers.erase(id);
    m_state->histograms.erase(id);
}

double metrics_registry::value(metric id, std::string_view label) const
{
    if (rowOf(id).kind == metric_kind::Histogram) {
        const auto found = m_state->histograms.find(id);
        if (found == m_state->histograms.end())
            return 0;
        const auto item = found->second.find(label);
        return item == found->second.end() ? 0 : static_cast<double>(item->second.total());
    }
    const auto found = m_state->numbers.find(id);
    if (found == m_state->numbers.end())
        return 0;
    const auto item = found->second.find(label);
    return item == found->second.end() ? 0 : item->second;
}

duration metrics_registry::quantile(metric id, double quantile, std::string_view label) const
{
    const auto found = m_state->histograms.find(id);
    if (found == m_state->histograms.end())
        return 0ms;
    const auto item = found->second.find(label);
    if (item == found->second.end())
        return 0ms;
    const double wanted = quantile * static_cast<double>(item->second.total());
    double bound = highestBound;
    item->second.forEachBound([&](double upper, std::uint64_t count) {
        if (static_cast<double>(count) >= wanted)
            bound = std::min(bound, upper);
    });
    return std::chrono::round<duration>(std::chrono::duration<double>(bound));
}

std::string metrics_registry::text() const
{
    std::ostringstream out;
    for (const metric_row &row : metricTable) {
        const auto numbers = m_state->numbers.find(row.id);
        const auto histograms = m_state->histograms.find(row.id);
        const bool isSet
            = numbers != m_state->numbers.end() || histograms != m_state->histograms.end();
        if (!isSet)
            continue;
        out << "# HELP " << namePrefix << row.name << ' ' << row.help << '\n';
        out << "# TYPE " << namePrefix << row.name << ' ' << kindName(row.kind) << '\n';
        if (numbers != m_state->numbers.end()) {
            for (const auto &[label, value] : numbers->second)
                out << namePrefix << row.name << formatLabels(row, label, "") << ' '
                    << formatNumber(value) << '\n';
        }
        if (histograms != m_state->histograms.end()) {
            for (const auto &[label, histogram] : histograms->second)
                writeHistogram(out, row, label, histogram);
        }
    }
    return out.str();
}

std::vector<std::string> metricNames(std::string_view program)
{
    std::vector<std::string> found;
    for (const metric_row &row : metricTable) {
        if (listContains(row.programs, program) || row.programs == "all")
            found.push_back(std::string(namePrefix) + std::string(row.name));
    }
    return found;
}

std::string metricsMarkdown()
{
    std::ostringstream out;
    out << "# Metrics\n\n"
           "`GET /metrics` answers in the Prometheus text format, at `httpListen` of an entry and "
           "at\n`backendListen` of an agent, with the bearer token if one is set. The agent of a "
           "cell's\nplanner reports the planner's metrics too. All names start with `"
        << namePrefix
        << "`. Histograms have four\nbuckets a decade from 1 ms to 10^5 s. A label has at most "
        << metrics_registry::maxLabelValues
        << " values; more are counted as `other`. This page is\ngenerated from the table in "
           "`goldcrest/metrics.cc`.\n\n"
           "| metric | type | label | programs | meaning |\n|---|---|---|---|---|\n";
    for (const metric_row &row : metricTable)
        out << "| `" << row.name << "` | " << kindName(row.kind) << " | " << row.label << " | "
            << row.programs << " | " << row.help << " |\n";
    return out.str();
}

} // namespace goldcrest
