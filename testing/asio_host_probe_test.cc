#include "goldcrest/asio_host_probe.h"
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
        prober.probe(address, 10s, [this](probe_outcome outcome) { seen = outcome; });
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

// Guards TWICE: a refusal counts as proof that the process is down, an accepted connection not.
TEST(asio_host_probe, refusalDiffersFromAPausedProcess)
{
    auto paused = listen();
    const std::string address = addressOf(*paused);
    CHECK(probe(address) == probe_outcome::Accepted);
    paused.reset();
    CHECK(probe(address) == probe_outcome::Refused);
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
