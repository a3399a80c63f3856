#include "goldcrest/result_assembly.h"

#include "goldcrest/digest.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace goldcrest {

namespace {

failure corruptResult(std::int32_t task, std::string_view what)
{
    return makeFailure(code::StoreProtocol, std::string(what),
                       "results[" + std::to_string(task) + "]");
}

// Joins the pieces of one task, which are sorted by offset.
result<task_result> joinPieces(std::vector<task_result>::iterator first,
                               std::vector<task_result>::iterator last)
{
    task_result whole = std::move(*first);
    if (whole.offset != 0)
        return makeFailure(code::AnswerPending, "the first piece of a result is missing");
    for (auto piece = std::next(first); piece != last; ++piece) {
        if (piece->totalBytes != whole.totalBytes || piece->digest != whole.digest)
            return corruptResult(whole.task, "pieces of different results were mixed");
        if (piece->offset > whole.output.size())
            return makeFailure(code::AnswerPending, "a piece of a result is missing");
        // Of a repeated or overlapping piece only the new bytes are appended.
        const std::size_t known = whole.output.size() - piece->offset;
        if (known < piece->output.size())
            whole.output.append(piece->output, known, std::string::npos);
    }
    if (whole.output.size() < whole.totalBytes)
        return makeFailure(code::AnswerPending, "the last piece of a result is missing");
    if (whole.output.size() != whole.totalBytes)
        return corruptResult(whole.task, "the length does not match");
    if (digestOf(whole.output) != whole.digest)
        return corruptResult(whole.task, "the digest does not match");
    return whole;
}

} // namespace

result<std::vector<task_result>> assembleResults(std::vector<task_result> pieces,
                                                 std::int32_t expectedTasks)
{
    std::stable_sort(pieces.begin(), pieces.end(), [](const task_result &a, const task_result &b) {
        return std::tie(a.task, a.offset) < std::tie(b.task, b.offset);
    });
    std::vector<task_result> whole;
    for (auto first = pieces.begin(); first != pieces.end();) {
        const auto last = std::find_if(first, pieces.end(), [first](const task_result &piece) {
            return piece.task != first->task;
        });
        result<task_result> joined = joinPieces(first, last);
        if (const failure *error = failureOf(joined))
            return *error;
        whole.push_back(std::move(valueOf(joined)));
        first = last;
    }
    if (expectedTasks > 0 && whole.size() != static_cast<std::size_t>(expectedTasks))
        return makeFailure(code::AnswerPending, "results of some tasks are missing");
    return whole;
}

} // namespace goldcrest
