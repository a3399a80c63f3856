#pragma once

// Operators' changes of the configuration, and where each revision is in force.
//
//   config_publisher publisher(store, loop, options);
//   publisher.setDomain("Matane", true, std::nullopt, [](result<configuration> stored) { ... });
//
//   config_tracker tracker;
//   tracker.leaderSeen("main", epoch);
//   tracker.acknowledged("main", epoch, number);
//   tracker.stateOf("main", number).inForce;
//
// A change reads the present document, and writes the next revision on the condition that the
// document has not changed, so that racing operators never overwrite each other.

#include "goldcrest/catalogue.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/outcome.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

struct publisher_options
{
    std::string name; // unique per process run; part of the writer tokens
    duration limit = 8s; // of one change with its retries
    duration storeCallDeadline = 2s;

    // Returns the faults of a catalogue that depend on the workers, such as guarantees that do not
    // fit. May be empty.
    std::function<std::vector<failure>(const catalogue &)> checkCapacity;

    // Returns whether a worker is known, or nothing if that can't be said now. May be empty.
    std::function<std::optional<bool>(const worker_id &)> isKnownWorker;

    // Runs for each configuration that this process read or stored. May be empty.
    std::function<void(const configuration &)> onSeen;
};

using publish_callback = std::function<void(result<configuration>)>;

class config_publisher
{
public:
    config_publisher(platform_store &store, event_loop &loop, publisher_options options);
    ~config_publisher();
    config_publisher(const config_publisher &) = delete;
    config_publisher &operator=(const config_publisher &) = delete;

    // Each change gives the stored configuration, or the present one if it already says the same.
    // Errors: RevisionConflict if `ifMatch` is not the current revision (the reason names it);
    // StoreUnavailable if nothing was changed, StoreAmbiguous if the change may have been stored.
    void putCatalogue(std::string_view text, revision ifMatch, publish_callback callback);
    void setDomain(std::string_view failureDomain, bool out, std::optional<revision> ifMatch,
                   publish_callback callback);
    void setDrained(const worker_id &worker, bool drained, std::optional<revision> ifMatch,
                    publish_callback callback);

    // Returns all faults of a catalogue; empty if it could be put.
    std::vector<failure> validate(std::string_view text) const;

    // Number of changes without an answer.
    std::size_t openChanges() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

// Where one revision stands in one cell.
struct cell_config_state
{
    std::string cell;
    epoch plannerEpoch = 0; // 0: no planner
    revision acknowledged = 0; // by that planner
    bool inForce = false;
    std::string reason; // why it is pending, or why it is in force without a planner
};

// Tracks which planner has acknowledged which revision. It says "in force" only if the present
// planner has acknowledged the revision or a later one, or if the store has said for longer than a
// hold lives that the cell has no planner: nothing can start then, and the next planner reads the
// configuration after its election.
class config_tracker
{
public:
    // A revision was seen; the absence of a planner counts only if it was read after this.
    void revisionSeen(revision number, time_point now);

    // The store has a leader key of this epoch.
    void leaderSeen(const std::string &cell, epoch plannerEpoch);

    // A read of the store, sent at `readAt`, found no leader key.
    void leaderAbsent(const std::string &cell, time_point readAt, time_point answeredAt);

    // A planner applies a revision. Acknowledgements of former planners are ignored.
    // Returns whether this is the first acknowledgement of the revision in the cell.
    bool acknowledged(const std::string &cell, epoch plannerEpoch, revision number);

    // Returns when a revision was first seen here, if it is remembered.
    std::optional<time_point> seenAt(revision number) const;

    cell_config_state stateOf(const std::string &cell, revision number) const;

private:
    struct cell_state
    {
        epoch plannerEpoch = 0;
        revision acknowledged = 0; // by the planner of plannerEpoch
        revision highestReported = 0; // by any planner
        std::optional<time_point> absentFrom; // answer of the first read without a leader key
        std::optional<time_point> absentUntil; // when the last such read was sent
    };

    std::map<std::string, cell_state> m_cells;
    std::map<revision, time_point> m_seenAt; // a few latest revisions
};

} // namespace goldcrest
