#include "goldcrest/job_record.h"
#include "goldcrest/job_request.h"
#include "goldcrest/positional_fields.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

job_record finishedRecord()
{
    job_record record;
    record.spec.key = {"harvest", "r-1"};
    record.spec.payload = std::string("\0\xff", 2);
    record.bodyDigest = "digest";
    record.writer = "entry-1.ab.1";
    record.cell = "north";
    record.acceptedAtUnixMs = 1'700'000'000'000;
    record.phase = job_phase::Finished;
    record.attempt = 2;
    record.intentEpoch = 41;
    record.intentWorkers = {"w1", "w2"};
    record.outcome = job_outcome::Failed;
    record.why = makeFailure(code::TaskFailed, "task 1 failed", "tasks[1]");
    record.results = {{1, false, "out", 3, 0, "d"}};
    return record;
}

task_result resultOf(std::int32_t task, std::size_t size)
{
    return {task, true, std::string(size, static_cast<char>('a' + task)),
            size, 0,    "digest-" + std::to_string(task)};
}

} // namespace

TEST_GROUP(job_record){};

// Guards against state that is lost between planners.
TEST(job_record, allFieldsSurviveARoundTrip)
{
    const job_record sent = finishedRecord();
    const result<job_record> received = decodeJobRecord(encodeJobRecord(sent));
    CHECK(failureOf(received) == nullptr);
    const job_record &record = valueOf(received);
    CHECK(record.spec.key == sent.spec.key);
    CHECK(record.spec.payload == sent.spec.payload);
    CHECK(record.writer == sent.writer && record.bodyDigest == sent.bodyDigest);
    CHECK(record.phase == sent.phase && record.attempt == 2 && record.intentEpoch == 41);
    CHECK(record.intentWorkers == sent.intentWorkers);
    CHECK(record.outcome == job_outcome::Failed);
    CHECK(record.why->number == code::TaskFailed && record.why->field == "tasks[1]");
    CHECK(record.results.at(0).output == "out");
    CHECK(encodeJobRecord(record) == encodeJobRecord(sent));
}

// Guards against a damaged record that is taken for a valid one or crashes the planner.
TEST(job_record, damagedRecordsAreRefused)
{
    const std::string bytes = encodeJobRecord(finishedRecord());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK(failureOf(decodeJobRecord(std::string_view(bytes).substr(0, length))) != nullptr);
    std::mt19937_64 random(5);
    for (int round = 0; round < 2000; ++round) {
        std::string damaged = bytes;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        const result<job_record> outcome = decodeJobRecord(damaged);
        if (const failure *error = failureOf(outcome))
            CHECK(error->number == code::MalformedMessage
                  || error->number == code::UnsupportedVersion);
    }
}

// Guards against a prefix that matches the jobs of another cell or team.
TEST(job_record, keysFollowTheDesign)
{
    const job_key job{"harvest", "r-1"};
    STRCMP_EQUAL("jobs/harvest/r-1", jobRecordKey(job).c_str());
    STRCMP_EQUAL("cells/north/jobs/harvest/r-1", cellJobKey("north", job).c_str());
    STRCMP_EQUAL("cells/north/jobs/", cellJobPrefix("north").c_str());
    STRCMP_EQUAL("results/harvest/r-1/2/0", resultPartKey(job, 2, 0).c_str());
    STRCMP_EQUAL("cells/north/leader", leaderKey("north").c_str());
}

// Guards against a result that exceeds a store value or is reassembled wrongly.
TEST(job_record, largeResultsAreSplitAndPutTogether)
{
    const std::vector<task_result> sent = {resultOf(0, 10), resultOf(1, 3 * maxResultPartBytes + 7),
                                           resultOf(2, 0), resultOf(3, maxResultPartBytes)};
    const std::vector<std::string> parts = encodeResultParts(sent);
    CHECK(parts.size() >= 5);
    for (const std::string &part : parts)
        CHECK(part.size() <= maxResultPartBytes);
    const result<std::vector<task_result>> received = decodeResultParts(parts);
    CHECK(failureOf(received) == nullptr);
    LONGS_EQUAL(sent.size(), valueOf(received).size());
    for (std::size_t i = 0; i < sent.size(); ++i) {
        CHECK(valueOf(received)[i].output == sent[i].output);
        LONGS_EQUAL(sent[i].task, valueOf(received)[i].task);
    }
}

// Guards against a record that the store refuses: the largest one that a planner writes is below
// the 1 MiB of a store value, so that the larger limit of the decoder loses nothing.
TEST(job_record, largestRecordFitsIntoAStoreValue)
{
    const request_limits limits;
    const std::size_t inlineBytes = maxResultPartBytes / 2;
    const auto tasks = static_cast<std::size_t>(limits.maxTasks);
    job_record record = finishedRecord();
    record.spec.payload = std::string(limits.maxPayloadBytes, '\xff');
    record.why = makeFailure(code::TaskFailed, std::string(positional::maxTextBytes, 'r'));
    record.intentWorkers.assign(tasks, std::string(64, 'w'));
    record.results.assign(tasks,
                          {0, true, std::string(inlineBytes / tasks, '\xff'), inlineBytes / tasks,
                           0, std::string(64, 'd')});
    const std::string bytes = encodeJobRecord(record);
    CHECK(bytes.size() < 1024 * 1024);
    CHECK(!failureOf(decodeJobRecord(bytes)));
}

// Guards against many small results that exceed a store value by their overhead.
TEST(job_record, manySmallResultsStayBelowThePartSize)
{
    std::vector<task_result> sent(5000, {0, true, "ok", 2, 0, std::string(64, 'd')});
    for (std::size_t i = 0; i < sent.size(); ++i)
        sent[i].task = static_cast<std::int32_t>(i);
    for (const std::string &part : encodeResultParts(sent))
        CHECK(part.size() <= maxResultPartBytes);
    CHECK(valueOf(decodeResultParts(encodeResultParts(sent))).size() == sent.size());
}

// Guards against an incomplete result that is delivered as complete.
TEST(job_record, missingPartsAreNoticed)
{
    std::vector<std::string> parts = encodeResultParts({resultOf(1, 3 * maxResultPartBytes)});
    std::vector<std::string> withoutFirst(parts.begin() + 1, parts.end());
    CHECK(failureOf(decodeResultParts(withoutFirst)) != nullptr);
    std::vector<std::string> withoutLast(parts.begin(), parts.end() - 1);
    CHECK(failureOf(decodeResultParts(withoutLast)) != nullptr);
    std::swap(parts[0], parts[1]);
    CHECK(failureOf(decodeResultParts(parts)) != nullptr);
}
