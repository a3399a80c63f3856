#include "goldcrest/burn_report.h"

#include "goldcrest/json_text.h"
#include "goldcrest/text_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <sstream>

namespace goldcrest {

namespace {

using json = nlohmann::ordered_json;

constexpr std::int64_t minuteMs = 60'000;
constexpr std::int64_t minutesPerHour = 60;
constexpr std::int64_t keptMinutes = 6 * minutesPerHour;
constexpr std::int64_t keptHours = 72;
// Limits on the report of another process. maxClasses also limits the classes that are counted
// here.
constexpr std::size_t maxClasses = 200;
constexpr std::uint64_t maxCount = 1'000'000'000'000;

// Common alert thresholds for a period of 30 days: a rate of 14.4 spends 2% of the budget in one
// hour.
constexpr double pageRate = 14.4;
constexpr double ticketRate = 1;

constexpr std::array<objective_kind, objectiveCount> allKinds{
    objective_kind::StartDelay, objective_kind::Completion, objective_kind::AnsweredWhole};

constexpr std::array<std::string_view, burnWindows.size()> windowNames{"5 min", "1 h", "6 h",
                                                                       "3 d"};
constexpr std::array<std::string_view, 3> stateNames{"ok", "ticket", "page"};

std::size_t indexOf(objective_kind kind)
{
    return static_cast<std::size_t>(kind);
}

std::string formatDouble(const char *pattern, double value)
{
    std::array<char, 40> buffer{};
    std::snprintf(buffer.data(), buffer.size(), pattern, value);
    return buffer.data();
}

std::string formatRate(const burn_tally &tally, double rate)
{
    if (tally.total() == 0)
        return "-";
    return rate > 9999 ? ">9999" : formatDouble("%.2f", rate);
}

std::string formatObjective(objective_kind kind, const service_objective &objective)
{
    constexpr double percent = 100;
    std::string text = formatDouble("%.6g", objective.target * percent) + "%";
    if (kind != objective_kind::AnsweredWhole)
        text += " in "
            + formatDouble("%.6g", std::chrono::duration<double>(objective.bound).count()) + " s";
    return text;
}

// Returns [time, good, bad] for each time from `from` on.
json tallyArray(const std::map<std::int64_t, burn_tally> &values, std::int64_t from)
{
    json list = json::array();
    for (auto it = values.lower_bound(from); it != values.end(); ++it)
        list.push_back({it->first, it->second.good, it->second.bad});
    return list;
}

// The read functions return whether the JSON value is valid.
bool readCount(const json &value, std::uint64_t &out)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maxCount)
        return false;
    out = value.get<std::uint64_t>();
    return true;
}

bool readTallies(const json &list, std::size_t limit, std::map<std::int64_t, burn_tally> &out)
{
    if (!list.is_array() || list.size() > limit)
        return false;
    for (const json &item : list) {
        burn_tally tally;
        std::uint64_t timeIndex = 0;
        const bool valid = item.is_array() && item.size() == 3 && readCount(item[0], timeIndex)
            && readCount(item[1], tally.good) && readCount(item[2], tally.bad);
        if (!valid)
            return false;
        out[static_cast<std::int64_t>(timeIndex)] += tally;
    }
    return true;
}

bool readObjective(const json &value, service_objective &out)
{
    const bool valid = value.is_array() && value.size() == 2 && value[0].is_number()
        && value[1].is_number_integer();
    if (!valid)
        return false;
    out.target = value[0].get<double>();
    out.bound = duration(value[1].get<std::int64_t>());
    return out.target >= 0 && out.target <= 1 && out.bound >= 0ms;
}

std::optional<objective_kind> parseKind(std::string_view name)
{
    for (const objective_kind kind : allKinds) {
        if (nameOf(kind) == name)
            return kind;
    }
    return std::nullopt;
}

} // namespace

std::string_view nameOf(objective_kind kind)
{
    switch (kind) {
    case objective_kind::StartDelay:
        return "startDelay";
    case objective_kind::Completion:
        return "completion";
    case objective_kind::AnsweredWhole:
        break;
    }
    return "answeredWhole";
}

double burnRate(const burn_tally &tally, double target)
{
    if (tally.bad == 0)
        return 0;
    const double share = static_cast<double>(tally.bad) / static_cast<double>(tally.total());
    // A target of 1 leaves no error budget, so one miss gives an infinite rate.
    return target < 1 ? share / (1 - target) : std::numeric_limits<double>::infinity();
}

