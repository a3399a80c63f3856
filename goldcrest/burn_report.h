#pragma once

// How fast the classes of jobs use up the error budgets of their objectives.
//
//   burn_report report;
//   report.setObjectives(config.entries, config.number);
//   report.recordFinished(job, unixTimeMs());                    // each entry, per job
//   response.body = report.json(unixTimeMs());
//
//   report.merge(valueOf(burn_report::parse(answerOfAnotherEntry)));
//   std::cout << renderBurnText(report, unixTimeMs());
//
// A burn rate of 1 uses the budget, the share of jobs that may miss the objective, exactly up over
// the objective's period. Counts are kept per minute for six hours and per hour for three days.

#include "goldcrest/catalogue.h"
#include "goldcrest/clock.h"
#include "goldcrest/outcome.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

enum class objective_kind { StartDelay, Completion, AnsweredWhole };

constexpr std::size_t objectiveCount = 3;
constexpr std::array<duration, 4> burnWindows{5min, 1h, 6h, 72h};

std::string_view nameOf(objective_kind kind);

struct burn_tally
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    std::uint64_t total() const { return good + bad; }
    burn_tally &operator+=(const burn_tally &other)
    {
        good += other.good;
        bad += other.bad;
        return *this;
    }
};

// A job that has its outcome, as the objectives see it.
struct measured_job
{
    std::string className;
    std::optional<duration> startDelay; // from acceptance; empty if it never started
    duration completion = 0ms; // from acceptance to the outcome
    job_outcome outcome = job_outcome::Completed;
    bool cancelled = false; // by the caller: counts for AnsweredWhole only
    bool answeredWhole = true; // the outcome is known, and the result complete if there is one
};

enum class burn_state {
    Ok,
    Ticket, // the budget is used up within its period: 6 h and 3 d windows burn above 1
    Page, // it is used up within days: 5 min and 1 h windows burn above 14.4
};

// One objective of one class.
struct burn_row
{
    std::string className;
    objective_kind kind = objective_kind::StartDelay;
    service_objective objective;
    std::array<burn_tally, burnWindows.size()> windows;
    std::array<double, burnWindows.size()> rates{};
    burn_state state = burn_state::Ok;
    std::vector<std::pair<std::int64_t, burn_tally>> hours; // unix hour, oldest first
};

class burn_report
{
public:
    // Takes the objectives of a configuration; a lower revision than the present one is ignored.
    void setObjectives(const catalogue &entries, revision number);

    void recordFinished(const measured_job &job, std::int64_t unixMs);
    void record(std::string_view className, objective_kind kind, bool good, std::int64_t unixMs);

    // Adds the counts of another process.
    void merge(const burn_report &other);

    std::string json(std::int64_t nowUnixMs) const;

    // Errors: MalformedJson, InvalidValue.
    static result<burn_report> parse(std::string_view text);

    // Returns one row for each objective that has a target and a bound, by class and kind.
    std::vector<burn_row> rows(std::int64_t nowUnixMs) const;

private:
    struct series
    {
        std::map<std::int64_t, burn_tally> minutes; // by unix minute
        std::map<std::int64_t, burn_tally> hours; // by unix hour, of older minutes
    };
    using series_key = std::pair<std::string, objective_kind>;

    static void fold(series &values, std::int64_t nowMinute);
    burn_tally sum(const series &values, duration window, std::int64_t nowMinute) const;

    std::map<std::string, std::array<service_objective, objectiveCount>> m_objectives;
    revision m_revision = 0;
    std::map<series_key, series> m_series;
};

// Returns bad / total as a multiple of the budget 1 - target; 0 without jobs.
double burnRate(const burn_tally &tally, double target);

// A table for a terminal.
std::string renderBurnText(const burn_report &report, std::int64_t nowUnixMs);

// One HTML page with inline SVG plots that loads nothing else.
std::string renderBurnHtml(const burn_report &report, std::int64_t nowUnixMs);

} // namespace goldcrest
