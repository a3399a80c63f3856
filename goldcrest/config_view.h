#pragma once

// Holds the configuration with the highest revision that this process has seen, and when the store
// was last known to hold that revision.
//
//   if (view.updateIfNewer(std::move(received)))
//       apply(view.current());
//   view.confirm(number, age, now);  // the store held revision `number` at `now - age`
//   if (view.isFresh(now))
//       startJobs();

#include "goldcrest/catalogue.h"
#include "goldcrest/clock.h"

#include <memory>
#include <optional>

namespace goldcrest {

// A planner whose configuration was not confirmed for longer than this starts no jobs, unless its
// outage rule allows it.
constexpr duration configFreshnessLimit = 3s;

// How often a planner or an entry asks the store to confirm the revision.
constexpr duration configConfirmInterval = 1s;

class config_view
{
public:
    // Replaces the current configuration if the revision of `received` is higher. Returns whether
    // it was replaced.
    bool updateIfNewer(configuration received);

    // Records that the store held revision `number` at `now - age`. Ignored unless it is the
    // revision of the current configuration, or if a later confirmation is recorded.
    void confirm(revision number, duration age, time_point now);

    // Returns the current configuration; its revision is 0 if none was seen.
    const configuration &current() const { return *m_current; }

    // Returns the current configuration as a snapshot that later updates do not change.
    std::shared_ptr<const configuration> share() const { return m_current; }

    // Returns the time since the last confirmation of the current revision, or std::nullopt if
    // there was none.
    std::optional<duration> confirmedAge(time_point now) const;

    // Returns whether the current revision was confirmed within configFreshnessLimit.
    bool isFresh(time_point now) const;

private:
    std::shared_ptr<const configuration> m_current = std::make_shared<configuration>();
    std::optional<time_point> m_confirmedAt;
};

} // namespace goldcrest
