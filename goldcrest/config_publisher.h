#pragma once

// Applies operators' changes to the configuration in the store, and tracks in which cells a
// revision is in force.
//
//   config_publisher publisher(store, loop, options);
//   publisher.setDomainOutOfService("Matane", true, std::nullopt,
//                                   [](result<configuration> stored) { ... });
//
//   config_tracker tracker;
//   tracker.leaderReported("main", epoch);
//   tracker.acknowledged("main", epoch, number);
//   bool inForce = tracker.stateOf("main", number).inForce;
//
// A change reads the current document and writes the next revision on the condition that the
// document has not been modified since, so that concurrent operators never overwrite each other's
// changes.

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
    duration changeTimeout = 8s; // for one change with its retries
    duration storeCallDeadline = 2s;

    // Returns the errors of a catalogue that depend on the workers, such as guarantees that do not
    // fit. Optional.
    std::function<std::vector<failure>(const catalogue &)> checkCapacity;

    // Returns whether a worker is known, or std::nullopt if that can't be decided now. Optional.
    std::function<std::optional<bool>(const worker_id &)> isKnownWorker;

    // Runs for each configuration that this process has read or stored. Optional.
    std::function<void(const configuration &)> onConfigurationSeen;
};

// Gets the configuration that is stored after the change, or why the change was not made.
using publish_callback = std::function<void(result<configuration>)>;

class config_publisher
{
public:
    config_publisher(platform_store &store, event_loop &loop, publisher_options options);
    ~config_publisher();
    config_publisher(const config_publisher &) = delete;
    config_publisher &operator=(const config_publisher &) = delete;

    // Each change passes the stored configuration to its callback, or the current one if the change
    // makes no difference.
    // Errors: StoreAmbiguous if the change may have been stored. With all others nothing was
    // changed: RevisionConflict if `ifMatch` is not the current revision, which the reason names;
    // StoreUnavailable; StoreValueTooLarge if the document is too large for the store; an error of
    // parseConfiguration if the stored document can't be parsed.

    // Replaces the catalogue. Errors also: the first error of validate().
    void putCatalogue(std::string_view text, revision ifMatch, publish_callback callback);

    // Takes a failure domain out of service, or puts it back if `out` is false. Errors also:
    // UnknownFailureDomain.
    void setDomainOutOfService(std::string_view failureDomain, bool out,
                               std::optional<revision> ifMatch, publish_callback callback);

    // Starts the drain of a worker, or ends it if `drained` is false. Errors also: UnknownWorker if
    // a worker to drain is not known.
    void setDrained(const worker_id &worker, bool drained, std::optional<revision> ifMatch,
                    publish_callback callback);

    // Returns all errors of a catalogue; empty if putCatalogue would accept it.
    std::vector<failure> validate(std::string_view text) const;

    // Returns the number of changes whose callback has not run yet.
    std::size_t openChanges() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

// Whether one revision is in force in one cell.
struct cell_config_state
{
    std::string cell;
    epoch plannerEpoch = 0; // 0: no planner is known
    revision acknowledged = 0; // latest revision that this planner has acknowledged
    bool inForce = false;
    std::string reason; // why it is pending, or in force without a planner; else empty
};

// Tracks which planner has acknowledged which revision. A revision is in force in a cell if the
// cell's current planner has acknowledged it or a later one. It is also in force if the store has
// held no leader key of the cell for longer than the lifetime of a hold: no job can start then, and
// the next planner reads the configuration after its election.
class config_tracker
{
public:
    // Records when a revision was first seen. Reads without a leader key that were sent before that
    // do not show that the revision is in force.
    void revisionSeen(revision number, time_point now);

    // Records that the store holds a leader key of this epoch.
    void leaderReported(const std::string &cell, epoch plannerEpoch);

    // Records that a read of the store, sent at `readAt`, found no leader key.
    void leaderAbsent(const std::string &cell, time_point readAt, time_point answeredAt);

    // Records that a planner has applied a revision. Acknowledgements of former planners are
    // ignored. Returns whether this is the first acknowledgement of the revision in the cell.
    bool acknowledged(const std::string &cell, epoch plannerEpoch, revision number);

    // Returns when a revision was first seen, or std::nullopt if that is not recorded; only the
    // times of the latest revisions are kept.
    std::optional<time_point> seenAt(revision number) const;

    // Returns whether a revision is in force in a cell, and why.
    cell_config_state stateOf(const std::string &cell, revision number) const;

private:
    struct cell_state
    {
        epoch plannerEpoch = 0;
        revision acknowledged = 0; // by the planner of plannerEpoch
        revision highestReported = 0; // by any planner
        std::optional<time_point> absentSince; // answer time of the first read without a leader key
        std::optional<time_point> lastAbsentReadAt; // send time of the last such read
    };

    std::map<std::string, cell_state> m_cells;
    std::map<revision, time_point> m_seenAt; // of the latest revisions
};

} // namespace goldcrest
