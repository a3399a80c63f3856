#include "goldcrest/entry_http.h"

#include "goldcrest/catalogue_codec.h"
#include "goldcrest/digest.h"
#include "standins/store_model.h"
#include "testing/virtual_event_loop.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;
using nlohmann::json;

namespace {

class recorded_response final : public responder
{
public:
    void respond(server_response response) override { answer = std::move(response); }
    void sendChunk(const server_response &, std::string_view) override { }
    void endChunks() override { }
    bool isOpen() const override { return true; }

    std::optional<server_response> answer;
};

class discarding_planners final : public planner_links
{
public:
    bool send(const std::string &, const message &) override { return true; }
};

class fixed_pages final : public entry_pages
{
public:
    void status(std::function<void(std::string)> callback) override { callback("{}"); }
    std::string burnReport() override { return "{}"; }
    std::string metrics() override { return "up 1\n"; }
    result<done> setLinkBlocks(const std::vector<std::string> &) override
    {
        return makeFailure(code::NotFound, "no such path");
    }
};

catalogue smallCatalogue()
{
    catalogue entries;
    entries.classes["planning"] = {"planning", "ops", 1, false, {}, {}, {}};
    team_entry &team = entries.teams["routes"];
    team.name = "routes";
    team.owner = "ops";
    team.className = "planning";
    cell_entry &cell = entries.cells["main"];
    cell.name = "main";
    cell.owner = "ops";
    cell.failureDomains = {"Rivière-du-Loup"};
    return entries;
}

} // namespace

TEST_GROUP(entryHttp)
{
    virtual_event_loop loop;
    store_model model;
    fake_store store{model, loop};
    discarding_planners planners;
    fixed_pages pages;
    config_view view;
    config_tracker tracker;
    std::optional<failure> capacityError;
    entry_core core{store, loop, planners, coreOptions()};
    config_publisher publisher{store, loop, publisherOptions()};
    entry_http api{core, publisher, tracker, view, pages, {"secret", 60s, 10}};

    static entry_options coreOptions()
    {
        entry_options options;
        options.name = "e1";
        return options;
    }

    publisher_options publisherOptions()
    {
        publisher_options options;
        options.name = "e1";
        options.checkCapacity = [this](const catalogue &) {
            return capacityError ? std::vector<failure>{*capacityError} : std::vector<failure>();
        };
        options.onConfigurationSeen = [this](const configuration &seen) {
            view.updateIfNewer(seen);
            core.setConfiguration(view.share());
        };
        return options;
    }

    server_response send(const std::string &method, const std::string &path,
                         const std::string &body = "", const std::string &ifMatch = "",
                         const std::string &token = "Bearer secret")
    {
        server_request request;
        request.method = method;
        request.path = path.substr(0, path.find('?'));
        if (const auto question = path.find('?'); question != std::string::npos) {
            const std::string pair = path.substr(question + 1);
            const auto equals = pair.find('=');
            request.query.emplace_back(pair.substr(0, equals), pair.substr(equals + 1));
        }
        request.headers.emplace_back("authorization", token);
        if (!ifMatch.empty())
            request.headers.emplace_back("if-match", ifMatch);
        request.body = body;
        const auto kept = std::make_shared<recorded_response>();
        api.handle(request, kept);
        loop.advance(300ms);
        CHECK(kept->answer.has_value());
        return *kept->answer;
    }

    void checkError(const server_response &response, code number)
    {
        LONGS_EQUAL(httpStatusOf(number), response.status);
        LONGS_EQUAL(static_cast<int>(number), json::parse(response.body)["error"]["code"]);
    }

    void putCatalogue()
    {
        const server_response response
            = send("PUT", "/v1/catalogue", formatCatalogue(smallCatalogue()), "0");
        LONGS_EQUAL(200, response.status);
    }
};

// Guards against an interface that is open although a token is set.
TEST(entryHttp, requiresTheToken)
{
    checkError(send("GET", "/v1/status", "", "", ""), code::Unauthorized);
    checkError(send("GET", "/metrics", "", "", "Bearer secreT"), code::Unauthorized);
    LONGS_EQUAL(200, send("GET", "/v1/status").status);
}

// Guards against answers to paths and methods that do not exist, and malformed escapes.
TEST(entryHttp, refusesUnknownPathsAndMethods)
{
    checkError(send("GET", "/v2/status"), code::NotFound);
    checkError(send("PATCH", "/v1/catalogue"), code::MethodNotAllowed);
    checkError(send("POST", "/v1/failure-domains/%zz/out"), code::NotFound);
    checkError(send("GET", "/v1/jobs/routes/r1?waitMs=soon"), code::InvalidValue);
    checkError(send("GET", "/v1/jobs"), code::MissingField);
    checkError(send("PUT", "/v1/faults/links", "[]"), code::NotFound);
}

