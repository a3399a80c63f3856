#include "goldcrest/settings.h"

#include "platform/platform_settings.h"
#include "testing/doc_page_support.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

const std::string entryText = R"({
  // The first entry host.
  "name": "entry-1",
  "failureDomain": "Rimouski",
  "httpListen": "127.0.0.1:8080",
  "linkListen": "127.0.0.1:7001",
  "storeUrls": ["http://127.0.0.1:2379"],
  "entryPeers": ["127.0.0.1:7001", "127.0.0.1:7002"],
  "http": {"maxBodyBytes": 2048, "headerTimeoutMs": 1500},
  "faults": {"allowed": true, "blocks": ["127.0.0.1:7002=sending"]}
})";

const std::string agentText = R"({
  "worker": "w1", "failureDomain": "Rivière-du-Loup", "rack": "r1", "cell": "a",
  "linkListen": "127.0.0.1:7101", "backendListen": "127.0.0.1:7201",
  "capacity": {"cores": 64000, "memory": 262144, "accelerators": 8},
  "entries": ["127.0.0.1:7001"], "storeUrls": ["http://127.0.0.1:2379"],
  "outageRule": "majority"
})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

// Returns the reason of the first error at a path, or an empty string.
std::string reasonOf(const std::vector<failure> &errors, const std::string &path)
{
    const auto found = std::find_if(errors.begin(), errors.end(),
                                    [&](const failure &error) { return error.field == path; });
    return found == errors.end() ? std::string() : found->reason;
}

} // namespace

TEST_GROUP(settings){};

// Guards against a field that is not taken from the file, and against comments that are refused.
TEST(settings, parsesBothPrograms)
{
    const auto entry = parseEntrySettings(entryText);
    LONGS_EQUAL(0, entry.errors.size());
    STRCMP_EQUAL("entry-1", entry.value.name.c_str());
    LONGS_EQUAL(2, entry.value.entryPeers.size());
    LONGS_EQUAL(2048, entry.value.http.maxBodyBytes);
    CHECK(entry.value.http.headerTimeout == 1500ms);
    CHECK(entry.value.faults.blocks.at(0).direction == link_direction::Sending);
    const auto agent = parseAgentSettings(agentText);
    LONGS_EQUAL(0, agent.errors.size());
    CHECK((agent.value.capacity == resources{64000, 262144, 8}));
    CHECK(agent.value.outageRule == outage_rule::Majority);
    CHECK(agent.value.eligible);
}

// Guards against a start with an invalid file, and against errors that do not say where and what.
TEST(settings, reportsEveryErrorWithItsPathRangeAndUnit)
{
    std::string text = replaced(entryText, "\"maxBodyBytes\": 2048", "\"maxBodyBytes\": 12");
    text = replaced(text, "1500", "\"soon\"");
    text = replaced(text, "127.0.0.1:7002\"]", "127.0.0.1:99999\"]");
    text = replaced(text, "\"name\": \"entry-1\",", "\"nmae\": \"entry-1\",");
    text = replaced(text, "true", "false");
    const auto parsed = parseEntrySettings(text);
    LONGS_EQUAL(6, parsed.errors.size());
    STRCMP_EQUAL("must be an integer of 1024 to 67108864 bytes, is 12",
                 reasonOf(parsed.errors, "http.maxBodyBytes").c_str());
    STRCMP_EQUAL("must be an integer of 100 to 3600000 ms, is \"soon\"",
                 reasonOf(parsed.errors, "http.headerTimeoutMs").c_str());
    STRCMP_EQUAL("must be host:port with a port of 0 to 65535",
                 reasonOf(parsed.errors, "entryPeers[1]").c_str());
    STRCMP_EQUAL("is required: name", reasonOf(parsed.errors, "name").c_str());
    STRCMP_EQUAL("is not a setting; docs/settings.md lists all",
                 reasonOf(parsed.errors, "nmae").c_str());
    STRCMP_EQUAL("needs faults.allowed", reasonOf(parsed.errors, "faults.blocks").c_str());
}

// Guards against values that are valid alone but not together, and fields given twice.
TEST(settings, checksSettingsAgainstEachOther)
{
    std::string text = replaced(agentText, "\"outageRule\": \"majority\"",
                                R"("outageRule": "always", "slots": 18446744073709551615,
        "links": {"pingAfterMs": 3000, "idleTimeoutMs": 2000}, "rack": "r2")");
    text = replaced(text, "127.0.0.1:7201", "127.0.0.1:7101");
    const auto parsed = parseAgentSettings(text);
    STRCMP_EQUAL("must be allEntries, majority or stop",
                 reasonOf(parsed.errors, "outageRule").c_str());
    STRCMP_EQUAL("must be above links.pingAfterMs",
                 reasonOf(parsed.errors, "links.idleTimeoutMs").c_str());
    STRCMP_EQUAL("must differ from linkListen", reasonOf(parsed.errors, "backendListen").c_str());
    STRCMP_EQUAL("occurs twice in one object", reasonOf(parsed.errors, "rack").c_str());
    CHECK(!reasonOf(parsed.errors, "slots").empty());
    LONGS_EQUAL(5, parsed.errors.size());
}

