// Measures bytes on the wire per message kind, traffic of idle links, and resident memory per link.
//
//   link_benchmark            prints three tables; takes about 25 s
//
// Both ends of each link run in this process; the memory of a link is that of both ends.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/websocket_link.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace goldcrest;

namespace {

constexpr duration waitLimit = 60s;

gang_info gangOf(std::int32_t members)
{
    gang_info gang;
    gang.attempt = {{"routes", "2026-05-02-east"}, 1};
    gang.cell = "region";
    gang.plannerEpoch = 123456;
    gang.tasks = members;
    gang.members = members;
    gang.leader = "matane-1";
    gang.leaderAddress = "10.0.0.17:7100";
    for (std::int32_t i = 0; i < members; ++i)
        gang.parts.push_back({"matane-" + std::to_string(i), i, 1});
    gang.own = gang.parts.front();
    gang.spec.key = gang.attempt.job;
    gang.spec.className = "planning";
    gang.spec.shape = "region-routes";
    gang.spec.tasks = members;
    gang.spec.perTask = {6000, 24576, 1};
    return gang;
}

heartbeat_message heartbeatOf(std::size_t usages)
{
    heartbeat_message value;
    value.worker = "matane-1";
    value.plannerEpoch = 123456;
    value.sequence = 40000;
    value.partCount = 8;
    for (std::size_t i = 0; i < usages; ++i)
        value.usage.push_back({{{"routes", "2026-05-02-east"}, 1}, {5800, 21000, 1}, 0.4375});
    return value;
}

std::vector<std::pair<std::string, message>> sampleMessages()
{
    const attempt_id attempt{{"routes", "2026-05-02-east"}, 1};
    constexpr std::int32_t largeGang = 128;
    hold_message hold;
    hold.gang = gangOf(2);
    hold.gang.parts.clear();
    hold_message leaderHold;
    leaderHold.gang = gangOf(largeGang);
    inventory_message inventory;
    inventory.worker = {"matane-1", "Matane", "matane-r1", "10.0.0.17:7100", {64000, 262144, 8}, 8};
    inventory_message fullInventory = inventory;
    for (int i = 0; i < 8; ++i) {
        running_part part;
        part.gang = gangOf(2);
        part.gang.parts.clear();
        fullInventory.parts.push_back(part);
    }
    task_finished_message finished;
    finished.attempt = attempt;
    finished.worker = "matane-1";
    finished.results.push_back({0, true, std::string(1000, 'x'), 1000, 0, std::string(64, 'f')});
    return {
        {"hello", hello_message{"agent", "matane-1-1760000000000", "region", std::string(32, 't')}},
        {"find_planner", find_planner_message{"region", "matane-1", "10.0.0.17:7100", true}},
        {"planner_info", planner_info_message{"region", "10.0.0.18:7100", 123456}},
        {"inventory, idle worker", inventory},
        {"inventory, 8 parts", fullInventory},
        {"heartbeat, no change", heartbeatOf(0)},
        {"heartbeat, 8 usages", heartbeatOf(8)},
        {"heartbeat_ack", heartbeat_ack_message{123456, 40000, 700, 850ms, false}},
        {"gang_pulse", gang_pulse_message{attempt, "matane-1", false, false}},
        {"gang_pulse_reply", gang_pulse_reply_message{attempt, true}},
        {"hold, member", hold},
        {"hold, leader of 128", leaderHold},
        {"hold_reply", hold_reply_message{attempt, "matane-1", 123456, {}}},
        {"start, 1000 bytes payload", start_message{attempt, 123456, std::string(1000, 'p')}},
        {"task_started", task_started_message{attempt, "matane-1", 123456, {}}},
        {"task_finished, 1000 bytes output", finished},
        {"result_stored", result_stored_message{attempt, 123456}},
    };
}

// Two networks on one event loop, with links from the first to the second.
struct link_pair
{
    asio_event_loop loop;
    std::unique_ptr<websocket_network> dialling;
    std::unique_ptr<websocket_network> accepting;
    std::vector<std::shared_ptr<peer_link>> dialled;
    std::vector<std::shared_ptr<peer_link>> accepted;

