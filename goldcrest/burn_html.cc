#include "goldcrest/burn_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <sstream>

namespace goldcrest {

namespace {

constexpr std::int64_t hourMs = 3'600'000;
constexpr std::int64_t plottedHours = 72;
constexpr int plotWidth = 432; // 6 SVG units per hour
constexpr int plotHeight = 96;
constexpr int hourWidth = plotWidth / static_cast<int>(plottedHours);
constexpr double maxPlottedRate = 100;

constexpr const char *pageStyle = R"(
:root { color-scheme: light dark; --ink: #1c2733; --paper: #fff; --soft: #66727f; --line: #d5dbe1;
  --ok: #2f7d4f; --ticket: #b26a00; --page: #b3261e; }
@media (prefers-color-scheme: dark) { :root { --ink: #e3e8ed; --paper: #14191e; --soft: #97a3ae;
  --line: #36414b; --ok: #6cc08b; --ticket: #f0b04f; --page: #f2827b; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink); background: var(--paper);
  margin: 2rem auto; max-width: 60rem; padding: 0 1rem; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin: 2rem 0 .5rem; }
p, figcaption { color: var(--soft); }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: right; padding: .3rem .6rem; border-bottom: 1px solid var(--line);
  font-variant-numeric: tabular-nums; }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left; }
.ok { color: var(--ok); } .ticket { color: var(--ticket); } .page { color: var(--page); }
figure { margin: 1rem 0; } svg { width: 100%; height: auto; }
svg text { fill: var(--soft); font: 9px system-ui, sans-serif; }
.grid { stroke: var(--line); } .budget { stroke: var(--ticket); stroke-dasharray: 4 3; }
.bar { fill: var(--ok); } .bar.over { fill: var(--page); }
)";

constexpr std::array<const char *, 3> stateNames{"ok", "ticket", "page"};

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string formatNumber(double value)
{
    std::array<char, 40> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.4g", value);
    return buffer.data();
}

std::string formatUtcTime(std::int64_t unixMs)
{
    const std::time_t seconds = unixMs / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> buffer{};
    std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M UTC", &parts);
    return buffer.data();
}

// Returns the height of a burn rate in the plot. The scale is logarithmic from 0.01 to 100, so a
// rate of 1 is at half of the height.
double barHeight(double rate)
{
    constexpr double minPlottedRate = 0.01;
    constexpr double decades = 4;
    if (rate <= minPlottedRate)
        return 0;
    const double clampedRate = std::min(rate, maxPlottedRate);
    return std::log10(clampedRate / minPlottedRate) / decades * plotHeight;
}

// Writes one bar for each of the last 72 hours in which jobs were counted.
void writePlot(std::ostream &out, const burn_row &row, std::int64_t nowHour)
{
    constexpr int leftMargin = 34;
    constexpr int bottomMargin = 16;
    out << "<figure><svg viewBox=\"0 0 " << plotWidth + leftMargin << ' '
        << plotHeight + bottomMargin << "\" role=\"img\" aria-label=\"Burn rate of "
        << escapeHtml(row.className) << ' ' << nameOf(row.kind) << " by hour\">\n";
    for (const double rate : {0.01, 0.1, 1.0, 10.0, 100.0}) {
        const double y = plotHeight - barHeight(rate);
        out << "<line class=\"" << (rate == 1.0 ? "budget" : "grid") << "\" x1=\"" << leftMargin
            << "\" x2=\"" << leftMargin + plotWidth << "\" y1=\"" << y << "\" y2=\"" << y
            << "\"/><text x=\"0\" y=\"" << std::max(y + 3, 8.0) << "\">" << rate << "</text>\n";
    }
    for (const auto &[hour, tally] : row.hours) {
        const double rate = burnRate(tally, row.objective.target);
        const double height = std::max(barHeight(rate), 1.0);
        const std::int64_t column = plottedHours - 1 - (nowHour - hour);
        if (column < 0 || column >= plottedHours)
            continue;
        out << "<rect class=\"" << (rate > 1 ? "bar over" : "bar") << "\" x=\""
            << leftMargin + column * hourWidth << "\" y=\"" << plotHeight - height << "\" width=\""
            << hourWidth - 1 << "\" height=\"" << height << "\"><title>"
            << formatUtcTime(hour * hourMs) << ": " << tally.bad << " of " << tally.total()
            << " jobs missed, burn rate " << formatNumber(rate) << "</title></rect>\n";
    }
    constexpr std::int64_t labelIntervalHours = 24;
    for (std::int64_t hoursAgo = labelIntervalHours; hoursAgo <= plottedHours;
         hoursAgo += labelIntervalHours)
        out << "<text x=\"" << leftMargin + (plottedHours - hoursAgo) * hourWidth << "\" y=\""
            << plotHeight + bottomMargin - 3 << "\">-" << hoursAgo << " h</text>\n";
    out << "</svg><figcaption>" << nameOf(row.kind)
        << ", burn rate by hour</figcaption></figure>\n";
}

void writeTable(std::ostream &out, const std::vector<burn_row> &rows)
{
    out << "<table><thead><tr><th>class</th><th>objective</th><th>target</th><th>bound</th>"
           "<th>5 min</th><th>1 h</th><th>6 h</th><th>3 d</th><th>jobs in 3 d</th><th>state</th>"
           "</tr></thead><tbody>\n";
    for (const burn_row &row : rows) {
        const char *state = stateNames[static_cast<std::size_t>(row.state)];
        const bool hasBound = row.kind != objective_kind::AnsweredWhole;
        const double boundSeconds = std::chrono::duration<double>(row.objective.bound).count();
        out << "<tr><td>" << escapeHtml(row.className) << "</td><td>" << nameOf(row.kind)
            << "</td><td>" << formatNumber(row.objective.target) << "</td><td>"
            << (hasBound ? fmt::format("{} s", boundSeconds) : "") << "</td>";
        for (std::size_t i = 0; i < row.windows.size(); ++i)
            out << "<td>" << (row.windows[i].total() > 0 ? formatNumber(row.rates[i]) : "-")
                << "</td>";
        out << "<td>" << row.windows.back().total() << "</td><td class=\"" << state << "\">"
            << state << "</td></tr>\n";
    }
    out << "</tbody></table>\n";
}

} // namespace

std::string renderBurnHtml(const burn_report &report, std::int64_t nowUnixMs)
{
    const std::vector<burn_row> rows = report.rows(nowUnixMs);
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<meta name=\"viewport\" content=\"width=device-width\"><title>Burn report</title>"
           "<style>"
        << pageStyle << "</style></head><body>\n<h1>Burn report</h1>\n<p>"
        << formatUtcTime(nowUnixMs)
        << ". A burn rate of 1 spends the error budget of an objective in exactly its period. "
           "<em>page</em>: the burn rate is at least 14.4 over the last 5 minutes and the last "
           "hour. <em>ticket</em>: it is at least 1 over the last 6 hours and the last 3 "
           "days.</p>\n";
    writeTable(out, rows);
    std::string className;
    for (const burn_row &row : rows) {
        if (row.className != className) {
            className = row.className;
            out << "<h2>" << escapeHtml(className) << "</h2>\n";
        }
        writePlot(out, row, nowUnixMs / hourMs);
    }
    out << "</body></html>\n";
    return out.str();
}

} // namespace goldcrest
