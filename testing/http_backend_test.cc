#include "goldcrest/http_backend.h"

#include <array>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

const std::string goodAnnouncement
    = R"({"address":"10.0.0.9:8080","slots":8,"capacity":{"millicores":16000,"memoryMiB":32768,)"
      R"("accelerators":2}})";

const std::string goodTask
    = R"({"id":"a","metadata":"","state":"running","ranForMs":5,"progress":0.5,)"
      R"("checkpointed":0.5,"used":{"millicores":1,"memoryMiB":1,"accelerators":0}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(http_backend){};

// Guards against an odd announcement that is taken for a backend server: a port that does not
// exist, a number of slots that is cut to 32 bits, or a capacity whose sums overflow.
TEST(http_backend, refusesAnnouncementsOutOfRange)
{
    CHECK(!failureOf(parseAnnouncement(goodAnnouncement)));
    const std::string address = "10.0.0.9:8080";
    for (const auto &[from, to, field] : std::vector<std::array<std::string, 3>>{
             {address, "", "address"},
             {address, "10.0.0.9", "address"},
             {address, "10.0.0.9:0", "address"},
             {address, "10.0.0.9:65536", "address"},
             {"\"slots\":8", "\"slots\":4294967297", "slots"},
             {"\"slots\":8", "\"slots\":18446744073709551615", "slots"},
             {"16000", "-1", "capacity.millicores"},
             {"16000", "9223372036854775807", "capacity.millicores"},
             {"32768", "1e300", "capacity.memoryMiB"},
             {"32768", "4000000000", "capacity.memoryMiB"},
             {"\"accelerators\":2", "\"accelerators\":1000000", "capacity.accelerators"}}) {
        const result<backend_announcement> parsed
            = parseAnnouncement(replaced(goodAnnouncement, from, to));
        CHECK_TEXT(failureOf(parsed), to.c_str());
        STRCMP_EQUAL_TEXT(field.c_str(), failureOf(parsed)->field.c_str(), to.c_str());
    }
}

// Guards against tasks that are all ended because a process on another machine points the agent at
// another server, whose task list is empty.
TEST(http_backend, callsFromOtherMachinesAreRefused)
{
    for (const char *path : {"/v1/announce", "/v1/drain"}) {
        server_request request;
        request.path = path;
        request.method = "POST";
        CHECK(checkBackendCall(request).has_value());
        CHECK(checkBackendCall(request)->number == code::NotFound);
        request.isLocal = true;
        CHECK(!checkBackendCall(request));
        request.method = "GET";
        CHECK(checkBackendCall(request)->number == code::MethodNotAllowed);
    }
}

// Guards against a heartbeat that the planner refuses because of the times or sizes in it.
TEST(http_backend, refusesTasksOutOfRange)
{
    const auto parse
        = [](const std::string &task) { return parseTaskList("{\"tasks\":[" + task + "]}"); };
    CHECK(!failureOf(parse(goodTask)));
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"ranForMs\":5", "\"ranForMs\":9223372036854775807"},
             {"\"ranForMs\":5", "\"ranForMs\":-1"},
             {"\"progress\":0.5", "\"progress\":1e300"},
             {"\"millicores\":1", "\"millicores\":9223372036854775807"}})
        CHECK_TEXT(failureOf(parse(replaced(goodTask, from, to))), to.c_str());
}
