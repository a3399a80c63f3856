#include "goldcrest/history_log.h"

#include "goldcrest/clock.h"

#include <nlohmann/json.hpp>

namespace goldcrest {

namespace {

std::string jsonText(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

history_event::history_event(std::string_view name)
    : m_name(name)
{ }

history_event &history_event::job(const job_key &key)
{
    return text("team", key.team).text("request", key.requestId);
}

history_event &history_event::attempt(const attempt_id &id)
{
    return job(id.job).number("attempt", id.number);
}

history_event &history_event::text(std::string_view name, std::string_view value)
{
    m_fields += ',' + jsonText(name) + ':' + jsonText(value);
    return *this;
}

history_event &history_event::number(std::string_view name, std::int64_t value)
{
    m_fields += ',' + jsonText(name) + ':' + std::to_string(value);
    return *this;
}

std::string history_event::line(std::int64_t unixMs) const
{
    return "{\"event\":" + jsonText(m_name) + ",\"unixMs\":" + std::to_string(unixMs) + m_fields
        + '}';
}

history_log::history_log(const std::string &path)
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

void history_log::write(const history_event &event)
{
    if (m_file.is_open())
        m_file << event.line(unixTimeMs()) << std::endl;
}

std::int64_t unixTimeMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(now).count();
}

} // namespace goldcrest