void burn_report::setObjectives(const catalogue &entries, revision number)
{
    if (number < m_revision)
        return;
    m_revision = number;
    m_objectives.clear();
    for (const auto &[name, entry] : entries.classes)
        m_objectives[name] = {entry.startDelay, entry.completion, entry.answeredWhole};
}

void burn_report::recordFinished(const finished_job &job, std::int64_t unixMs)
{
    record(job.className, objective_kind::AnsweredWhole, job.answeredWhole, unixMs);
    const auto found = m_objectives.find(job.className);
    if (found == m_objectives.end() || job.cancelled)
        return;
    const auto recordIfBounded = [&](objective_kind kind, std::optional<duration> time) {
        const duration bound = found->second[indexOf(kind)].bound;
        if (bound > 0ms)
            record(job.className, kind, time && *time <= bound, unixMs);
    };
    recordIfBounded(objective_kind::StartDelay, job.startDelay);
    const bool completed = job.outcome == job_outcome::Completed;
    recordIfBounded(objective_kind::Completion,
                    completed ? std::optional<duration>(job.completion) : std::nullopt);
}

void burn_report::record(std::string_view className, objective_kind kind, bool good,
                         std::int64_t unixMs)
{
    const series_key key{std::string(className), kind};
    if (m_series.size() >= maxClasses * objectiveCount && m_series.count(key) == 0)
        return;
    const std::int64_t minute = unixMs / minuteMs;
    series &values = m_series[key];
    burn_tally &tally = values.minutes[minute];
    ++(good ? tally.good : tally.bad);
    if (values.minutes.size() > static_cast<std::size_t>(keptMinutes + minutesPerHour))
        compact(values, minute);
}

void burn_report::compact(series &values, std::int64_t nowMinute)
{
    // Only whole hours are moved, so that each hour is counted either per minute or as one count.
    const std::int64_t firstKept = (nowMinute - keptMinutes) / minutesPerHour * minutesPerHour;
    const auto end = values.minutes.lower_bound(firstKept);
    for (auto it = values.minutes.begin(); it != end; ++it)
        values.hours[it->first / minutesPerHour] += it->second;
    values.minutes.erase(values.minutes.begin(), end);
    const std::int64_t firstHour = nowMinute / minutesPerHour - keptHours;
    values.hours.erase(values.hours.begin(), values.hours.lower_bound(firstHour));
}

burn_tally burn_report::sum(const series &values, duration window, std::int64_t nowMinute) const
{
    const std::int64_t minutes = window.count() / minuteMs;
    const std::int64_t from = nowMinute - minutes + 1;
    burn_tally total;
    for (auto it = values.minutes.lower_bound(from); it != values.minutes.end(); ++it)
        total += it->second;
    // Only the 3-day window reaches back to counts per hour. Its first hour is counted in full,
    // even if the window covers only a part of it.
    for (auto it = values.hours.lower_bound(from / minutesPerHour); it != values.hours.end(); ++it)
        total += it->second;
    return total;
}

void burn_report::merge(const burn_report &other)
{
    if (other.m_revision > m_revision) {
        m_revision = other.m_revision;
        m_objectives = other.m_objectives;
    }
    for (const auto &[key, values] : other.m_series) {
        series &own = m_series[key];
        for (const auto &[minute, tally] : values.minutes)
            own.minutes[minute] += tally;
        for (const auto &[hour, tally] : values.hours)
            own.hours[hour] += tally;
    }
}

std::string burn_report::json(std::int64_t nowUnixMs) const
{
    const std::int64_t nowMinute = nowUnixMs / minuteMs;
    goldcrest::json document;
    document["revision"] = m_revision;
    document["objectives"] = goldcrest::json::object();
    for (const auto &[name, objectives] : m_objectives) {
        goldcrest::json &entry = document["objectives"][name];
        for (const objective_kind kind : allKinds) {
            const service_objective &objective = objectives[indexOf(kind)];
            entry[std::string(nameOf(kind))] = {objective.target, objective.bound.count()};
        }
    }
    document["counts"] = goldcrest::json::array();
    for (const auto &[key, values] : m_series) {
        series compacted = values;
        compact(compacted, nowMinute);
        document["counts"].push_back({{"class", key.first},
                                      {"objective", nameOf(key.second)},
                                      {"minutes", tallyArray(compacted.minutes, 0)},
                                      {"hours", tallyArray(compacted.hours, 0)}});
    }
    return document.dump(-1, ' ', false, goldcrest::json::error_handler_t::replace);
}

