#include "goldcrest/config_publisher.h"

#include "goldcrest/catalogue_codec.h"
#include "goldcrest/guarantee_check.h"
#include "goldcrest/job_record.h"
#include "standins/store_model.h"
#include "testing/virtual_event_loop.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

catalogue twoDomains()
{
    catalogue entries;
    class_entry &planning = entries.classes["planning"];
    planning.name = "planning";
    planning.owner = "ops";
    shape_entry &shape = entries.shapes["gang"];
    shape.name = "gang";
    shape.owner = "ops";
    shape.className = "planning";
    shape.tasks = 8;
    shape.perTask = {1000, 1024, 1};
    shape.closeness = adjacency::Rack;
    team_entry &team = entries.teams["routes"];
    team.name = "routes";
    team.owner = "ops";
    team.className = "planning";
    team.guarantees = {{"gang", 1, "main"}};
    cell_entry &cell = entries.cells["main"];
    cell.name = "main";
    cell.owner = "ops";
    cell.failureDomains = {"Amqui", "Matane"};
    return entries;
}

worker_info workerOf(const std::string &rack, std::int64_t accelerators)
{
    worker_info worker;
    worker.id = "w-" + rack;
    worker.failureDomain = "Matane";
    worker.rack = rack;
    worker.capacity = {64000, 262144, accelerators};
    return worker;
}

} // namespace

TEST_GROUP(configPublisher)
{
    virtual_event_loop loop;
    store_model model;
    fake_store store{model, loop};
    fake_store secondStore{model, loop};
    std::vector<worker_info> workers;
    config_publisher publisher{store, loop, optionsOf("e1")};
    config_publisher secondPublisher{secondStore, loop, optionsOf("e2")};
    std::vector<result<configuration>> answers;

    publisher_options optionsOf(const std::string &name)
    {
        publisher_options options;
        options.name = name;
        options.checkCapacity = [this](const catalogue &entries) {
            const guarantee_report report = checkGuarantees(entries, "main", workers);
            const failure error = makeFailure(code::GuaranteesDoNotFit, report.text());
            return workers.empty() || report.fits() ? std::vector<failure>()
                                                    : std::vector<failure>{error};
        };
        return options;
    }

    publish_callback recordAnswer()
    {
        return [this](result<configuration> answer) { answers.push_back(std::move(answer)); };
    }

    revision putFirst()
    {
        publisher.putCatalogue(formatCatalogue(twoDomains()), 0, recordAnswer());
        loop.advance(1ms);
        CHECK(failureOf(answers.back()) == nullptr);
        return valueOf(answers.back()).number;
    }

    code lastError()
    {
        const failure *error = failureOf(answers.back());
        return error == nullptr ? code::Internal : error->number;
    }

    configuration stored()
    {
        return valueOf(
            parseConfiguration(model.range(std::string(configurationKey), "").front().value));
    }
};

// Guards against revisions that do not increase and against a change that drops another part of the
// document.
TEST(configPublisher, storesChangesAsGrowingRevisions)
{
    LONGS_EQUAL(1, putFirst());
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    loop.advance(1ms);
    publisher.setDrained("w1", true, std::nullopt, recordAnswer());
    loop.advance(1ms);
    LONGS_EQUAL(3, stored().number);
    CHECK(stored().domainsOut.count("Matane") == 1);
    CHECK(stored().drainedWorkers.count("w1") == 1);
    CHECK(stored().entries.teams.count("routes") == 1);
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    loop.advance(1ms);
    LONGS_EQUAL(3, valueOf(answers.back()).number); // nothing to change
}

// Guards against a lost update: both operators read revision 1 and only one may write.
TEST(configPublisher, racingOperatorsGetAConflictWithTheRevision)
{
    putFirst();
    publisher.setDomainOutOfService("Matane", true, 1, recordAnswer());
    secondPublisher.setDomainOutOfService("Amqui", true, 1, recordAnswer());
    loop.advance(1ms);
    LONGS_EQUAL(3, answers.size());
    CHECK((failureOf(answers[1]) == nullptr) != (failureOf(answers[2]) == nullptr));
    const failure *error = failureOf(answers[2]);
    CHECK(error->number == code::RevisionConflict);
    CHECK(error->reason.find('2') != std::string::npos);
    LONGS_EQUAL(1, stored().domainsOut.size());
}

// Guards against a failed change when two operators change different things without If-Match.
TEST(configPublisher, unconditionalChangesOfBothOperatorsAreKept)
{
    putFirst();
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    secondPublisher.setDomainOutOfService("Amqui", true, std::nullopt, recordAnswer());
    loop.advance(1ms);
    LONGS_EQUAL(3, stored().number);
    LONGS_EQUAL(2, stored().domainsOut.size());
}

