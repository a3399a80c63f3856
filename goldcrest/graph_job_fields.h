#pragma once

// Internal to the codecs: lists the fields of graph jobs and their records in wire order. Changing
// the order requires a new record version.

#include "goldcrest/graph_job.h"
#include "goldcrest/message_fields.h"

namespace goldcrest::positional {

template<>
struct enum_range<graph_job_state>
{
    static constexpr std::int64_t first = static_cast<std::int64_t>(graph_job_state::Queued);
    static constexpr std::int64_t last = static_cast<std::int64_t>(graph_job_state::Cancelled);
};

template<>
struct field_list<step_spec>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("count", value.count)("perTask", value.perTask)("estimated", value.estimated)(
            "after", value.after)("checkpointing", value.checkpointing)("gang", value.gang)(
            "sameRack", value.sameRack)("speculative", value.speculative)(
            "longRunning", value.longRunning)("fills", value.bestEffort)(
            "requiredLabel", value.requiredLabel)("dataRack", value.dataRack);
        fields.count("maxPerWorker", value.maxPerWorker)
            .count("maxMissing", value.maxMissing)("image", value.image)("latencyTarget",
                                                                         value.latencyTarget);
    }
};

template<>
struct field_list<job_schedule>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("occurrences", value.occurrences)("firstDue", value.firstDue)("interval",
                                                                                   value.interval);
    }
};

template<>
struct field_list<queue_policy>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        // Encoded in thousandths, because the format can only hold fractions between 0 and 1.
        auto slackThousandths = static_cast<std::int64_t>(value.slackFactor * 1000);
        fields("service", value.service)
            .count("priority", value.priority)
            .count("maxAttempts", value.maxAttempts)
            .count("slackThousandths", slackThousandths)("completionTarget",
                                                         value.completionTarget);
        if constexpr (!std::is_const_v<Struct>)
            value.slackFactor = static_cast<double>(slackThousandths) / 1000;
    }
};

template<>
struct field_list<graph_job>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("id", value.id)("queue", value.queue)("team", value.team)
            .bytes("payload", value.payload)("steps", value.steps)("schedule", value.schedule)(
                "policy", value.policy)("acceptedAt", value.acceptedAt);
    }
};

template<>
struct field_list<task_record>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("isDone", value.isDone)
            .count("failedRuns", value.failedRuns)
            .count("lastRun", value.lastRun)("worker", value.worker)("workerLife",
                                                                     value.workerIncarnation)
            .bytes("saved", value.saved)
            .count("crashes", value.crashes)
            .count("startCrashes", value.startCrashes)
            .count("possibleCrashes", value.possibleCrashes)
            .count("countedCrash", value.countedCrash);
    }
};

template<>
struct field_list<step_record>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("tasks", value.tasks).count("failedRuns", value.failedRuns);
    }
};

template<>
struct field_list<occurrence_record>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("number", value.number)("isDone", value.isDone)("steps", value.steps);
    }
};

template<>
struct field_list<job_progress>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("writer", value.writer)("state", value.state)("finishedAt", value.finishedAt)
            .count("occurrencesBegun", value.occurrencesBegun)("occurrences", value.occurrences);
    }
};

} // namespace goldcrest::positional
