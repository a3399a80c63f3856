#include "goldcrest/ctl_commands.h"
#include "goldcrest/ctl_table.h"
#include "goldcrest/platform_store.h"

#include "testing/doc_page_support.h"

#include <unistd.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;

namespace {

// The option parser keeps a static table of regular expressions, which the leak detector of
// CppUTest takes for a leak.
const bool leakDetectorOff = (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

const std::string smallCatalogue = R"({"classes":{},"shapes":{},"teams":{},"cells":{}})";

// Returns scripted responses and records the requests.
class scripted_client final : public http_client
{
public:
    void send(http_request request, std::function<void(result<http_response>)> callback) override
    {
        requests.push_back(request);
        if (answers.empty()) {
            callback(makeFailure(code::StoreUnavailable, "no connection"));
            return;
        }
        result<http_response> answer = std::move(answers.front());
        answers.pop_front();
        callback(std::move(answer));
    }
    std::unique_ptr<http_stream> stream(http_request, std::function<void(std::string_view)>,
                                        std::function<void(result<done>)>) override
    {
        return nullptr;
    }

    std::vector<http_request> requests;
    std::deque<result<http_response>> answers;
};

std::string headerOf(const http_request &request, const std::string &name)
{
    for (const auto &[present, value] : request.headers) {
        if (present == name)
            return value;
    }
    return {};
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string revisionBody(bool inForce)
{
    const std::string state
        = inForce ? R"("in force","reason":"")" : R"("pending","reason":"no planner")";
    return R"({"revision":12,"stored":true,"inForce":)" + std::string(inForce ? "true" : "false")
        + R"(,"cells":[{"cell":"region","state":)" + state + "}]}";
}

std::string errorBody(code number)
{
    return R"({"error":{"code":)" + std::to_string(static_cast<int>(number))
        + R"(,"name":"x","field":"teams.a","reason":"because"}})";
}

std::string jobBody(const std::string &outcome)
{
    return R"({"team":"t","requestId":"a b","state":"finished","recorded":true)"
        + (outcome.empty() ? "" : R"(,"outcome":")" + outcome + "\"") + "}";
}

} // namespace

TEST_GROUP(ctl_commands)
{
    scripted_client client;
    time_point now;
    std::ostringstream out;
    std::ostringstream err;
    std::map<std::string, std::string> variables;
    std::string file;

    void setup() override
    {
        file = "/tmp/goldcrest_ctl_test_" + std::to_string(::getpid());
    }
    void teardown() override
    {
        std::remove(file.c_str());
    }

    void answer(int status, const std::string &body, const std::string &etag = "")
    {
        http_response response;
        response.status = status;
        response.body = body;
        if (!etag.empty())
            response.headers.emplace_back("etag", etag);
        client.answers.emplace_back(response);
    }
    void breakConnection(code number)
    {
        client.answers.emplace_back(makeFailure(number, "broken"));
    }
    void writeFile(const std::string &text) const
    {
        std::ofstream(file) << text;
    }

    ctl_exit run(const std::vector<std::string> &arguments)
    {
        out.str("");
        err.str("");
        // Waiting advances the virtual clock.
        const auto runUntil = [this](const std::function<bool()> &condition, duration limit) {
            if (!condition())
                now += limit;
            return condition();
        };
        ctl_environment environment{{client, runUntil, [this] { return now; }},
                                    [] { return std::int64_t{1'800'000'000'000}; },
                                    out,
                                    err,
                                    [this](const std::string &name) { return variables[name]; }};
        return runCtl(arguments, environment);
    }
};

// Guards against invalid command lines that send a request or do not point to --help.
TEST(ctl_commands, refusesWrongUsageBeforeSending)
{
    const std::vector<std::vector<std::string>> wrong{{},
                                                      {"cataloge", "get"},
                                                      {"status", "--wait"},
                                                      {"failure-domain", "out"},
                                                      {"failure-domain", "out", "a", "b"},
                                                      {"job", "show", "no-slash"},
                                                      {"job", "list"},
                                                      {"job", "submit"},
                                                      {"status", "--output", "xml"},
                                                      {"status", "--timeout", "soon"},
                                                      {"status", "--bogus"},
                                                      {"catalogue", "apply", "/nonexistent"}};
    for (const auto &arguments : wrong) {
        CHECK(run(arguments) == ctl_exit::Usage);
        CHECK(contains(err.str() + out.str(), "--help"));
    }
    CHECK(run({"failure-domain", "out", "a", "--wait", "10"}) == ctl_exit::Usage);
    CHECK(contains(err.str(), "--wait=10"));
    LONGS_EQUAL(0, client.requests.size());
    CHECK(run({"help", "catalogue", "apply"}) == ctl_exit::Done);
    CHECK(contains(out.str(), "Example:"));
}

// Guards against an error number that is cut to 32 bits and named as another error.
TEST(ctl_commands, namesNoErrorForANumberOutOfRange)
{
    entry_reply reply;
    reply.status = 500;
    for (const char *number : {"4294967397", "-1", "1e300", "18446744073709551615"}) {
        reply.body = R"({"error":{"code":)" + std::string(number) + "}}";
        CHECK_TEXT(reply.error().number == code::Internal, number);
    }
    reply.body = R"({"error":{"code":101}})";
    LONGS_EQUAL(101, static_cast<int>(reply.error().number));
}

// Guards against an operator's change that is lost because one entry is down, and a token that is
// not sent.
TEST(ctl_commands, triesTheNextEntry)
{
    variables["GOLDCREST_TOKEN"] = "secret";
    breakConnection(code::StoreUnavailable);
    breakConnection(code::StoreAmbiguous);
    answer(503, errorBody(code::Draining));
    answer(200, revisionBody(true));
    CHECK(run({"failure-domain", "out", "Rivière", "--entry", "a:1,b:2", "--entry", "c:3,d:4"})
          == ctl_exit::Done);
    LONGS_EQUAL(4, client.requests.size());
    STRCMP_EQUAL("http://d:4/v1/failure-domains/Rivi%C3%A8re/out", client.requests[3].url.c_str());
    STRCMP_EQUAL("Bearer secret", headerOf(client.requests[0], "Authorization").c_str());
    CHECK(run({"status", "--entry", "a:1,b:2"}) == ctl_exit::Unreachable);
    CHECK(contains(err.str(), "GOLDCREST_ENTRIES"));
    answer(503, errorBody(code::Draining));
    CHECK(run({"status"}) == ctl_exit::Refused);
}

// Guards against a change that is overwritten, applied twice, or reported as refused when it
// may have been stored.
TEST(ctl_commands, appliesACatalogueOnItsRevision)
{
    answer(200, smallCatalogue, "\"11\"");
    CHECK(run({"catalogue", "get", "--file", file}) == ctl_exit::Done);
    answer(200, revisionBody(true), "\"12\"");
    CHECK(run({"catalogue", "apply", file}) == ctl_exit::Done);
    STRCMP_EQUAL("PUT", client.requests.back().method.c_str());
    STRCMP_EQUAL("\"11\"", headerOf(client.requests.back(), "If-Match").c_str());
    answer(412, errorBody(code::RevisionConflict));
    CHECK(run({"catalogue", "apply", file, "--revision", "10"}) == ctl_exit::Conflict);
    STRCMP_EQUAL("\"10\"", headerOf(client.requests.back(), "If-Match").c_str());
    CHECK(contains(err.str(), "teams.a: because"));
    CHECK(contains(err.str(), "catalogue diff"));
    // Lost answer: the second entry must not be asked.
    breakConnection(code::StoreAmbiguous);
    answer(200, revisionBody(true));
    CHECK(run({"catalogue", "apply", file, "--entry", "a:1,b:2"}) == ctl_exit::Unknown);
    LONGS_EQUAL(1, client.answers.size());
    client.answers.clear();
    writeFile(smallCatalogue);
    CHECK(run({"catalogue", "apply", file}) == ctl_exit::Usage);
    CHECK(contains(err.str(), "--revision"));
}

// Guards against a code that becomes the exit code of "nothing was changed" by default.
TEST(ctl_commands, onlyKnownCodesExitAsRefused)
{
    for (const code_entry &entry : listCodes()) {
        answer(entry.httpStatus, errorBody(entry.number));
        const ctl_exit status = run({"worker", "drain", "w1"});
        client.answers.clear();
        const std::string name(entry.name);
        if (entry.httpStatus < 300)
            continue; // not an error to a client
        ctl_exit expected = changedNothing(entry.number) ? ctl_exit::Refused : ctl_exit::Unknown;
        if (entry.number == code::RevisionConflict || entry.number == code::RevisionRequired)
            expected = ctl_exit::Conflict;
        if (entry.number == code::LinkClosed)
            expected = ctl_exit::Unreachable;
        CHECK_TEXT(status == expected, name.c_str());
    }
    for (const int unknown : {1, 399, 799, 998}) {
        answer(500, errorBody(static_cast<code>(unknown)));
        CHECK(run({"worker", "drain", "w1"}) == ctl_exit::Unknown);
    }
}

// Guards against a refusal by one entry that is reported as "nothing was changed" although another
// entry may have stored the request.
TEST(ctl_commands, aRefusalAfterALostAnswerIsUnknown)
{
    writeFile("{}");
    const std::vector<std::string> submit{"job", "submit", "--file", file, "--entry", "a:1,b:2"};
    for (const code refusal : {code::QueueFull, code::TeamLimit, code::Draining,
                               code::StoreUnavailable, code::UnknownTeam}) {
        breakConnection(code::StoreAmbiguous);
        answer(httpStatusOf(refusal), errorBody(refusal));
        CHECK_TEXT(run(submit) == ctl_exit::Unknown, std::string(nameOf(refusal)).c_str());
        CHECK(contains(err.str(), "because"));
    }
    // The preferred entry is still a:1.
    answer(503, errorBody(code::Draining));
    breakConnection(code::StoreAmbiguous);
    CHECK(run(submit) == ctl_exit::Unknown);
    breakConnection(code::StoreAmbiguous);
    breakConnection(code::StoreUnavailable);
    CHECK(run(submit) == ctl_exit::Unknown);
    // No byte was sent to the first entry.
    breakConnection(code::StoreUnavailable);
    answer(503, errorBody(code::Draining));
    CHECK(run(submit) == ctl_exit::Refused);
    // A query changes nothing.
    breakConnection(code::StoreAmbiguous);
    answer(503, errorBody(code::Draining));
    CHECK(run({"status", "--entry", "a:1,b:2"}) == ctl_exit::Refused);
}

// Guards against a pending change that is reported as in force, and an unbounded wait.
TEST(ctl_commands, waitsUntilInForceAndNamesPendingCells)
{
    answer(200, revisionBody(false));
    CHECK(run({"worker", "drain", "w1"}) == ctl_exit::Done);
    CHECK(contains(out.str(), "not yet in force"));
    answer(200, revisionBody(false));
    answer(200, revisionBody(false));
    breakConnection(code::StoreUnavailable);
    answer(200, revisionBody(true));
    CHECK(run({"worker", "drain", "w1", "--wait=10"}) == ctl_exit::Done);
    CHECK(contains(out.str(), "revision 12 is stored and in force everywhere"));
    CHECK(contains(client.requests.back().url, "/v1/revisions/12"));
    answer(200, revisionBody(false));
    const time_point before = now;
    CHECK(run({"worker", "drain", "w1", "--wait=10"}) == ctl_exit::Pending);
    CHECK(now - before >= 10s && now - before < 12s);
    CHECK(contains(out.str(), "region  pending  no planner"));
}

// Guards against a job's outcome that a script can't tell from its exit code.
TEST(ctl_commands, givesTheOutcomeOfAJobAsExitCode)
{
    writeFile("{\"team\":\"t\"}");
    const std::vector<std::pair<std::string, ctl_exit>> outcomes{{"completed", ctl_exit::Done},
                                                                 {"failed", ctl_exit::JobFailed},
                                                                 {"not run", ctl_exit::JobNotRun},
                                                                 {"unknown", ctl_exit::Unknown}};
    for (const auto &[outcome, expected] : outcomes) {
        answer(201, jobBody(""));
        answer(200, jobBody(outcome));
        CHECK(run({"job", "submit", "--file", file, "--wait"}) == expected);
        CHECK(contains(client.requests.back().url, "/v1/jobs/t/a%20b?waitMs=20000"));
    }
    answer(201, jobBody(""));
    CHECK(run({"job", "submit", "--file", file, "--wait=1"}) == ctl_exit::Pending);
    answer(429, errorBody(code::TeamLimit));
    CHECK(run({"job", "submit", "--file", file}) == ctl_exit::Refused);
    CHECK(contains(err.str(), "not run"));
    answer(404, errorBody(code::UnknownRequest));
    CHECK(run({"explain", "t/x", "--output", "json"}) == ctl_exit::Refused);
    CHECK(contains(out.str(), "\"code\": 110"));
}

// Guards against listings that fail on absent fields, and against accepting malformed answers.
TEST(ctl_commands, listsWorkersBackendsAndJobs)
{
    const std::string status = R"({"entry":"e1","revision":3,"confirmedAgeMs":null,"cells":[
        {"cell":"a","workers":[{"worker":"w1","state":"in service","tasks":2,
         "capacity":{"cores":64000,"accelerators":8},"used":{"cores":1500,"accelerators":1}}]},
        {"cell":"b","reason":"no planner"}]})";
    for (const std::string command : {"worker", "backend"}) {
        answer(200, status);
        CHECK(run({command, "list"}) == ctl_exit::Done);
        CHECK(contains(out.str(), "w1"));
        CHECK(contains(out.str(), "1.5"));
        CHECK(contains(err.str(), "cell b: its planner did not answer"));
    }
    answer(200, status);
    CHECK(run({"status"}) == ctl_exit::Done);
    CHECK(contains(out.str(), "not confirmed"));
    answer(200, R"({"jobs":[{"requestId":"r1","state":"queued"}]})");
    CHECK(run({"job", "list", "--team", "t"}) == ctl_exit::Done);
    CHECK(contains(out.str(), "r1"));
    answer(200, "<html>");
    CHECK(run({"status"}) == ctl_exit::Unknown);
    answer(200, R"({"cells":5})");
    CHECK(run({"status"}) == ctl_exit::Unknown);
    answer(200, R"({"cells":["x"]})");
    CHECK(run({"status"}) == ctl_exit::Unknown);
}

