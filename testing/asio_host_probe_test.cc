#include "goldcrest/asio_host_probe.h"
#include "testing/link_support.h"
#include "testing/quiet_log.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(asio_host_probe)
{
    asio_event_loop loop;
    std::optional<probe_outcome> seen;

    void setup() override
    {
        silenceLog();
    }

    probe_outcome probe(const std::string &address)
    {
        constexpr duration testLimit = 30s;
        asio_host_probe prober(loop);
        seen.reset();
        prober.probe(address, 300ms, [this](probe_outcome outcome) { seen = outcome; });
        CHECK(loop.runUntil([this] { return seen.has_value(); }, testLimit));
        return *seen;
    }

    // Returns an acceptor on a free port. Nothing accepts its connections, as in a paused process.
    std::unique_ptr<asio::ip::tcp::acceptor> listen()
    {
        return std::make_unique<asio::ip::tcp::acceptor>(
            loop.context(), asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    }

    static std::string addressOf(const asio::ip::tcp::acceptor &acceptor)
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }
};

// Guards TWICE: a refusal proves that the process is down, an accepted connection does not.
TEST(asio_host_probe, refusalDiffersFromAPausedProcess)
{
    auto paused = listen();
    const std::string address = addressOf(*paused);
    CHECK(probe(address) == probe_outcome::Unserved);
    paused.reset();
    CHECK(probe(address) == probe_outcome::Refused);
}

// Guards the time that work waits: a process that has only lost its planner is not paused.
TEST(asio_host_probe, serverOfLinksThatWorksAnswers)
{
    const test_node node(loop, "w1");
    CHECK(probe(node.address()) == probe_outcome::Served);
}

TEST(asio_host_probe, addressesThatAreNotNumericAreNotAsked)
{
    for (const char *address :
         {"", "host", "host:1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000"})
        CHECK(probe(address) == probe_outcome::NoAnswer);
}

// The callback may refer to objects that are destroyed together with the probe.
TEST(asio_host_probe, nothingIsCalledOnceItIsDestroyed)
{
    const auto paused = listen();
    {
        asio_host_probe prober(loop);
        prober.probe(addressOf(*paused), 1ms, [this](probe_outcome outcome) { seen = outcome; });
    }
    CHECK(!loop.runUntil([this] { return seen.has_value(); }, 50ms));
}
