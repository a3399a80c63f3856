// Prints the sizes of the messages that are sent periodically, and the number of calls to the store
// per job and per configuration change. All figures are exact counts.
//
//   build/message_size_benchmark

#include "goldcrest/catalogue_codec.h"
#include "goldcrest/config_store.h"
#include "goldcrest/job_record.h"
#include "goldcrest/membership.h"
#include "goldcrest/message_codec.h"
#include "goldcrest/store_client.h"
#include "standins/store_model.h"
#include "testing/virtual_event_loop.h"

#include <fmt/format.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace goldcrest;

namespace {

// Overhead in bytes of a small message that is sent in its own segment.
constexpr std::size_t webSocketHeaderBytes = 4;
constexpr std::size_t webSocketMaskBytes = 4; // only from the side that opened the connection
constexpr std::size_t tcpIpBytes = 40 + 12; // IPv4 and TCP headers with timestamps
constexpr double heartbeatsPerSecond = 0.5;
constexpr double targetBytesPerSecond = 2000;

std::size_t onWire(std::size_t frameBytes)
{
    return frameBytes + webSocketHeaderBytes + webSocketMaskBytes + tcpIpBytes;
}

attempt_id attemptOf(int number)
{
    return {{"route-planning", fmt::format("request-{:08}", number)}, 1};
}

heartbeat_message heartbeatWith(int usageReports)
{
    heartbeat_message heartbeat;
    heartbeat.worker = "riviere-du-loup-w03";
    heartbeat.plannerEpoch = 1'234'567;
    heartbeat.sequence = 43'200;
    heartbeat.partCount = usageReports;
    for (int i = 0; i < usageReports; ++i)
        heartbeat.usage.push_back({attemptOf(i), {7'512, 30'211, 1}, 0.4375 + i * 0.001});
    return heartbeat;
}

// Prints both directions of the heartbeat exchange, without TCP acknowledgements.
void printHeartbeats()
{
    heartbeat_ack_message ack;
    ack.plannerEpoch = 1'234'567;
    ack.sequence = 43'200;
    ack.configRevision = 91'000;
    ack.confirmedAge = 412ms;
    const std::size_t ackBytes = onWire(encodeMessage(ack).size());
    fmt::print("heartbeat (one each 2 s, with its acknowledgement of {} bytes on the wire)\n",
               ackBytes);
    fmt::print("{:>14} {:>12} {:>14} {:>10} {:>12}\n", "usage reports", "frame bytes", "wire bytes",
               "bytes/s", "of 2000 B/s");
    for (const int reports : {0, 1, 4, 8, 16, 32}) {
        const std::size_t frame = encodeMessage(heartbeatWith(reports)).size();
        const double perSecond
            = static_cast<double>(onWire(frame) + ackBytes) * heartbeatsPerSecond;
        fmt::print("{:>14} {:>12} {:>14} {:>10.0f} {:>11.1f}%\n", reports, frame, onWire(frame),
                   perSecond, 100 * perSecond / targetBytesPerSecond);
    }
}

void printOtherMessages()
{
    gang_pulse_message pulse{attemptOf(1), "riviere-du-loup-w03", false, false};
    gang_pulse_reply_message reply{attemptOf(1), true};
    hold_message hold;
    hold.gang.attempt = attemptOf(1);
    hold.gang.cell = "riviere-du-loup";
    hold.gang.leader = "riviere-du-loup-w01";
    hold.gang.leaderAddress = "10.10.10.10:7101";
    hold.gang.own = {"riviere-du-loup-w03", 8, 8};
    hold.gang.spec.key = attemptOf(1).job;
    hold.gang.spec.className = "routes";
    hold.gang.spec.shape = "morning-route";
    fmt::print("\nother frames, in bytes\n");
    fmt::print("  gang_pulse {}, gang_pulse_reply {}\n", encodeMessage(pulse).size(),
               encodeMessage(reply).size());
    fmt::print("  hold of a member {}\n", encodeMessage(hold).size());
    for (int i = 0; i < 16; ++i)
        hold.gang.parts.push_back({fmt::format("riviere-du-loup-w{:02}", i), i * 8, 8});
    fmt::print("  hold of the leader of a gang of 128 tasks on 16 workers {}\n",
               encodeMessage(hold).size());
}

// A catalogue of the design target's 150 teams, each with a guarantee for each of its two own
// shapes.
void printConfigurationSize()
{
    constexpr int teams = 150;
    configuration config;
    for (int i = 0; i < teams; ++i) {
        team_entry team;
        team.name = fmt::format("team-{:03}", i);
        team.owner = "owner@example.org";
        team.className = "planning";
        for (const char *size : {"small", "large"}) {
            shape_entry shape;
            shape.name = fmt::format("{}-{}", team.name, size);
            shape.owner = team.owner;
            shape.className = team.className;
            team.guarantees.push_back({shape.name, 1, fmt::format("cell-{:02}", i % 11)});
            config.entries.shapes[shape.name] = shape;
        }
        config.entries.teams[team.name] = team;
    }
    const std::size_t bytes = formatConfiguration(config).size();
    fmt::print("\nconfiguration document of {} teams and {} shapes: {} bytes\n", teams, 2 * teams,
               bytes);
}

// One process with its own store client, so that calls are counted per process.
struct process
{
    process(store_model &model, event_loop &loop)
        : store(model, loop)
        , client(store, loop, {})
    { }

