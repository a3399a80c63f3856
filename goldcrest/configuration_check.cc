#include "goldcrest/configuration_check.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

constexpr auto anError = finding_severity::Error;
constexpr auto aWarning = finding_severity::Warning;
constexpr auto aNote = finding_severity::Note;

constexpr finding_kind kinds[] = {
    {finding::NotJson, anError, "The text is not JSON, or is nested too deeply."},
    {finding::BadField, anError,
     "A field is missing, has another type or is out of range: the whole configuration is "
     "refused."},
    {finding::UnknownField, aWarning, "A field that is not read."},
    {finding::DuplicateQueue, anError, "Two queues of the same name."},
    {finding::DuplicateService, anError, "Two services of the same name."},
    {finding::DuplicateTeam, anError, "Two teams of the same name."},
    {finding::KeyOfTwoTeams, anError, "A key that is listed twice; the first team has it."},
    {finding::UnknownService, anError, "A queue whose service does not exist."},
    {finding::HiddenQueue, anError, "A queue with the host and prefix of an earlier one."},
    {finding::BadHost, anError, "An empty host, or one that no request can have."},
    {finding::BadPrefix, anError, "An empty prefix, or one that no path can begin with."},
    {finding::TeamWithoutKeys, aWarning, "A team without keys."},
    {finding::UnusedService, aWarning, "A service that no queue uses."},
    {finding::EmptyKey, anError, "An empty key."},
    {finding::GuaranteesTooLarge, anError, "Guarantees that exceed the accelerators (--workers)."},
    {finding::TargetTooShort, aWarning,
     "A completion target that no run can reach (--shortest-run): the slack factor times the "
     "shortest run, plus the target, is less than that run."},
    {finding::NoAttempts, anError, "Fewer attempts than one."},
    {finding::SlackBelowOne, aWarning, "A slack factor below 1."},
    {finding::BodyLimitTooSmall, anError,
     "A limit of bodies that is smaller than the largest permitted job, 262,144 bytes."},
    {finding::QueueAdded, aNote, "A queue was added."},
    {finding::QueueRemoved, aNote, "A queue was removed."},
    {finding::QueueChanged, aNote, "A field of a queue was changed."},
    {finding::ServiceAdded, aNote, "A service was added."},
    {finding::ServiceRemoved, aNote, "A service was removed."},
    {finding::ServiceChanged, aNote, "A field of a service was changed."},
    {finding::TeamAdded, aNote, "A team was added."},
    {finding::TeamRemoved, aNote, "A team was removed."},
    {finding::TeamChanged, aNote, "A field of a team was changed."},
    {finding::KeysChanged, aNote,
     "Keys of a team were added or removed; only their number is shown."},
    {finding::LimitAdded, aNote, "A limit was added."},
    {finding::LimitRemoved, aNote, "A limit was removed."},
    {finding::LimitChanged, aNote, "A limit was changed."},
};

// Largest job that callers may submit, in bytes.
constexpr std::int64_t largestJobBytes = 256 * 1024;

finding_severity severityOf(finding number)
{
    const auto *found
        = std::find_if(std::begin(kinds), std::end(kinds),
                       [number](const finding_kind &k) { return k.number == number; });
    return found->severity;
}

std::string itemPath(std::string_view list, std::size_t index)
{
    return fmt::format("{}[{}]", list, index);
}

std::string textOf(bool value)
{
    return value ? "true" : "false";
}

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Collects findings. Leaves out those about places that could not be read.
class finding_list
{
public:
    explicit finding_list(std::vector<configuration_finding> first)
        : m_findings(std::move(first))
    {
        for (const configuration_finding &one : m_findings) {
            if (one.severity == anError)
                m_unread.insert(one.place);
        }
    }

    void add(finding number, std::string place, std::string text)
    {
        if (!isUnread(place))
            m_findings.push_back({number, severityOf(number), std::move(place), std::move(text)});
    }

    std::vector<configuration_finding> take() { return std::move(m_findings); }

private:
    // Returns whether a place, or one that contains it, could not be read.
    bool isUnread(const std::string &place) const
    {
        return std::any_of(m_unread.begin(), m_unread.end(), [&place](const std::string &one) {
            return place.compare(0, one.size(), one) == 0
                && (place.size() == one.size() || place[one.size()] == '.'
                    || place[one.size()] == '[');
        });
    }

