#pragma once

// Calls the HTTP API of the entries from a command-line tool: one call at a time, at the first
// entry that answers.
//
//   entry_client entries(options, environment);
//   result<entry_reply> reply = entries.call(entry_call{"GET", "/v1/status"});
//
// A call that may have taken effect is repeated at another entry only if it is repeatable.

#include "goldcrest/http_client.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

// What the client needs from its process. `runUntil` runs callbacks until the condition holds or
// the time has passed, and returns whether it holds.
struct call_environment
{
    http_client &client;
    std::function<bool(const std::function<bool()> &condition, duration limit)> runUntil;
    std::function<time_point()> now;
};

struct entry_client_options
{
    std::vector<std::string> entries; // host:port
    std::string token;
    duration timeout = 5s; // of one call, without the time that it asks the entry to wait
};

struct entry_call
{
    entry_call(std::string_view verb, std::string target)
        : method(verb)
        , path(std::move(target))
    { }

    std::string method;
    std::string path; // with the query; segments are percent-encoded
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    bool repeatable = true; // has the same effect when it is done twice
    duration wait = 0ms; // that the call asks the entry to wait
};

struct entry_reply
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string entry; // that answered

    bool isSuccess() const { return status >= 200 && status < 300; }
    std::string header(std::string_view lowerCaseName) const;

    // Returns the error in the body, or one made from the status.
    failure error() const;
};

class entry_client
{
public:
    entry_client(entry_client_options options, call_environment environment);

    // Tries the entries in turn, first the one that answered last. An entry that says that it can't
    // serve the request now counts as one that does not answer, unless no other does.
    // Errors: LinkClosed if no entry took the request; OutcomeUnknown if it was sent, may have
    // taken effect and is not repeatable.
    result<entry_reply> call(const entry_call &request);

    // Calls one entry.
    // Errors: as call().
    result<entry_reply> callOne(const std::string &entry, const entry_call &request);

    const std::vector<std::string> &entries() const { return m_options.entries; }

    // Why entries were passed over, since the last call of this function.
    std::vector<std::string> takeWarnings();

    call_environment &environment() { return m_environment; }

private:
    entry_client_options m_options;
    call_environment m_environment;
    std::size_t m_preferred = 0;
    std::vector<std::string> m_warnings;
};

// Encodes a path segment or a query value.
std::string encodePercent(std::string_view text);

} // namespace goldcrest
