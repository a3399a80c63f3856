#include "goldcrest/job_record.h"

#include "goldcrest/message_fields.h"

#include <algorithm>

namespace goldcrest {

namespace positional {

template<>
struct field_list<job_record>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("spec", value.spec)("bodyDigest", value.bodyDigest)("writer",
                                                                   value.writer)("cell", value.cell)
            .count("acceptedAtUnixMs", value.acceptedAtUnixMs)("phase", value.phase)
            .count("attempt", value.attempt)
            .count("intentEpoch", value.intentEpoch)("intentWorkers", value.intentWorkers)
            .count("failedAttempts", value.failedAttempts)("outcome", value.outcome)(
                "why", value.why)("results", value.results)
            .count("resultParts", value.resultParts)
            .fraction("progress", value.progress);
    }
};

} // namespace positional

namespace {

using positional::field_encoding;
using positional::field_reader;
using positional::field_writer;

constexpr std::int64_t recordVersion = 1;

// Size reserved in a part for a task result without its output: the digest and the numbers.
constexpr std::size_t resultOverheadBytes = 256;

template<typename T>
std::string encodeVersioned(const T &value)
{
    field_writer fields(field_encoding::Cbor);
    fields("version", recordVersion)("record", value);
    return positional::formatCbor(fields.take());
}

template<typename T>
result<T> decodeVersioned(std::string_view bytes)
{
    if (bytes.size() > 2 * 1024 * 1024)
        return makeFailure(code::MalformedMessage, "the record is larger than 2 MiB");
    const std::optional<nlohmann::json> items = positional::parseCbor(bytes);
    if (!items || !items->is_array())
        return makeFailure(code::MalformedMessage, "the record is not a CBOR array");
    std::optional<failure> error;
    std::int64_t version = 0;
    T value{};
    field_reader fields(*items, 0, {}, field_encoding::Cbor, error);
    fields("version", version);
    if (!error && version != recordVersion)
        return makeFailure(code::UnsupportedVersion, "the version of the record is not supported",
                           "version");
    fields("record", value);
    fields.finish();
    if (error)
        return *std::move(error);
    return value;
}

// Splits one result into pieces and appends them to the parts; a new part starts when the last one
// is full.
void appendPieces(const task_result &whole, std::vector<std::vector<task_result>> &parts,
                  std::size_t &partBytes)
{
    std::size_t position = 0;
    do {
        if (partBytes + resultOverheadBytes >= maxResultPartBytes) {
            parts.emplace_back();
            partBytes = 0;
        }
        const std::size_t available = maxResultPartBytes - partBytes - resultOverheadBytes;
        task_result piece = whole;
        piece.output = whole.output.substr(position, available);
        piece.offset = whole.offset + position;
        position += piece.output.size();
        partBytes += piece.output.size() + resultOverheadBytes;
        parts.back().push_back(std::move(piece));
    } while (position < whole.output.size());
}

// Returns whether `piece` directly follows `before` in the same result.
bool isNextPiece(const task_result &before, const task_result &piece)
{
    return before.task == piece.task && before.digest == piece.digest
        && before.totalBytes == piece.totalBytes && before.succeeded == piece.succeeded
        && before.offset + before.output.size() == piece.offset;
}

} // namespace

std::string encodeJobRecord(const job_record &record)
{
    return encodeVersioned(record);
}

result<job_record> decodeJobRecord(std::string_view bytes)
{
    return decodeVersioned<job_record>(bytes);
}

std::string jobRecordKey(const job_key &job)
{
    return "jobs/" + job.team + '/' + job.requestId;
}

std::string cellJobPrefix(std::string_view cell)
{
    return "cells/" + std::string(cell) + "/jobs/";
}

std::string cellJobKey(std::string_view cell, const job_key &job)
{
    return cellJobPrefix(cell) + job.team + '/' + job.requestId;
}

std::string resultPartKey(const job_key &job, std::int32_t attempt, std::int32_t part)
{
    return "results/" + job.team + '/' + job.requestId + '/' + std::to_string(attempt) + '/'
        + std::to_string(part);
}

std::string leaderKey(std::string_view cell)
{
    return "cells/" + std::string(cell) + "/leader";
}

std::vector<std::string> encodeResultParts(const std::vector<task_result> &results)
{
    if (results.empty())
        return {};
    std::vector<std::vector<task_result>> parts(1);
    std::size_t partBytes = 0;
    for (const task_result &whole : results)
        appendPieces(whole, parts, partBytes);
    std::vector<std::string> encoded;
    encoded.reserve(parts.size());
    for (const std::vector<task_result> &part : parts)
        encoded.push_back(encodeVersioned(part));
    return encoded;
}

result<std::vector<task_result>> decodeResultParts(const std::vector<std::string> &parts)
{
    std::vector<task_result> results;
    for (const std::string &bytes : parts) {
        result<std::vector<task_result>> decoded = decodeVersioned<std::vector<task_result>>(bytes);
        if (const failure *error = failureOf(decoded))
            return *error;
        for (task_result &piece : valueOf(decoded)) {
            if (!results.empty() && isNextPiece(results.back(), piece))
                results.back().output += piece.output;
            else if (piece.offset == 0)
                results.push_back(std::move(piece));
            else
                return makeFailure(code::MalformedMessage, "a piece of a result is missing");
        }
    }
    for (const task_result &whole : results) {
        if (whole.output.size() != whole.totalBytes)
            return makeFailure(code::MalformedMessage, "a result is incomplete");
    }
    return results;
}

} // namespace goldcrest
