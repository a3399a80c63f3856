#include "goldcrest/http_exchange.h"

#include "goldcrest/log_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest::http_impl {

namespace {

using chunked_builder = restinio::response_builder_t<restinio::chunked_output_t>;

std::string reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    default:
        return status < 400 ? "Redirected" : "Error";
    }
}

restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, reasonPhrase(status)};
}

std::string pathOf(const restinio::request_t &request)
{
    const restinio::string_view_t path = request.header().path();
    return {path.data(), path.size()};
}

class restinio_responder final : public responder
{
public:
    restinio_responder(std::weak_ptr<server_state> server,
                       std::shared_ptr<connection_state> connection,
                       restinio::request_handle_t request)
        : m_server(std::move(server))
        , m_connection(std::move(connection))
        , m_request(std::move(request))
    {
        if (m_connection && !m_connection->received.empty()) {
            m_charge = std::move(m_connection->received.front());
            m_connection->received.pop_front();
        }
        if (const auto lockedServer = m_server.lock())
            ++lockedServer->openRequests;
        if (m_connection)
            ++m_connection->openRequests;
    }

    ~restinio_responder() override
    {
        if (m_chunks) {
            endChunks();
        } else if (m_request) {
            log_line(log_level::Warning, "request dropped without an answer")
                .field("method", m_request->header().method().c_str())
                .field("path", pathOf(*m_request))
                .limit("dropped")
                .write();
            respond(errorResponse(makeFailure(code::Internal, "the request was not answered")));
        }
    }

    restinio_responder(const restinio_responder &) = delete;
    restinio_responder &operator=(const restinio_responder &) = delete;

    void respond(server_response response) override
    {
        if (!m_request)
            return;
        auto builder = m_request->create_response(statusLine(response.status));
        setHead(builder, response);
        builder.set_body(std::move(response.body));
        builder.done();
        finish();
    }

    void sendChunk(const server_response &head, std::string_view piece) override
    {
        if (!m_request)
            return;
        if (!m_chunks) {
            m_chunks = std::make_unique<chunked_builder>(
                m_request->create_response<restinio::chunked_output_t>(statusLine(head.status)));
            setHead(*m_chunks, head);
        }
        if (!piece.empty())
            m_chunks->append_chunk(std::string(piece));
        m_chunks->flush();
    }

    void endChunks() override
    {
        if (!m_chunks)
            return;
        m_chunks->done();
        m_chunks.reset();
        finish();
    }

    void abort() override
    {
        if (!m_request)
            return;
        m_chunks.reset();
        if (m_connection && m_connection->socket)
            m_connection->socket->abort();
        finish();
    }

    bool isOpen() const override { return m_request && m_connection && !m_connection->closed; }

private:
    template<typename Builder>
    void setHead(Builder &builder, const server_response &response) const
    {
        builder.append_header(restinio::http_field::content_type, response.contentType);
        for (const auto &[name, value] : response.headers)
            builder.append_header(name, value);
        const auto server = m_server.lock();
        // Makes clients close the connection and use another server while this one shuts down.
        if (!server || !server->accepting)
            builder.connection_close();
    }

    void finish()
    {
        m_request = nullptr;
        m_charge.release();
        const auto lockedServer = m_server.lock();
        if (lockedServer)
            --lockedServer->openRequests;
        if (!m_connection)
            return;
        --m_connection->openRequests;
        if (lockedServer)
            m_connection->entry.answered(lockedServer->loop->now());
    }

    std::weak_ptr<server_state> m_server;
    std::shared_ptr<connection_state> m_connection;
    restinio::request_handle_t m_request;
    std::unique_ptr<chunked_builder> m_chunks;
    budget_charge m_charge; // of the request
};

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// Splits a query into parameters and decodes their names and values.
// Errors: InvalidValue if an escape is malformed.
result<std::vector<std::pair<std::string, std::string>>> parseQuery(std::string_view query)
{
    std::vector<std::pair<std::string, std::string>> parameters;
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view one = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
        if (one.empty())
            continue;
        const std::size_t equals = one.find('=');
        const std::string_view rawValue
            = equals == std::string_view::npos ? std::string_view{} : one.substr(equals + 1);
        auto name = decodePercent(one.substr(0, equals));
        auto value = decodePercent(rawValue);
        if (failureOf(name) || failureOf(value))
            return makeFailure(code::InvalidValue, "the query has an invalid percent escape",
                               "query");
        parameters.emplace_back(std::move(valueOf(name)), std::move(valueOf(value)));
    }
    return parameters;
}

server_request convertRequest(const restinio::request_t &request)
{
    server_request converted;
    converted.method = request.header().method().c_str();
    converted.path = pathOf(request);
    request.header().for_each_field([&](const restinio::http_header_field_t &field) {
        converted.headers.emplace_back(lowerCase(field.name()), field.value());
    });
    converted.body = request.body();
    std::ostringstream peer;
    const auto &remote = request.remote_endpoint();
    converted.peer = fmt::format("{}:{}", remote.address().to_string(), remote.port());
    return converted;
}

} // namespace

void handleRequest(const std::shared_ptr<server_state> &server,
                   const restinio::request_handle_t &request)
{
    std::shared_ptr<connection_state> connection;
    const auto found = server->connections.find(request->remote_endpoint());
    if (found != server->connections.end())
        connection = found->second.lock();
    const bool limitReached = server->openRequests >= server->limits.maxOpenRequests;
    const auto requestResponder = std::make_shared<restinio_responder>(server, connection, request);
    if (limitReached) {
        requestResponder->respond(
            errorResponse(makeFailure(code::TooManyRequests, "too many open requests")));
        return;
    }
    server_request converted = convertRequest(*request);
    converted.isLocal = connection && connection->isLocal;
    const restinio::string_view_t query = request->header().query();
    auto parameters = parseQuery({query.data(), query.size()});
    if (const failure *error = failureOf(parameters)) {
        requestResponder->respond(errorResponse(*error));
        return;
    }
    converted.query = std::move(valueOf(parameters));
    server->handler(converted, requestResponder);
}

} // namespace goldcrest::http_impl
