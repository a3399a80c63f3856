#include "goldcrest/entry_http.h"

#include "goldcrest/base64.h"
#include "goldcrest/catalogue_codec.h"
#include "goldcrest/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace goldcrest {

namespace {

using json = nlohmann::ordered_json;

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr duration cancelWait = 2s; // default waitMs; a cancellation usually takes much less

std::string dump(const json &value)
{
    // Names and reasons may contain bytes from a caller that are not valid UTF-8.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool isValidUtf8(const std::string &text)
{
    try {
        (void)json(text).dump();
        return true;
    } catch (const json::type_error &) {
        return false;
    }
}

json errorJson(const failure &error)
{
    return {{"code", static_cast<int>(error.number)},
            {"name", nameOf(error.number)},
            {"field", error.field},
            {"reason", error.reason}};
}

json resultJson(const task_result &taskResult)
{
    json value = {{"task", taskResult.task}, {"succeeded", taskResult.succeeded}};
    if (isValidUtf8(taskResult.output)) {
        value["output"] = taskResult.output;
    } else {
        value["output"] = encodeBase64(taskResult.output);
        value["encoding"] = "base64";
    }
    value["bytes"] = taskResult.totalBytes;
    value["digest"] = taskResult.digest;
    return value;
}

json jobJson(const job_view &view)
{
    json value = {{"team", view.key.team},
                  {"requestId", view.key.requestId},
                  {"cell", view.cell},
                  {"class", view.className},
                  {"shape", view.shape},
                  {"state", nameOf(view.phase)},
                  {"attempt", view.attempt},
                  {"recorded", view.recorded},
                  {"acceptedAtUnixMs", view.acceptedAtUnixMs}};
    if (view.startDelay > 0ms)
        value["startDelayMs"] = view.startDelay.count();
    if (view.outcome)
        value["outcome"] = nameOf(*view.outcome);
    if (view.why)
        value["error"] = errorJson(*view.why);
    if (view.phase == job_phase::Finished) {
        value["results"] = json::array();
        for (const task_result &taskResult : view.results)
            value["results"].push_back(resultJson(taskResult));
    }
    return value;
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end || number < 0)
        return std::nullopt;
    return number;
}

// Returns the percent-decoded, non-empty segments, or nothing if a segment has a malformed escape.
std::optional<std::vector<std::string>> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    std::size_t start = 0;
    while (start < path.size()) {
        const std::size_t slash = std::min(path.find('/', start), path.size());
        result<std::string> segment = decodePercent(path.substr(start, slash - start));
        if (failureOf(segment) != nullptr)
            return std::nullopt;
        if (slash > start)
            segments.push_back(std::move(valueOf(segment)));
        start = slash + 1;
    }
    return segments;
}

std::string entityTag(revision number)
{
    return "\"" + std::to_string(number) + "\"";
}

} // namespace

std::string_view nameOf(job_phase phase)
{
    switch (phase) {
    case job_phase::Accepted:
        return "accepted";
    case job_phase::Queued:
        return "queued";
    case job_phase::Starting:
        return "starting";
    case job_phase::Running:
        return "running";
    case job_phase::Stopping:
        return "stopping";
    case job_phase::Finished:
        return "finished";
    }
    return "unknown";
}