    std::vector<configuration_finding> m_findings;
    std::set<std::string> m_unread;
};

// ---- names ---------------------------------------------------------------------------------

template<typename Item>
void findDuplicates(const std::vector<Item> &items, const std::string &list,
                    const std::string &nameField, finding number, finding_list &out)
{
    std::map<std::string_view, std::size_t> first;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const auto [found, isNew] = first.emplace(items[i].name, i);
        if (!isNew)
            out.add(number, itemPath(list, i) + '.' + nameField,
                    fmt::format("has the same name {} as {}.", quoted(items[i].name),
                                itemPath(list, found->second)));
    }
}

void checkKeys(const configuration_document &document, finding_list &out)
{
    const configuration_names &names = document.names;
    std::map<std::string_view, std::string> first; // path by key
    for (std::size_t i = 0; i < document.catalogue.teams.size(); ++i) {
        const queue_team &team = document.catalogue.teams[i];
        const std::string path = itemPath(names.teams, i) + '.' + names.keys;
        if (team.keys.empty())
            out.add(finding::TeamWithoutKeys, path, "no caller can be of this team.");
        for (std::size_t k = 0; k < team.keys.size(); ++k) {
            const std::string place = itemPath(path, k);
            if (team.keys[k].empty())
                out.add(finding::EmptyKey, place, "is empty.");
            const auto [found, isNew] = first.emplace(team.keys[k], place);
            if (!isNew)
                out.add(finding::KeyOfTwoTeams, place,
                        "is the same key as " + found->second + ", whose team has it.");
        }
    }
}

void checkServices(const configuration_document &document, finding_list &out)
{
    const configuration_names &names = document.names;
    std::set<std::string_view> known;
    std::set<std::string_view> used;
    for (const service_entry &service : document.catalogue.services)
        known.insert(service.name);
    for (std::size_t i = 0; i < document.catalogue.queues.size(); ++i) {
        const std::string &service = document.catalogue.queues[i].policy.service;
        used.insert(service);
        if (known.count(service) == 0)
            out.add(finding::UnknownService, itemPath(names.queues, i) + '.' + names.service,
                    fmt::format("there is no service {}.", quoted(service)));
    }
    for (std::size_t i = 0; i < document.catalogue.services.size(); ++i) {
        const service_entry &service = document.catalogue.services[i];
        // Standby machines serve the queues of another service.
        if (used.count(service.name) == 0 && !service.isStandby)
            out.add(finding::UnusedService, itemPath(names.services, i),
                    fmt::format("no queue uses the service {}.", quoted(service.name)));
    }
}

// ---- entries that never match --------------------------------------------------------------

bool isHostCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '.' || c == '_';
}

bool isPathCharacter(char c)
{
    return c > ' ' && c < '\x7f' && c != '?' && c != '#';
}

void checkAddress(const queue_entry &queue, const std::string &path,
                  const configuration_names &names, finding_list &out)
{
    const std::string hostPath = path + '.' + names.host;
    if (queue.host.empty())
        out.add(finding::BadHost, hostPath, "is empty.");
    else if (queue.host.find(':') != std::string::npos)
        out.add(finding::BadHost, hostPath, "has a port, which is removed from requests.");
    else if (!std::all_of(queue.host.begin(), queue.host.end(), isHostCharacter))
        out.add(finding::BadHost, hostPath, "is not a host name.");
    const std::string prefixPath = path + '.' + names.prefix;
    if (queue.prefix.empty())
        out.add(finding::BadPrefix, prefixPath, "is empty, so that it matches every path.");
    else if (queue.prefix[0] != '/')
        out.add(finding::BadPrefix, prefixPath, "does not begin with /, as each path does.");
    else if (!std::all_of(queue.prefix.begin(), queue.prefix.end(), isPathCharacter))
        out.add(finding::BadPrefix, prefixPath, "has a character that no path has.");
}

void checkHidden(const configuration_document &document, finding_list &out)
{
    std::map<std::pair<std::string, std::string>, std::size_t> first;
    for (std::size_t i = 0; i < document.catalogue.queues.size(); ++i) {
        const queue_entry &queue = document.catalogue.queues[i];
        const auto [found, isNew] = first.emplace(std::pair(queue.host, queue.prefix), i);
        if (!isNew && !queue.host.empty())
            out.add(finding::HiddenQueue, itemPath(document.names.queues, i),
                    fmt::format("has the same host and prefix as {}, which gets all requests.",
                                itemPath(document.names.queues, found->second)));
    }
}

