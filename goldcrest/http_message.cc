#include "goldcrest/http_message.h"

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <algorithm>

namespace goldcrest {

namespace net = restinio::asio_ns;

std::optional<std::string> server_request::header(std::string_view lowerCaseName) const
{
    for (const auto &[name, value] : headers) {
        if (name == lowerCaseName)
            return value;
    }
    return std::nullopt;
}

std::optional<std::string> server_request::parameter(std::string_view name) const
{
    for (const auto &[key, value] : query) {
        if (key == name)
            return value;
    }
    return std::nullopt;
}

bool isFromSameMachine(std::string_view remote, std::string_view local)
{
    net::error_code error;
    const net::ip::address client = net::ip::make_address(std::string(remote), error);
    return !error && (client.is_loopback() || remote == local);
}

bool hasBearerToken(const server_request &request, std::string_view token)
{
    if (token.empty())
        return true;
    const std::string given = request.header("authorization").value_or("");
    const std::string expected = "Bearer " + std::string(token);
    // Constant-time comparison: the time must not depend on the position of the first difference.
    unsigned int difference = given.size() == expected.size() ? 0U : 1U;
    for (std::size_t i = 0; i < std::min(given.size(), expected.size()); ++i)
        difference
            |= static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(expected[i]);
    return difference == 0;
}

result<std::string> decodePercent(std::string_view text)
{
    auto decoded = restinio::utils::try_unescape_percent_encoding<
        restinio::utils::javascript_compatible_unescape_traits>(text);
    if (!decoded)
        return makeFailure(code::InvalidValue, decoded.error().giveout_description());
    return std::move(*decoded);
}

server_response errorResponse(const failure &error)
{
    const nlohmann::json body{{"error",
                               {{"code", static_cast<int>(error.number)},
                                {"name", nameOf(error.number)},
                                {"field", error.field},
                                {"reason", error.reason}}}};
    server_response response;
    response.status = httpStatusOf(error.number);
    // `replace`, since a reason can quote bytes of the request that are not valid UTF-8.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace goldcrest
