#pragma once

// Internal to the codecs: the fields of each message and model type in wire order.
//
// The order is part of the protocol; a change requires a new protocolVersion.

#include "goldcrest/messages.h"
#include "goldcrest/positional_fields.h"

namespace goldcrest::positional {

template<>
struct enum_range<adjacency>
{
    static constexpr std::int64_t first = static_cast<std::int64_t>(adjacency::None);
    static constexpr std::int64_t last = static_cast<std::int64_t>(adjacency::Worker);
};

template<>
struct enum_range<job_outcome>
{
    static constexpr std::int64_t first = static_cast<std::int64_t>(job_outcome::Completed);
    static constexpr std::int64_t last = static_cast<std::int64_t>(job_outcome::Unknown);
};

template<>
struct enum_range<job_phase>
{
    static constexpr std::int64_t first = static_cast<std::int64_t>(job_phase::Accepted);
    static constexpr std::int64_t last = static_cast<std::int64_t>(job_phase::Finished);
};

// Codes that this build does not know are accepted, since a protocol version may gain codes.
template<>
struct enum_range<code>
{
    static constexpr std::int64_t first = 100;
    static constexpr std::int64_t last = 999;
};

template<>
struct field_list<resources>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("cores", value.cores)
            .count("memory", value.memory)
            .count("accelerators", value.accelerators);
    }
};

template<>
struct field_list<job_key>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("team", value.team)("requestId", value.requestId);
    }
};

template<>
struct field_list<attempt_id>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("job", value.job).count("number", value.number);
    }
};

template<>
struct field_list<job_spec>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("key", value.key)("className", value.className)("shape", value.shape)
            .count("tasks", value.tasks)("perTask", value.perTask)("closeness", value.closeness)(
                "idempotent", value.idempotent)("canCheckpoint", value.canCheckpoint)(
                "deadline", value.deadline)("declaredRunTime",
                                            value.declaredRunTime)("stopTime", value.stopTime)
            .bytes("payload", value.payload);
    }
};

template<>
struct field_list<worker_info>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("id", value.id)("failureDomain", value.failureDomain)("rack", value.rack)(
            "address", value.address)("capacity", value.capacity)
            .count("slots", value.slots);
    }
};

template<>
struct field_list<gang_part>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("worker", value.worker)
            .count("firstTask", value.firstTask)
            .count("tasks", value.tasks);
    }
};

template<>
struct field_list<failure>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("number", value.number)("field", value.field).truncated("reason", value.reason);
    }
};

template<>
struct field_list<gang_info>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)("cell", value.cell)
            .count("plannerEpoch", value.plannerEpoch)
            .count("tasks", value.tasks)
            .count("members", value.members)("leader", value.leader)("leaderAddress",
                                                                     value.leaderAddress)(
                "parts", value.parts)("own", value.own)("spec", value.spec);
    }
};

template<>
struct field_list<task_result>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("task", value.task)("succeeded", value.succeeded)
            .bytes("output", value.output)("totalBytes", value.totalBytes)("offset", value.offset)(
                "digest", value.digest);
    }
};

template<>
struct field_list<running_part>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("gang", value.gang)("ranFor", value.ranFor)("finished", value.finished);
    }
};

template<>
struct field_list<usage_report>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)("used", value.used).fraction("progress", value.progress);
    }
};

template<>
struct field_list<worker_status>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("worker", value.worker)("failureDomain", value.failureDomain)("rack", value.rack)(
            "state", value.state)("capacity", value.capacity)("used", value.used)
            .count("tasks", value.tasks);
    }
};

template<>
struct field_list<hello_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("role", value.role)("name", value.name)("cell", value.cell)("token", value.token);
    }
};

template<>
struct field_list<hold_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("gang", value.gang)("lifetime", value.lifetime)
            .count("configRevision", value.configRevision);
    }
};

template<>
struct field_list<hold_reply_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)("worker", value.worker)
            .count("plannerEpoch", value.plannerEpoch)("refused", value.refused);
    }
};

template<>
struct field_list<start_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)
            .count("plannerEpoch", value.plannerEpoch)
            .bytes("payload", value.payload)
            .fraction("resumeFrom", value.resumeFrom);
    }
};

template<>
struct field_list<task_started_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)("worker", value.worker)
            .count("plannerEpoch", value.plannerEpoch)("refused", value.refused);
    }
};

template<>
struct field_list<abort_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt).count("plannerEpoch", value.plannerEpoch);
    }
};

