#pragma once

// Structured log lines of name=value fields, one line per event, written with glog.
//
//   log_line(log_level::Warning, "link closed").peer(address).error(cause).limit(address).write();
//
// gives: event="link closed" code=605 error=MalformedMessage field=kind reason="..."
// peer=10.0.0.3:7
//
// The order of the fields is fixed: event, team, request, attempt, epoch, revision, code, error,
// field, reason, then all others in the order in which they were added.

#include "goldcrest/clock.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace goldcrest {

enum class log_level { Info, Warning, Error };

// Rate limiter for log lines: admits a few lines of the same key per interval and counts the
// others.
class log_limiter
{
public:
    static constexpr std::int32_t linesPerInterval = 5;
    static constexpr duration interval = 10s;
    // Further keys share one key, which bounds the memory.
    static constexpr std::size_t maxKeys = 4096;

    // Returns whether a line may be written now.
    // @param suppressed set to the number of lines not admitted since the last admitted one;
    // unchanged if this line is not admitted
    // @param lines how many lines of this key one interval admits
    bool admit(std::string_view key, time_point now, std::uint64_t &suppressed,
               std::int32_t lines = linesPerInterval);

private:
    struct key_state
    {
        time_point start;
        std::int32_t written = 0;
        std::uint64_t suppressed = 0;
    };
    key_state &find(std::string_view key, time_point now);

    std::map<std::string, key_state, std::less<>> m_keys;
};

// One log line. The functions that add fields return the line, so that calls can be chained; a
// field that is not set is left out.
class log_line
{
public:
    log_line(log_level level, std::string_view event);

    log_line &job(const job_key &job);
    log_line &attempt(const attempt_id &attempt);
    log_line &atEpoch(epoch number);
    log_line &atRevision(revision number);
    log_line &error(const failure &cause);
    log_line &peer(std::string_view address);
    log_line &field(std::string_view name, std::string_view value);
    log_line &field(std::string_view name, std::int64_t value);

    // Rate-limits lines of this event with the same key, for faults that may repeat quickly. The
    // next line that is written has the number of suppressed lines in the field `suppressed`.
    // @param lines how many lines of this event and key are written per log_limiter::interval
    log_line &limit(std::string_view key, std::int32_t lines = log_limiter::linesPerInterval);

    // Returns the fields of the line, without the prefix that glog adds.
    std::string text() const;

    // Writes the line, unless its level is too low or limit() suppresses it. May be called from any
    // thread.
    void write();

private:
    log_level m_level;
    std::string m_event;
    std::string m_team;
    std::string m_request;
    std::string m_attempt;
    std::string m_epoch;
    std::string m_revision;
    std::string m_code;
    std::string m_error;
    std::string m_errorField;
    std::string m_reason;
    std::string m_otherFields;
    std::string m_limitKey;
    bool m_limited = false;
    std::int32_t m_limitLines = 0;
};

// Starts glog. Logs go to files in `directory`, or to standard output if it is empty.
// @param program name of the program, part of the file names
// @param minLevel lowest glog severity that is written, from 0 (info) to 3 (fatal)
void startLog(std::string_view program, const std::string &directory, int minLevel);

} // namespace goldcrest
