#include "goldcrest/http_request_inspector.h"

#include <fmt/format.h>

#include <climits>

namespace goldcrest::http_impl {

request_inspector::request_inspector()
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
}

const http_parser_settings &request_inspector::callbacks()
{
    // The parser pauses at the end of the header and of the body, so that read() can count their
    // bytes.
    static const http_parser_settings settings = [] {
        http_parser_settings initial;
        http_parser_settings_init(&initial);
        initial.on_headers_complete = [](http_parser *parser) {
            static_cast<request_inspector *>(parser->data)->m_headerEnded = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        initial.on_body = [](http_parser *parser, const char *, std::size_t size) {
            static_cast<request_inspector *>(parser->data)->m_bodyBytes += size;
            return 0;
        };
        initial.on_chunk_header = [](http_parser *parser) {
            ++static_cast<request_inspector *>(parser->data)->m_chunks;
            return 0;
        };
        initial.on_header_field = [](http_parser *parser, const char *, std::size_t size) {
            auto &inspector = *static_cast<request_inspector *>(parser->data);
            ++inspector.m_fields;
            inspector.m_trailerBytes += inspector.m_headerEnded ? size : 0;
            return 0;
        };
        initial.on_header_value = [](http_parser *parser, const char *, std::size_t size) {
            auto &inspector = *static_cast<request_inspector *>(parser->data);
            inspector.m_trailerBytes += inspector.m_headerEnded ? size : 0;
            return 0;
        };
        initial.on_message_complete = [](http_parser *parser) {
            static_cast<request_inspector *>(parser->data)->m_complete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return initial;
    }();
    return settings;
}

std::optional<failure> request_inspector::checkLimits(const http_limits &limits) const
{
    if (m_headerBytes + m_trailerBytes > limits.maxHeaderBytes)
        return makeFailure(
            code::InvalidValue,
            fmt::format("the header is larger than the limit of {} bytes", limits.maxHeaderBytes),
            "header");
    const bool declared = m_headerEnded && m_parser.content_length != ULLONG_MAX;
    // content_length is what remains of the declared length; the parser decreases it as the body
    // arrives.
    const std::uint64_t body = m_bodyBytes + (declared ? m_parser.content_length : 0);
    if (body > limits.maxBodyBytes)
        return makeFailure(code::BodyTooLarge,
                           fmt::format("the body has {}{} bytes, above the limit of {}",
                                       declared ? "" : "at least ", body, limits.maxBodyBytes),
                           "body");
    return std::nullopt;
}

std::optional<failure> request_inspector::read(std::string_view &bytes, const http_limits &limits)
{
    if (!m_headerEnded && m_headerBytes == 0) {
        m_bodyBytes = 0;
        m_trailerBytes = 0;
        m_chunks = 0;
        m_fields = 0;
    }
    while (!bytes.empty() && !m_complete) {
        const bool withinHeader = !m_headerEnded;
        const std::size_t size
            = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
        if (withinHeader)
            m_headerBytes += size;
        if (auto refusal = checkLimits(limits))
            return refusal;
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        if (error != HPE_OK && error != HPE_PAUSED)
            return withinHeader
                ? makeFailure(code::InvalidValue, "the header is not valid HTTP/1.1", "header")
                : makeFailure(code::InvalidValue,
                              "the body does not have the encoding that the header declares",
                              "body");
        if (error == HPE_PAUSED)
            http_parser_pause(&m_parser, 0);
        bytes.remove_prefix(size);
        // Protocol upgrades are not supported. RESTinio responds to the request and its body, and
        // closes. What follows is not HTTP.
        if (m_complete && m_parser.upgrade != 0)
            bytes = {};
    }
    return std::nullopt;
}

} // namespace goldcrest::http_impl
