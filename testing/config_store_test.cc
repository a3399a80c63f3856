#include "goldcrest/catalogue_codec.h"
#include "goldcrest/config_store.h"
#include "goldcrest/job_record.h"
#include "goldcrest/store_client.h"
#include "standins/store_model.h"
#include "testing/virtual_event_loop.h"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

// One process with its view of the configuration.
struct process
{
    process(store_model &model, event_loop &loop, const std::string &name)
        : store(model, loop)
        , client(store, loop, {})
        , configs(client, loop, view, name, [this] { ++changes; })
    { }

    void publish(const std::string &domainOut, revision expected)
    {
        configuration next = view.current();
        next.domainsOut = {domainOut};
        outcome.reset();
        configs.publish(next, expected,
                        [this](const result<revision> &answer) { outcome = answer; });
    }

    fake_store store;
    store_client client;
    config_view view;
    int changes = 0;
    config_store configs;
    std::optional<result<revision>> outcome;
};

std::string documentOf(revision number, const std::string &domainOut)
{
    configuration config;
    config.number = number;
    config.writer = "writer-" + std::to_string(number);
    config.domainsOut = {domainOut};
    return formatConfiguration(config);
}

} // namespace

TEST_GROUP(config_store)
{
    virtual_event_loop loop;
    store_model model;
    process first{model, loop, "entry-1"};
    process second{model, loop, "entry-2"};

    void start()
    {
        first.configs.start();
        second.configs.start();
        loop.advance(100ms);
    }

    void finish(process & publisher)
    {
        CHECK(loop.advanceUntil([&] { return publisher.outcome.has_value(); }, 1min));
    }

    revision stored() const
    {
        const auto entries = model.range(std::string(configurationKey), {});
        return entries.empty() ? 0 : valueOf(parseConfiguration(entries[0].value)).number;
    }

    static bool succeeded(const process &publisher, revision number)
    {
        return publisher.outcome && !failureOf(*publisher.outcome)
            && valueOf(*publisher.outcome) == number;
    }

    static bool failedWith(const process &publisher, code number)
    {
        return publisher.outcome && failureOf(*publisher.outcome)
            && failureOf(*publisher.outcome)->number == number;
    }
};

// Guards against a change that reaches other processes late or is not confirmed as current there.
TEST(config_store, aPublicationReachesOthersAtOnceAndStaysFresh)
{
    start();
    first.publish("amqui", 0);
    loop.advance(50ms);
    CHECK(succeeded(first, 1));
    LONGS_EQUAL(1, second.view.current().number);
    CHECK(second.view.isFresh(loop.now()));
    for (int i = 0; i < 100; ++i) {
        loop.advance(100ms);
        CHECK(second.view.isFresh(loop.now()));
    }
    LONGS_EQUAL(1, second.changes);
}

// Guards against a planner that starts work on an unconfirmed configuration.
TEST(config_store, theViewGoesStaleDuringAnOutageAndRecovers)
{
    start();
    first.publish("amqui", 0);
    loop.advance(2s);
    second.store.faults().down = true;
    second.store.breakWatches();
    loop.advance(configFreshnessLimit + 10ms);
    CHECK_FALSE(second.view.isFresh(loop.now()));
    first.publish("matane", 1);
    loop.advance(1s);
    CHECK(succeeded(first, 2));
    LONGS_EQUAL(1, second.view.current().number);
    second.store.faults().down = false;
    loop.advance(3s);
    LONGS_EQUAL(2, second.view.current().number);
    CHECK(second.view.isFresh(loop.now()));
    first.publish("gaspe", 2); // the watch works again
    loop.advance(50ms);
    LONGS_EQUAL(3, second.view.current().number);
}

// Guards against one of two racing operators overwriting the change of the other undetected.
TEST(config_store, oneOfTwoRacingPublishersGetsAConflict)
{
    start();
    first.publish("amqui", 0);
    finish(first);
    loop.advance(1s);
    first.publish("matane", 1);
    second.publish("gaspe", 1);
    finish(first);
    finish(second);
    const bool firstWon = succeeded(first, 2);
    CHECK(firstWon != succeeded(second, 2));
    process &loser = firstWon ? second : first;
    CHECK(failedWith(loser, code::RevisionConflict));
    CHECK(failureOf(*loser.outcome)->reason.find('2') != std::string::npos);
    LONGS_EQUAL(2, loser.view.current().number);
    LONGS_EQUAL(2, stored());
}

// Guards against a stale change that is written although its base was replaced.
TEST(config_store, anOutdatedBaseIsRefusedWithoutAWrite)
{
    start();
    first.publish("amqui", 0);
    finish(first);
    const std::uint64_t writes = second.store.counts().writes;
    second.publish("matane", 0);
    finish(second);
    CHECK(failedWith(second, code::RevisionConflict));
    LONGS_EQUAL(writes, second.store.counts().writes);
}

// Guards against a stored change that is reported as failed, and against one that is made twice.
TEST(config_store, aLostAnswerIsResolved)
{
    start();
    first.store.faults().loseAnswers = 1;
    first.publish("amqui", 0);
    finish(first);
    CHECK(succeeded(first, 1));
    LONGS_EQUAL(1, stored());
    LONGS_EQUAL(1, first.store.counts().writes);
}

// Guards against a lost answer that turns into a false success or failure in an outage.
TEST(config_store, aLostAnswerBeforeAnOutageIsResolvedAfterwardsOrAmbiguous)
{
    start();
    first.publish("amqui", 0);
    first.store.faults().loseAnswers = 1;
    loop.advance(1ms);
    CHECK(loop.advanceUntil([&] { return first.store.faults().loseAnswers == 0; }, 1s, 1ms));
    first.store.faults().down = true;
    loop.advance(3s);
    CHECK_FALSE(first.outcome.has_value());
    first.store.faults().down = false;
    finish(first);
    CHECK(succeeded(first, 1));

    first.publish("matane", 1);
    first.store.faults().loseAnswers = 1;
    CHECK(loop.advanceUntil([&] { return first.store.faults().loseAnswers == 0; }, 1s, 1ms));
    first.store.faults().down = true;
    finish(first);
    CHECK(failedWith(first, code::StoreAmbiguous));
    LONGS_EQUAL(2, stored());
}

