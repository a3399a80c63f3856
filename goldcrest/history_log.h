#pragma once

// Event log of a daemon, from which a history checker verifies a run of the system afterwards. Each
// event is one line of JSON with its wall-clock time in milliseconds.
//
//   history_log history("/tmp/w1.jsonl");        // an empty path writes nothing
//   history.write(history_event("start").attempt(id).number("epoch", 7));

#include "goldcrest/model.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

namespace goldcrest {

// One event: its name, then members in the order in which they are added.
class history_event
{
public:
    explicit history_event(std::string_view name);

    // Add members to the JSON object. job() adds "team" and "request"; attempt() also "attempt".
    history_event &job(const job_key &key);
    history_event &attempt(const attempt_id &id);
    history_event &text(std::string_view name, std::string_view value);
    history_event &number(std::string_view name, std::int64_t value);

    // Returns the JSON object, with the time as "unixMs".
    std::string line(std::int64_t unixMs) const;

private:
    std::string m_fields; // JSON members, each with a leading comma
    std::string m_name;
};

// Appends events to a file.
class history_log
{
public:
    // Opens a file to append to. Writes nothing if the path is empty or the file can't be opened.
    explicit history_log(const std::string &path);

    bool isOpen() const { return m_file.is_open(); }

    // Appends an event with the current time, and flushes.
    void write(const history_event &event);

private:
    std::ofstream m_file;
};

// Returns the wall-clock time in milliseconds since the Unix epoch.
std::int64_t unixTimeMs();

} // namespace goldcrest
