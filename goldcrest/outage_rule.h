#pragma once

// Decides whether a planner may continue to start work while the store does not confirm its
// configuration.
//
//   std::unique_ptr<outage_policy> policy = makeUnanimousPolicy();
//   if (policy->mayContinue(answers)) ...
//
// A policy is stateless: it evaluates the latest answers of the entries and stores no votes.

#include <cstddef>
#include <memory>

namespace goldcrest {

// Counts of the entries' answers to the planner's query whether they had contact with the store
// since the store last confirmed the planner's configuration. Only answers to a recent query count.
struct entry_answers
{
    std::size_t known = 0; // entries that the planner knows, connected or not
    std::size_t answered = 0;
    std::size_t reachedStore = 0; // of those that answered: they had contact with the store
    std::size_t newerRevision = 0; // of those that answered: they know a later revision
};

class outage_policy
{
public:
    virtual ~outage_policy() = default;
    // Returns whether the planner may start work on this evidence.
    virtual bool mayContinue(const entry_answers &answers) const = 0;
};

// Never continues: nothing starts without a confirmed configuration.
std::unique_ptr<outage_policy> makeStoppingPolicy();

// Continues while all known entries answer, none has had contact with the store and none knows a
// later configuration.
std::unique_ptr<outage_policy> makeUnanimousPolicy();

// Continues while more than half of the known entries answer that they had no contact with the
// store, and none that answers knows a later configuration. This is unsafe and for comparison only:
// an entry on the other side of a partition may have accepted a configuration change.
std::unique_ptr<outage_policy> makeMajorityPolicy();

} // namespace goldcrest
