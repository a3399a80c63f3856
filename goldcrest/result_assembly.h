#pragma once

// Joins the pieces of task results that were sent separately, and verifies lengths and digests.
//
//   result<std::vector<task_result>> whole = assembleResults(pieces, spec.tasks);

#include "goldcrest/messages.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <vector>

namespace goldcrest {

// Returns one complete result per task, in task order. Pieces may be in any order, repeated or
// overlapping.
// @param expectedTasks number of tasks that must be present, 0 if any subset is valid
// Errors: AnswerPending if pieces are missing, StoreProtocol if a length or a digest is wrong.
result<std::vector<task_result>> assembleResults(std::vector<task_result> pieces,
                                                 std::int32_t expectedTasks);

} // namespace goldcrest
