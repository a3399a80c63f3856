#pragma once

// Whether a planner may go on starting work while the store does not confirm its configuration.
//
//   std::unique_ptr<outage_policy> policy = makeUnanimousPolicy();
//   if (policy->mayContinue(census)) ...
//
// The check is stateless: it looks at the latest answers of the entries and stores no votes.

#include <cstddef>
#include <memory>

namespace goldcrest {

// The entries' answers to the question whether they heard from the store since the planner's own
// last confirmation. Only answers to a recent question count.
struct outage_census
{
    std::size_t known = 0; // entries that the planner knows, connected or not
    std::size_t answered = 0;
    std::size_t heardFromStore = 0; // of those that answered
    std::size_t newerRevision = 0; // of those that answered: they know a later configuration
};

class outage_policy
{
public:
    virtual ~outage_policy() = default;
    virtual bool mayContinue(const outage_census &census) const = 0;
};

// Starts nothing without a confirmed configuration.
std::unique_ptr<outage_policy> makeStoppingPolicy();

// Continues while all known entries answer and none has heard from the store.
std::unique_ptr<outage_policy> makeUnanimousPolicy();

// Continues while more than half of the known entries answer that they have not heard from the
// store. An entry on the other side of a partition may then have accepted a change, so this is for
// comparison only.
std::unique_ptr<outage_policy> makeMajorityPolicy();

} // namespace goldcrest
