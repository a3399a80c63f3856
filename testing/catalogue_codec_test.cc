#include "goldcrest/catalogue_codec.h"
#include "goldcrest/catalogue_diff.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

const std::string validCatalogue = R"({
  // Routes go first.
  "classes": {
    "routes": {"owner": "dispatch", "weight": 10, "urgent": true,
               "startDelay": {"target": 0.99, "boundMs": 3000}},
    "forecasts": {"owner": "office"}
  },
  "shapes": {
    "route": {"owner": "dispatch", "class": "routes", "tasks": 4,
              "perTask": {"cores": 8000, "memory": 32768, "accelerators": 1},
              "closeness": "rack", "stopTimeMs": 2000}
  },
  "teams": {
    "harvest": {"owner": "ana", "class": "routes",
                "quota": {"cores": 64000, "memory": 262144, "accelerators": 8},
                "guarantees": [{"shape": "route", "count": 2, "cell": "north"}]}
  },
  "cells": {
    "north": {"owner": "site", "failureDomains": ["matane", "amqui"]}
  }
})";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = validCatalogue;
    const std::size_t at = text.find(from);
    CHECK(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

void checkError(const std::string &text, code number, const char *field)
{
    const result<catalogue> outcome = parseCatalogue(text);
    const failure *error = failureOf(outcome);
    CHECK(error != nullptr);
    if (!error)
        return;
    STRCMP_EQUAL(field, error->field.c_str());
    STRCMP_EQUAL(std::string(nameOf(number)).c_str(), std::string(nameOf(error->number)).c_str());
}

catalogue parsedValid()
{
    const result<catalogue> outcome = parseCatalogue(validCatalogue);
    CHECK(failureOf(outcome) == nullptr);
    return valueOf(outcome);
}

bool hasFault(const catalogue &entries, code number, const std::string &field)
{
    for (const failure &fault : validateCatalogue(entries)) {
        if (fault.number == number && fault.field == field)
            return true;
    }
    return false;
}

} // namespace

TEST_GROUP(catalogue_codec){};

// Guards against a catalogue that changes when it is stored and read again.
TEST(catalogue_codec, formattedCatalogueParsesToTheSame)
{
    const catalogue entries = parsedValid();
    LONGS_EQUAL(0, validateCatalogue(entries).size());
    LONGS_EQUAL(4, entries.shapes.at("route").tasks);
    CHECK(entries.shapes.at("route").closeness == adjacency::Rack);
    CHECK(entries.classes.at("routes").startDelay.bound == 3s);
    const result<catalogue> again = parseCatalogue(formatCatalogue(entries));
    CHECK(failureOf(again) == nullptr);
    CHECK(diffCatalogues(entries, valueOf(again)).empty());
    CHECK(formatCatalogue(valueOf(again)) == formatCatalogue(entries));
}

// Guards against a misspelt or misplaced field that is silently ignored.
TEST(catalogue_codec, errorsHaveThePathOfTheField)
{
    checkError(replaced("\"weight\"", "\"wieght\""), code::UnknownField, "classes.routes.wieght");
    checkError(replaced("\"cells\"", "\"cell\""), code::UnknownField, "cell");
    checkError(replaced("\"memory\": 32768", "\"ram\": 1"), code::UnknownField,
               "shapes.route.perTask.ram");
    checkError(replaced("\"count\": 2", "\"number\": 2"), code::UnknownField,
               "teams.harvest.guarantees[0].number");
    checkError(replaced("{\"owner\": \"office\"}", "{}"), code::MissingField,
               "classes.forecasts.owner");
    checkError(replaced("\"owner\": \"site\"", "\"owner\": \"\""), code::InvalidValue,
               "cells.north.owner");
    checkError(replaced("\"tasks\": 4", "\"tasks\": 0"), code::InvalidValue, "shapes.route.tasks");
    checkError(replaced("\"tasks\": 4", "\"tasks\": 4.5"), code::InvalidValue,
               "shapes.route.tasks");
    checkError(replaced("\"cores\": 8000", "\"cores\": 18446744073709551615"), code::InvalidValue,
               "shapes.route.perTask.cores");
    checkError(replaced("0.99", "1.5"), code::InvalidValue, "classes.routes.startDelay.target");
    checkError(replaced("\"rack\"", "\"street\""), code::InvalidValue, "shapes.route.closeness");
    checkError(replaced("\"amqui\"", "\"matane\""), code::InvalidValue,
               "cells.north.failureDomains[1]");
    checkError(replaced("\"harvest\"", "\"har/vest\""), code::InvalidValue, "teams.har/vest");
    checkError(replaced("\"forecasts\"", "\"routes\""), code::InvalidValue, "routes");
    checkError("{\"classes\": ", code::MalformedJson, "");
    checkError("[]", code::InvalidValue, "");
}

