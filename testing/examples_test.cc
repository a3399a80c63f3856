#include "goldcrest/catalogue_codec.h"
#include "goldcrest/guarantee_check.h"
#include "goldcrest/settings.h"

#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

struct deployment
{
    std::string directory;
    resources worker;
    std::vector<std::string> domainOfWorker;
};

const deployment regie{"examples/regie",
                       {64000, 262144, 8},
                       {"Rimouski", "Rimouski", "Rimouski", "Matane", "Matane", "Matane",
                        "Rivière-du-Loup", "Rivière-du-Loup", "Rivière-du-Loup", "Amqui", "Amqui"}};

const deployment waterBoard{"examples/water-board",
                            {128000, 524288, 8},
                            {"upper-river", "upper-river", "upper-river", "upper-river", "polder",
                             "polder", "polder", "polder", "coast", "coast", "coast"}};

std::string readFile(const std::string &path)
{
    std::ostringstream content;
    content << std::ifstream(path).rdbuf();
    return content.str();
}

std::vector<worker_info> workersOf(const deployment &site)
{
    std::vector<worker_info> workers;
    std::map<std::string, int> count;
    for (std::size_t i = 0; i < site.domainOfWorker.size(); ++i) {
        worker_info worker;
        worker.id = "w" + std::to_string(i + 1);
        worker.failureDomain = site.domainOfWorker[i];
        worker.rack = "rack-" + std::to_string(count[worker.failureDomain]++ / 3 + 1);
        worker.capacity = site.worker;
        workers.push_back(worker);
    }
    return workers;
}

// Guards against an invalid example catalogue, and against guarantees that do not fit when one
// failure domain is out of service.
void checkCatalogue(const deployment &site)
{
    const result<catalogue> parsed = parseCatalogue(readFile(site.directory + "/catalogue.json"));
    const failure *error = failureOf(parsed);
    CHECK_TEXT(error == nullptr, error == nullptr ? "" : (error->field + error->reason).c_str());
    const catalogue &entries = valueOf(parsed);
    LONGS_EQUAL(0, validateCatalogue(entries).size());
    for (const std::string &out : entries.cells.at("main").failureDomains) {
        const guarantee_report report
            = checkGuarantees(entries, "main", workersOf(site), std::set<std::string>{out});
        CHECK_TEXT(report.fits(), (out + ": " + report.text()).c_str());
    }
}

// Guards against example settings that a daemon refuses, or that describe other workers than the
// catalogue's comments.
void checkSettings(const deployment &site)
{
    const auto entry = loadEntrySettings(site.directory + "/entry.json");
    LONGS_EQUAL(0, entry.errors.size());
    const auto agent = loadAgentSettings(site.directory + "/agent.json");
    LONGS_EQUAL(0, agent.errors.size());
    CHECK(agent.value.capacity == site.worker);
    STRCMP_EQUAL(site.domainOfWorker[0].c_str(), agent.value.failureDomain.c_str());
}

} // namespace

TEST_GROUP(examples){};

TEST(examples, settingsAreValid)
{
    checkSettings(regie);
    checkSettings(waterBoard);
}

TEST(examples, regieCatalogueFitsWithAnyDomainOut)
{
    checkCatalogue(regie);
}

TEST(examples, waterBoardCatalogueFitsWithAnyDomainOut)
{
    checkCatalogue(waterBoard);
}