// Guards against a second revision, or a false failure, when the answer to the write was lost.
TEST(configPublisher, resolvesAWriteWhoseAnswerWasLost)
{
    putFirst();
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    store.faults().loseAnswers = 1;
    loop.advance(1ms);
    loop.advance(1s);
    LONGS_EQUAL(2, answers.size());
    LONGS_EQUAL(2, valueOf(answers[1]).number);
    LONGS_EQUAL(2, stored().number);
}

// Guards against a retry that overwrites a later change: the first write was stored but its
// answer was lost, and another operator has reverted it since.
TEST(configPublisher, doesNotRepeatAChangeThatMayHaveBeenUndone)
{
    putFirst();
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    store.faults().loseAnswers = 1;
    loop.advance(1ms);
    CHECK(stored().domainsOut.count("Matane") == 1);
    secondPublisher.setDomainOutOfService("Matane", false, std::nullopt, recordAnswer());
    loop.advance(1ms);
    loop.advance(2s);
    CHECK(lastError() == code::StoreAmbiguous);
    CHECK(stored().domainsOut.empty());
    LONGS_EQUAL(3, stored().number);
}

// Guards against reporting "nothing was changed" when a write has an unknown outcome, and against
// an operator request that gets no answer while the store is down.
TEST(configPublisher, reportsWhetherAChangeMayBeStored)
{
    putFirst();
    store.faults().down = true;
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    loop.advance(10s);
    CHECK(lastError() == code::StoreUnavailable);
    store.faults() = {};
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    store.faults().loseRequests = 1000;
    loop.advance(10s);
    CHECK(lastError() == code::StoreAmbiguous);
    LONGS_EQUAL(0, publisher.openChanges());
}

// Guards against an error that promises that nothing was changed, though the change was stored and
// replaced before the publisher read the document again.
TEST(configPublisher, anErrorAfterAChangeThatMayHaveBeenStoredIsAmbiguous)
{
    putFirst();
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    store.faults().loseAnswers = 1;
    loop.advance(1ms);
    CHECK(stored().domainsOut.count("Matane") == 1);
    secondPublisher.setDomainOutOfService("Matane", false, std::nullopt, recordAnswer());
    loop.advance(1ms);
    catalogue smaller = twoDomains();
    smaller.cells["main"].failureDomains = {"Amqui"};
    secondPublisher.putCatalogue(formatCatalogue(smaller), 3, recordAnswer());
    loop.advance(1ms);
    LONGS_EQUAL(4, stored().number);
    loop.advance(2s);
    LONGS_EQUAL(4, answers.size());
    STRCMP_EQUAL("StoreAmbiguous", std::string(nameOf(lastError())).c_str());
}

// Guards against a conflict ("nothing was changed") that is concluded from an absent document, or
// from one that can't be parsed, after a write that may have been stored.
TEST(configPublisher, aLostDocumentAfterALostAnswerIsAmbiguous)
{
    for (const bool removed : {true, false}) {
        putFirst();
        publisher.setDomainOutOfService("Matane", true, stored().number, recordAnswer());
        store.faults().loseAnswers = 1;
        loop.advance(1ms);
        CHECK(stored().domainsOut.count("Matane") == 1);
        store_transaction loss;
        if (removed)
            loss.remove(configurationKey);
        else
            loss.put(configurationKey, "{");
        model.commit(loss);
        loop.advance(10s);
        STRCMP_EQUAL("StoreAmbiguous", std::string(nameOf(lastError())).c_str());
    }
}

// Guards against a refusal of a repeated write that is taken for the outcome of the first one,
// whose answer was lost.
TEST(configPublisher, aRefusalAfterALostAnswerIsAmbiguous)
{
    putFirst();
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    store.faults().loseAnswers = 1;
    loop.advance(1ms);
    store.faults().maxValueBytes = 1;
    loop.advance(10s);
    STRCMP_EQUAL("StoreAmbiguous", std::string(nameOf(lastError())).c_str());
    LONGS_EQUAL(0, publisher.openChanges());
}

