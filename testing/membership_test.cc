#include "goldcrest/job_record.h"
#include "goldcrest/membership.h"
#include "goldcrest/store_client.h"
#include "standins/store_model.h"
#include "testing/virtual_event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

// One process with its own connection to the store, and its own clock.
struct candidate
{
    candidate(store_model &model, event_loop &loop, const std::string &worker)
        : store(model, loop)
        , client(store, loop, {})
        , member(client, loop, "north", worker, "127.0.0.1:7200",
                 {[this](epoch elected) { lastElected = elected; }, [this] { ++lostLeaderships; }})
    { }

    fake_store store;
    store_client client;
    epoch lastElected = 0;
    int lostLeaderships = 0;
    membership member;
};

// Answers each renewal as a store does that leaves out the remaining lifetime.
class store_without_lifetimes final : public platform_store
{
public:
    explicit store_without_lifetimes(platform_store &inner)
        : m_inner(inner)
    { }

    void get(std::string_view key, const call_options &options,
             store_callback<std::optional<store_entry>> callback) override
    {
        m_inner.get(key, options, std::move(callback));
    }
    void list(std::string_view prefix, std::size_t limit, const call_options &options,
              store_callback<std::vector<store_entry>> callback) override
    {
        m_inner.list(prefix, limit, options, std::move(callback));
    }
    void commit(store_transaction transaction, const call_options &options,
                store_callback<commit_reply> callback) override
    {
        m_inner.commit(std::move(transaction), options, std::move(callback));
    }
    void grantLease(duration lifetime, const call_options &options,
                    store_callback<lease_id> callback) override
    {
        m_inner.grantLease(lifetime, options, std::move(callback));
    }
    void renewLease(lease_id lease, const call_options &options,
                    store_callback<duration> callback) override
    {
        m_inner.renewLease(lease, options,
                           [this, callback = std::move(callback)](const result<duration> &outcome) {
                               ++renewals;
                               callback(failureOf(outcome) ? outcome
                                                           : result<duration>(duration(0)));
                           });
    }
    void revokeLease(lease_id lease, const call_options &options,
                     store_callback<done> callback) override
    {
        m_inner.revokeLease(lease, options, std::move(callback));
    }
    std::unique_ptr<store_watch> watch(std::string_view prefix, store_revision from,
                                       std::function<void(watch_batch)> callback) override
    {
        return m_inner.watch(prefix, from, std::move(callback));
    }

    int renewals = 0;

private:
    platform_store &m_inner;
};

} // namespace

TEST_GROUP(membership)
{
    virtual_event_loop loop;
    store_model model;
    candidate first{model, loop, "w1"};
    candidate second{model, loop, "w2"};

    void elect(candidate & chosen)
    {
        chosen.member.campaign();
        loop.advance(100ms);
        CHECK(chosen.member.isLeader());
    }
};

// Guards against two planners of one cell, and against an epoch that agents can't compare.
TEST(membership, oneOfTwoCandidatesIsElected)
{
    first.member.campaign();
    second.member.campaign();
    loop.advance(100ms);
    CHECK(first.member.isLeader() != second.member.isLeader());
    const std::vector<store_entry> key = model.range(leaderKey("north"), {});
    LONGS_EQUAL(1, key.size());
    const candidate &elected = first.member.isLeader() ? first : second;
    LONGS_EQUAL(key[0].createRevision, elected.member.currentEpoch());
    LONGS_EQUAL(key[0].createRevision, elected.lastElected);
    const result<leader_record> record = decodeLeader(key[0].value);
    STRCMP_EQUAL(elected.lastElected == first.lastElected ? "w1" : "w2",
                 valueOf(record).worker.c_str());
}

// Guards against a healthy leader that loses its lease.
TEST(membership, aHealthyLeaderKeepsItsEpoch)
{
    elect(first);
    const epoch elected = first.member.currentEpoch();
    for (int i = 0; i < 600; ++i) {
        loop.advance(100ms);
        CHECK(first.member.isLeaseValid(loop.now()));
    }
    LONGS_EQUAL(elected, first.member.currentEpoch());
    LONGS_EQUAL(0, first.lostLeaderships);
}

