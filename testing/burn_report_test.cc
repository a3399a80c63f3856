#include "goldcrest/burn_report.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

constexpr std::int64_t minuteMs = 60'000;
constexpr std::int64_t hourMs = 60 * minuteMs;
constexpr std::int64_t start = 500'000 * hourMs;

catalogue oneClass(const std::string &name)
{
    catalogue entries;
    class_entry &entry = entries.classes[name];
    entry.name = name;
    entry.startDelay = {0.9, 3000ms};
    entry.completion = {0.99, 60000ms};
    entry.answeredWhole = {0.999, 0ms};
    return entries;
}

void recordMany(burn_report &report, int good, int bad, std::int64_t at)
{
    for (int i = 0; i < good + bad; ++i)
        report.record("urgent", objective_kind::StartDelay, i < good, at);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(burn_report){};

// Guards against wrong arithmetic of rates and windows, with expected values calculated by hand.
TEST(burn_report, sumsTheWindows)
{
    burn_report report;
    report.setObjectives(oneClass("urgent"), 1);
    const std::int64_t now = start + 71 * hourMs;
    recordMany(report, 90, 10, now); // in all windows
    recordMany(report, 80, 20, now - 4 * minuteMs); // the last minute of the 5 min window
    recordMany(report, 0, 50, now - 5 * minuteMs); // not in the 5 min window
    recordMany(report, 100, 0, now - 3 * hourMs); // in 6 h and 3 d
    recordMany(report, 0, 100, now - 60 * hourMs); // in 3 d only
    const burn_row row = report.rows(now).at(0);
    LONGS_EQUAL(200, row.windows[0].total());
    LONGS_EQUAL(250, row.windows[1].total());
    LONGS_EQUAL(350, row.windows[2].total());
    LONGS_EQUAL(450, row.windows[3].total());
    DOUBLES_EQUAL(1.5, row.rates[0], 1e-9); // 30 of 200 against a budget of 10%
    DOUBLES_EQUAL(3.2, row.rates[1], 1e-9); // 80 of 250
    DOUBLES_EQUAL(80.0 / 35, row.rates[2], 1e-9);
    DOUBLES_EQUAL(4.0, row.rates[3], 1e-9); // 180 of 450
    CHECK(row.state == burn_state::Ticket);
    DOUBLES_EQUAL(0, burnRate({}, 0.9), 0);
    CHECK(burnRate({99, 1}, 1) > 1e9);
}

// Guards against counts that are lost or doubled when minutes are folded into hours, and against
// memory that grows with time.
TEST(burn_report, keepsThreeDaysWithBoundedSize)
{
    burn_report report;
    report.setObjectives(oneClass("urgent"), 1);
    constexpr std::int64_t days = 5;
    const std::int64_t end = start + days * 24 * hourMs - minuteMs;
    for (std::int64_t at = start; at <= end; at += minuteMs)
        recordMany(report, 1, 0, at);
    const burn_row row = report.rows(end).at(0);
    LONGS_EQUAL(5, row.windows[0].total());
    LONGS_EQUAL(60, row.windows[1].total());
    LONGS_EQUAL(360, row.windows[2].total());
    LONGS_EQUAL(72 * 60, row.windows[3].total());
    LONGS_EQUAL(72, row.hours.size());
    CHECK(report.json(end).size() < 20'000);
}

// Guards against a merge of two reports that differs from one report of all records, and against a
// JSON format that loses counts.
TEST(burn_report, mergesProcessesThroughJson)
{
    burn_report first;
    burn_report second;
    burn_report whole;
    const std::int64_t now = start + 100 * hourMs;
    for (burn_report *report : {&first, &whole})
        report->setObjectives(oneClass("urgent"), 7);
    second.setObjectives(oneClass("older"), 6);
    for (int i = 0; i < 200; ++i) {
        const std::int64_t at = now - i * 23 * minuteMs;
        burn_report &one = i % 3 == 0 ? first : second;
        recordMany(one, 3, i % 2, at);
        recordMany(whole, 3, i % 2, at);
    }
    auto merged = burn_report::parse(second.json(now));
    CHECK(!failureOf(merged));
    valueOf(merged).merge(valueOf(burn_report::parse(first.json(now))));
    const burn_row expected = whole.rows(now).at(0);
    const burn_row row = valueOf(merged).rows(now).at(0);
    STRCMP_EQUAL("urgent", row.className.c_str());
    for (std::size_t i = 0; i < burnWindows.size(); ++i) {
        LONGS_EQUAL(expected.windows[i].good, row.windows[i].good);
        LONGS_EQUAL(expected.windows[i].bad, row.windows[i].bad);
    }
}

// Guards against accepting an invalid report from another process.
TEST(burn_report, refusesInvalidJson)
{
    for (const char *text :
         {"", "[]", R"({"revision":"x"})", R"({"objectives":{"a":{}}})",
          R"({"objectives":{"a":{"startDelay":[2,1],"completion":[1,1],"answeredWhole":[1,1]}}})",
          R"({"counts":[{"class":"a","objective":"x","minutes":[],"hours":[]}]})",
          R"({"counts":[{"class":"a","objective":"completion","minutes":[[1,-1,0]],"hours":[]}]})"})
        CHECK(failureOf(burn_report::parse(text)) != nullptr);
    CHECK(!failureOf(burn_report::parse("{}")));
}

// Guards against jobs that are counted for the wrong objective.
TEST(burn_report, countsJobsAgainstTheirObjectives)
{
    burn_report report;
    report.setObjectives(oneClass("urgent"), 1);
    report.recordFinished({"urgent", 3000ms, 60000ms}, start); // meets all objectives
    report.recordFinished({"urgent", 3001ms, 60001ms}, start); // misses both time bounds by 1 ms
    finished_job failed{"urgent", 1ms, 2ms, job_outcome::Failed};
    report.recordFinished(failed, start);
    finished_job unknown{"urgent", std::nullopt, 2ms, job_outcome::Unknown};
    unknown.answeredWhole = false;
    report.recordFinished(unknown, start);
    finished_job cancelled{"urgent", std::nullopt, 2ms, job_outcome::NotRun};
    cancelled.cancelled = true;
    report.recordFinished(cancelled, start);
    const std::vector<burn_row> rows = report.rows(start);
    LONGS_EQUAL(3, rows.size());
    LONGS_EQUAL(2, rows[0].windows[0].good);
    LONGS_EQUAL(2, rows[0].windows[0].bad);
    LONGS_EQUAL(1, rows[1].windows[0].good);
    LONGS_EQUAL(3, rows[1].windows[0].bad);
    LONGS_EQUAL(4, rows[2].windows[0].good);
    LONGS_EQUAL(1, rows[2].windows[0].bad);
}

// Guards against output without a row, and against HTML that does not escape class names or loads
// external resources.
TEST(burn_report, rendersTextAndHtml)
{
    burn_report report;
    report.setObjectives(oneClass("<b>&"), 1);
    report.record("<b>&", objective_kind::StartDelay, false, start);
    const std::string text = renderBurnText(report, start);
    CHECK(
        contains(text, "<b>&   startDelay     90% in 3 s   ticket  10.00  10.00  10.00  10.00  1"));
    const std::string html = renderBurnHtml(report, start);
    CHECK(contains(html, "<td>&lt;b&gt;&amp;</td><td>startDelay</td><td>0.9</td><td>3 s</td>"));
    CHECK(contains(html, "1 of 1 jobs missed, burn rate 10"));
    CHECK(!contains(html, "<b>"));
    CHECK(!contains(html, "http"));
}
