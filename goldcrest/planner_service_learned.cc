// Connects the planner service with learned_state_keeper.

#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include <optional>

namespace goldcrest {

void planner_service::state::beginLearnedState()
{
    learned->beginTerm(role->currentEpoch(), loop.now(), [this] { restoreLearnedState(); });
}

// Merges the record of an earlier planner once it was read, the jobs are recovered, and the
// configuration is known. Planning does not wait for it.
void planner_service::state::restoreLearnedState()
{
    if (!isActive || !view.catalogue || !learned->hasRead())
        return;
    if (const std::optional<learned_state> read = learned->takeRead())
        planner->restoreLearned(*read, loop.now());
}

void planner_service::state::writeLearnedState()
{
    const time_point now = loop.now();
    const bool mayWrite = options.learnedState && isActive && role->isLeaseValid(now);
    // A record that could not be merged yet must not be replaced by a state without it.
    if (mayWrite && !learned->hasRead() && learned->isDue(now))
        learned->write(planner->learnedState(now), now);
}

// Writes the record when the planner resigns, whenever the last write was.
void planner_service::state::writeLastLearnedState()
{
    const time_point now = loop.now();
    if (options.learnedState && isActive && !learned->hasRead() && role->isLeaseValid(now))
        learned->writeLast(planner->learnedState(now), now);
}

} // namespace goldcrest