    link_pair()
    {
        websocket_options options;
        options.hello = hello_message{"agent", "benchmark", "", ""};
        constexpr std::size_t manyConnections = 10000;
        options.limits.maxConnectionsPerPeer = manyConnections;
        dialling = makeWebsocketNetwork(loop, options);
        accepting = makeWebsocketNetwork(loop, options);
        const result<done> listening
            = accepting->listen("127.0.0.1:0", [this](std::shared_ptr<peer_link> link) {
                  accepted.push_back(std::move(link));
              });
        if (failureOf(listening))
            std::abort();
    }

    bool growTo(std::size_t count)
    {
        while (dialled.size() < count)
            dialled.push_back(dialling->dial(accepting->listenAddress()));
        return loop.runUntil(
            [&] { return dialling->openLinks() == count && accepted.size() == count; }, waitLimit);
    }

    void runFor(duration time)
    {
        const time_point end = loop.now() + time;
        loop.runUntil([&] { return loop.now() >= end; }, 2 * time);
    }
};

double residentKilobytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

bool measureMessages()
{
    link_pair pair;
    if (!pair.growTo(1))
        return false;
    std::printf("message                            bytes on the wire\n");
    for (const auto &[name, value] : sampleMessages()) {
        const link_traffic &traffic = pair.dialling->traffic();
        const std::uint64_t before = traffic.bytesSent;
        const std::uint64_t framesBefore = traffic.framesSent;
        if (name == "hello") {
            // A link rejects a second hello, so the size is computed: 2 bytes of header for short
            // frames or 4 for longer ones, and 4 bytes of mask.
            constexpr std::size_t shortPayload = 125;
            const std::size_t payload = encodeMessage(value).size();
            std::printf("%-34s %6zu\n", name.c_str(), payload + (payload > shortPayload ? 8 : 6));
            continue;
        }
        if (!pair.dialled[0]->send(value) || traffic.framesSent != framesBefore + 1)
            return false;
        std::printf("%-34s %6llu\n", name.c_str(),
                    static_cast<unsigned long long>(traffic.bytesSent - before));
    }
    return true;
}

bool measureIdleTraffic()
{
    constexpr std::size_t count = 20;
    constexpr duration measured = 15s;
    link_pair pair;
    if (!pair.growTo(count))
        return false;
    const link_traffic before = pair.dialling->traffic();
    pair.runFor(measured);
    const link_traffic &after = pair.dialling->traffic();
    const double linkSeconds = count * std::chrono::duration<double>(measured).count();
    const double frames = static_cast<double>(after.framesSent + after.framesReceived
                                              - before.framesSent - before.framesReceived);
    const double bytes = static_cast<double>(after.bytesSent + after.bytesReceived
                                             - before.bytesSent - before.bytesReceived);
    constexpr double tcpHeaderBytes = 52; // IPv4 and TCP with timestamps
    std::printf(
        "\nidle link, both directions: %.2f frames/s, %.1f bytes/s, with TCP/IP headers of one "
        "segment a frame %.0f bytes/s\n",
        frames / linkSeconds, bytes / linkSeconds, (bytes + frames * tcpHeaderBytes) / linkSeconds);
    return true;
}

bool measureMemory()
{
    link_pair pair;
    if (!pair.growTo(1))
        return false;
    std::printf(
        "\nlinks   resident KiB   KiB per link (both ends)   after one 1 KB message each way\n");
    const double start = residentKilobytes();
    for (const std::size_t count :
         {std::size_t{50}, std::size_t{200}, std::size_t{445}, std::size_t{900}}) {
        if (!pair.growTo(count))
            return false;
        const double idle = residentKilobytes();
        start_message value;
        value.payload.assign(1000, 'x');
        for (const auto &link : pair.dialled)
            link->send(value);
        for (const auto &link : pair.accepted)
            link->send(value);
        const std::uint64_t received = pair.accepting->traffic().framesReceived + count;
        pair.loop.runUntil([&] { return pair.accepting->traffic().framesReceived >= received; },
                           waitLimit);
        const double used = residentKilobytes();
        const auto links = static_cast<double>(count);
        std::printf("%5zu   %12.0f   %24.1f   %31.1f\n", count, idle, (idle - start) / links,
                    (used - start) / links);
    }
    return true;
}

} // namespace

int main()
{
    if (measureMessages() && measureIdleTraffic() && measureMemory())
        return 0;
    std::fprintf(stderr, "the links did not open within %lld s\n",
                 static_cast<long long>(waitLimit.count() / 1000));
    return 1;
}
