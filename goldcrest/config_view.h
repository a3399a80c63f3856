#pragma once

// The highest configuration revision that this process has seen, and the age of its confirmation.
//
//   if (view.offer(std::move(received)))       // false: not newer than the present one
//       apply(view.current());
//   view.confirm(number, age, now);            // a process that heard from the store says that
//   `number` is current if (view.isFresh(now)) ...

#include "goldcrest/catalogue.h"
#include "goldcrest/clock.h"

#include <memory>
#include <optional>

namespace goldcrest {

// A planner whose configuration was not confirmed for this long starts nothing.
constexpr duration configFreshnessLimit = 3s;

// How often a planner or an entry asks the store to confirm the revision.
constexpr duration configConfirmInterval = 1s;

class config_view
{
public:
    // Takes a configuration if its revision is higher than the present one.
    // Returns whether it was taken.
    bool offer(configuration received);

    // Notes that `number` was the current revision `age` before `now`. Ignored unless it is the
    // present revision.
    void confirm(revision number, duration age, time_point now);

    // Returns the present configuration; revision 0 if none was seen.
    const configuration &current() const { return *m_current; }
    std::shared_ptr<const configuration> share() const { return m_current; }

    // Returns the time since the last confirmation, or nothing if there was none for the present
    // revision.
    std::optional<duration> confirmedAge(time_point now) const;

    // Returns whether the last confirmation is within configFreshnessLimit.
    bool isFresh(time_point now) const;

private:
    std::shared_ptr<const configuration> m_current = std::make_shared<configuration>();
    std::optional<time_point> m_confirmedAt;
};

} // namespace goldcrest