// Guards against references to entries that do not exist, and against conflicting entries.
TEST(catalogue_codec, validationFindsEveryFault)
{
    catalogue entries = parsedValid();
    entries.teams["harvest"].className = "nobody";
    entries.teams["harvest"].guarantees[0].cell = "south";
    entries.teams["harvest"].guarantees[0].shape = "circle";
    entries.shapes["route"].className = "none";
    entries.cells["other"] = {"other", "site", {"amqui"}};
    entries.classes["routes"].owner.clear();
    CHECK(hasFault(entries, code::UnknownClass, "teams.harvest.class"));
    CHECK(hasFault(entries, code::InvalidValue, "teams.harvest.guarantees[0].cell"));
    CHECK(hasFault(entries, code::UnknownShape, "teams.harvest.guarantees[0].shape"));
    CHECK(hasFault(entries, code::UnknownClass, "shapes.route.class"));
    CHECK(hasFault(entries, code::InvalidValue, "cells.other.failureDomains"));
    CHECK(hasFault(entries, code::MissingField, "classes.routes.owner"));
    LONGS_EQUAL(6, validateCatalogue(entries).size());
}

// Guards against a guarantee that its own team's quota makes unusable.
TEST(catalogue_codec, aQuotaBelowTheGuaranteesIsAFault)
{
    catalogue entries = parsedValid();
    entries.teams["harvest"].quota.accelerators = 7;
    CHECK(hasFault(entries, code::InvalidValue, "teams.harvest.quota.accelerators"));
    entries.teams["harvest"].quota.accelerators = 0; // no limit
    CHECK(validateCatalogue(entries).empty());
}

// Guards against integer overflow in sums of extreme values that parse without an error.
TEST(catalogue_codec, numbersOutOfRangeAreFaultsWithoutOverflow)
{
    catalogue entries = parsedValid();
    entries.shapes["route"].perTask.cores = std::numeric_limits<std::int64_t>::max();
    entries.teams["harvest"].guarantees[0].count = std::numeric_limits<std::int32_t>::max();
    CHECK(hasFault(entries, code::InvalidValue, "shapes.route.perTask.cores"));
    CHECK(hasFault(entries, code::InvalidValue, "teams.harvest.guarantees[0].count"));
}

// Guards against a stored document that loses its revision, writer or domain state.
TEST(catalogue_codec, configurationSurvivesARoundTrip)
{
    configuration sent;
    sent.number = 12;
    sent.writer = "entry-1.ab.3";
    sent.entries = parsedValid();
    sent.domainsOut = {"amqui"};
    sent.drainedWorkers = {"w1", "w9"};
    const result<configuration> received = parseConfiguration(formatConfiguration(sent));
    CHECK(failureOf(received) == nullptr);
    LONGS_EQUAL(12, valueOf(received).number);
    STRCMP_EQUAL("entry-1.ab.3", valueOf(received).writer.c_str());
    CHECK(diffConfigurations(sent, valueOf(received)).empty());
    CHECK(failureOf(parseConfiguration(R"({"revision": 1, "writer": "w"})"))->field == "catalogue");
    CHECK(
        failureOf(parseConfiguration(R"({"revision": -1, "writer": "w", "catalogue": {}})"))->field
        == "revision");
}

// Guards against exceptions on corrupted documents.
TEST(catalogue_codec, damagedDocumentsNeverThrow)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 5000; ++round) {
        std::string text = validCatalogue;
        for (std::uint64_t i = 0; i <= random() % 3; ++i)
            text[random() % text.size()] = static_cast<char>(random());
        const result<catalogue> outcome = parseCatalogue(text);
        if (!failureOf(outcome))
            formatCatalogue(valueOf(outcome));
    }
    CHECK(failureOf(parseCatalogue(std::string(2000, '['))) != nullptr);
    CHECK(failureOf(parseCatalogue(std::string(2 * 1024 * 1024, ' '))) != nullptr);
}

// Guards against a document whose copy overflows the stack: it may be nested 500,000 levels deep
// within the size limit. Brackets in comments do not count.
TEST(catalogue_codec, refusesDeepNesting)
{
    const std::string levels(100, '[');
    const std::string deep = R"({"teams":)" + levels + std::string(100, ']') + "}";
    const result<catalogue> refused = parseCatalogue(deep);
    CHECK(failureOf(refused) && failureOf(refused)->number == code::MalformedJson);
    CHECK(!failureOf(parseCatalogue("/* " + levels + " */" + formatCatalogue(parsedValid()))));
}

// Guards against a change that the list of differences, which operators review, leaves out.
TEST(catalogue_codec, differencesAreListedByPath)
{
    configuration before;
    before.entries = parsedValid();
    before.domainsOut = {"amqui"};
    configuration after = before;
    after.number = 2;
    after.entries.teams["harvest"].quota.cores = 128000;
    after.entries.classes.erase("forecasts");
    after.entries.cells["south"] = {"south", "site", {"gaspe"}};
    after.domainsOut = {"matane"};
    const std::vector<std::string> lines = diffConfigurations(before, after);
    LONGS_EQUAL(5, lines.size());
    STRCMP_EQUAL("+ catalogue.cells.south: {\"failureDomains\":[\"gaspe\"],\"owner\":\"site\"}",
                 lines[0].c_str());
    CHECK(lines[1].rfind("- catalogue.classes.forecasts: ", 0) == 0);
    STRCMP_EQUAL("catalogue.teams.harvest.quota.cores: 64000 -> 128000", lines[2].c_str());
    STRCMP_EQUAL("- domainsOut.amqui: true", lines[3].c_str());
    STRCMP_EQUAL("+ domainsOut.matane: true", lines[4].c_str());
}