    fake_store store;
    store_client client;
};

void printCounts(const std::string &what, const store_counts &counts, double divisor)
{
    fmt::print("  {:<48} reads {:.2f}, writes {:.2f}, leases {:.2f}, watches {:.2f}\n", what,
               static_cast<double>(counts.reads) / divisor,
               static_cast<double>(counts.writes) / divisor,
               static_cast<double>(counts.leases) / divisor,
               static_cast<double>(counts.watches) / divisor);
}

void countElectionAndConfirmation()
{
    virtual_event_loop loop;
    store_model model;
    process planner(model, loop);
    membership member(planner.client, loop, "north", "w1", "127.0.0.1:7200", {});
    member.campaign();
    loop.advance(100ms);
    printCounts("an election", planner.store.counts(), 1);
    planner.store.resetCounts();
    loop.advance(1h);
    printCounts("membership of a planner, per second", planner.store.counts(), 3600);

    process reader(model, loop);
    config_view view;
    config_store configs(reader.client, loop, view, "w1", nullptr);
    configs.start();
    loop.advance(10s);
    reader.store.resetCounts();
    loop.advance(1h);
    printCounts("configuration of a planner or entry, per second", reader.store.counts(), 3600);
}

void countPublications()
{
    virtual_event_loop loop;
    store_model model;
    process entry(model, loop);
    process planner(model, loop);
    config_view entryView;
    config_view plannerView;
    config_store publisher(entry.client, loop, entryView, "entry-1", nullptr);
    config_store follower(planner.client, loop, plannerView, "w1", nullptr);
    publisher.start();
    follower.start();
    loop.advance(1s);
    constexpr int changes = 100;
    store_counts idleEntry;
    store_counts idleFollower;
    const auto difference = [](const store_counts &after, const store_counts &before) {
        store_counts extra;
        extra.reads = after.reads - before.reads;
        extra.writes = after.writes - before.writes;
        extra.leases = after.leases - before.leases;
        extra.watches = after.watches - before.watches;
        return extra;
    };
    entry.store.resetCounts();
    planner.store.resetCounts();
    loop.advance(changes * 10s);
    idleEntry = entry.store.counts();
    idleFollower = planner.store.counts();
    entry.store.resetCounts();
    planner.store.resetCounts();
    for (int i = 0; i < changes; ++i) {
        publisher.publish(entryView.current(), entryView.current().number,
                          [](const result<revision> &) {});
        loop.advance(10s);
    }
    printCounts("a configuration change, at the entry", difference(entry.store.counts(), idleEntry),
                changes);
    printCounts("a configuration change, at each other process",
                difference(planner.store.counts(), idleFollower), changes);
}

// The writes of one job as docs/design.md describes them: acceptance, intent of a non-idempotent
// job, and outcome. Each is one transaction through the store client.
void countJobWrites()
{
    virtual_event_loop loop;
    store_model model;
    process entry(model, loop);
    process planner(model, loop);
    constexpr int jobs = 100;
    const call_options normal;
    for (int i = 0; i < jobs; ++i) {
        job_record record;
        record.spec.key = attemptOf(i).job;
        record.cell = "north";
        const std::string key = jobRecordKey(record.spec.key);
        const std::string index = cellJobKey("north", record.spec.key);
        store_revision at = 0;
        const auto note = [&](const result<commit_reply> &outcome) { at = valueOf(outcome).at; };
        record.writer = fmt::format("entry.{}", i);
        entry.client.commit(store_transaction{}
                                .requireAbsent(key)
                                .put(key, encodeJobRecord(record))
                                .put(index, "1"),
                            normal, note);
        loop.advance(100ms);
        for (const job_phase phase : {job_phase::Starting, job_phase::Finished}) {
            record.phase = phase;
            record.writer = fmt::format("planner.{}.{}", i, static_cast<int>(phase));
            planner.client.commit(
                store_transaction{}.requireModRevision(key, at).put(key, encodeJobRecord(record)),
                normal, note);
            loop.advance(100ms);
        }
    }
    printCounts("acceptance of a job", entry.store.counts(), jobs);
    printCounts("intent and outcome of a non-idempotent job", planner.store.counts(), jobs);
    job_record record;
    record.spec.key = attemptOf(1).job;
    fmt::print("  bytes of a job record without payload and result: {}\n",
               encodeJobRecord(record).size());
}

// Counts the calls that reach the store during an outage of ten minutes, while 20 calls per second
// are attempted.
void countOutageCalls()
{
    constexpr int callsPerSecond = 20;
    constexpr int seconds = 600;
    constexpr int neverOpen = 1'000'000;
    fmt::print("\ncalls that reach the store during an outage of {} s, {} calls/s attempted\n",
               seconds, callsPerSecond);
    for (const int failuresToOpen : {neverOpen, store_client_options{}.failuresToOpen}) {
        virtual_event_loop loop;
        store_model model;
        fake_store store(model, loop);
        store_client_options options;
        options.failuresToOpen = failuresToOpen;
        store_client client(store, loop, options);
        store.faults().down = true;
        for (int i = 0; i < seconds * callsPerSecond; ++i) {
            client.get("config/current", {}, [](const auto &) {});
            loop.advance(duration(1s) / callsPerSecond);
        }
        fmt::print("  {:<24} {} calls, {} of them retries\n",
                   failuresToOpen == neverOpen ? "without circuit breaker" : "with circuit breaker",
                   store.counts().total(), client.counts().retries);
    }
}

} // namespace

int main()
{
    printHeartbeats();
    printOtherMessages();
    printConfigurationSize();
    fmt::print("\ncalls to the store\n");
    countElectionAndConfirmation();
    countPublications();
    countJobWrites();
    countOutageCalls();
    return 0;
}