// Guards against a leader that steps down, or decides nothing, since the store has left the
// remaining lifetime out of its answers, which is read as 0.
TEST(membership, remainingLifetimeInARenewalIsNotUsed)
{
    fake_store inner{model, loop};
    store_without_lifetimes store{inner};
    membership member{store, loop, "south", "w3", "127.0.0.1:7300", {[](epoch) {}, [] {}}};
    member.campaign();
    loop.advance(100ms);
    CHECK(member.isLeader());
    for (int i = 0; i < 300; ++i) {
        loop.advance(100ms);
        CHECK(member.isLeaseValid(loop.now()));
    }
    CHECK(store.renewals > 10);
}

// Guards against a paused leader that goes on while the next one starts work.
TEST(membership, aPausedLeadersLocalLeaseEndsBeforeTheStoresLease)
{
    elect(first);
    first.store.faults().unresponsive = true; // a pause as the store sees it: no renewals arrive
    const time_point start = loop.now();
    while (model.range(leaderKey("north"), {}).size() == 1) {
        loop.advance(100ms);
        model.expireLeases(loop.now());
        if (!first.member.isLeaseValid(loop.now()))
            break;
    }
    LONGS_EQUAL(1, model.range(leaderKey("north"), {}).size()); // the local lease ended first
    CHECK(loop.now() - start <= plannerLeaseLifetime);
    loop.advance(2s);
    const epoch before = first.member.currentEpoch();
    elect(second);
    CHECK(second.member.currentEpoch() > before);
    CHECK_FALSE(first.member.isLeaseValid(loop.now()));
    first.store.faults().unresponsive = false;
    loop.advance(3s);
    CHECK_FALSE(first.member.isLeader());
    LONGS_EQUAL(1, first.lostLeaderships);
    CHECK(second.member.isLeaseValid(loop.now()));
}

// Guards against a process that wakes after a long pause and trusts the lease time from before the
// pause.
TEST(membership, theLocalLeaseEndsDuringAPauseOfTheProcess)
{
    elect(first);
    loop.jump(20s);
    CHECK_FALSE(first.member.isLeaseValid(loop.now()));
    loop.advance(2s);
    LONGS_EQUAL(1, first.lostLeaderships);
}

// Guards against a local lease that is counted from the answer of a slow renewal.
TEST(membership, theLocalLeaseCountsFromTheSendTimeOfTheRenewal)
{
    elect(first); // at 0 ms, so that renewals are sent at 1 s, 2 s and so on
    first.store.faults().delay = 700ms;
    loop.advance(1750ms - 100ms); // the renewal sent at 1000 ms was answered at 1700 ms
    first.store.faults().down = true;
    const time_point localLeaseEnds = time_point{} + 1s + plannerLeaseLifetime - plannerLeaseMargin;
    loop.advance(localLeaseEnds - loop.now() - 10ms);
    CHECK(first.member.isLeaseValid(loop.now()));
    CHECK(first.member.storeUnresponsive());
    loop.advance(20ms);
    CHECK_FALSE(first.member.isLeaseValid(loop.now()));
}

// Guards against a change of planner after an outage that the lease survived.
TEST(membership, aLeaderIsConfirmedAgainAfterAnOutage)
{
    elect(first);
    const epoch elected = first.member.currentEpoch();
    first.store.faults().down = true;
    loop.advance(4500ms);
    CHECK(first.member.storeUnresponsive());
    CHECK(first.member.isLeader()); // no contrary answer was received
    CHECK_FALSE(first.member.isLeaseValid(loop.now()));
    model.renewLease(model.range(leaderKey("north"), {}).at(0).lease,
                     loop.now()); // as if the lease outlasted the outage
    first.store.faults().down = false;
    loop.advance(4s);
    CHECK(first.member.isLeaseValid(loop.now()));
    CHECK_FALSE(first.member.storeUnresponsive());
    LONGS_EQUAL(elected, first.member.currentEpoch());
    LONGS_EQUAL(0, first.lostLeaderships);
}

