#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include "goldcrest/log_fields.h"

#include <utility>

namespace goldcrest {

void planner_service::accept(std::shared_ptr<peer_link> link)
{
    state &self = *m_state;
    if (!self.role->isLeader() || self.isResigning) {
        link->close();
        return;
    }
    const std::weak_ptr<state> weak = m_state;
    const std::weak_ptr<peer_link> weakLink = link;
    link->onMessage([weak, weakLink, number = ++self.linkCount](const message &received) {
        const std::shared_ptr<state> owner = weak.lock();
        const std::shared_ptr<peer_link> sender = weakLink.lock();
        if (owner && sender)
            owner->onMessage({sender, number}, received);
    });
    link->onClose([weak, weakLink] {
        const std::shared_ptr<state> owner = weak.lock();
        const std::shared_ptr<peer_link> closed = weakLink.lock();
        if (!owner || !closed)
            return;
        owner->onLinkClosed(closed);
    });
    self.links.insert(std::move(link));
}

void planner_service::state::onLinkClosed(const std::shared_ptr<peer_link> &closed)
{
    std::vector<worker_id> lost;
    for (auto it = agents.begin(); it != agents.end();) {
        if (it->second.link == closed) {
            lost.push_back(it->first);
            it = agents.erase(it);
        } else {
            ++it;
        }
    }
    links.erase(closed);
    outlookLinks.erase(closed);
    detailLinks.erase(closed);
    for (const worker_id &worker : lost)
        probeAfterClose(worker);
}

void planner_service::state::onMessage(const numbered_link &from, const message &received)
{
    if (!isActive)
        return;
    if (const auto *report = std::get_if<worker_report_message>(&received))
        onReport(from, *report);
    else if (const auto *query = std::get_if<graph_query_message>(&received))
        onQuery(from.link, *query);
    else if (const auto *intake = std::get_if<graph_intake_message>(&received))
        onIntakeMessage(from.link, *intake);
    else if (const auto *takeover = std::get_if<takeover_message>(&received))
        onTakeover(*takeover);
}

void planner_service::state::onReport(const numbered_link &from,
                                      const worker_report_message &report)
{
    // An agent that has opened another link sends nothing on the earlier one, so what is still read
    // from that is older than what the other one has brought.
    const auto known = agents.find(report.worker);
    if (known != agents.end() && known->second.number > from.number) {
        log_line(log_level::Info, "report on an earlier link ignored")
            .field("worker", report.worker)
            .limit("earlier link")
            .write();
        return;
    }
    // Nothing is granted unless the lease is certainly valid, because a successor may rely on that.
    if (!role->isLeaseValid(loop.now()) || !planner->onReport(report, wall(), loop.now()))
        return;
    agents[report.worker] = from;
    known_agent &agent = knownAgents[report.worker];
    agent.address = from.link->peerAddress();
    agent.seenAt = loop.now();
    sendOrdersTo(report.worker);
    if (planner->needsPass())
        schedulePlan();
}

void planner_service::state::onQuery(const std::shared_ptr<peer_link> &link,
                                     const graph_query_message &query)
{
    // A planner that may have been replaced does not answer; the store has the current state.
    if (!role->isLeaseValid(loop.now()))
        return;
    graph_reply_message reply;
    reply.query = query.query;
    if (query.job.empty() && query.queue == admissionOutlookQueue)
        outlookLinks.insert(link);
    if (query.job.empty() && query.queue == admissionDetailQueue)
        detailLinks.insert(link);
    if (query.job.empty()) {
        reply.isKnown = true;
        reply.waiting = planner->waitingIn(query.queue);
    } else if (const std::optional<graph_job_state> found = planner->stateOf(query.job)) {
        reply.isKnown = true;
        reply.state = static_cast<std::int32_t>(*found);
    }
    link->send(reply);
}

void planner_service::state::onTakeover(const takeover_message &takeover)
{
    if (takeover.plannerEpoch != role->currentEpoch())
        return;
    role->resign([] {});
    endTerm("the leader key was removed by a takeover");
}

void planner_service::state::onIntakeMessage(const std::shared_ptr<peer_link> &link,
                                             const graph_intake_message &intake)
{
    if (intake.accepted.empty())
        planner->cancelJob(intake.job, wall());
    else
        addStoredJob(intake.job, intake.accepted, {});
    schedulePlan();
    // The front treats a planner that does not answer as lost.
    link->send(graph_reply_message{});
}

void planner_service::state::sendOrders()
{
    for (const worker_id &worker : planner->takeChangedWorkers())
        sendOrdersTo(worker);
}

void planner_service::state::sendOrdersTo(const worker_id &worker)
{
    const auto link = agents.find(worker);
    if (link == agents.end() || !role->isLeaseValid(loop.now()))
        return;
    if (const auto orders = planner->ordersFor(worker, loop.now()))
        link->second.link->send(*orders);
}

} // namespace goldcrest
