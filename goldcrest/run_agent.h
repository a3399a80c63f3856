#pragma once

// The agent of one backend server. It carries out the planner's orders on that server and reports
// to the planner which runs exist there.
//
//   run_agent agent(loop, host, "side-1", options, [&](const worker_report_message &report) {
//       return link->send(report);
//   });
//   agent.onAnnouncement(announcement);     // from the backend server
//   agent.onPlanner(epoch);                 // connected to the planner of this epoch
//   agent.onOrders(orders);
//
// Each orders message lists everything that is wanted and not yet confirmed, so the next message
// makes up for a lost one. A start without an answer is repeated until it is answered or no longer
// ordered. A start that was refused, or that was sent to an earlier incarnation of the backend
// server, is followed by a stop, after which a delayed copy of it can't take effect.
//
// An announcement of another incarnation counts only once the backend server itself confirms its id
// and its start, since other processes may announce servers that do not exist, and announcements
// may be delayed.
//
// The next incarnation may be behind the same address and id without having been announced: after
// a call without an answer, after an answer whose clock is not that of the known incarnation, and
// once another one is announced. Until a status query shows the known one again, no run is started,
// no end acknowledged and no lease extended.
//
// Once the lease of the backend server is over by the agent's clock, the agent stops all runs. The
// server's own clock stands still while their machine is suspended.
//
// When an incarnation of the backend server is gone, a final report completes it: with the ends
// that it has listed, and with the starts that may still take effect in the next incarnation. It is
// repeated until the planner's orders show that it was taken; other reports wait for that.

#include "goldcrest/event_loop.h"
#include "goldcrest/messages.h"
#include "goldcrest/run_host.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace goldcrest {

struct run_agent_options
{
    // How long a status query waits for a run to end. This is also the interval of lease renewals
    // and reports.
    duration statusQueryWait = 500ms;
    // Pause between status queries while ended runs are not stored yet; the backend server answers
    // each query immediately as long as it has unacknowledged ends.
    duration pauseForStoring = 100ms;
    // A backend server that has announced its departure and neither answers nor announces itself
    // for this long is gone. Longer than the interval of announcements, 1.5 s, so that one that is
    // still there has withdrawn its departure before.
    duration departureProof = 2s;
    // Pause after a call that got no answer.
    duration retryPause = 150ms;
    // Maximum time from a stop to the end of a run, on the clock of the backend server; must match
    // the setting of the platform. A run may be missing from its lists during that time.
    duration stopTime = 500ms;
    // Maximum share by which a backend server's clock may run slow (the platform guarantees 2%).
    double clockError = 0.02;
    // Length of the leases that the planner grants; must match its setting.
    duration workerLease = 8s;
    // For how long a backend server is asked whether it is the announced incarnation. Announcements
    // come every 1.5 s.
    duration confirmationLimit = 3s;
    // A lower sequence number counts once the highest one has not been followed up for this long,
    // so that one from another writer does not hide the backend server's own announcements for
    // good.
    duration sequenceLimit = 5s;
};

class run_agent
{
public:
    // @param report sends a report to the planner; returns false if it could not be sent
    run_agent(event_loop &loop, run_host &host, std::string worker,
              const run_agent_options &options,
              std::function<bool(const worker_report_message &)> report);
    ~run_agent();
    run_agent(const run_agent &) = delete;
    run_agent &operator=(const run_agent &) = delete;

    // Handles an announcement of the backend server. Delayed announcements, and those that the
    // backend server does not confirm, are ignored.
    void onAnnouncement(const host_announcement &announcement);

    // The backend server has announced that it shuts down. It gets no further starts, unless it
    // announces itself again: the notice may be a delayed one of an earlier incarnation.
    // @param startedAtMs start of the incarnation that leaves; empty if the notice does not name it
    void onDeparture(const std::string &id, std::optional<std::int64_t> startedAtMs = {});

    // The link to the planner of this epoch has opened; 0: the link has closed.
    void onPlanner(epoch number);

    // Handles orders. Orders of another epoch, and those older than the last ones, are ignored.
    // @return whether the orders were accepted
    bool onOrders(const worker_orders_message &orders);

    // Set run_agent_options::stopTime and workerLease, for changed settings.
    void setStopTime(duration stopTime);
    void setWorkerLease(duration workerLease);

    // Returns the last confirmed announcement of the backend server; empty if there was none.
    const std::optional<host_announcement> &backend() const;

    // Returns the highest planner epoch seen; 0 if none.
    epoch currentEpoch() const;

    // Returns whether the last status query succeeded.
    bool isBackendReachable() const;

    // Returns the number of announcements that the backend server did not confirm.
    std::uint64_t unconfirmedAnnouncements() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
