#include "goldcrest/cell_directory.h"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

find_planner_message requestOf(const std::string &worker, bool eligible = true)
{
    find_planner_message request;
    request.cell = "main";
    request.worker = worker;
    request.eligible = eligible;
    return request;
}

} // namespace

TEST_GROUP(cellDirectory)
{
    cell_directory directory{"e1"};
    time_point now{};

    std::vector<link_id> nominated()
    {
        std::vector<link_id> links;
        for (const directory_action &action : directory.takeActions()) {
            if (std::get_if<nominate_message>(&action.content) != nullptr)
                links.push_back(action.link);
        }
        return links;
    }
};

// Guards against a cell that stays without a planner because the same failing agent is asked again
// and again.
TEST(cellDirectory, asksAnotherAgentAfterEachFailedTry)
{
    for (link_id link = 1; link <= 3; ++link)
        directory.plannerRequested(link, requestOf("w" + std::to_string(link)), now);
    directory.plannerRequested(4, requestOf("w4", false), now);
    std::set<link_id> asked;
    for (int i = 0; i < 3; ++i) {
        directory.leaderAbsent("main", now);
        const std::vector<link_id> links = nominated();
        LONGS_EQUAL(1, links.size());
        asked.insert(links[0]);
        directory.leaderAbsent("main", now + 100ms);
        LONGS_EQUAL(0, nominated().size());
        now += nominationInterval;
    }
    LONGS_EQUAL(3, asked.size());
    LONGS_EQUAL(0, asked.count(4));
    directory.leaderAbsent("main", now);
    LONGS_EQUAL(1, nominated().size());
}

// Guards against a planner on a worker that the operators drain while others are available.
TEST(cellDirectory, prefersAgentsThatAreNotDrained)
{
    directory.plannerRequested(1, requestOf("w1"), now);
    directory.plannerRequested(2, requestOf("w2"), now);
    directory.setAvoidedWorkers({"w1"});
    directory.leaderAbsent("main", now);
    CHECK(nominated() == std::vector<link_id>{2});
    directory.linkClosed(2);
    directory.leaderAbsent("main", now + nominationInterval);
    CHECK(nominated() == std::vector<link_id>{1});
}

// Guards against agents that stay with a replaced planner, and against an old leader that displaces
// a newer one when reports arrive late.
TEST(cellDirectory, notifiesAgentsOfEachNewPlannerOnly)
{
    directory.plannerRequested(1, requestOf("w1"), now);
    directory.takeActions();
    CHECK(directory.leaderReported("main", {"w9", "127.0.0.1:9"}, 7));
    const auto actions = directory.takeActions();
    LONGS_EQUAL(1, actions.size());
    LONGS_EQUAL(7, std::get<planner_info_message>(actions[0].content).plannerEpoch);
    CHECK(!directory.leaderReported("main", {"w8", "127.0.0.1:8"}, 6));
    CHECK(!directory.leaderReported("main", {"w9", "127.0.0.1:9"}, 7));
    LONGS_EQUAL(0, directory.takeActions().size());
    STRCMP_EQUAL("127.0.0.1:9", directory.plannerOf("main").leader.address.c_str());
    CHECK(directory.leaderReported("main", {"", "127.0.0.1:4"}, 8));
    CHECK(!directory.leaderReported("main", {"w4", "127.0.0.1:4"}, 8));
    STRCMP_EQUAL("w4", directory.plannerOf("main").leader.worker.c_str());
    directory.takeActions();
    directory.plannerRequested(2, requestOf("w2"), now);
    LONGS_EQUAL(8, std::get<planner_info_message>(directory.takeActions()[0].content).plannerEpoch);
}
