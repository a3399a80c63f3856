#pragma once

// Metrics of the planner role.
//
//   options.engine = measureScheduler(makeGangScheduler(cell), metrics); // decision_seconds
//   setPlannerMetrics(metrics, planner.core(), loop.now());              // all others

#include "goldcrest/cell_planner.h"
#include "goldcrest/metrics.h"
#include "goldcrest/scheduler.h"

#include <memory>

namespace goldcrest {

// Returns a scheduler that passes everything to `inner` and measures the processor time of each
// event. `metrics` must outlive it.
std::unique_ptr<scheduler> measureScheduler(std::unique_ptr<scheduler> inner,
                                            metrics_registry &metrics);

// Sets the gauges and counters of a planner. Scans the cell's workers.
void setPlannerMetrics(metrics_registry &metrics, const cell_planner &planner, time_point now);

} // namespace goldcrest
