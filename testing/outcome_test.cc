#include "goldcrest/outcome.h"
#include "goldcrest/platform_store.h"
#include "testing/doc_page_support.h"

#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

// Reads the enumerators and their numbers from the header.
std::map<std::string, int> enumeratorsInHeader()
{
    std::map<std::string, int> found;
    const std::regex enumerator(R"(^    (\w+) = (\d+),$)");
    std::ifstream header("goldcrest/outcome.h");
    std::smatch match;
    for (std::string line; std::getline(header, line);) {
        if (std::regex_match(line, match, enumerator))
            found[match[1]] = std::stoi(match[2]);
    }
    return found;
}

} // namespace

TEST_GROUP(outcome){};

// Guards against a code that was added to the enum but not to the table, or twice.
TEST(outcome, everyEnumeratorIsInTheTableOnce)
{
    std::map<std::string, int> expected = enumeratorsInHeader();
    CHECK(expected.size() > 50);
    int last = 0;
    for (const code_entry &entry : listCodes()) {
        const std::string name(entry.name);
        LONGS_EQUAL_TEXT(expected[name], static_cast<int>(entry.number), name.c_str());
        CHECK_TEXT(static_cast<int>(entry.number) > last, name.c_str());
        last = static_cast<int>(entry.number);
        CHECK_TEXT(!entry.meaning.empty() && !entry.advice.empty(), name.c_str());
        CHECK_TEXT(entry.httpStatus >= 200 && entry.httpStatus < 600, name.c_str());
    }
    LONGS_EQUAL(expected.size(), listCodes().size());
}

// Guards against a code without a name or status in answers.
TEST(outcome, everyCodeHasItsNameAndStatus)
{
    CHECK(nameOf(code::MalformedJson) == "MalformedJson");
    LONGS_EQUAL(503, httpStatusOf(code::QueueFull));
    CHECK(nameOf(static_cast<code>(999)) == "Unnumbered");
}

// Guards against a code that becomes a promise that nothing was done by default.
TEST(outcome, onlyKnownCodesPromiseThatNothingWasDone)
{
    const std::set<code> ofStoreCalls{code::StoreUnavailable, code::StoreOverBudget,
                                      code::StoreValueTooLarge};
    for (const code_entry &entry : listCodes()) {
        const std::string name(entry.name);
        const int number = static_cast<int>(entry.number);
        const bool isRefusal = number >= 100 && number < 300;
        const bool isStoreRefusal = ofStoreCalls.count(entry.number) > 0;
        CHECK_TEXT(wroteNothing(entry.number) == isStoreRefusal, name.c_str());
        CHECK_TEXT(changedNothing(entry.number)
                       == (isRefusal || isStoreRefusal || entry.number == code::StoreConflict),
                   name.c_str());
    }
    for (const int unknown : {0, 99, 300, 599, 999})
        CHECK_FALSE(changedNothing(static_cast<code>(unknown)));
}

// Guards against a documentation page that lags behind the table.
TEST(outcome, pageListsAllCodes)
{
    STRCMP_EQUAL("", compareDocPage("docs/errors.md", errorsMarkdown()).c_str());
}
