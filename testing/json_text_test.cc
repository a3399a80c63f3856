#include "goldcrest/json_text.h"

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