// Guards against a lost answer that is reported as a conflict although a later change is based on
// the write.
TEST(config_store, aLostAnswerBelowALaterRevisionStaysAmbiguous)
{
    start();
    first.publish("amqui", 0);
    first.store.faults().loseAnswers = 1;
    CHECK(loop.advanceUntil([&] { return first.store.faults().loseAnswers == 0; }, 1s, 1ms));
    first.store.faults().down = true;
    loop.advance(1s);
    second.publish("matane", 1);
    finish(second);
    CHECK(succeeded(second, 2));
    first.store.faults().down = false;
    finish(first);
    CHECK(failedWith(first, code::StoreAmbiguous));
}

// Guards against a return to an older revision, whether a watch event or a read delivers it.
TEST(config_store, anOldRevisionIsNeverApplied)
{
    start();
    model.commit(store_transaction{}.put(configurationKey, documentOf(5, "amqui")));
    loop.advance(1s);
    LONGS_EQUAL(5, second.view.current().number);
    // The store is restored from an older backup.
    model.commit(store_transaction{}.put(configurationKey, documentOf(4, "matane")));
    loop.advance(5s);
    LONGS_EQUAL(5, second.view.current().number);
    CHECK(second.view.current().domainsOut.count("amqui") == 1);
    CHECK_FALSE(second.view.isFresh(loop.now()));
    CHECK(second.configs.documentError().has_value());
    // An operator can publish a change based on the revision that is in force.
    second.publish("gaspe", 5);
    finish(second);
    CHECK(succeeded(second, 6));
    loop.advance(2s);
    LONGS_EQUAL(6, first.view.current().number);
    CHECK(first.view.isFresh(loop.now()));
    CHECK_FALSE(first.configs.documentError().has_value());
}

// Guards against a process that drops its configuration because the document is corrupted or
// missing.
TEST(config_store, aDamagedOrMissingDocumentKeepsTheLastRevision)
{
    start();
    first.publish("amqui", 0);
    finish(first);
    loop.advance(1s);
    model.commit(store_transaction{}.put(configurationKey, "{\"revision\": 9"));
    loop.advance(5s);
    LONGS_EQUAL(1, second.view.current().number);
    CHECK_FALSE(second.view.isFresh(loop.now()));
    CHECK(second.configs.documentError()->number == code::MalformedJson);
    model.commit(store_transaction{}.remove(configurationKey));
    loop.advance(5s);
    LONGS_EQUAL(1, second.view.current().number);
    second.publish("matane", 1);
    finish(second);
    CHECK(succeeded(second, 2));
    LONGS_EQUAL(2, stored());
}

// Guards against a load on the store that grows with the size of the document or without need.
TEST(config_store, aQuietMinuteCostsOneReadPerSecond)
{
    start();
    first.publish("amqui", 0);
    loop.advance(5s);
    second.store.resetCounts();
    loop.advance(1min);
    CHECK(second.store.counts().reads <= 61);
    LONGS_EQUAL(0, second.store.counts().writes);
    LONGS_EQUAL(0, second.store.counts().watches);
}

// Guards against publications that are reported as stored while the store refuses writes.
TEST(config_store, refusedWritesAreReportedAsNotStored)
{
    start();
    first.store.faults().refuseWrites = true;
    first.publish("amqui", 0);
    finish(first);
    CHECK(failedWith(first, code::StoreOverBudget));
    LONGS_EQUAL(0, stored());
}

// Guards against "not stored" for a publication that was stored, after an error that is not known
// to mean that nothing was written.
TEST(config_store, anErrorThatPromisesNothingIsResolved)
{
    start();
    revision last = 0;
    for (const code number : {code::StoreProtocol, code::LeaseLost, code::Internal}) {
        first.store.faults().loseAnswers = 1;
        first.store.faults().lostAnswer = number;
        first.publish("amqui" + std::to_string(last), last);
        finish(first);
        CHECK_TEXT(succeeded(first, last + 1), std::string(nameOf(number)).c_str());
        LONGS_EQUAL(++last, stored());
        LONGS_EQUAL(0, first.store.faults().loseAnswers);
        loop.advance(1s);
    }
}

TEST_GROUP(config_view){};

// Guards against a relayed confirmation that makes the configuration look fresher than it is.
TEST(config_view, ageAndRevisionDecide)
{
    config_view view;
    configuration config;
    config.number = 3;
    const time_point now = time_point{} + 1h;
    CHECK(view.updateIfNewer(config));
    CHECK_FALSE(view.updateIfNewer(config));
    CHECK_FALSE(view.isFresh(now));
    view.confirm(2, 0ms, now);
    CHECK_FALSE(view.confirmedAge(now).has_value());
    view.confirm(3, 2s, now);
    CHECK(view.confirmedAge(now) == 2s);
    view.confirm(3, 3s, now); // an older confirmation
    CHECK(view.confirmedAge(now) == 2s);
    CHECK(view.isFresh(now + 1s));
    CHECK_FALSE(view.isFresh(now + 1s + 1ms));
    config.number = 4;
    CHECK(view.updateIfNewer(config));
    CHECK_FALSE(view.isFresh(now));
    config.number = 3;
    CHECK_FALSE(view.updateIfNewer(config));
    LONGS_EQUAL(4, view.current().number);
}