// ---- limits --------------------------------------------------------------------------------

void checkPolicy(const queue_entry &queue, const std::string &path,
                 const configuration_names &names, const configuration_check_options &options,
                 finding_list &out)
{
    const queue_policy &policy = queue.policy;
    if (policy.maxAttempts < 1)
        out.add(finding::NoAttempts, path + '.' + names.maxAttempts,
                "is below 1, so that no task may run.");
    if (policy.slackFactor < 1)
        out.add(finding::SlackBelowOne, path + '.' + names.slackFactor,
                "is below 1: jobs have to end before their tasks can.");
    const auto run = options.shortestRuns.find(queue.name);
    if (run == options.shortestRuns.end())
        return;
    const duration allowed = scaled(run->second, policy.slackFactor) + policy.completionTarget;
    if (allowed < run->second)
        out.add(finding::TargetTooShort, path + '.' + names.target,
                fmt::format("leaves {} ms for the shortest run of {} ms.", allowed.count(),
                            run->second.count()));
}

void checkLimits(const configuration_document &document, const configuration_check_options &options,
                 finding_list &out)
{
    if (document.bodyLimit && *document.bodyLimit < largestJobBytes)
        out.add(finding::BodyLimitTooSmall, document.names.bodyLimit,
                fmt::format("is {}; the largest permitted job has {} bytes.", *document.bodyLimit,
                            largestJobBytes));
    std::int64_t guaranteed = 0;
    for (const queue_team &team : document.catalogue.teams)
        guaranteed += team.guaranteedAccelerators;
    if (options.accelerators && guaranteed > *options.accelerators)
        out.add(finding::GuaranteesTooLarge, document.names.teams,
                fmt::format("the guarantees add up to {} accelerators; there are {}.", guaranteed,
                            *options.accelerators));
}

// ---- differences ---------------------------------------------------------------------------

using fields = std::vector<std::pair<std::string, std::string>>; // name in the format, value

fields fieldsOf(const queue_entry &queue, const configuration_names &names)
{
    std::string advice = "none";
    if (queue.advice)
        advice = fmt::format("{} ms, {} ms per worker, valid {} ms", queue.advice->perCall.count(),
                             queue.advice->perWorker.count(), queue.advice->ticketLifetime.count());
    return {{names.host, quoted(queue.host)},
            {names.prefix, quoted(queue.prefix)},
            {names.service, quoted(queue.policy.service)},
            {names.priority, std::to_string(queue.policy.priority)},
            {names.maxAttempts, std::to_string(queue.policy.maxAttempts)},
            {names.slackFactor, fmt::format("{}", queue.policy.slackFactor)},
            {names.target, std::to_string(queue.policy.completionTarget.count())},
            {names.isPublic, textOf(queue.isPublic)},
            {names.advice, advice}};
}

fields fieldsOf(const service_entry &service, const configuration_names &names)
{
    return {{names.enforcesCapacity, textOf(service.enforcesCapacity)},
            {names.isStandby, textOf(service.isStandby)}};
}

fields fieldsOf(const queue_team &team, const configuration_names &names)
{
    return {{names.guaranteed, std::to_string(team.guaranteedAccelerators)}};
}

struct difference_numbers
{
    finding added = finding::QueueAdded;
    finding removed = finding::QueueRemoved;
    finding changed = finding::QueueChanged;
};

template<typename Item>
const Item *findItem(const std::vector<Item> &items, const std::string &name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&name](const Item &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

template<typename Item>
void compareItems(const std::vector<Item> &before, const std::vector<Item> &after,
                  const std::string &list, const configuration_names &names,
                  const difference_numbers &numbers, finding_list &out)
{
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (!findItem(after, before[i].name))
            out.add(numbers.removed, itemPath(list, i),
                    fmt::format("{} was removed.", quoted(before[i].name)));
    }
    for (std::size_t i = 0; i < after.size(); ++i) {
        const Item *old = findItem(before, after[i].name);
        if (!old) {
            out.add(numbers.added, itemPath(list, i),
                    fmt::format("{} was added.", quoted(after[i].name)));
            continue;
        }
        const fields from = fieldsOf(*old, names);
        const fields to = fieldsOf(after[i], names);
        for (std::size_t f = 0; f < from.size(); ++f) {
            if (from[f].second != to[f].second)
                out.add(numbers.changed, itemPath(list, i) + '.' + from[f].first,
                        fmt::format("of {} was {} and is {}.", quoted(after[i].name),
                                    from[f].second, to[f].second));
        }
    }
}

