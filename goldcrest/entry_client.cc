#include "goldcrest/entry_client.h"

#include "goldcrest/json_text.h"
#include "goldcrest/platform_store.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

namespace goldcrest {

namespace {

constexpr int serviceUnavailable = 503;

// Returns whether the reply is a refusal after which another entry may be able to serve the
// request. This entry did not execute it.
bool canAnotherEntryServe(const entry_reply &reply)
{
    if (reply.status != serviceUnavailable)
        return false;
    switch (reply.error().number) {
    case code::Draining:
    case code::TooManyConnections:
    case code::MemoryLimit:
    case code::PlannerUnreachable:
    case code::StoreUnavailable:
    case code::StoreOverBudget:
        return true;
    default:
        return false;
    }
}

// Returns the outcome of a call that ended with `last` after an entry may have executed it. Only a
// query, which changes nothing, ends with the last error.
result<entry_reply> outcomeAfterLostAnswer(const entry_call &request, result<entry_reply> last)
{
    const failure *error = failureOf(last);
    if (request.method == "GET" || (!error && valueOf(last).isSuccess()))
        return last;
    const failure refusal = error ? *error : valueOf(last).error();
    if (refusal.number != code::LinkClosed && !changedNothing(refusal.number))
        return last;
    return makeFailure(code::OutcomeUnknown,
                       "an entry that did not answer may have executed the request; then: "
                           + refusal.reason);
}

std::optional<failure> parseError(const std::string &body)
{
    const nlohmann::json parsed = parseJson(body);
    if (!parsed.is_object() || !parsed.contains("error"))
        return std::nullopt;
    const auto &error = parsed["error"];
    constexpr int maxCode = 999; // a larger one would be cut to the number of another code
    const bool valid = error.is_object() && error.contains("code")
        && error["code"].is_number_unsigned() && error["code"].get<std::uint64_t>() <= maxCode;
    if (!valid)
        return std::nullopt;
    const auto text = [&](const char *name) {
        const auto found = error.find(name);
        return found != error.end() && found->is_string() ? found->get<std::string>()
                                                          : std::string();
    };
    return makeFailure(static_cast<code>(error["code"].get<int>()), text("reason"), text("field"));
}

} // namespace

std::string entry_reply::header(std::string_view lowerCaseName) const
{
    for (const auto &[name, value] : headers) {
        if (name == lowerCaseName)
            return value;
    }
    return {};
}

failure entry_reply::error() const
{
    if (auto parsed = parseError(body))
        return *parsed;
    return makeFailure(code::Internal,
                       "the entry answered with HTTP status " + std::to_string(status));
}

entry_client::entry_client(entry_client_options options, call_environment environment)
    : m_options(std::move(options))
    , m_environment(std::move(environment))
{ }

result<entry_reply> entry_client::callOne(const std::string &entry, const entry_call &request)
{
    http_request sent;
    sent.method = request.method;
    sent.url = "http://" + entry + request.path;
    sent.headers = request.headers;
    if (!m_options.token.empty())
        sent.headers.emplace_back("Authorization", "Bearer " + m_options.token);
    if (!request.body.empty())
        sent.headers.emplace_back("Content-Type", "application/json");
    sent.body = request.body;
    sent.timeout = m_options.timeout + request.wait;
    const auto answer = std::make_shared<std::optional<result<http_response>>>();
    m_environment.client.send(std::move(sent), [answer](result<http_response> received) {
        *answer = std::move(received);
    });
    // http_client enforces the timeout itself; the margin covers a late timeout callback.
    constexpr duration margin = 5s;
    m_environment.runUntil([&] { return answer->has_value(); },
                           m_options.timeout + request.wait + margin);
    if (!answer->has_value())
        return makeFailure(code::OutcomeUnknown, entry + " did not answer in time");
    if (const failure *error = failureOf(**answer)) {
        const bool notSent = error->number == code::StoreUnavailable;
        return makeFailure(notSent ? code::LinkClosed : code::OutcomeUnknown,
                           entry + ": " + error->reason);
    }
    http_response &response = valueOf(**answer);
    return entry_reply{response.status, std::move(response.headers), std::move(response.body),
                       entry};
}

result<entry_reply> entry_client::call(const entry_call &request)
{
    std::optional<entry_reply> refused;
    bool isOutcomeOpen = false; // an entry that did not answer may have executed the request
    const auto finish = [&](result<entry_reply> outcome) {
        return isOutcomeOpen ? outcomeAfterLostAnswer(request, std::move(outcome)) : outcome;
    };
    failure last = makeFailure(code::LinkClosed, "no entry address is given");
    const std::size_t count = m_options.entries.size();
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t index = (m_preferred + i) % count;
        result<entry_reply> reply = callOne(m_options.entries[index], request);
        if (const failure *error = failureOf(reply)) {
            if (error->number == code::OutcomeUnknown && !request.repeatable)
                return *error;
            isOutcomeOpen = isOutcomeOpen || error->number == code::OutcomeUnknown;
            m_warnings.push_back(error->reason);
            last = makeFailure(code::LinkClosed, error->reason);
            continue;
        }
        if (canAnotherEntryServe(valueOf(reply))) {
            const failure error = valueOf(reply).error();
            m_warnings.push_back(m_options.entries[index] + ": " + error.reason);
            refused = std::move(valueOf(reply));
            continue;
        }
        m_preferred = index;
        return finish(std::move(reply));
    }
    if (refused)
        return finish(*std::move(refused));
    return finish(last);
}

std::vector<std::string> entry_client::takeWarnings()
{
    return std::exchange(m_warnings, {});
}

std::string encodePercent(std::string_view text)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~';
        if (plain) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 0xf];
    }
    return encoded;
}

} // namespace goldcrest
