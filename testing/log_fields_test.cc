#include "goldcrest/log_fields.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(log_fields){};

// Guards against a changed order or name of fields, on which searches in logs depend.
TEST(log_fields, keepsTheOrderOfTheFields)
{
    const log_line line = log_line(log_level::Warning, "start refused")
                              .peer("10.0.0.3:7100")
                              .error(makeFailure(code::StaleEpoch, "an older planner", "epoch"))
                              .atRevision(7)
                              .atEpoch(12)
                              .attempt({{"routes", "r1"}, 2});
    STRCMP_EQUAL("event=\"start refused\" team=routes request=r1 attempt=2 epoch=12 revision=7 "
                 "code=600 error=StaleEpoch field=epoch reason=\"an older planner\" "
                 "peer=10.0.0.3:7100",
                 line.text().c_str());
}

// Guards against log injection: external values that forge a field or a second line.
TEST(log_fields, quotesValuesFromOutside)
{
    const log_line line
        = log_line(log_level::Info, "seen").job({"a\" code=0", "r\nevent=x"}).field("empty", "");
    STRCMP_EQUAL("event=seen team=\"a\\\" code=0\" request=\"r\\x0aevent=x\" empty=\"\"",
                 line.text().c_str());
}

// Guards against a repeated fault that fills the disk, and against uncounted suppressed
// lines.
TEST(log_fields, limitsLinesOfOneKey)
{
    log_limiter limiter;
    time_point now{};
    std::uint64_t suppressed = 0;
    int written = 0;
    constexpr int lines = 100;
    for (int i = 0; i < lines; ++i)
        written += limiter.admit("link closed/10.0.0.3", now, suppressed) ? 1 : 0;
    LONGS_EQUAL(log_limiter::linesPerInterval, written);
    CHECK(limiter.admit("link closed/10.0.0.4", now, suppressed));
    LONGS_EQUAL(0, suppressed);
    now += log_limiter::interval;
    CHECK(limiter.admit("link closed/10.0.0.3", now, suppressed));
    LONGS_EQUAL(lines - log_limiter::linesPerInterval, suppressed);
}

// Guards against refusals that can't be found in the log, since others of the same kind used up the
// limit.
TEST(log_fields, limitMayBeChosenByTheCaller)
{
    log_limiter limiter;
    std::uint64_t suppressed = 0;
    int written = 0;
    constexpr std::int32_t lines = 3 * log_limiter::linesPerInterval;
    for (int i = 0; i < 100; ++i)
        written += limiter.admit("refused", time_point{}, suppressed, lines) ? 1 : 0;
    LONGS_EQUAL(lines, written);
}

// Guards against external keys that exhaust the memory: keys above maxKeys share one limit.
TEST(log_fields, boundsTheKeys)
{
    log_limiter limiter;
    std::uint64_t suppressed = 0;
    std::size_t written = 0;
    for (std::size_t i = 0; i < 2 * log_limiter::maxKeys; ++i)
        written += limiter.admit(std::to_string(i), time_point{}, suppressed) ? 1 : 0;
    LONGS_EQUAL(log_limiter::maxKeys + log_limiter::linesPerInterval, written);
}
