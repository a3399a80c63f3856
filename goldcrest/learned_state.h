#pragma once

// What a planner has learned and its successor starts from: which values are kept, their encoding,
// and how much they count. It does no I/O; learned_state_keeper.h reads and writes the record.
//
//   std::string record = encodeLearnedState(planner.learnedState(now));      // at most 128 KiB
//   result<learned_state> decoded = decodeLearnedState(record);
//   std::optional<learned_state> usable = weakened(valueOf(decoded), wall);
//   if (usable) successor.restoreLearned(*usable, now);
//
// The record holds estimates only. A planner without it keeps all promises and learns the values
// again. Urgent demand is not part of it: it is older than its own window once it is read.

#include "goldcrest/clock.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/interference_model.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"
#include "goldcrest/preemption_policy.h"
#include "goldcrest/run_time_model.h"
#include "goldcrest/team_shares.h"
#include "goldcrest/worker_speed_model.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// A backend server that gets no starts for a while, since its runs fail, stall or are slow.
struct learned_avoidance
{
    std::string incarnation; // of the backend server
    duration left = 0ms; // time for which it is still avoided
};

struct learned_state
{
    unix_ms writtenAt = 0;
    epoch writtenIn = 0; // epoch of the planner
    std::vector<learned_speed> speeds;
    std::vector<learned_run_time> runTimes;
    std::vector<learned_pair> pairs;
    std::vector<learned_use> uses;
    std::vector<learned_pause> pauses;
    std::vector<learned_avoidance> avoided;
};

constexpr std::int64_t learnedStateVersion = 1;

// Bound of the record in bytes, before the store's own encoding.
constexpr std::size_t maxLearnedStateBytes = 128 * 1024;

// Records older than this are not used: with the weight halved every 10 min, a speed has lost its
// effect after 30 min.
constexpr duration longestLearnedAge = 1h;

// A record may seem to be written in the future by this much, since the clocks of hosts differ by
// seconds. One that is further ahead comes from a clock that has jumped.
constexpr duration longestLearnedLead = 1min;

// Returns the record of a state. Each section has a bound of its entries and bytes; beyond it, the
// entries with the fewest observations (of shares: the smallest, of avoided backend servers: those
// that end first) are left out.
std::string encodeLearnedState(learned_state state);

// Decodes a record. Sections that are unknown or of another version are skipped.
// @return fails with code::MalformedMessage if the record is too large, truncated, or has values
// out of range or entries of the same name, and with code::UnsupportedVersion
result<learned_state> decodeLearnedState(std::string_view record);

// Returns the state as its successor should use it: as few observations, whose number decays with
// the age of the record, so that fresh observations outweigh them.
// @param now wall-clock time
// @return nothing if the record is too old or from the future
std::optional<learned_state> weakened(learned_state state, unix_ms now);

// Returns whether some value has changed by more than its uncertainty, or rests on twice as many
// observations.
bool hasChanged(learned_state before, learned_state after);

} // namespace goldcrest
