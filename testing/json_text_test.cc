#include "goldcrest/json_text.h"

#include <limits>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

TEST_GROUP(json_text){};

// Guards against values that overflow the stack when they are copied, compared or formatted.
TEST(json_text, limitsDepth)
{
    CHECK(!parseJson(nested(maxJsonDepth)).is_discarded());
    CHECK(parseJson(nested(maxJsonDepth + 1)).is_discarded());
    CHECK(parseJson(nested(1'000'000)).is_discarded());
    CHECK(parseJson(std::string(1'000'000, '[')).is_discarded());
    std::string objects = "1";
    for (std::size_t i = 0; i <= maxJsonDepth; ++i) {
        objects.insert(0, R"({"a":)");
        objects += '}';
    }
    CHECK(parseJson(objects).is_discarded());
}

// Guards against a limit on the number of arrays, or on brackets in strings.
TEST(json_text, acceptsFlatDocuments)
{
    std::string list = "[[]";
    for (std::size_t i = 0; i < 10 * maxJsonDepth; ++i)
        list += ",[{}]";
    CHECK(!parseJson(list + "]").is_discarded());
    const std::string brackets(10 * maxJsonDepth, '[');
    CHECK(!parseJson("[\"" + brackets + "\"]").is_discarded());
    CHECK(!parseJson(R"(["\"\\)" + brackets + "\"]").is_discarded());
    CHECK(parseJson(R"(["\\",)" + brackets + "]").is_discarded());
    CHECK(parseJson("[").is_discarded());
    CHECK(parseJson("").is_discarded());
}

// Guards against one number that makes a whole text unreadable: the library refuses numbers beyond
// the range of a double, which are valid JSON.
TEST(json_text, takesNumbersBeyondTheRangeOfADouble)
{
    constexpr double largest = std::numeric_limits<double>::max();
    const std::string digits(400, '9');
    for (const std::string &number : {std::string("1e400"), std::string("2.5E+999"), digits}) {
        std::string text = R"({"a":[)";
        text.append(number).append(",-").append(number).append(R"(,7],"b":"\"1e400"})");
        const auto body = parseJson(text);
        CHECK_TEXT(!body.is_discarded(), number.c_str());
        CHECK(body["a"][0] == largest);
        CHECK(body["a"][1] == -largest);
        CHECK(body["a"][0].is_number_float());
        LONGS_EQUAL(7, body["a"][2].get<int>());
        STRCMP_EQUAL("\"1e400", body["b"].get<std::string>().c_str());
    }
    CHECK(parseJson("1e400") == largest);
    CHECK(parseJson("1e-400") == 0);
    // Text that is not JSON stays so.
    for (const char *text :
         {"[1e400", "[01e400]", "[1e400.5]", "[+1e400]", "[1e400 1]", "{1e400:1}", "[1e400e]",
          "[--1e400]", "\"1e400", "[.1e400]", "[1.e400]", "[-.1e400]"})
        CHECK_TEXT(parseJson(text).is_discarded(), text);
}
