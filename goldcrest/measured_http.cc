#include "goldcrest/measured_http.h"

#include <string>
#include <utility>

namespace goldcrest {

namespace {

constexpr std::string_view answeredCall = "answered";
constexpr std::string_view refusedCall = "refused";
constexpr std::string_view failedCall = "failed";

std::string_view resultOf(const result<http_response> &answer)
{
    if (failureOf(answer))
        return failedCall;
    const int status = valueOf(answer).status;
    return status >= 200 && status < 300 ? answeredCall : refusedCall;
}

} // namespace

measured_responder::measured_responder(std::shared_ptr<responder> inner, event_loop &loop,
                                       metrics_registry &metrics)
    : m_inner(std::move(inner))
    , m_loop(loop)
    , m_metrics(metrics)
    , m_start(loop.now())
{ }

void measured_responder::respond(server_response response)
{
    recordRequest(response.status);
    m_inner->respond(std::move(response));
}

void measured_responder::sendChunk(const server_response &head, std::string_view piece)
{
    m_chunkStatus = head.status;
    m_inner->sendChunk(head, piece);
}

void measured_responder::endChunks()
{
    recordRequest(m_chunkStatus);
    m_inner->endChunks();
}

void measured_responder::recordRequest(int status)
{
    m_metrics.add(metric::HttpRequests, std::to_string(status));
    m_metrics.observe(metric::HttpRequestTime, m_loop.now() - m_start);
}

measured_client::measured_client(http_client &inner, event_loop &loop, metrics_registry &metrics)
    : m_inner(inner)
    , m_loop(loop)
    , m_metrics(metrics)
{
    // Creates the series with value 0: a rate does not include the first failure if the series only
    // appears with it.
    for (const std::string_view outcome : {answeredCall, refusedCall, failedCall})
        m_metrics.add(metric::BackendCalls, outcome, 0);
}

void measured_client::send(http_request request,
                           std::function<void(result<http_response>)> callback)
{
    m_inner.send(std::move(request),
                 [this, alive = std::weak_ptr<bool>(m_alive), start = m_loop.now(),
                  callback = std::move(callback)](result<http_response> answer) {
                     if (alive.expired())
                         return;
                     m_metrics.add(metric::BackendCalls, resultOf(answer));
                     m_metrics.observe(metric::BackendCallTime, m_loop.now() - start);
                     callback(std::move(answer));
                 });
}

std::unique_ptr<http_stream> measured_client::stream(http_request request,
                                                     std::function<void(std::string_view)> onData,
                                                     std::function<void(result<done>)> onEnd)
{
    return m_inner.stream(std::move(request), std::move(onData), std::move(onEnd));
}

} // namespace goldcrest