// Guards against a crash on a file that is missing, not JSON or not an object.
TEST(settings, reportsFilesThatAreNotSettings)
{
    LONGS_EQUAL(1, loadAgentSettings("/nonexistent/agent.json").errors.size());
    CHECK(!parseAgentSettings("{\"worker\": ").errors.empty());
    CHECK(!parseAgentSettings("[1]").errors.empty());
    CHECK(!parseAgentSettings("{\"capacity\": 5, \"entries\": {}}").errors.empty());
}

// Guards against a documentation page that does not list all settings.
TEST(settings, pageListsAllSettings)
{
    STRCMP_EQUAL("",
                 compareDocPage("docs/settings.md",
                                settingsMarkdown() + platform::platformSettingsMarkdown())
                     .c_str());
}

// Guards against wrong parsing of settings as the platform fills them into the templates of
// deploy/.
TEST(settings, platformSettingsAreChecked)
{
    const std::string front = R"({
      // Filled in by the platform.
      "name": "edge-rimouski-1", "failureDomain": "rimouski", "frontListen": "10.1.0.19:8521",
      "readyListen": "10.1.0.19:8523", "metricsListen": "10.1.0.19:7001",
      "storeAddress": "10.200.1.7:8524", "keyRevocationMs": 5000
    })";
    const auto parsed = platform::parseFrontSettings(front);
    CHECK(parsed.errors.empty());
    STRCMP_EQUAL("10.200.1.7:8524", parsed.value.node.storeAddress.c_str());
    CHECK(parsed.value.keyRevocation == 5s);
    const auto wrong = platform::parseFrontSettings(replaced(front, "5000", "10"));
    STRCMP_EQUAL("keyRevocationMs", wrong.errors.at(0).field.c_str());
    const auto missing
        = platform::parseFrontSettings(replaced(front, "\"storeAddress\"", "\"store\""));
    LONGS_EQUAL(2, missing.errors.size());
    const std::string sidecar = R"({
      "name": "side-rimouski-1", "failureDomain": "rimouski", "controlListen": "10.1.0.20:8526",
      "linkListen": "10.1.0.20:7000", "metricsListen": "10.1.0.20:7001",
      "storeAddress": "10.200.1.7:8524", "backendAddress": "10.1.0.20:8529",
      "service": "huvo11a", "adviceAddress": "", "stopTimeMs": 200, "remoteFactor": 3
    })";
    const auto second = platform::parseSidecarSettings(sidecar);
    CHECK(second.errors.empty());
    CHECK(second.value.stopTime == 200ms);
    CHECK(second.value.workerLease == 8s);
}

// The templates that the platform fills in parse with its values, and contain no other placeholder.
TEST(settings, templatesOfTheDeploymentAreValid)
{
    const std::vector<std::pair<std::string, std::string>> values
        = {{"{{node_name|json}}", "\"side-rimouski-1\""},
           {"{{zone|json}}", "\"rimouski\""},
           {"{{listen.front|json}}", "\"10.1.0.19:8521\""},
           {"{{listen.ready|json}}", "\"10.1.0.19:8523\""},
           {"{{listen.control|json}}", "\"10.1.0.19:8526\""},
           {"{{platform.address|json}}", "\"10.200.1.7:8524\""},
           {"{{app|json}}", "\"10.1.0.19:8529\""},
           {"{{service|json}}", "\"huvo11a\""},
           {"{{advice}}", "10.200.1.9:8524"},
           {"{{ip}}", "10.1.0.19"},
           {"{{bounds.revoke_ms}}", "5000"},
           {"{{bounds.stop_timeout_ms}}", "200"},
           {"{{bounds.remote_factor}}", "3"}};
    const auto fill = [&](const std::string &path) {
        std::string text = valueOf(readSettingsFile(path));
        for (const auto &[placeholder, value] : values) {
            while (text.find(placeholder) != std::string::npos)
                text = replaced(text, placeholder, value);
        }
        CHECK(text.find("{{") == std::string::npos);
        return text;
    };
    CHECK(platform::parseFrontSettings(fill("deploy/front.json")).errors.empty());
    const auto sidecar = platform::parseSidecarSettings(fill("deploy/sidecar.json"));
    CHECK(sidecar.errors.empty());
    STRCMP_EQUAL("10.1.0.19:7000", sidecar.value.linkListen.c_str());
}
