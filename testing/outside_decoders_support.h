#pragma once

// Decoders of bytes from outside the process, shared by decoder_fuzz_test and decoder_fuzzer.
//
//   for (const outside_decoder &decoder : outsideDecoders())
//       decoder.decode(input);

#include <functional>
#include <string>
#include <vector>

namespace goldcrest {

struct outside_decoder
{
    std::string name;
    std::vector<std::string> valid; // inputs
    // Throws std::runtime_error if what was decoded can't become part of a message or a record.
    std::function<void(const std::string &input)> decode;
};

// Returns the decoders of requests, answers and records of the users' platform, and of messages
// between the processes.
std::vector<outside_decoder> outsideDecoders();

} // namespace goldcrest
