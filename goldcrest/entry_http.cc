#include "goldcrest/entry_http.h"

#include "goldcrest/base64.h"
#include "goldcrest/catalogue_codec.h"

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
constexpr duration cancelWait = 2s; // a cancellation usually ends well within this

std::string dump(const json &value)
{
    // Names and reasons may hold bytes of a caller that are not valid UTF-8.
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

json resultJson(const task_result &whole)
{
    json value = {{"task", whole.task}, {"succeeded", whole.succeeded}};
    if (isValidUtf8(whole.output)) {
        value["output"] = whole.output;
    } else {
        value["output"] = encodeBase64(whole.output);
        value["encoding"] = "base64";
    }
    value["bytes"] = whole.totalBytes;
    value["digest"] = whole.digest;
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
        for (const task_result &whole : view.results)
            value["results"].push_back(resultJson(whole));
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

// Returns nothing if a segment has a malformed escape.
std::optional<std::vector<std::string>> segmentsOf(std::string_view path)
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
    // One request with the variable parts of its path.
    struct call
    {
        const server_request &request;
        std::shared_ptr<responder> respond;
        std::vector<std::string> names;
    };
    using route_handler = void (impl::*)(const call &);

    // A segment "*" of the pattern takes any name.
    struct route
    {
        std::string method;
        std::vector<std::string> pattern;
        route_handler handler;
    };

    static bool matches(const route &candidate, const std::vector<std::string> &path,
                        std::vector<std::string> &names);
    static void answer(const call &to, int status, std::string body);
    static void answerError(const std::shared_ptr<responder> &respond, const failure &error,
                            bool notRun);
    static void answerJob(const std::shared_ptr<responder> &respond, const job_answer &answer);
    static void answerExplain(const std::shared_ptr<responder> &respond,
                              const explain_answer &answer);
    void answerPublished(const std::shared_ptr<responder> &respond,
                         const result<configuration> &stored) const;
    json revisionJson(revision number) const;

    // Returns the wait of a request, or answers an error.
    std::optional<duration> waitOf(const call &from) const;
    // Returns false and answers if the If-Match header is not a revision.
    static bool readIfMatch(const call &from, std::optional<revision> &ifMatch);

    void submitJob(const call &from);
    void listJobs(const call &from);
    void getJob(const call &from);
    void cancelJob(const call &from);
    void explainJob(const call &from);
    void getCatalogue(const call &from);
    void putCatalogue(const call &from);
    void validateText(const call &from);
    void getRevision(const call &from);
    void takeOut(const call &from) { setDomain(from, true); }
    void bringIn(const call &from) { setDomain(from, false); }
    void setDomain(const call &from, bool out);
    void drainWorker(const call &from) { setDrained(from, true); }
    void undrainWorker(const call &from) { setDrained(from, false); }
    void setDrained(const call &from, bool drained);
    void getStatus(const call &from);
    void getBurn(const call &from);
    void getMetrics(const call &from);
    void putLinkBlocks(const call &from);

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
          {"POST", {"v1", "catalogue", "validate"}, &impl::validateText},
          {"GET", {"v1", "revisions", "*"}, &impl::getRevision},
          {"POST", {"v1", "failure-domains", "*", "out"}, &impl::takeOut},
          {"POST", {"v1", "failure-domains", "*", "in"}, &impl::bringIn},
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
    const std::optional<std::vector<std::string>> path = segmentsOf(request.path);
    if (!path)
        return answerError(respond, makeFailure(code::NotFound, "no such path"), true);
    bool otherMethod = false;
    for (const route &candidate : m_routes) {
        std::vector<std::string> names;
        if (!matches(candidate, *path, names))
            continue;
        if (candidate.method == request.method)
            return (this->*candidate.handler)({request, respond, std::move(names)});
        otherMethod = true;
    }
    if (otherMethod)
        return answerError(respond,
                           makeFailure(code::MethodNotAllowed, "the path has no " + request.method),
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

void entry_http::impl::answer(const call &to, int status, std::string body)
{
    server_response response;
    response.status = status;
    response.body = std::move(body);
    to.respond->respond(std::move(response));
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

std::optional<duration> entry_http::impl::waitOf(const call &from) const
{
    const std::optional<std::string> text = from.request.parameter("waitMs");
    if (!text)
        return 0ms;
    const std::optional<std::int64_t> number = parseInteger(*text);
    if (!number) {
        answerError(
            from.respond,
            makeFailure(code::InvalidValue, "waitMs must be a non-negative integer", "waitMs"),
            true);
        return std::nullopt;
    }
    return std::min(m_options.maxWait, duration(*number));
}

bool entry_http::impl::readIfMatch(const call &from, std::optional<revision> &ifMatch)
{
    const std::optional<std::string> header = from.request.header("if-match");
    if (!header || *header == "*")
        return true;
    std::string_view text = *header;
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    const std::optional<std::int64_t> number = parseInteger(text);
    if (!number) {
        answerError(from.respond,
                    makeFailure(code::InvalidValue, "If-Match must be a revision", "If-Match"),
                    true);
        return false;
    }
    ifMatch = *number;
    return true;
}

// Jobs

void entry_http::impl::submitJob(const call &from)
{
    const std::optional<duration> wait = waitOf(from);
    if (!wait)
        return;
    m_core.submit(from.request.body, *wait, [respond = from.respond](const job_answer &answer) {
        answerJob(respond, answer);
    });
}

void entry_http::impl::getJob(const call &from)
{
    const std::optional<duration> wait = waitOf(from);
    if (!wait)
        return;
    m_core.find({from.names[0], from.names[1]}, *wait,
                [respond = from.respond](const job_answer &answer) { answerJob(respond, answer); });
}

void entry_http::impl::cancelJob(const call &from)
{
    const std::optional<duration> wait = waitOf(from);
    if (!wait)
        return;
    const bool given = from.request.parameter("waitMs").has_value();
    m_core.cancel(
        {from.names[0], from.names[1]}, given ? *wait : cancelWait,
        [respond = from.respond](const job_answer &answer) { answerJob(respond, answer); });
}

void entry_http::impl::listJobs(const call &from)
{
    const std::optional<std::string> team = from.request.parameter("team");
    if (!team || team->empty())
        return answerError(from.respond,
                           makeFailure(code::MissingField, "team is required", "team"), true);
    std::size_t limit = m_options.maxListed;
    if (const std::optional<std::string> text = from.request.parameter("limit")) {
        const std::optional<std::int64_t> number = parseInteger(*text);
        if (!number || *number == 0)
            return answerError(
                from.respond,
                makeFailure(code::InvalidValue, "limit must be a positive integer", "limit"), true);
        limit = std::min(limit, static_cast<std::size_t>(*number));
    }
    m_core.list(*team, limit, [from](const result<std::vector<job_view>> &listed) {
        if (const failure *error = failureOf(listed))
            return answerError(from.respond, *error, false);
        json jobs = json::array();
        for (const job_view &view : valueOf(listed)) {
            json job = jobJson(view);
            job.erase("results"); // may be large, and in parts that the list does not read
            jobs.push_back(std::move(job));
        }
        answer(from, statusOk, dump({{"jobs", std::move(jobs)}}));
    });
}

void entry_http::impl::explainJob(const call &from)
{
    m_core.explain({from.names[0], from.names[1]},
                   [respond = from.respond](const explain_answer &explained) {
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

void entry_http::impl::getCatalogue(const call &from)
{
    const configuration &current = m_view.current();
    if (current.number == 0)
        return answerError(from.respond,
                           makeFailure(code::NotFound, "no catalogue has been stored yet"), false);
    server_response response;
    response.headers.emplace_back("ETag", entityTag(current.number));
    response.body = formatCatalogue(current.entries);
    from.respond->respond(std::move(response));
}

void entry_http::impl::putCatalogue(const call &from)
{
    std::optional<revision> ifMatch;
    if (!readIfMatch(from, ifMatch))
        return;
    if (!ifMatch)
        return answerError(from.respond,
                           makeFailure(code::RevisionRequired,
                                       "If-Match with the revision that was edited is required; "
                                       "0 for the first catalogue",
                                       "If-Match"),
                           true);
    m_publisher.putCatalogue(from.request.body, *ifMatch,
                             [this, respond = from.respond](const result<configuration> &stored) {
                                 answerPublished(respond, stored);
                             });
}

void entry_http::impl::setDomain(const call &from, bool out)
{
    std::optional<revision> ifMatch;
    if (!readIfMatch(from, ifMatch))
        return;
    m_publisher.setDomain(from.names[0], out, ifMatch,
                          [this, respond = from.respond](const result<configuration> &stored) {
                              answerPublished(respond, stored);
                          });
}

void entry_http::impl::setDrained(const call &from, bool drained)
{
    std::optional<revision> ifMatch;
    if (!readIfMatch(from, ifMatch))
        return;
    m_publisher.setDrained(from.names[0], drained, ifMatch,
                           [this, respond = from.respond](const result<configuration> &stored) {
                               answerPublished(respond, stored);
                           });
}

void entry_http::impl::validateText(const call &from)
{
    json errors = json::array();
    for (const failure &fault : m_publisher.validate(from.request.body))
        errors.push_back(errorJson(fault));
    const bool valid = errors.empty();
    answer(from, statusOk, dump({{"valid", valid}, {"errors", std::move(errors)}}));
}

json entry_http::impl::revisionJson(revision number) const
{
    json cells = json::array();
    bool everywhere = true;
    for (const auto &[name, entry] : m_view.current().entries.cells) {
        const cell_config_state state = m_tracker.stateOf(name, number);
        everywhere = everywhere && state.inForce;
        cells.push_back({{"cell", name},
                         {"state", state.inForce ? "in force" : "pending"},
                         {"reason", state.reason},
                         {"plannerEpoch", state.plannerEpoch},
                         {"acknowledged", state.acknowledged}});
    }
    return {{"revision", number},
            {"stored", true},
            {"inForce", everywhere && !cells.empty()},
            {"cells", std::move(cells)}};
}

void entry_http::impl::answerPublished(const std::shared_ptr<responder> &respond,
                                       const result<configuration> &stored) const
{
    if (const failure *error = failureOf(stored)) {
        const bool nothingChanged = error->number != code::StoreAmbiguous;
        return answerError(respond, *error, nothingChanged);
    }
    const revision number = valueOf(stored).number;
    server_response response;
    response.headers.emplace_back("ETag", entityTag(number));
    response.body = dump(revisionJson(number));
    respond->respond(std::move(response));
}

void entry_http::impl::getRevision(const call &from)
{
    const std::optional<std::int64_t> number = parseInteger(from.names[0]);
    if (!number || *number == 0 || *number > m_view.current().number)
        return answerError(from.respond,
                           makeFailure(code::NotFound,
                                       "the highest revision seen here is "
                                           + std::to_string(m_view.current().number)),
                           false);
    json value = revisionJson(*number);
    value["current"] = m_view.current().number;
    answer(from, statusOk, dump(value));
}

// Pages

void entry_http::impl::getStatus(const call &from)
{
    m_pages.status([from](std::string body) { answer(from, statusOk, std::move(body)); });
}

void entry_http::impl::getBurn(const call &from)
{
    answer(from, statusOk, m_pages.burnReport());
}

void entry_http::impl::getMetrics(const call &from)
{
    server_response response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = m_pages.metrics();
    from.respond->respond(std::move(response));
}

void entry_http::impl::putLinkBlocks(const call &from)
{
    const json parsed = json::parse(from.request.body, nullptr, false);
    std::vector<std::string> blocks;
    bool valid = parsed.is_array();
    for (std::size_t i = 0; valid && i < parsed.size(); ++i) {
        valid = parsed[i].is_string();
        if (valid)
            blocks.push_back(parsed[i].get<std::string>());
    }
    if (!valid)
        return answerError(from.respond,
                           makeFailure(code::MalformedJson, "expected an array of strings"), true);
    const result<done> set = m_pages.setLinkBlocks(blocks);
    if (const failure *error = failureOf(set))
        return answerError(from.respond, *error, true);
    answer(from, statusOk, "{}");
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
