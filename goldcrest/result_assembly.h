#pragma once

// Puts the pieces of a job's results together and checks them.
//
//   result<std::vector<task_result>> whole = assembleResults(pieces, spec.tasks);

#include "goldcrest/messages.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <vector>

namespace goldcrest {

// Returns one whole result per task, in task order. Pieces may come in any order and repeatedly.
// @param expectedTasks number of tasks that must be present, 0 if any subset is valid
// Errors: AnswerPending if pieces are missing, StoreProtocol if a length or a digest is wrong.
result<std::vector<task_result>> assembleResults(std::vector<task_result> pieces,
                                                 std::int32_t expectedTasks);

} // namespace goldcrest
