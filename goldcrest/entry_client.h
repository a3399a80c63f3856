#pragma once

// Blocking client of the entries' HTTP API, for command-line tools. It makes one call at a time and
// fails over to the next entry if one does not answer or can't serve the request.
//
//   entry_client entries(options, environment);
//   result<entry_reply> reply = entries.call(entry_call{"GET", "/v1/status"});
//
// A call whose outcome is unknown is sent to another entry only if the call is repeatable.

#include "goldcrest/http_client.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

// Services of the process that the client uses.
struct call_environment
{
    http_client &client;
    // Runs the callbacks of `client` until the condition holds or `limit` has passed. Returns
    // whether the condition holds.
    std::function<bool(const std::function<bool()> &condition, duration limit)> runUntil;
    std::function<time_point()> now;
};

struct entry_client_options
{
    std::vector<std::string> entries; // host:port
    std::string token;
    duration timeout = 5s; // of one call, in addition to entry_call::wait
};

struct entry_call
{
    entry_call(std::string_view verb, std::string target)
        : method(verb)
        , path(std::move(target))
    { }

    std::string method;
    std::string path; // includes the query; segments are percent-encoded
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    bool repeatable = true; // idempotent: executing it twice has the same effect as once
    duration wait = 0ms; // how long the request asks the entry to wait before it answers
};

struct entry_reply
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string entry; // the entry that answered, host:port

    bool isSuccess() const { return status >= 200 && status < 300; }

    // Returns the value of a header, or an empty string if the reply has no such header.
    std::string header(std::string_view lowerCaseName) const;

    // Returns the error in the body, or an Internal error with the HTTP status if the body has
    // none.
    failure error() const;
};

class entry_client
{
public:
    entry_client(entry_client_options options, call_environment environment);

    // Tries the entries in turn, beginning with the last one that served a call. An entry that
    // refuses because it can't serve the request now is skipped like one that does not answer; its
    // refusal is returned only if no other entry serves the request.
    // Errors: LinkClosed if no entry replied; OutcomeUnknown if an entry may have executed the
    // request without an answer, and it is not repeatable or no other entry has executed it. A
    // query (GET) that is repeatable ends with the last error instead.
    result<entry_reply> call(const entry_call &request);

    // Calls one entry, without failover.
    // Errors: LinkClosed if the request was not sent; OutcomeUnknown if it may have taken effect.
    result<entry_reply> callOne(const std::string &entry, const entry_call &request);

    const std::vector<std::string> &entries() const { return m_options.entries; }

    // Returns why entries were skipped since the last call of this function, and clears the list.
    std::vector<std::string> takeWarnings();

    call_environment &environment() { return m_environment; }

private:
    entry_client_options m_options;
    call_environment m_environment;
    std::size_t m_preferred = 0;
    std::vector<std::string> m_warnings;
};

// Percent-encodes a path segment or a query value.
std::string encodePercent(std::string_view text);

} // namespace goldcrest