// Guards against a first or later catalogue that is put without knowing the one that it replaces.
TEST(entryHttp, catalogueNeedsTheRevisionThatItReplaces)
{
    checkError(send("GET", "/v1/catalogue"), code::NotFound);
    const std::string text = formatCatalogue(smallCatalogue());
    checkError(send("PUT", "/v1/catalogue", text), code::RevisionRequired);
    putCatalogue();
    checkError(send("PUT", "/v1/catalogue", text, "\"7\""), code::RevisionConflict);
    const server_response got = send("GET", "/v1/catalogue");
    STRCMP_EQUAL("\"1\"", got.headers.at(0).second.c_str());
    CHECK(failureOf(parseCatalogue(got.body)) == nullptr);
    const server_response checked = send("POST", "/v1/catalogue/validate", "{\"teams\":7}");
    CHECK(!json::parse(checked.body)["valid"].get<bool>());
}

// Guards against a pending change that an operator takes for one in force, and against names that
// are not plain ASCII.
TEST(entryHttp, reportsWhereADomainChangeIsInForce)
{
    putCatalogue();
    tracker.leaderReported("main", 7);
    const server_response out = send("POST", "/v1/failure-domains/Rivi%C3%A8re-du-Loup/out");
    LONGS_EQUAL(200, out.status);
    json body = json::parse(out.body);
    LONGS_EQUAL(2, body["revision"].get<int>());
    CHECK(!body["inForce"].get<bool>());
    STRCMP_EQUAL("pending", body["cells"][0]["state"].get<std::string>().c_str());
    tracker.acknowledged("main", 7, 2);
    body = json::parse(send("GET", "/v1/revisions/2").body);
    CHECK(body["inForce"].get<bool>());
    checkError(send("GET", "/v1/revisions/3"), code::NotFound);
}

// Guards against refusals that leave open whether the job ran, and against wrong status codes of
// new and repeated requests.
TEST(entryHttp, submitsOnceAndAttachesRepeats)
{
    putCatalogue();
    const std::string body = R"({"team":"routes","requestId":"r1","perTask":{"cores":1000}})";
    const server_response first = send("POST", "/v1/jobs", body);
    LONGS_EQUAL(201, first.status);
    STRCMP_EQUAL("accepted", json::parse(first.body)["state"].get<std::string>().c_str());
    LONGS_EQUAL(200, send("POST", "/v1/jobs", body).status);
    LONGS_EQUAL(200, send("GET", "/v1/jobs/routes/r1").status);
    const server_response wrong = send("POST", "/v1/jobs", "{");
    checkError(wrong, code::MalformedJson);
    CHECK(json::parse(wrong.body)["notRun"].get<bool>());
    LONGS_EQUAL(1, json::parse(send("GET", "/v1/jobs?team=routes").body)["jobs"].size());
}

// Guards against an error of a configuration change that promises "nothing was changed" although
// its code does not mean that.
TEST(entryHttp, onlyKnownCodesPromiseThatNothingWasChanged)
{
    putCatalogue();
    const std::string path = "/v1/failure-domains/Rivi%C3%A8re-du-Loup/out";
    const server_response conflict = send("POST", path, "", "7");
    checkError(conflict, code::RevisionConflict);
    CHECK(json::parse(conflict.body)["notRun"].get<bool>());
    for (const code number : {code::StoreProtocol, code::LeaseLost, code::MalformedMessage,
                              code::Internal, code::GuaranteesDoNotFit}) {
        capacityError = makeFailure(number, "of the check");
        const server_response failed
            = send("PUT", "/v1/catalogue", formatCatalogue(smallCatalogue()), "1");
        checkError(failed, number);
        CHECK_EQUAL_TEXT(number == code::GuaranteesDoNotFit,
                         json::parse(failed.body)["notRun"].get<bool>(),
                         std::string(nameOf(number)).c_str());
    }
}

// Guards against an answer that is truncated or changed because its bytes are not valid UTF-8.
TEST(entryHttp, keepsBytesOfResultsThatAreNotText)
{
    job_view finished;
    finished.phase = job_phase::Finished;
    finished.outcome = job_outcome::Completed;
    task_result whole;
    whole.output = "\xff\xfe";
    whole.totalBytes = 2;
    finished.results.push_back(whole);
    const json value = json::parse(formatJob(finished));
    STRCMP_EQUAL("base64", value["results"][0]["encoding"].get<std::string>().c_str());
    STRCMP_EQUAL("//4=", value["results"][0]["output"].get<std::string>().c_str());
}
