#pragma once

// Counters, gauges and latency histograms of one process, in the Prometheus text format. The table
// of all metrics is in metrics.cc; docs/metrics.md is generated from it.
//
//   metrics_registry metrics;
//   metrics.add(metric::JobsAccepted, className);
//   metrics.set(metric::OpenJobs, core.openJobs());
//   metrics.observe(metric::StartDelay, delay, className);
//   response.body = metrics.text();
//
// A metric has at most one label. The table holds its name; callers pass its value as the last
// argument.

#include "goldcrest/clock.h"
#include "goldcrest/memory_budget.h"
#include "goldcrest/store_client.h"
#include "goldcrest/websocket_link.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// The metrics, grouped by the programs that fill them.
enum class metric {
    // Entries.
    JobsAccepted,
    JobsAttached,
    JobsRefused,
    JobsFinished,
    OpenJobs,
    StartDelay,
    CompletionTime,
    HttpRequests,
    HttpRequestTime,
    HttpOpenRequests,
    HttpOpenConnections,
    ConnectedAgents,
    ConfigInForceTime,
    // Entries and planners.
    ConfigRevision,
    ConfigConfirmedAge,
    StoreCalls,
    StoreCallTime,
    // Planners.
    PlannerEpoch,
    QueuedJobs,
    RunningJobs,
    FreeAccelerators,
    BorrowedAccelerators,
    LargestPlaceableGang,
    UnmetGuarantees,
    Workers,
    GangsStarted,
    GangsStopped,
    HoldsRefused,
    DecisionTime,
    // Sidecars.
    RunDecisions,
    UrgentRoom,
    HeldWorkBytes,
    JobsWithoutRoom,
    InterferingPairs,
    LongTailRuns,
    RunStops,
    StopsRefused,
    TeamsOverShare,
    MaintenanceCalls,
    MaintenanceMachines,
    MaintenanceWavesLate,
    AnnouncementsRefused,
    WorkerMachines,
    SpeedObservations,
    LearnedStateAge,
    LearnedStateBytes,
    LearnedStateReads,
    LearnedStateWrites,
    // Fronts.
    AdmissionRefused,
    AdmissionOutlookAge,
    // Agents.
    AgentParts,
    AgentMessagesFenced,
    BackendCalls,
    BackendCallTime,
    BackendReachable,
    // All.
    OpenLinks,
    LinkBytesSent,
    LinkBytesReceived,
    LinkFramesSent,
    LinkFramesReceived,
    LinkSendsRefused,
    LinksRefused,
    LinksIdleClosed,
    ClientMemory,
    ClientMemoryLimit,
    ClientsRefused,
};

class metrics_registry
{
public:
    // Further label values of a metric are counted as "other", which bounds the memory when the
    // values come from requests.
    static constexpr std::size_t maxLabelValues = 200;

    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry &) = delete;
    metrics_registry &operator=(const metrics_registry &) = delete;

    // Adds to a counter.
    void add(metric id, std::string_view label = {}, std::uint64_t amount = 1);

    // Sets a gauge, or a counter whose total another module keeps.
    void set(metric id, double value, std::string_view label = {});

    // Adds a time to a histogram.
    void observe(metric id, std::chrono::nanoseconds time, std::string_view label = {});

    // Sets the metrics of the links between processes.
    void setLinkTraffic(const link_traffic &traffic, std::size_t openLinks);

    // Sets the metrics of the memory for clients.
    void setClientMemory(const memory_budget &budget);

    // Sets the numbers of calls to the store by result.
    void setStoreCalls(const store_client_counts &counts);

    // Removes the values of all metrics that only `program` fills. An agent calls it with "planner"
    // when its planner stops, so that it no longer reports the planner's metrics.
    void clear(std::string_view program);

    // Removes the values of one metric.
    void clear(metric id);

    // Returns the value of a counter or gauge, or the number of times in a histogram; 0 if the
    // metric was never set.
    double value(metric id, std::string_view label = {}) const;

    // Returns the upper bound of the histogram bucket that holds the quantile; 0 if the histogram
    // is empty.
    // @param quantile 0 to 1
    duration quantile(metric id, double quantile, std::string_view label = {}) const;

    // Returns, in the Prometheus text format 0.0.4, all metrics that have a value.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

// Returns the full names of the metrics that a program ("entry", "agent", "planner" or "sidecar")
// fills, including those that all programs fill.
std::vector<std::string> metricNames(std::string_view program);

// Returns the content of docs/metrics.md. GOLDCREST_WRITE_DOCS=1 build/metrics_test writes the
// page.
std::string metricsMarkdown();

} // namespace goldcrest
