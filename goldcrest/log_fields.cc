#include "goldcrest/log_fields.h"

#include <fmt/format.h>
#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <ctime>
#include <mutex>

namespace goldcrest {

namespace {

bool needsQuotes(std::string_view value)
{
    for (const char c : value) {
        const bool plain = c > ' ' && c < '\x7f' && c != '"' && c != '\\' && c != '=';
        if (!plain)
            return true;
    }
    return value.empty();
}

// Quotes and escapes a value, so that untrusted input can't forge a field or a second line.
void appendQuoted(std::string &out, std::string_view value)
{
    constexpr char digits[] = "0123456789abcdef";
    out += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < 0x20 || byte == 0x7f) {
            out += "\\x";
            out += digits[byte >> 4];
            out += digits[byte & 0xf];
        } else {
            out += c;
        }
    }
    out += '"';
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    if (!out.empty())
        out += ' ';
    out += name;
    out += '=';
    if (needsQuotes(value))
        appendQuoted(out, value);
    else
        out += value;
}

void appendIfSet(std::string &out, std::string_view name, std::string_view value)
{
    if (!value.empty())
        appendField(out, name, value);
}

google::LogSeverity severityOf(log_level level)
{
    switch (level) {
    case log_level::Info:
        return google::GLOG_INFO;
    case log_level::Warning:
        return google::GLOG_WARNING;
    case log_level::Error:
        break;
    }
    return google::GLOG_ERROR;
}

// Asks the rate limiter of the process. See log_limiter::admit().
bool admitLine(std::string_view key, std::int32_t lines, std::uint64_t &suppressed)
{
    static std::mutex guard;
    static log_limiter limiter;
    const std::lock_guard<std::mutex> lock(guard);
    return limiter.admit(key, boot_clock().now(), suppressed, lines);
}

} // namespace

log_limiter::key_state &log_limiter::find(std::string_view key, time_point now)
{
    const auto found = m_keys.find(key);
    if (found != m_keys.end())
        return found->second;
    if (m_keys.size() >= maxKeys) {
        for (auto it = m_keys.begin(); it != m_keys.end();) {
            const bool expired = now - it->second.start >= interval && it->second.suppressed == 0;
            it = expired ? m_keys.erase(it) : std::next(it);
        }
    }
    const std::string_view used = m_keys.size() >= maxKeys ? std::string_view{} : key;
    return m_keys.try_emplace(std::string(used), key_state{now, 0, 0}).first->second;
}

bool log_limiter::admit(std::string_view key, time_point now, std::uint64_t &suppressed,
                        std::int32_t lines)
{
    key_state &state = find(key, now);
    if (now - state.start >= interval) {
        state.start = now;
        state.written = 0;
    }
    if (state.written >= lines) {
        ++state.suppressed;
        return false;
    }
    ++state.written;
    suppressed = state.suppressed;
    state.suppressed = 0;
    return true;
}

log_line::log_line(log_level level, std::string_view event)
    : m_level(level)
    , m_event(event)
{ }

log_line &log_line::job(const job_key &job)
{
    m_team = job.team;
    m_request = job.requestId;
    return *this;
}

log_line &log_line::attempt(const attempt_id &attempt)
{
    m_attempt = std::to_string(attempt.number);
    return job(attempt.job);
}

log_line &log_line::atEpoch(epoch number)
{
    m_epoch = std::to_string(number);
    return *this;
}

log_line &log_line::atRevision(revision number)
{
    m_revision = std::to_string(number);
    return *this;
}

log_line &log_line::error(const failure &cause)
{
    m_code = std::to_string(static_cast<int>(cause.number));
    m_error = nameOf(cause.number);
    m_errorField = cause.field;
    m_reason = cause.reason;
    return *this;
}

log_line &log_line::peer(std::string_view address)
{
    return field("peer", address);
}

log_line &log_line::field(std::string_view name, std::string_view value)
{
    appendField(m_otherFields, name, value);
    return *this;
}

log_line &log_line::field(std::string_view name, std::int64_t value)
{
    return field(name, std::string_view(std::to_string(value)));
}

log_line &log_line::limit(std::string_view key, std::int32_t lines)
{
    m_limited = true;
    m_limitLines = lines;
    m_limitKey = m_event;
    m_limitKey += '/';
    m_limitKey += key;
    return *this;
}

std::string log_line::text() const
{
    std::string out;
    appendField(out, "event", m_event);
    appendIfSet(out, "team", m_team);
    appendIfSet(out, "request", m_request);
    appendIfSet(out, "attempt", m_attempt);
    appendIfSet(out, "epoch", m_epoch);
    appendIfSet(out, "revision", m_revision);
    appendIfSet(out, "code", m_code);
    appendIfSet(out, "error", m_error);
    appendIfSet(out, "field", m_errorField);
    appendIfSet(out, "reason", m_reason);
    if (!m_otherFields.empty()) {
        out += ' ';
        out += m_otherFields;
    }
    return out;
}

void log_line::write()
{
    if (static_cast<int>(severityOf(m_level)) < FLAGS_minloglevel)
        return;
    std::uint64_t suppressed = 0;
    if (m_limited && !admitLine(m_limitKey, m_limitLines, suppressed))
        return;
    if (suppressed > 0)
        field("suppressed", static_cast<std::int64_t>(suppressed));
    const std::string line = text();
    google::LogMessage(__FILE__, __LINE__, severityOf(m_level)).stream() << line;
}

namespace {

// PIPE_BUF of Linux. A write of up to this size to a pipe that is ready for writing does not block.
constexpr std::size_t maxLineBytes = 4096;

// Writes lines to standard output. Drops them while the reader of a pipe does not keep up, so that
// logging never blocks the program, and reports their number with the next line.
class output_sink final : public google::LogSink
{
public:
    void send(google::LogSeverity severity, const char *, const char *, int,
              const google::LogMessageTime &at, const char *text, std::size_t size) override
    {
        if (!isReady()) {
            ++m_withheld;
            return;
        }
        const std::tm &time = at.tm();
        std::string line = fmt::format("{} {:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03} {}",
                                       google::GetLogSeverityName(severity)[0], time.tm_year + 1900,
                                       time.tm_mon + 1, time.tm_mday, time.tm_hour, time.tm_min,
                                       time.tm_sec, at.usec() / 1000, std::string_view(text, size));
        if (const std::uint64_t withheld = m_withheld.exchange(0); withheld > 0)
            line += fmt::format(" lines_withheld={}", withheld);
        if (line.size() >= maxLineBytes)
            line.resize(maxLineBytes - 1);
        line += '\n';
        // A failed write can't be reported anywhere, so the line is lost.
        [[maybe_unused]] const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    }

private:
    static bool isReady()
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

    std::atomic<std::uint64_t> m_withheld{0};
};

} // namespace

void startLog(std::string_view program, const std::string &directory, int minLevel)
{
    // Static, since glog keeps pointers to the program's name and to the sink.
    static std::string name;
    static output_sink output;
    name = program;
    FLAGS_minloglevel = minLevel;
    if (!directory.empty()) {
        FLAGS_log_dir = directory;
    } else {
        for (const google::LogSeverity severity :
             {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL})
            google::SetLogDestination(severity, "");
        FLAGS_stderrthreshold = google::GLOG_FATAL;
        google::AddLogSink(&output);
    }
    google::InitGoogleLogging(name.c_str());
}

} // namespace goldcrest
