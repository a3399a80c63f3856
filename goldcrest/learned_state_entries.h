#pragma once

// What the encoding and the merging of learned state (learned_state.h) have in common: the name and
// the weight of an entry, by which entries are compared and left out.
//
//   std::stable_sort(..., [](auto &a, auto &b) { return weightOf(a) > weightOf(b); });
//   limitWeights(state, 0.5);                                  // half as many observations

#include "goldcrest/learned_state.h"

#include <string>

namespace goldcrest::learned {

// Returns the number of observations, the share of a team, or the time that is left.
double weightOf(const learned_speed &one);
double weightOf(const learned_run_time &one);
double weightOf(const learned_pair &one);
double weightOf(const learned_use &one);
double weightOf(const learned_pause &one);
double weightOf(const learned_avoidance &one);

// Returns what entries of one kind differ in.
std::string keyOf(const learned_speed &one);
std::string keyOf(const learned_run_time &one);
std::string keyOf(const learned_pair &one);
std::string keyOf(const learned_use &one);
std::string keyOf(const learned_pause &one);
std::string keyOf(const learned_avoidance &one);

// Limits the observations of each entry to what a successor takes over, multiplies them by
// `factor`, and removes entries that say next to nothing.
void limitWeights(learned_state &state, double factor);

} // namespace goldcrest::learned
