#pragma once

// Event history of a daemon for a history checker: JSON lines with wall-clock milliseconds.
//
//   history_log history("/tmp/w1.jsonl");        // an empty path writes nothing
//   history.write(history_event("start").attempt(id).number("epoch", 7));

#include "goldcrest/model.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

namespace goldcrest {

class history_event
{
public:
    explicit history_event(std::string_view name);

    history_event &job(const job_key &key);
    history_event &attempt(const attempt_id &id);
    history_event &text(std::string_view name, std::string_view value);
    history_event &number(std::string_view name, std::int64_t value);

    // Returns the JSON object, with the time added.
    std::string line(std::int64_t unixMs) const;

private:
    std::string m_fields; // JSON members, each with a leading comma
    std::string m_name;
};

class history_log
{
public:
    explicit history_log(const std::string &path);

    bool isOpen() const { return m_file.is_open(); }
    void write(const history_event &event);

private:
    std::ofstream m_file;
};

// Returns the wall clock in milliseconds since 1970.
std::int64_t unixTimeMs();

} // namespace goldcrest