// Guards against catalogues that refer to entries that do not exist or guarantee more than the
// capacity.
TEST(configPublisher, refusesWrongNamesAndGuaranteesThatDoNotFit)
{
    putFirst();
    publisher.setDomainOutOfService("Nowhere", true, std::nullopt, recordAnswer());
    loop.advance(1ms);
    CHECK(lastError() == code::UnknownFailureDomain);
    workers = {workerOf("r1", 8), workerOf("r2", 8)};
    catalogue entries = twoDomains();
    entries.teams["routes"].guarantees[0].count = 2;
    CHECK(publisher.validate(formatCatalogue(entries)).empty());
    entries.teams["routes"].guarantees[0].count = 3;
    publisher.putCatalogue(formatCatalogue(entries), 1, recordAnswer());
    loop.advance(1ms);
    CHECK(lastError() == code::GuaranteesDoNotFit);
    CHECK(failureOf(answers.back())->reason.find("routes/gang 2 of 3") != std::string::npos);
    // Both racks have 6 accelerators left: 12 in sum, but none holds a gang of 8.
    workers = {workerOf("r1", 6), workerOf("r2", 6)};
    LONGS_EQUAL(1, publisher.validate(formatCatalogue(twoDomains())).size());
    LONGS_EQUAL(1, stored().number);
}

// Guards against work that is placed in a failure domain which operators have taken out: a
// catalogue without the domain, followed by one that has it again, brought it back.
TEST(configPublisher, domainStaysOutWhileNoCatalogueHasIt)
{
    putFirst();
    publisher.setDomainOutOfService("Matane", true, std::nullopt, recordAnswer());
    loop.advance(1ms);
    catalogue without = twoDomains();
    without.cells["main"].failureDomains = {"Amqui"};
    publisher.putCatalogue(formatCatalogue(without), 2, recordAnswer());
    loop.advance(1ms);
    publisher.putCatalogue(formatCatalogue(twoDomains()), 3, recordAnswer());
    loop.advance(1ms);
    CHECK(failureOf(answers.back()) == nullptr);
    LONGS_EQUAL(1, stored().domainsOut.count("Matane"));
    // It can be brought back while no catalogue has it.
    publisher.putCatalogue(formatCatalogue(without), 4, recordAnswer());
    loop.advance(1ms);
    publisher.setDomainOutOfService("Matane", false, std::nullopt, recordAnswer());
    loop.advance(1ms);
    CHECK(failureOf(answers.back()) == nullptr);
    CHECK(stored().domainsOut.empty());
}

// Guards against a retry that uses the publisher after its destruction: the timer of the retry is
// owned by the change, which the timer's own task kept alive.
TEST(configPublisher, destroyedWhileARetryIsPending)
{
    putFirst();
    auto closing = std::make_unique<config_publisher>(secondStore, loop, optionsOf("e3"));
    secondStore.faults().down = true;
    closing->setDrained("w1", true, std::nullopt, recordAnswer());
    loop.advance(10ms);
    LONGS_EQUAL(1, closing->openChanges());
    closing.reset();
    secondStore.faults().down = false;
    secondStore.resetCounts();
    loop.advance(10s);
    LONGS_EQUAL(1, answers.size());
    LONGS_EQUAL(0, secondStore.counts().total());
    LONGS_EQUAL(1, stored().number);
}

TEST_GROUP(configTracker)
{
    config_tracker tracker;
    const time_point start{};
};

// Guards against a pending change that is reported as in force: acknowledged by a replaced planner,
// or by no planner yet.
TEST(configTracker, onlyTheCurrentPlannersAcknowledgementCounts)
{
    CHECK(!tracker.stateOf("main", 1).inForce);
    tracker.leaderReported("main", 7);
    CHECK(!tracker.stateOf("main", 1).inForce);
    CHECK(tracker.acknowledged("main", 7, 1));
    CHECK(!tracker.acknowledged("main", 7, 1));
    CHECK(tracker.stateOf("main", 1).inForce);
    CHECK(!tracker.stateOf("main", 2).inForce);
    tracker.leaderReported("main", 9);
    CHECK(!tracker.acknowledged("main", 7, 2));
    CHECK(!tracker.stateOf("main", 2).inForce);
    CHECK(tracker.stateOf("main", 2).reason.find("epoch 9") != std::string::npos);
    tracker.acknowledged("main", 9, 2);
    CHECK(tracker.stateOf("main", 2).inForce);
}

// Guards against "in force" while the last planner's start messages may still arrive, and from a
// read that is older than the revision.
TEST(configTracker, withoutAPlannerItIsInForceAfterTheHoldLifetime)
{
    tracker.leaderReported("main", 7);
    tracker.revisionSeen(2, start + 3s);
    tracker.leaderAbsent("main", start, start + 100ms);
    tracker.leaderAbsent("main", start + 2s, start + 2100ms);
    CHECK(!tracker.stateOf("main", 2).inForce);
    tracker.leaderAbsent("main", start + 3100ms, start + 3200ms);
    CHECK(tracker.stateOf("main", 2).inForce);
    tracker.leaderReported("main", 8);
    CHECK(!tracker.stateOf("main", 2).inForce);
}
