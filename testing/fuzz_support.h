#pragma once

// Mutated input for the decoders of bytes from outside the process.
//
//   const std::string fault = fuzzFault(valid, [](const std::string &input) { decode(input); });
//   if (!fault.empty())
//       FAIL(fault.c_str());
//
// Each decoder gets the same seeds in every run. GOLDCREST_FUZZ_FIRST and GOLDCREST_FUZZ_SEEDS
// choose other seeds.

#include "goldcrest/http_client.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

// Runs `decode` on mutations of a valid input, on the input with each number replaced by larger
// ones, and on the input with deeply nested values. Returns a description of the first input for
// which it throws, empty if it never does.
std::string fuzzFault(const std::string &valid,
                      const std::function<void(const std::string &)> &decode);

// Answers the first requests with the same body, which bounds the pages and watches of a call.
class fixed_client final : public http_client
{
public:
    void send(http_request, std::function<void(result<http_response>)> callback) override
    {
        if (answersLeft-- > 0)
            callback(answer);
    }
    std::unique_ptr<http_stream> stream(http_request, std::function<void(std::string_view)> onData,
                                        std::function<void(result<done>)>) override
    {
        onData(answer.body);
        return nullptr;
    }

    http_response answer;
    int answersLeft = 0;
};

} // namespace goldcrest
