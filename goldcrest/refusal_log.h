#pragma once

// The log line of refused clients of a process: at most one a second, with the number of refusals
// by cause and the last client. Each listener calls logRefusals() at short intervals.
//
//   budget->count(refusal_cause::Invalid);
//   budget->setLastRefusal("10.0.0.3:7203: the header is not valid HTTP/1.1");
//   logRefusals(*budget, loop.now());

#include "goldcrest/clock.h"
#include "goldcrest/memory_budget.h"

namespace goldcrest {

// Writes the refusals since the last line, unless there were none or the last line is less than a
// second old.
void logRefusals(memory_budget &budget, time_point now);

} // namespace goldcrest