std::string_view nameOf(job_outcome outcome)
{
    switch (outcome) {
    case job_outcome::Completed:
        return "completed";
    case job_outcome::Failed:
        return "failed";
    case job_outcome::NotRun:
        return "not run";
    case job_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string formatError(const failure &error, bool notRun)
{
    return dump({{"error", errorJson(error)}, {"notRun", notRun}});
}

std::string formatJob(const job_view &view)
{
    return dump(jobJson(view));
}

class entry_http::impl
{
public:
    impl(entry_core &core, config_publisher &publisher, const config_tracker &tracker,
         const config_view &view, entry_pages &pages, entry_http_options options);

    void handle(const server_request &request, const std::shared_ptr<responder> &respond);

private:
    // A request that matched a route, and the path segments that matched "*".
    struct routed_request
    {
        const server_request &request;
        std::shared_ptr<responder> respond;
        std::vector<std::string> names;
    };
    using route_handler = void (impl::*)(const routed_request &);

    // A segment "*" of the pattern matches any path segment.
    struct route
    {
        std::string method;
        std::vector<std::string> pattern;
        route_handler handler;
    };

    static bool matches(const route &candidate, const std::vector<std::string> &path,
                        std::vector<std::string> &names);
    static void answer(const routed_request &routed, int status, std::string body);
    static void answerError(const std::shared_ptr<responder> &respond, const failure &error,
                            bool notRun);
    static void answerJob(const std::shared_ptr<responder> &respond, const job_answer &answer);
    static void answerExplain(const std::shared_ptr<responder> &respond,
                              const explain_answer &answer);
    void answerPublished(const std::shared_ptr<responder> &respond,
                         const result<configuration> &stored) const;
    json revisionJson(revision number) const;

    // Returns the waitMs parameter, at most maxWait; 0 if it is absent. If it is invalid, sends an
    // error response and returns nothing.
    std::optional<duration> parseWait(const routed_request &routed) const;
    // Sets `ifMatch` unless the If-Match header is absent or "*". If the header is not a revision,
    // sends an error response and returns false.
    static bool parseIfMatch(const routed_request &routed, std::optional<revision> &ifMatch);

    void submitJob(const routed_request &routed);
    void listJobs(const routed_request &routed);
    void getJob(const routed_request &routed);
    void cancelJob(const routed_request &routed);
    void explainJob(const routed_request &routed);
    void getCatalogue(const routed_request &routed);
    void putCatalogue(const routed_request &routed);
    void validateCatalogue(const routed_request &routed);
    void getRevision(const routed_request &routed);
    void takeDomainOut(const routed_request &routed) { setDomainOutOfService(routed, true); }
    void bringDomainIn(const routed_request &routed) { setDomainOutOfService(routed, false); }
    void setDomainOutOfService(const routed_request &routed, bool out);
    void drainWorker(const routed_request &routed) { setDrained(routed, true); }
    void undrainWorker(const routed_request &routed) { setDrained(routed, false); }
    void setDrained(const routed_request &routed, bool drained);
    void getStatus(const routed_request &routed);
    void getBurn(const routed_request &routed);
    void getMetrics(const routed_request &routed);
    void putLinkBlocks(const routed_request &routed);

    entry_core &m_core;
    config_publisher &m_publisher;
    const config_tracker &m_tracker;
    const config_view &m_view;
    entry_pages &m_pages;
    entry_http_options m_options;
    std::vector<route> m_routes;
};

entry_http::impl::impl(entry_core &core, config_publisher &publisher, const config_tracker &tracker,
                       const config_view &view, entry_pages &pages, entry_http_options options)
    : m_core(core)
    , m_publisher(publisher)
    , m_tracker(tracker)
    , m_view(view)
    , m_pages(pages)
    , m_options(std::move(options))
    , m_routes{
          {"POST", {"v1", "jobs"}, &impl::submitJob},
          {"GET", {"v1", "jobs"}, &impl::listJobs},
          {"GET", {"v1", "jobs", "*", "*"}, &impl::getJob},
          {"DELETE", {"v1", "jobs", "*", "*"}, &impl::cancelJob},
          {"GET", {"v1", "jobs", "*", "*", "explain"}, &impl::explainJob},
          {"GET", {"v1", "catalogue"}, &impl::getCatalogue},
          {"PUT", {"v1", "catalogue"}, &impl::putCatalogue},
          {"POST", {"v1", "catalogue", "validate"}, &impl::validateCatalogue},
          {"GET", {"v1", "revisions", "*"}, &impl::getRevision},
          {"POST", {"v1", "failure-domains", "*", "out"}, &impl::takeDomainOut},
          {"POST", {"v1", "failure-domains", "*", "in"}, &impl::bringDomainIn},
          {"POST", {"v1", "workers", "*", "drain"}, &impl::drainWorker},
          {"POST", {"v1", "workers", "*", "undrain"}, &impl::undrainWorker},
          {"GET", {"v1", "status"}, &impl::getStatus},
          {"GET", {"v1", "burn"}, &impl::getBurn},
          {"GET", {"metrics"}, &impl::getMetrics},
          {"PUT", {"v1", "faults", "links"}, &impl::putLinkBlocks},
      }
{ }

void entry_http::impl::handle(const server_request &request,
                              const std::shared_ptr<responder> &respond)
{
    if (!hasBearerToken(request, m_options.token))
        return answerError(
            respond, makeFailure(code::Unauthorized, "a valid bearer token is required"), true);
    const std::optional<std::vector<std::string>> path = splitPath(request.path);
    if (!path)
        return answerError(respond, makeFailure(code::NotFound, "no such path"), true);
    bool pathMatched = false;
    for (const route &candidate : m_routes) {
        std::vector<std::string> names;
        if (!matches(candidate, *path, names))
            continue;
        if (candidate.method == request.method)
            return (this->*candidate.handler)({request, respond, std::move(names)});
        pathMatched = true;
    }
    if (pathMatched)
        return answerError(respond,
                           makeFailure(code::MethodNotAllowed,
                                       "the path does not support the method " + request.method),
                           true);
    answerError(respond, makeFailure(code::NotFound, "no such path"), true);
}

bool entry_http::impl::matches(const route &candidate, const std::vector<std::string> &path,
                               std::vector<std::string> &names)
{
    if (candidate.pattern.size() != path.size())
        return false;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (candidate.pattern[i] == "*")
            names.push_back(path[i]);
        else if (candidate.pattern[i] != path[i])
            return false;
    }
    return true;
}

void entry_http::impl::answer(const routed_request &routed, int status, std::string body)
{
    server_response response;
    response.status = status;
    response.body = std::move(body);
    routed.respond->respond(std::move(response));
}

void entry_http::impl::answerError(const std::shared_ptr<responder> &respond, const failure &error,
                                   bool notRun)
{
    server_response response;
    response.status = httpStatusOf(error.number);
    response.body = formatError(error, notRun);
    const bool retryLater = response.status == 429 || response.status == 503;
    if (retryLater)
        response.headers.emplace_back("Retry-After", "1");
    respond->respond(std::move(response));
}

void entry_http::impl::answerJob(const std::shared_ptr<responder> &respond,
                                 const job_answer &answer)
{
    if (answer.error)
        return answerError(respond, *answer.error, answer.notRun);
    server_response response;
    response.status = answer.created ? statusCreated : statusOk;
    response.body = formatJob(answer.view);
    respond->respond(std::move(response));
}

std::optional<duration> entry_http::impl::parseWait(const routed_request &routed) const
{
    const std::optional<std::string> text = routed.request.parameter("waitMs");
    if (!text)
        return 0ms;
    const std::optional<std::int64_t> number = parseInteger(*text);
    if (!number) {
        answerError(
            routed.respond,
            makeFailure(code::InvalidValue, "waitMs must be a non-negative integer", "waitMs"),
            true);
        return std::nullopt;
    }
    return std::min(m_options.maxWait, duration(*number));
}

bool entry_http::impl::parseIfMatch(const routed_request &routed, std::optional<revision> &ifMatch)
{
    const std::optional<std::string> header = routed.request.header("if-match");
    if (!header || *header == "*")
        return true;
    std::string_view text = *header;
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    const std::optional<std::int64_t> number = parseInteger(text);
    if (!number) {
        answerError(routed.respond,
                    makeFailure(code::InvalidValue, "If-Match must be a configuration revision",
                                "If-Match"),
                    true);
        return false;
    }
    ifMatch = *number;
    return true;
}

// Jobs

void entry_http::impl::submitJob(const routed_request &routed)
{
    const std::optional<duration> wait = parseWait(routed);
    if (!wait)
        return;
    m_core.submit(routed.request.body, *wait, [respond = routed.respond](const job_answer &answer) {
        answerJob(respond, answer);
    });
}

void entry_http::impl::getJob(const routed_request &routed)
{
    const std::optional<duration> wait = parseWait(routed);
    if (!wait)
        return;
    m_core.find(
        {routed.names[0], routed.names[1]}, *wait,
        [respond = routed.respond](const job_answer &answer) { answerJob(respond, answer); });
}

void entry_http::impl::cancelJob(const routed_request &routed)
{
    const std::optional<duration> wait = parseWait(routed);
    if (!wait)
        return;
    const bool hasWait = routed.request.parameter("waitMs").has_value();
    m_core.cancel(
        {routed.names[0], routed.names[1]}, hasWait ? *wait : cancelWait,
        [respond = routed.respond](const job_answer &answer) { answerJob(respond, answer); });
}

void entry_http::impl::listJobs(const routed_request &routed)
{
    const std::optional<std::string> team = routed.request.parameter("team");
    if (!team || team->empty())
        return answerError(
            routed.respond,
            makeFailure(code::MissingField, "the query parameter team is required", "team"), true);
    std::size_t limit = m_options.maxListed;
    if (const std::optional<std::string> text = routed.request.parameter("limit")) {
        const std::optional<std::int64_t> number = parseInteger(*text);
        if (!number || *number == 0)
            return answerError(
                routed.respond,
                makeFailure(code::InvalidValue, "limit must be a positive integer", "limit"), true);
        limit = std::min(limit, static_cast<std::size_t>(*number));
    }
    m_core.list(*team, limit, [routed](const result<std::vector<job_view>> &listed) {
        if (const failure *error = failureOf(listed))
            return answerError(routed.respond, *error, false);
        json jobs = json::array();
        for (const job_view &view : valueOf(listed)) {
            json job = jobJson(view);
            job.erase("results"); // may be large; parts of split results are not read for a list
            jobs.push_back(std::move(job));
        }
        answer(routed, statusOk, dump({{"jobs", std::move(jobs)}}));
    });
}

void entry_http::impl::explainJob(const routed_request &routed)
{
    m_core.explain({routed.names[0], routed.names[1]},
                   [respond = routed.respond](const explain_answer &explained) {
                       answerExplain(respond, explained);
                   });
}

void entry_http::impl::answerExplain(const std::shared_ptr<responder> &respond,
                                     const explain_answer &answer)
{
    if (answer.error)
        return answerError(respond, *answer.error, false);
    json value = jobJson(answer.view);
    value.erase("results");
    if (answer.reply.found) {
        value["waitsFor"] = {{"constraint", answer.reply.constraint},
                             {"detail", answer.reply.detail},
                             {"wouldHelp", answer.reply.wouldHelp},
                             {"position", answer.reply.position}};
    }
    server_response response;
    response.body = dump(value);
    respond->respond(std::move(response));
}

// Configuration

void entry_http::impl::getCatalogue(const routed_request &routed)
{
    const configuration &current = m_view.current();
    if (current.number == 0)
        return answerError(routed.respond,
                           makeFailure(code::NotFound, "no catalogue has been stored yet"), false);
    server_response response;
    response.headers.emplace_back("ETag", entityTag(current.number));
    response.body = formatCatalogue(current.entries);
    routed.respond->respond(std::move(response));
}

void entry_http::impl::putCatalogue(const routed_request &routed)
{
    std::optional<revision> ifMatch;
    if (!parseIfMatch(routed, ifMatch))
        return;
    if (!ifMatch)
        return answerError(
            routed.respond,
            makeFailure(code::RevisionRequired,
                        "the If-Match header is required: the revision that the edit "
                        "is based on, or 0 for the first catalogue",
                        "If-Match"),
            true);
    m_publisher.putCatalogue(routed.request.body, *ifMatch,
                             [this, respond = routed.respond](const result<configuration> &stored) {
                                 answerPublished(respond, stored);
                             });
}

void entry_http::impl::setDomainOutOfService(const routed_request &routed, bool out)
{
    std::optional<revision> ifMatch;
    if (!parseIfMatch(routed, ifMatch))
        return;
    m_publisher.setDomainOutOfService(
        routed.names[0], out, ifMatch,
        [this, respond = routed.respond](const result<configuration> &stored) {
            answerPublished(respond, stored);
        });
}

void entry_http::impl::setDrained(const routed_request &routed, bool drained)
{
    std::optional<revision> ifMatch;
    if (!parseIfMatch(routed, ifMatch))
        return;
    m_publisher.setDrained(routed.names[0], drained, ifMatch,
                           [this, respond = routed.respond](const result<configuration> &stored) {
                               answerPublished(respond, stored);
                           });
}

void entry_http::impl::validateCatalogue(const routed_request &routed)
{
    json errors = json::array();
    for (const failure &fault : m_publisher.validate(routed.request.body))
        errors.push_back(errorJson(fault));
    const bool valid = errors.empty();
    answer(routed, statusOk, dump({{"valid", valid}, {"errors", std::move(errors)}}));
}

json entry_http::impl::revisionJson(revision number) const
{
    json cells = json::array();
    bool inForceEverywhere = true;
    for (const auto &[name, entry] : m_view.current().entries.cells) {
        const cell_config_state state = m_tracker.stateOf(name, number);
        inForceEverywhere = inForceEverywhere && state.inForce;
        cells.push_back({{"cell", name},
                         {"state", state.inForce ? "in force" : "pending"},
                         {"reason", state.reason},
                         {"plannerEpoch", state.plannerEpoch},
                         {"acknowledged", state.acknowledged}});
    }
    return {{"revision", number},
            {"stored", true},
            {"inForce", inForceEverywhere && !cells.empty()},
            {"cells", std::move(cells)}};
}

void entry_http::impl::answerPublished(const std::shared_ptr<responder> &respond,
                                       const result<configuration> &stored) const
{
    if (const failure *error = failureOf(stored))
        return answerError(respond, *error, changedNothing(error->number));
    const revision number = valueOf(stored).number;
    server_response response;
    response.headers.emplace_back("ETag", entityTag(number));
    response.body = dump(revisionJson(number));
    respond->respond(std::move(response));
}

void entry_http::impl::getRevision(const routed_request &routed)
{
    const std::optional<std::int64_t> number = parseInteger(routed.names[0]);
    if (!number || *number == 0 || *number > m_view.current().number)
        return answerError(routed.respond,
                           makeFailure(code::NotFound,
                                       "no such revision; the highest that this entry has seen is "
                                           + std::to_string(m_view.current().number)),
                           false);
    json value = revisionJson(*number);
    value["current"] = m_view.current().number;
    answer(routed, statusOk, dump(value));
}

// Status, metrics and fault injection

void entry_http::impl::getStatus(const routed_request &routed)
{
    m_pages.status([routed](std::string body) { answer(routed, statusOk, std::move(body)); });
}

void entry_http::impl::getBurn(const routed_request &routed)
{
    answer(routed, statusOk, m_pages.burnReport());
}

void entry_http::impl::getMetrics(const routed_request &routed)
{
    server_response response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = m_pages.metrics();
    routed.respond->respond(std::move(response));
}

void entry_http::impl::putLinkBlocks(const routed_request &routed)
{
    const auto parsed = parseJson<json>(routed.request.body);
    std::vector<std::string> blocks;
    bool valid = parsed.is_array();
    for (std::size_t i = 0; valid && i < parsed.size(); ++i) {
        valid = parsed[i].is_string();
        if (valid)
            blocks.push_back(parsed[i].get<std::string>());
    }
    if (!valid)
        return answerError(
            routed.respond,
            makeFailure(code::MalformedJson, "the body must be a JSON array of strings"), true);
    const result<done> set = m_pages.setLinkBlocks(blocks);
    if (const failure *error = failureOf(set))
        return answerError(routed.respond, *error, true);
    answer(routed, statusOk, "{}");
}

entry_http::entry_http(entry_core &core, config_publisher &publisher, const config_tracker &tracker,
                       const config_view &view, entry_pages &pages, entry_http_options options)
    : m_impl(std::make_unique<impl>(core, publisher, tracker, view, pages, std::move(options)))
{ }

entry_http::~entry_http() = default;

void entry_http::handle(const server_request &request, const std::shared_ptr<responder> &respond)
{
    m_impl->handle(request, respond);
}

} // namespace goldcrest
