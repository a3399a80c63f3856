#include "goldcrest/measured_http.h"

#include "testing/virtual_event_loop.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

// Keeps the callbacks until the test answers.
class waiting_client final : public http_client
{
public:
    void send(http_request, std::function<void(result<http_response>)> callback) override
    {
        open.push_back(std::move(callback));
    }
    std::unique_ptr<http_stream> stream(http_request, std::function<void(std::string_view)>,
                                        std::function<void(result<done>)>) override
    {
        return nullptr;
    }

    std::vector<std::function<void(result<http_response>)>> open;
};

} // namespace

TEST_GROUP(measuredClient)
{
    virtual_event_loop loop;
    waiting_client inner;
    std::unique_ptr<metrics_registry> metrics = std::make_unique<metrics_registry>();
    std::unique_ptr<measured_client> client
        = std::make_unique<measured_client>(inner, loop, *metrics);
    int answered = 0;

    void send()
    {
        client->send({}, [this](const result<http_response> &) { ++answered; });
    }

    static http_response withStatus(int status)
    {
        http_response response;
        response.status = status;
        return response;
    }
};

TEST(measuredClient, countsCallsByTheirOutcome)
{
    for (int i = 0; i < 3; ++i)
        send();
    loop.advance(20ms);
    inner.open[0](withStatus(204));
    inner.open[1](withStatus(503));
    inner.open[2](makeFailure(code::StoreUnavailable, "no connection"));
    LONGS_EQUAL(3, answered);
    for (const char *outcome : {"answered", "refused", "failed"})
        DOUBLES_EQUAL(1, metrics->value(metric::BackendCalls, outcome), 0);
    CHECK(metrics->quantile(metric::BackendCallTime, 0.5) >= 20ms);
}

// Guards against an answer that is counted in a registry that no longer exists: the inner client
// may outlive this one, with calls that are open.
TEST(measuredClient, destroyedWhileACallIsOpen)
{
    send();
    client.reset();
    metrics.reset();
    inner.open[0](withStatus(200));
    LONGS_EQUAL(0, answered);
}