result<burn_report> burn_report::parse(std::string_view text)
{
    const auto document = parseJson<goldcrest::json>(text);
    if (document.is_discarded() || !document.is_object())
        return makeFailure(code::MalformedJson, "the burn report is not a JSON object");
    const auto invalidField = [](std::string field) -> result<burn_report> {
        return makeFailure(code::InvalidValue, "the burn report has a missing or invalid field",
                           std::move(field));
    };
    burn_report report;
    const auto number = document.find("revision");
    if (number != document.end()) {
        if (!number->is_number_integer())
            return invalidField("revision");
        report.m_revision = number->get<revision>();
    }
    const goldcrest::json objectives = document.value("objectives", goldcrest::json::object());
    if (!objectives.is_object() || objectives.size() > maxClasses)
        return invalidField("objectives");
    for (const auto &[name, entry] : objectives.items()) {
        for (const objective_kind kind : allKinds) {
            const std::string field(nameOf(kind));
            const bool valid = entry.is_object() && entry.contains(field)
                && readObjective(entry[field], report.m_objectives[name][indexOf(kind)]);
            if (!valid)
                return invalidField(
                    std::string("objectives.").append(name).append(".").append(field));
        }
    }
    const goldcrest::json counts = document.value("counts", goldcrest::json::array());
    if (!counts.is_array() || counts.size() > maxClasses * objectiveCount)
        return invalidField("counts");
    constexpr std::size_t maxMinutes = keptMinutes + 2 * minutesPerHour;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const goldcrest::json &item = counts[i];
        const std::string path = "counts[" + std::to_string(i) + "]";
        const bool hasNames = item.is_object() && item.contains("class")
            && item["class"].is_string() && item.contains("objective")
            && item["objective"].is_string();
        if (!hasNames)
            return invalidField(path);
        const auto kind = parseKind(item["objective"].get<std::string>());
        if (!kind)
            return invalidField(path + ".objective");
        series &values = report.m_series[{item["class"].get<std::string>(), *kind}];
        const bool valid
            = readTallies(item.value("minutes", goldcrest::json()), maxMinutes, values.minutes)
            && readTallies(item.value("hours", goldcrest::json()), keptHours + 2, values.hours);
        if (!valid)
            return invalidField(path);
    }
    return report;
}

std::vector<burn_row> burn_report::rows(std::int64_t nowUnixMs) const
{
    const std::int64_t nowMinute = nowUnixMs / minuteMs;
    std::vector<burn_row> all;
    for (const auto &[name, objectives] : m_objectives) {
        for (const objective_kind kind : allKinds) {
            const service_objective &objective = objectives[indexOf(kind)];
            if (kind != objective_kind::AnsweredWhole && objective.bound == 0ms)
                continue;
            burn_row row;
            row.className = name;
            row.kind = kind;
            row.objective = objective;
            const auto found = m_series.find({name, kind});
            const series empty;
            const series &values = found == m_series.end() ? empty : found->second;
            for (std::size_t i = 0; i < burnWindows.size(); ++i) {
                row.windows[i] = sum(values, burnWindows[i], nowMinute);
                row.rates[i] = burnRate(row.windows[i], objective.target);
            }
            if (row.rates[0] >= pageRate && row.rates[1] >= pageRate)
                row.state = burn_state::Page;
            else if (row.rates[2] >= ticketRate && row.rates[3] >= ticketRate)
                row.state = burn_state::Ticket;
            std::map<std::int64_t, burn_tally> hours = values.hours;
            for (const auto &[minute, tally] : values.minutes)
                hours[minute / minutesPerHour] += tally;
            const std::int64_t firstHour = nowMinute / minutesPerHour - keptHours + 1;
            row.hours.assign(hours.lower_bound(firstHour), hours.end());
            all.push_back(std::move(row));
        }
    }
    return all;
}

std::string renderBurnText(const burn_report &report, std::int64_t nowUnixMs)
{
    std::vector<table_row> lines{
        {"CLASS", "OBJECTIVE", "TARGET", "STATE", "5 MIN", "1 H", "6 H", "3 D", "JOBS 3 D"}};
    for (const burn_row &row : report.rows(nowUnixMs)) {
        std::vector<std::string> line{row.className, std::string(nameOf(row.kind)),
                                      formatObjective(row.kind, row.objective),
                                      std::string(stateNames[static_cast<std::size_t>(row.state)])};
        for (std::size_t i = 0; i < burnWindows.size(); ++i)
            line.push_back(formatRate(row.windows[i], row.rates[i]));
        line.push_back(std::to_string(row.windows.back().total()));
        lines.push_back(std::move(line));
    }
    return "Burn rates; a rate of 1 spends the error budget in exactly the objective's period.\n"
        + formatTable(lines);
}

} // namespace goldcrest