template<>
struct field_list<abort_reply_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)("worker", value.worker)
            .count("plannerEpoch", value.plannerEpoch)("everStarted", value.everStarted);
    }
};

template<>
struct field_list<stop_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)
            .count("plannerEpoch", value.plannerEpoch)("checkpoint", value.checkpoint);
    }
};

template<>
struct field_list<throttle_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)
            .count("plannerEpoch", value.plannerEpoch)("limit", value.limit);
    }
};

template<>
struct field_list<task_finished_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)("worker", value.worker)
            .count("plannerEpoch", value.plannerEpoch)("results", value.results)("stopped",
                                                                                 value.stopped)
            .fraction("progress", value.progress)("last", value.last);
    }
};

template<>
struct field_list<result_stored_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt).count("plannerEpoch", value.plannerEpoch);
    }
};

template<>
struct field_list<inventory_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("worker", value.worker)("parts", value.parts)("recentlyEnded", value.recentlyEnded)(
            "draining", value.draining)("backendReachable", value.backendReachable)
            .count("highestEpoch", value.highestEpoch);
    }
};

template<>
struct field_list<heartbeat_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("worker", value.worker)
            .count("plannerEpoch", value.plannerEpoch)("sequence", value.sequence)(
                "usage", value.usage)("draining", value.draining)("backendReachable",
                                                                  value.backendReachable)
            .count("partCount", value.partCount);
    }
};

template<>
struct field_list<heartbeat_ack_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("plannerEpoch", value.plannerEpoch)("sequence", value.sequence)
            .count("configRevision", value.configRevision)("confirmedAge", value.confirmedAge)(
                "inventoryWanted", value.inventoryRequested);
    }
};

template<>
struct field_list<drain_notice_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("worker", value.worker)("draining", value.draining);
    }
};

template<>
struct field_list<gang_pulse_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt",
               value.attempt)("worker", value.worker)("ended", value.ended)("failed", value.failed);
    }
};

template<>
struct field_list<gang_pulse_reply_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("attempt", value.attempt)("whole", value.isAlive);
    }
};

template<>
struct field_list<find_planner_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("cell", value.cell)("worker", value.worker)("address", value.address)(
            "eligible", value.eligible);
    }
};

template<>
struct field_list<planner_info_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("cell", value.cell)("address", value.address)
            .count("plannerEpoch", value.plannerEpoch);
    }
};

template<>
struct field_list<nominate_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("cell", value.cell);
    }
};

template<>
struct field_list<submit_job_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("spec", value.spec)("recorded", value.recorded)("acceptedAtUnixMs",
                                                               value.acceptedAtUnixMs);
    }
};

template<>
struct field_list<cancel_job_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("job", value.job);
    }
};

template<>
struct field_list<explain_job_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("query", value.query)("job", value.job);
    }
};

template<>
struct field_list<explain_reply_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("query", value.query)("found", value.found)("constraint", value.constraint)(
            "detail", value.detail)("wouldHelp", value.wouldHelp)("position", value.position);
    }
};

template<>
struct field_list<job_update_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("job", value.job)
            .count("plannerEpoch", value.plannerEpoch)
            .count("attempt", value.attempt)("phase", value.phase)("outcome", value.outcome)(
                "why", value.why)("results", value.results)("recorded", value.recorded)(
                "startDelay", value.startDelay);
    }
};

template<>
struct field_list<config_push_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("number", value.number)
            .bytes("document", value.document)("confirmedAge", value.confirmedAge);
    }
};

template<>
struct field_list<config_ack_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("cell", value.cell)
            .count("plannerEpoch", value.plannerEpoch)
            .count("number", value.number);
    }
};

template<>
struct field_list<outage_query_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("query", value.query)("within", value.within);
    }
};

template<>
struct field_list<outage_reply_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("query", value.query)("heardFromStore", value.reachedStore)
            .count("highestRevision", value.highestRevision);
    }
};

template<>
struct field_list<cell_status_request_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("query", value.query);
    }
};

template<>
struct field_list<cell_status_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("query", value.query)("cell", value.cell)
            .count("plannerEpoch", value.plannerEpoch)
            .count("configRevision", value.configRevision)("plannerWorker", value.plannerWorker)(
                "workers", value.workers)("queuedJobs", value.queuedJobs)(
                "runningJobs", value.runningJobs)("freeAccelerators", value.freeAccelerators)(
                "borrowedAccelerators", value.borrowedAccelerators)("unmetGuarantees",
                                                                    value.unmetGuarantees);
    }
};

