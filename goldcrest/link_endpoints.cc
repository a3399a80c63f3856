#include "goldcrest/link_endpoints.h"

namespace goldcrest::link_impl {

std::string remoteIp(const connection_ptr &con)
{
    websocketpp::lib::asio::error_code error;
    const auto endpoint = con->get_raw_socket().remote_endpoint(error);
    return error ? std::string("unknown") : endpoint.address().to_string();
}

std::string remoteAddress(const connection_ptr &con)
{
    websocketpp::lib::asio::error_code error;
    const auto endpoint = con->get_raw_socket().remote_endpoint(error);
    if (error)
        return "unknown";
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

failure describeEnd(const connection_ptr &con)
{
    switch (con->get_local_close_code()) {
    case websocketpp::close::status::protocol_error:
    case websocketpp::close::status::invalid_payload:
    case websocketpp::close::status::message_too_big:
        return makeFailure(code::MalformedMessage, con->get_local_close_reason());
    default:
        break;
    }
    const auto error = con->get_ec();
    if (error)
        return makeFailure(code::LinkClosed, error.message());
    const std::string &reason = con->get_remote_close_reason();
    return makeFailure(code::LinkClosed,
                       "closed by the peer" + (reason.empty() ? "" : ": " + reason));
}

} // namespace goldcrest::link_impl
