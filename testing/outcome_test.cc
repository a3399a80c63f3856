#include "goldcrest/outcome.h"

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(outcome){};

// Guards against a code that was added to the enum but not to the table of names and statuses.
TEST(outcome, everyCodeHasItsNameAndStatus)
{
    CHECK(nameOf(code::MalformedJson) == "MalformedJson");
    LONGS_EQUAL(503, httpStatusOf(code::QueueFull));
    CHECK(nameOf(static_cast<code>(999)) == "Unnumbered");
}