// Guards against a burn report that leaves out an entry without saying so.
TEST(ctl_commands, mergesBurnReports)
{
    const std::string one = R"({"revision":1,"objectives":{"urgent":{"startDelay":[0.9,3000],
        "completion":[0.9,0],"answeredWhole":[0.9,0]}},"counts":[{"class":"urgent",
        "objective":"startDelay","minutes":[[30000000,3,1]],"hours":[]}]})";
    answer(200, one);
    breakConnection(code::StoreUnavailable);
    answer(200, one);
    CHECK(run({"report", "burn", "--entry", "a:1,b:2,c:3"}) == ctl_exit::Done);
    CHECK(contains(err.str(), "b:2: broken; its counts are missing"));
    CHECK(contains(out.str(), "urgent  startDelay"));
    CHECK(contains(out.str(), "8\n"));
    answer(200, one);
    CHECK(run({"report", "burn", "--html", file}) == ctl_exit::Done);
    std::ifstream page(file);
    CHECK(contains({std::istreambuf_iterator<char>(page), {}}, "<svg"));
    CHECK(run({"report", "burn"}) == ctl_exit::Unreachable);
}

// Guards against a completion script that lacks a command, and an outdated documentation page.
TEST(ctl_commands, documentsAllCommands)
{
    CHECK(run({"completion"}) == ctl_exit::Done);
    for (const ctl_command &command : ctlCommands())
        CHECK(contains(out.str(), "\"" + std::string(command.words) + "\""));
    STRCMP_EQUAL("", compareDocPage("docs/goldcrestctl.md", ctlMarkdown()).c_str());
}
