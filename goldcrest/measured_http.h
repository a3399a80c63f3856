#pragma once

// Decorators for HTTP servers and clients that count requests and measure their time in metrics.
//
//   api.handle(request, std::make_shared<measured_responder>(respond, loop, metrics));
//
//   measured_client backendClient(*httpClient, loop, metrics);
//   backendClient.send(request, callback);

#include "goldcrest/event_loop.h"
#include "goldcrest/http_client.h"
#include "goldcrest/http_server.h"
#include "goldcrest/metrics.h"

#include <functional>
#include <memory>

namespace goldcrest {

// Counts responses by status and measures the time from its construction to the response. A chunked
// response is counted when it ends; an aborted one is not counted.
class measured_responder final : public responder
{
public:
    measured_responder(std::shared_ptr<responder> inner, event_loop &loop,
                       metrics_registry &metrics);

    void respond(server_response response) override;
    void sendChunk(const server_response &head, std::string_view piece) override;
    void endChunks() override;
    void abort() override { m_inner->abort(); }
    bool isOpen() const override { return m_inner->isOpen(); }

private:
    // Records one request in the metrics.
    void recordRequest(int status);

    std::shared_ptr<responder> m_inner;
    event_loop &m_loop;
    metrics_registry &m_metrics;
    time_point m_start;
    int m_chunkStatus = 0; // status of a chunked response
};

// Counts calls to the backend server as answered (status 2xx), refused (other status) or failed (no
// response), and measures their time. Streams are passed on without counting. `inner`, `loop` and
// `metrics` must outlive this object. After it is destroyed, no callback of send() runs.
class measured_client final : public http_client
{
public:
    measured_client(http_client &inner, event_loop &loop, metrics_registry &metrics);

    void send(http_request request, std::function<void(result<http_response>)> callback) override;
    std::unique_ptr<http_stream> stream(http_request request,
                                        std::function<void(std::string_view)> onData,
                                        std::function<void(result<done>)> onEnd) override;

private:
    http_client &m_inner;
    event_loop &m_loop;
    metrics_registry &m_metrics;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace goldcrest