template<>
struct enum_range<run_end>
{
    static constexpr std::int64_t first = static_cast<std::int64_t>(run_end::Done);
    static constexpr std::int64_t last = static_cast<std::int64_t>(run_end::GangIncomplete);
};

template<>
struct enum_range<start_refusal>
{
    static constexpr std::int64_t first = static_cast<std::int64_t>(start_refusal::Superseded);
    static constexpr std::int64_t last = static_cast<std::int64_t>(start_refusal::Invalid);
};

template<>
struct field_list<run_id>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("task", value.task).count("number", value.number);
    }
};

template<>
struct field_list<running_task>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("run", value.run)
            .bytes("saved", value.saved)("percent", value.percent)("load", value.load);
    }
};

template<>
struct field_list<ended_task>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("number", value.number)("run", value.run)("how", value.how)
            .bytes("saved", value.saved);
    }
};

template<>
struct field_list<refused_start>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("run", value.run)("why", value.why);
    }
};

template<>
struct field_list<worker_report_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("plannerEpoch", value.plannerEpoch)
            .count("ordersSeen", value.ordersSeen)("worker", value.worker)(
                "life", value.incarnation)("machine", value.machine)("service", value.service)(
                "failureDomain", value.failureDomain)("rack", value.rack)("labels", value.labels)(
                "capacity", value.capacity)("draining", value.draining)("clock", value.clock)(
                "running", value.running)("ended", value.ended)("refused", value.refused)(
                "unresolved", value.unresolved)("drainLeft", value.drainLeft)(
                "isFinal", value.isFinal)("hasEndedRuns", value.hasEndedRuns)("wasAnnounced",
                                                                              value.wasAnnounced)(
                "startedRuns", value.startedRuns)("isPartial", value.isPartial);
    }
};

template<>
struct field_list<start_order>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("run", value.run)
            .bytes("payload", value.payload)
            .bytes("saved", value.saved)("ticket", value.ticket);
    }
};

template<>
struct field_list<pace_order>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("run", value.run).count("percent", value.percent);
    }
};

template<>
struct field_list<worker_orders_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("plannerEpoch", value.plannerEpoch)
            .count("sequence", value.sequence)("life", value.incarnation)(
                "holdUntil", value.holdUntil)("endsStored", value.endsStored)(
                "starts", value.starts)("stops", value.stops)("paces", value.paces)(
                "departedLife", value.departedIncarnation)("capacity", value.capacity);
    }
};

template<>
struct field_list<graph_query_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("query", value.query)("job", value.job)("queue", value.queue);
    }
};

template<>
struct field_list<graph_reply_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("query", value.query)("isKnown", value.isKnown)
            .count("state", value.state)
            .count("waiting", value.waiting);
    }
};

template<>
struct field_list<graph_intake_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("job", value.job)("accepted", value.accepted);
    }
};

template<>
struct field_list<takeover_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("plannerEpoch", value.plannerEpoch);
    }
};

template<>
struct field_list<service_outlook>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("service", value.service)("capacity", value.capacity)(
            "freeOnWorker", value.freeOnWorker)("freeInRack", value.freeInRack)("freeInAll",
                                                                                value.freeInAll);
    }
};

template<>
struct field_list<team_outlook>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("team", value.team)("delay", value.delay);
    }
};

template<>
struct field_list<queue_outlook>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("queue", value.queue)("service", value.service)("delay", value.delay)("teams",
                                                                                     value.teams)
            .count("runTimePercent", value.runTimePercent);
    }
};

template<>
struct field_list<guarantee_outlook>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("team", value.team).count("used", value.used);
    }
};

template<>
struct field_list<admission_outlook_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("plannerEpoch", value.plannerEpoch)
            .count("sequence", value.sequence)
            .count("storeRevision", value.storeRevision)("services", value.services)(
                "queues", value.queues)("guarantees", value.guarantees);
    }
};

template<>
struct field_list<size_outlook>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("service", value.service)("priority", value.priority)
            .count("accelerators", value.accelerators)("delay", value.delay);
    }
};

template<>
struct field_list<target_outlook>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("queue", value.queue)("within", value.within)("teams", value.teams);
    }
};

template<>
struct field_list<admission_detail_message>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("plannerEpoch", value.plannerEpoch)
            .count("sequence", value.sequence)("sizes", value.sizes)("targets", value.targets);
    }
};

} // namespace goldcrest::positional
