#pragma once

// Burn rates of service-level objectives: how fast each class of jobs spends its error budgets.
//
// Each entry counts its own jobs and serves the counts as JSON:
//
//   burn_report report;
//   report.setObjectives(config.entries, config.number);
//   report.recordFinished(job, unixTimeMs());
//   response.body = report.json(unixTimeMs());
//
// A tool merges the counts of all entries:
//
//   report.merge(valueOf(burn_report::parse(bodyFromEntry)));
//   std::cout << renderBurnText(report, unixTimeMs());
//
// The error budget is the share of jobs that may miss an objective. A burn rate of 1 spends it in
// exactly the period of the objective. Counts are kept per minute for six hours and per hour for
// three days. Points in time are unix milliseconds.

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

enum class objective_kind {
    StartDelay, // the job started within a bound after its acceptance
    Completion, // the job completed within a bound after its acceptance
    AnsweredWhole // the outcome is known, and the result complete if there is one
};

constexpr std::size_t objectiveCount = 3;

// Windows over which burn rates are calculated, shortest first.
constexpr std::array<duration, 4> burnWindows{5min, 1h, 6h, 72h};

// Returns the name of an objective in JSON, such as "startDelay".
std::string_view nameOf(objective_kind kind);

// Numbers of jobs that met and that missed an objective.
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

// A finished job, with what its objectives depend on.
struct finished_job
{
    std::string className;
    std::optional<duration> startDelay; // from acceptance; empty if it never started
    duration completion = 0ms; // from acceptance to the outcome
    job_outcome outcome = job_outcome::Completed;
    bool cancelled = false; // by the caller; counted for AnsweredWhole only
    bool answeredWhole = true; // the outcome is known, and the result complete if there is one
};

// Alert level of an objective.
enum class burn_state {
    Ok,
    Ticket, // burn rate of at least 1 over 6 h and 3 d: the budget runs out within its period
    Page, // burn rate of at least 14.4 over 5 min and 1 h: the budget runs out within days
};

// Burn rates of one objective of one class. Windows and rates are in the order of burnWindows.
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

// Objectives of the classes, and the numbers of jobs that met or missed them.
class burn_report
{
public:
    // Replaces the objectives by those of a configuration; ignored if its revision is lower than
    // the current one.
    void setObjectives(const catalogue &entries, revision number);

    // Counts a finished job for each objective of its class.
    void recordFinished(const finished_job &job, std::int64_t unixMs);

    // Counts one job for one objective. Ignored if the limit of 200 classes is reached and the
    // class and objective are new.
    void record(std::string_view className, objective_kind kind, bool good, std::int64_t unixMs);

    // Adds the counts of another process, and takes over its objectives if their revision is
    // higher.
    void merge(const burn_report &other);

    // Returns the objectives and counts as JSON, in the form that parse() reads.
    std::string json(std::int64_t nowUnixMs) const;

    // Parses the JSON of another process.
    // Errors: MalformedJson if it is not a JSON object; InvalidValue if a field is invalid or there
    // are too many classes or counts.
    static result<burn_report> parse(std::string_view text);

    // Returns the burn rates at `nowUnixMs`, sorted by class and kind. StartDelay and Completion
    // have a row only if their bound is set.
    std::vector<burn_row> rows(std::int64_t nowUnixMs) const;

private:
    struct series
    {
        std::map<std::int64_t, burn_tally> minutes; // by unix minute
        std::map<std::int64_t, burn_tally> hours; // by unix hour, for minutes that were compacted
    };
    using series_key = std::pair<std::string, objective_kind>;

    // Moves counts per minute that are older than six hours to counts per hour, and removes counts
    // per hour that are older than three days.
    static void compact(series &values, std::int64_t nowMinute);

    // Returns the counts of the window that ends with `nowMinute`.
    burn_tally sum(const series &values, duration window, std::int64_t nowMinute) const;

    std::map<std::string, std::array<service_objective, objectiveCount>> m_objectives;
    revision m_revision = 0;
    std::map<series_key, series> m_series;
};

// Returns bad / total as a multiple of the error budget, 1 - target: 0 if no job missed the
// objective, infinity if one did and the target is 1.
double burnRate(const burn_tally &tally, double target);

// Returns the burn rates as a table for a terminal.
std::string renderBurnText(const burn_report &report, std::int64_t nowUnixMs);

// Returns the burn rates as one HTML page with inline SVG plots, which needs no other resources.
std::string renderBurnHtml(const burn_report &report, std::int64_t nowUnixMs);

} // namespace goldcrest
