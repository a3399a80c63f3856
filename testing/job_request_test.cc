#include "goldcrest/job_request.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

catalogue smallCatalogue()
{
    catalogue entries;
    entries.classes["planning"].name = "planning";
    entries.classes["urgent"].name = "urgent";
    shape_entry &shape = entries.shapes["gang-16"];
    shape.name = "gang-16";
    shape.className = "planning";
    shape.tasks = 16;
    shape.perTask = {4000, 16384, 1};
    shape.stopTime = 2s;
    shape.maxRunTime = 1h;
    team_entry &team = entries.teams["routes"];
    team.name = "routes";
    team.className = "planning";
    team.guarantees = {{"gang-16", 1, "west"}};
    entries.cells["east"].name = "east";
    entries.cells["west"].name = "west";
    return entries;
}

worker_status workerOf(const std::string &name, const std::string &rack, std::int64_t accelerators)
{
    worker_status worker;
    worker.worker = name;
    worker.failureDomain = "d";
    worker.rack = rack;
    worker.capacity = {64000, 262144, accelerators};
    return worker;
}

} // namespace

TEST_GROUP(jobRequest)
{
    const catalogue entries = smallCatalogue();

    result<job_request> parse(const std::string &body)
    {
        return parseJobRequest(body, entries, request_limits{});
    }

    void checkRefused(const std::string &body, code number, const char *field)
    {
        const result<job_request> parsed = parse(body);
        const failure *error = failureOf(parsed);
        CHECK_TEXT(error != nullptr, body.c_str());
        LONGS_EQUAL_TEXT(static_cast<int>(number), static_cast<int>(error->number), body.c_str());
        STRCMP_EQUAL(field, error->field.c_str());
        CHECK(!error->reason.empty());
    }
};

// Guards against a job that does not get the sizes and class of its shape.
TEST(jobRequest, takesSizesAndClassFromTheShape)
{
    const result<job_request> parsed = parse(
        R"({"team":"routes","requestId":"r1","shape":"gang-16","idempotent":true,"payload":"x"})");
    CHECK(failureOf(parsed) == nullptr);
    const job_spec &spec = valueOf(parsed).spec;
    LONGS_EQUAL(16, spec.tasks);
    LONGS_EQUAL(1, spec.perTask.accelerators);
    CHECK(spec.stopTime == 2s);
    STRCMP_EQUAL("planning", spec.className.c_str());
    CHECK(spec.idempotent);
}

// Guards against a retry that is treated as a reused request id because a client library orders
// fields differently, and against a reused request id that is treated as a retry.
TEST(jobRequest, digestDependsOnContentOnly)
{
    const auto first = parse(R"({"team":"routes","requestId":"r","perTask":{"cores":2500}})");
    const auto repeat = parse(R"({ "perTask": {"cores": 2500}, "requestId":"r", "team":"routes"})");
    const auto other = parse(R"({"team":"routes","requestId":"r","perTask":{"cores":2000}})");
    CHECK(valueOf(first).bodyDigest == valueOf(repeat).bodyDigest);
    CHECK(valueOf(first).bodyDigest != valueOf(other).bodyDigest);
    LONGS_EQUAL(2500, valueOf(first).spec.perTask.cores);
}

// Guards against a wrong request that is accepted, or refused without the field to correct.
TEST(jobRequest, refusesWrongRequestsWithCodeAndField)
{
    checkRefused("{", code::MalformedJson, "");
    checkRefused("[]", code::MalformedJson, "");
    checkRefused(R"({"team":"routes","requestId":"r","perTask":{"cores":1},"gpu":1})",
                 code::UnknownField, "gpu");
    checkRefused(R"({"requestId":"r","perTask":{"cores":1}})", code::MissingField, "team");
    checkRefused(R"({"team":"routes","perTask":{"cores":1}})", code::MissingField, "requestId");
    checkRefused(R"({"team":"routes","requestId":"a/b","perTask":{"cores":1}})", code::InvalidValue,
                 "requestId");
    checkRefused(R"({"team":"routes","requestId":7,"perTask":{"cores":1}})", code::InvalidValue,
                 "requestId");
    checkRefused(R"({"team":"nobody","requestId":"r","perTask":{"cores":1}})", code::UnknownTeam,
                 "team");
    checkRefused(R"({"team":"routes","requestId":"r","perTask":{"cores":1},"class":"fast"})",
                 code::UnknownClass, "class");
    checkRefused(R"({"team":"routes","requestId":"r","shape":"huge"})", code::UnknownShape,
                 "shape");
    checkRefused(R"({"team":"routes","requestId":"r","shape":"gang-16","tasks":2})",
                 code::InvalidValue, "tasks");
    checkRefused(R"({"team":"routes","requestId":"r"})", code::MissingField, "shape");
    checkRefused(R"({"team":"routes","requestId":"r","perTask":{"cores":-1}})", code::InvalidValue,
                 "perTask.cores");
    checkRefused(R"({"team":"routes","requestId":"r","perTask":{"cores":1e300}})",
                 code::InvalidValue, "perTask.cores");
    checkRefused(R"({"team":"routes","requestId":"r","perTask":{"gpus":1}})", code::UnknownField,
                 "perTask.gpus");
    checkRefused(R"({"team":"routes","requestId":"r","perTask":{"cores":1},"tasks":0})",
                 code::InvalidValue, "tasks");
    checkRefused(
        R"({"team":"routes","requestId":"r","perTask":{"cores":1},"tasks":18446744073709551615})",
        code::InvalidValue, "tasks");
    checkRefused(R"({"team":"routes","requestId":"r","perTask":{"cores":1},"closeness":"near"})",
                 code::InvalidValue, "closeness");
    checkRefused(R"({"team":"routes","requestId":"r","shape":"gang-16","runTimeMs":3600001})",
                 code::InvalidValue, "runTimeMs");
    checkRefused(R"({"team":"routes","requestId":"r","perTask":{"cores":1},"payload":")"
                     + std::string(256 * 1024 + 1, 'x') + "\"}",
                 code::BodyTooLarge, "payload");
}

// Guards against a job that is routed to a cell without its team's guarantee.
TEST(jobRequest, routesToTheCellOfTheGuarantee)
{
    job_spec spec = valueOf(parse(R"({"team":"routes","requestId":"r","shape":"gang-16"})")).spec;
    const auto cell = chooseCell(spec, entries, {});
    STRCMP_EQUAL("west", valueOf(cell).c_str());
}

// Guards against accepting a job that waits forever because no set of workers can hold it, and
// against counting workers of different racks for a job that must stay within one.
TEST(jobRequest, refusesAShapeThatFitsNowhere)
{
    job_spec spec = valueOf(parse(R"({"team":"routes","requestId":"r","shape":"gang-16"})")).spec;
    cell_workers workers;
    workers["west"] = {workerOf("w1", "r1", 8)};
    workers["east"] = {workerOf("w2", "r1", 8), workerOf("w3", "r2", 8)};
    STRCMP_EQUAL("east", valueOf(chooseCell(spec, entries, workers)).c_str());
    spec.closeness = adjacency::Rack;
    const auto refused = chooseCell(spec, entries, workers);
    CHECK(failureOf(refused) != nullptr);
    CHECK(failureOf(refused)->number == code::ShapeFitsNowhere);
}