// Guards against a leader whose key was removed while its lease is still valid.
TEST(membership, aLeaderWithoutItsKeyStepsDown)
{
    elect(first);
    model.commit(store_transaction{}.remove(leaderKey("north")));
    loop.advance(8s);
    CHECK_FALSE(first.member.isLeader());
    LONGS_EQUAL(1, first.lostLeaderships);
    elect(second);
}

// Guards against a cell that waits for a lease to end because the answer of an election was lost.
TEST(membership, aLostAnswerOfTheElectionIsResolved)
{
    first.store.faults().loseAnswers = 1; // the answer to the lease request
    first.member.campaign();
    loop.advance(1s);
    CHECK(first.member.isLeader());
    second.store.faults().loseAnswers = 1;
    second.member.campaign();
    loop.advance(3s);
    CHECK_FALSE(second.member.isLeader());
    // The same for the write of the key, on a store that does not resolve lost answers.
    fake_store plain{model, loop};
    membership third(plain, loop, "south", "w3", "127.0.0.1:7203", {});
    third.campaign();
    plain.faults().loseAnswers = 1;
    loop.advance(1s);
    CHECK(third.isLeader());
    LONGS_EQUAL(model.range(leaderKey("south"), {}).at(0).createRevision, third.currentEpoch());
}

// Guards against a candidate that leads, or that leaves its key behind, after its write of the key
// was carried out and answered with an error.
TEST(membership, aKeyWhoseCreationFailedIsRemovedOrHeld)
{
    for (const code number : {code::StoreAmbiguous, code::StoreProtocol, code::StoreUnavailable,
                              code::StoreOverBudget, code::LeaseLost, code::Internal}) {
        fake_store plain{model, loop};
        const std::string cell = "cell" + std::to_string(static_cast<int>(number));
        membership member(plain, loop, cell, "w3", "127.0.0.1:7203", {});
        plain.faults().delay = 5ms;
        member.campaign();
        loop.advance(1ms);
        plain.faults().loseAnswers = 1;
        plain.faults().lostAnswer = number;
        loop.advance(6ms); // the lease is granted, the key is written
        LONGS_EQUAL(1, model.range(leaderKey(cell), {}).size());
        loop.advance(1s);
        const bool hasKey = !model.range(leaderKey(cell), {}).empty();
        CHECK_EQUAL_TEXT(member.isLeader(), hasKey, cell.c_str());
    }
}

// Guards against a cell without a planner for a lease time after an orderly shutdown.
TEST(membership, resigningFreesTheRoleAtOnce)
{
    elect(first);
    bool resigned = false;
    first.member.resign([&] { resigned = true; });
    CHECK_FALSE(first.member.isLeader());
    loop.advance(10ms);
    CHECK(resigned);
    elect(second);
    LONGS_EQUAL(0, first.lostLeaderships);
}

// Guards against a shutdown that waits for a store that is down.
TEST(membership, resigningEndsAlsoWithoutTheStore)
{
    elect(first);
    first.store.faults().unresponsive = true;
    bool resigned = false;
    first.member.resign([&] { resigned = true; });
    loop.advance(2s);
    CHECK(resigned);
}

// Guards against a leader record that another version wrote or a person edited.
TEST(membership, malformedLeaderRecordsAreRefused)
{
    CHECK(failureOf(decodeLeader("")) != nullptr);
    CHECK(failureOf(decodeLeader(R"({"worker":"w1"})")) != nullptr);
    CHECK(failureOf(decodeLeader(R"({"worker":1,"address":"a"})")) != nullptr);
    CHECK(valueOf(decodeLeader(encodeLeader({"w1", "a:1"}))).address == "a:1");
}
