// The daemons of the users' platform as real processes without a store.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/http_server.h"
#include "testing/process_support.h"

#include <csignal>
#include <memory>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(platform_process)
{
    const std::string directory = makeTestDirectory("platform-process");
    const int port = findFreePorts(5);
    process_group processes{directory};
    test_client client;

    std::string addressOf(int offset) const
    {
        return "127.0.0.1:" + std::to_string(port + offset);
    }

    void startFront(const std::string &settings)
    {
        writeFile(directory + "/front.json", settings);
        processes.start("front",
                        {binary("goldcrest-front"), "--settings", directory + "/front.json"});
    }

    std::string frontSettings() const
    {
        // No process listens at the address of the store.
        return R"({"name": "front-1", "failureDomain": "north", "frontListen": ")" + addressOf(0)
            + R"(", "readyListen": ")" + addressOf(1) + R"(", "metricsListen": ")" + addressOf(2)
            + R"(", "storeAddress": ")" + addressOf(3) + R"(", "drainTimeMs": 100})";
    }

    int statusOf(const std::string &url)
    {
        const result<http_response> answer = client.call("GET", url);
        return failureOf(answer) ? 0 : valueOf(answer).status;
    }

    // Without a store and without a backend server.
    std::string sidecarSettings(const std::string &service, int stopTimeMs) const
    {
        return R"({"name": "side-1", "failureDomain": "north", "controlListen": ")" + addressOf(0)
            + R"(", "linkListen": ")" + addressOf(1) + R"(", "metricsListen": ")" + addressOf(2)
            + R"(", "storeAddress": ")" + addressOf(3) + R"(", "backendAddress": ")" + addressOf(4)
            + R"(", "service": ")" + service + R"(", "stopTimeMs": )" + std::to_string(stopTimeMs)
            + "}";
    }

    bool hasLogged(const std::string &name, const std::string &text)
    {
        return waitFor(
            [&] { return readFile(processes.outputPath(name)).find(text) != std::string::npos; });
    }
};

// Without a store, a front is not ready and answers requests with 503, but it reloads its settings
// and shuts down cleanly.
TEST(platform_process, frontReloadsAndShutsDownCleanly)
{
    startFront(frontSettings());
    CHECK(waitFor([&] { return statusOf("http://" + addressOf(1) + "/v1/ready") == 503; }));
    LONGS_EQUAL(503, statusOf("http://" + addressOf(0) + "/p/5c0e7a21d94b36f8"));
    LONGS_EQUAL(200, statusOf("http://" + addressOf(2) + "/metrics"));
    ::kill(processes.idOf("front"), SIGHUP);
    CHECK(hasLogged("front", "event=\"settings read again\""));
    writeFile(directory + "/front.json", "{");
    ::kill(processes.idOf("front"), SIGHUP);
    CHECK(hasLogged("front", "event=\"settings kept\""));
    CHECK(processes.isRunning("front"));
    processes.terminate("front");
    LONGS_EQUAL(0, processes.waitForExit("front").value_or(-1));
    CHECK(hasLogged("front", "event=\"front stopped\""));
}

// Guards against a sidecar that goes on with earlier bounds, such as a shorter time of a stop,
// after the platform has changed its settings file, which it may do without a signal.
TEST(platform_process, sidecarAppliesChangedSettingsWithoutASignal)
{
    const std::string path = directory + "/sidecar.json";
    writeFile(path, sidecarSettings("svc", 500));
    processes.start("sidecar", {binary("goldcrest-sidecar"), "--settings", path});
    CHECK(hasLogged("sidecar", "event=\"sidecar started\""));
    writeFile(path, sidecarSettings("svc", 700));
    CHECK(hasLogged("sidecar", "event=\"bounds changed\" name=side-1 stop_time_ms=700"));
    writeFile(path, sidecarSettings("other", 700));
    CHECK(hasLogged("sidecar", "event=\"changed settings need a restart\""));
    writeFile(path, "{");
    CHECK(hasLogged("sidecar", "event=\"settings kept\""));
    CHECK(processes.isRunning("sidecar"));
    processes.terminate("sidecar");
    LONGS_EQUAL(0, processes.waitForExit("sidecar").value_or(-1));
}

// Guards against a sidecar that needs the store to accept announcements or to shut down cleanly,
// against one that takes the announcement of another writer for that of its backend server, and
// against one that ends or stops listening after an announcement that can't be used.
TEST(platform_process, sidecarTakesAnnouncementsAndShutsDownCleanly)
{
    asio_event_loop loop;
    auto backend = makeHttpServer(
        loop, addressOf(4), http_limits{},
        [](const server_request &request, const std::shared_ptr<responder> &respond) {
            const bool isIntended = request.header("expected-instance") == "i-1";
            server_response status;
            status.status = isIntended ? 200 : 421;
            status.body = R"({"clock_ms":1000,"born":5,"running":[],"ended":[]})";
            respond->respond(std::move(status));
        });
    CHECK(!failureOf(backend));
    const auto logsWhileServing = [&](const std::string &text) {
        return loop.runUntil(
            [&] {
                return readFile(processes.outputPath("sidecar")).find(text) != std::string::npos;
            },
            conditionLimit);
    };
    writeFile(directory + "/sidecar.json",
              R"({"name": "side-1", "failureDomain": "north", "controlListen": ")" + addressOf(0)
                  + R"(", "linkListen": ")" + addressOf(1) + R"(", "metricsListen": ")"
                  + addressOf(2) + R"(", "storeAddress": ")" + addressOf(3)
                  + R"(", "backendAddress": ")" + addressOf(4) + R"(", "service": "svc"})");
    processes.start("sidecar",
                    {binary("goldcrest-sidecar"), "--settings", directory + "/sidecar.json"});
    CHECK(hasLogged("sidecar", "event=\"sidecar started\""));
    test_client::options announcement;
    const auto bodyWith = [](const std::string &address, const std::string &cores) {
        return R"({"service":"svc","zone":"north","state":"ready","labels":["a","r1"],"address":")"
            + address + R"(","capacity":{"cpu":)" + cores
            + R"(,"mem_mb":1000,"gpus":1},"sequence":1,"born":5})";
    };
    const std::string url = "http://" + addressOf(0) + "/v1/Instances.Heartbeat/i-1";
    const std::string deep = std::string(400'000, '[') + std::string(400'000, ']');
    for (const std::string &odd :
         {bodyWith(addressOf(4), deep), bodyWith(addressOf(4), "1e300"),
          bodyWith(addressOf(4), "9223372036854775807"), bodyWith("127.0.0.1:70000", "1000")}) {
        announcement.body = odd;
        LONGS_EQUAL(400, valueOf(client.call("POST", url, announcement)).status);
    }
    CHECK(processes.isRunning("sidecar"));
    announcement.body = bodyWith(addressOf(4), "1000");
    LONGS_EQUAL(200, valueOf(client.call("POST", url, announcement)).status);
    CHECK(logsWhileServing("event=\"backend server announced\" worker=side-1 life=i-1/5"));
    LONGS_EQUAL(
        200,
        valueOf(client.call("POST", "http://" + addressOf(0) + "/v1/Instances.Heartbeat/i-2",
                            announcement))
            .status);
    CHECK(logsWhileServing("event=\"announcement not confirmed\" worker=side-1 life=i-2/5"));
    announcement.body = "{}";
    LONGS_EQUAL(400, valueOf(client.call("POST", url, announcement)).status);
    processes.terminate("sidecar");
    LONGS_EQUAL(0, processes.waitForExit("sidecar").value_or(-1));
}
