#pragma once

// Limits of an answer that has begun to arrive.
//
//   request.timeout = 120ms;               // until the answer begins
//   request.transfer = largeAnswer;        // from then on
//
// An answer that does not begin soon is probably lost, and is asked for again. One that arrives
// slowly is not lost: if it is cut off, the next attempt starts from nothing and takes as long.

#include "goldcrest/clock.h"

namespace goldcrest {

struct transfer_limits
{
    duration gap{}; // longest time without data
    duration total{}; // of the whole exchange
};

// For answers of up to 1 MB on links from 2 Mbit/s on, where it takes some 6 s as base64 if nothing
// else uses the link. TCP sends a lost segment again within the gap.
constexpr transfer_limits largeAnswer{700ms, 20s};

} // namespace goldcrest
