#include "testing/fuzz_support.h"

#include <cstdint>
#include <cstdlib>
#include <exception>
#include <iterator>
#include <random>
#include <vector>

namespace goldcrest {

namespace {

constexpr std::uint64_t seedsInCi = 400;

constexpr std::size_t deepLevels = 200'000; // enough to overflow a stack of 8 MiB by recursion

std::uint64_t numberFrom(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Replaces, removes or inserts a few bytes, values of other types among them.
std::string mutated(std::string text, std::mt19937_64 &random)
{
    constexpr std::string_view pieces[] = {"null",
                                           "-1",
                                           "1e400",
                                           "1e300",
                                           "-1e300",
                                           "99999999999999999999",
                                           "4294967297",
                                           "-2147483649",
                                           "9223372036854775807",
                                           "-9223372036854775808",
                                           "9223372036854775808",
                                           "18446744073709551615",
                                           "9007199254740993",
                                           "\"x\"",
                                           "\"10.0.0.9:70000\"",
                                           "{}",
                                           "[]",
                                           "[[[[[[[[[[[[[[[[",
                                           "{\"a\":[{\"a\":[{\"a\":[",
                                           "true",
                                           "\\u0000",
                                           "\xff",
                                           ",",
                                           "}",
                                           "\"",
                                           "0.5",
                                           "-0"};
    const std::uint64_t changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        const std::size_t length = random() % 6;
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, pieces[random() % std::size(pieces)]);
            break;
        default:
            text.replace(at, length, pieces[random() % std::size(pieces)]);
        }
    }
    return text;
}

// Inserts a value of many levels as the first field of each object, as the first item of each
// array, and alone, with and without its end.
std::vector<std::string> deeplyNested(const std::string &valid)
{
    const std::string open(deepLevels, '[');
    const std::string value = open + std::string(deepLevels, ']');
    std::vector<std::string> inputs{value, open};
    for (std::size_t at = 0; at < valid.size(); ++at) {
        if (valid[at] != '{' && valid[at] != '[')
            continue;
        const std::string field = valid[at] == '{' ? "\"zz\":" : "";
        inputs.push_back(std::string(valid).insert(at + 1, field + value + ","));
    }
    return inputs;
}

// Replaces each number in turn by numbers that are too large for a field.
std::vector<std::string> largeNumbers(const std::string &valid)
{
    std::vector<std::string> inputs;
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    for (std::size_t at = 1; at < valid.size(); ++at) {
        const bool begins = isDigit(valid[at])
            && (valid[at - 1] == ':' || valid[at - 1] == ',' || valid[at - 1] == '[');
        if (!begins)
            continue;
        const std::size_t end = valid.find_first_not_of("0123456789.", at);
        for (const char *number : {"-1", "-9223372036854775808", "1e300", "-1e300", "4294967297",
                                   "2147483648", "9223372036854775807", "9223372036854775808",
                                   "18446744073709551615", "1e400", "-1e400"})
            inputs.push_back(std::string(valid).replace(at, end - at, number));
    }
    return inputs;
}

// Returns what `decode` throws for an input, empty if it does not throw.
std::string faultOf(const std::string &input,
                    const std::function<void(const std::string &)> &decode, const std::string &kind)
{
    constexpr std::size_t shownBytes = 500;
    try {
        decode(input);
    } catch (const std::exception &error) {
        return std::string(error.what()) + ", " + kind + ": " + input.substr(0, shownBytes);
    }
    return {};
}

} // namespace

std::string fuzzFault(const std::string &valid,
                      const std::function<void(const std::string &)> &decode)
{
    std::string fault;
    const std::uint64_t first = numberFrom("GOLDCREST_FUZZ_FIRST", 1);
    const std::uint64_t last = first + numberFrom("GOLDCREST_FUZZ_SEEDS", seedsInCi);
    for (std::uint64_t seed = first; seed < last && fault.empty(); ++seed) {
        std::mt19937_64 random(seed);
        fault = faultOf(mutated(valid, random), decode, "seed " + std::to_string(seed));
    }
    for (const std::string &input : largeNumbers(valid)) {
        if (fault.empty())
            fault = faultOf(input, decode, "large number");
    }
    for (const std::string &input : deeplyNested(valid)) {
        if (fault.empty())
            fault = faultOf(input, decode, "deep nesting");
    }
    return fault;
}

} // namespace goldcrest