void compareKeys(const configuration_document &inForce, const configuration_document &next,
                 finding_list &out)
{
    const std::vector<queue_team> &teams = next.catalogue.teams;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        const queue_team *old = findItem(inForce.catalogue.teams, teams[i].name);
        if (!old)
            continue;
        const std::set<std::string_view> before(old->keys.begin(), old->keys.end());
        const std::set<std::string_view> after(teams[i].keys.begin(), teams[i].keys.end());
        const auto missingIn = [](const auto &from, const auto &in) {
            return std::count_if(from.begin(), from.end(),
                                 [&in](std::string_view key) { return in.count(key) == 0; });
        };
        const auto added = missingIn(after, before);
        const auto removed = missingIn(before, after);
        if (added > 0 || removed > 0)
            out.add(
                finding::KeysChanged, itemPath(next.names.teams, i) + '.' + next.names.keys,
                fmt::format("of {}: {} added, {} removed.", quoted(teams[i].name), added, removed));
    }
}

void compareLimits(const configuration_document &inForce, const configuration_document &next,
                   finding_list &out)
{
    for (const auto &[path, value] : inForce.limits) {
        if (next.limits.count(path) == 0)
            out.add(finding::LimitRemoved, path, fmt::format("was {} and was removed.", value));
    }
    for (const auto &[path, value] : next.limits) {
        const auto old = inForce.limits.find(path);
        if (old == inForce.limits.end())
            out.add(finding::LimitAdded, path, fmt::format("was added and is {}.", value));
        else if (old->second != value)
            out.add(finding::LimitChanged, path,
                    fmt::format("was {} and is {}.", old->second, value));
    }
}

} // namespace

std::string_view nameOf(finding_severity severity)
{
    static constexpr std::string_view names[] = {"error", "warning", "note"};
    return names[static_cast<std::size_t>(severity)];
}

gsl::span<const finding_kind> findingKinds()
{
    return kinds;
}

std::vector<configuration_finding> checkConfiguration(const configuration_document &document,
                                                      const configuration_check_options &options)
{
    const configuration_names &names = document.names;
    const queue_catalogue &catalogue = document.catalogue;
    finding_list out(document.findings);
    findDuplicates(catalogue.queues, names.queues, names.name, finding::DuplicateQueue, out);
    findDuplicates(catalogue.services, names.services, names.name, finding::DuplicateService, out);
    findDuplicates(catalogue.teams, names.teams, names.name, finding::DuplicateTeam, out);
    checkKeys(document, out);
    checkServices(document, out);
    checkHidden(document, out);
    for (std::size_t i = 0; i < catalogue.queues.size(); ++i) {
        const std::string path = itemPath(names.queues, i);
        checkAddress(catalogue.queues[i], path, names, out);
        checkPolicy(catalogue.queues[i], path, names, options, out);
    }
    checkLimits(document, options, out);
    return out.take();
}

std::vector<configuration_finding> compareConfigurations(const configuration_document &inForce,
                                                         const configuration_document &next)
{
    const configuration_names &names = next.names;
    finding_list out({});
    compareItems(inForce.catalogue.queues, next.catalogue.queues, names.queues, names,
                 {finding::QueueAdded, finding::QueueRemoved, finding::QueueChanged}, out);
    compareItems(inForce.catalogue.services, next.catalogue.services, names.services, names,
                 {finding::ServiceAdded, finding::ServiceRemoved, finding::ServiceChanged}, out);
    compareItems(inForce.catalogue.teams, next.catalogue.teams, names.teams, names,
                 {finding::TeamAdded, finding::TeamRemoved, finding::TeamChanged}, out);
    compareKeys(inForce, next, out);
    compareLimits(inForce, next, out);
    return out.take();
}

} // namespace goldcrest
