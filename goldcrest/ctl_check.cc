#include "goldcrest/ctl_check.h"

#include "goldcrest/configuration_reader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <ostream>
#include <utility>
#include <vector>

namespace goldcrest {

namespace {

// Returns a number from 1 to one million, or nothing.
std::optional<std::int64_t> positiveNumber(std::string_view text)
{
    constexpr std::int64_t most = 1'000'000;
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool isNumber = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    return isNumber && number >= 1 && number <= most ? std::optional(number) : std::nullopt;
}

// Returns a text without line breaks and other control characters, which names may contain.
std::string oneLine(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
    return text;
}

void print(const std::vector<configuration_finding> &findings, bool wantsJson, std::ostream &out)
{
    if (!wantsJson) {
        for (const configuration_finding &one : findings)
            out << fmt::format("{} {} {}: {}\n", static_cast<int>(one.number), nameOf(one.severity),
                               one.place.empty() ? "." : oneLine(one.place), oneLine(one.text));
        return;
    }
    nlohmann::ordered_json items = nlohmann::ordered_json::array();
    for (const configuration_finding &one : findings)
        items.push_back({{"number", static_cast<int>(one.number)},
                         {"severity", nameOf(one.severity)},
                         {"place", one.place},
                         {"text", one.text}});
    out << items.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << '\n';
}

// Returns the accelerators of all workers, or nothing if the value is malformed.
std::optional<std::int64_t> acceleratorsOf(std::string_view workers)
{
    const std::size_t colon = workers.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::int64_t> count = positiveNumber(workers.substr(0, colon));
    const std::optional<std::int64_t> each = positiveNumber(workers.substr(colon + 1));
    return count && each ? std::optional(*count * *each) : std::nullopt;
}

// Returns the shortest runs by queue, or nothing if the value is malformed.
std::optional<std::map<std::string, duration>> shortestRunsOf(std::string_view text)
{
    std::map<std::string, duration> runs;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const std::size_t colon = part.rfind(':');
        if (colon == std::string_view::npos || colon == 0)
            return std::nullopt;
        const std::optional<std::int64_t> time = positiveNumber(part.substr(colon + 1));
        if (!time)
            return std::nullopt;
        runs[std::string(part.substr(0, colon))] = duration(*time);
    }
    return runs;
}

// Returns the options of a request, or what is wrong with them.
result<configuration_check_options> optionsOf(const ctl_check_request &request)
{
    configuration_check_options options;
    options.accelerators = acceleratorsOf(request.workers);
    if (!request.workers.empty() && !options.accelerators)
        return makeFailure(code::InvalidValue, "--workers must be N:ACCELERATORS");
    const auto runs = shortestRunsOf(request.shortestRuns);
    if (!runs)
        return makeFailure(code::InvalidValue, "--shortest-run must be QUEUE:MS,QUEUE:MS...");
    options.shortestRuns = *runs;
    if (request.against && !request.store.empty())
        return makeFailure(code::InvalidValue, "give --against or --store, not both");
    return options;
}

ctl_exit fail(const failure &error, ctl_exit exit, std::ostream &err)
{
    err << "goldcrestctl: " << error.reason << '\n';
    return exit;
}

} // namespace

ctl_exit runCheck(const ctl_check_request &request, ctl_environment &environment)
{
    const result<configuration_check_options> options = optionsOf(request);
    if (const failure *error = failureOf(options))
        return fail(*error, ctl_exit::Usage, environment.err);
    if (!environment.configurations)
        return fail(makeFailure(code::InvalidValue, "this program can't read configurations"),
                    ctl_exit::Usage, environment.err);
    configuration_reader &reader = *environment.configurations;
    std::optional<std::string> inForce = request.against;
    if (!request.store.empty()) {
        const result<std::string> fetched = reader.fetch(request.store);
        if (const failure *error = failureOf(fetched))
            return fail(*error,
                        error->number == code::UnknownRequest ? ctl_exit::Refused
                                                              : ctl_exit::Unreachable,
                        environment.err);
        inForce = valueOf(fetched);
    }
    const configuration_document document = reader.parse(request.text);
    std::vector<configuration_finding> findings = checkConfiguration(document, valueOf(options));
    const bool hasErrors = std::any_of(findings.begin(), findings.end(), [](const auto &one) {
        return one.severity == finding_severity::Error;
    });
    if (inForce) {
        for (configuration_finding &one : compareConfigurations(reader.parse(*inForce), document))
            findings.push_back(std::move(one));
    }
    print(findings, request.wantsJson, environment.out);
    return hasErrors ? ctl_exit::Usage : ctl_exit::Done;
}

std::string findingsMarkdown()
{
    std::string page = "\n## Findings of `check`\n\nThe numbers do not change between releases. A "
                       "line has the number, the severity, the place as a JSON path and a "
                       "sentence. With an error the exit code is 1.\n\n| number | severity | "
                       "meaning |\n|---|---|---|\n";
    for (const finding_kind &kind : findingKinds())
        page += fmt::format("| {} | {} | {} |\n", static_cast<int>(kind.number),
                            nameOf(kind.severity), kind.meaning);
    return page;
}

} // namespace goldcrest
