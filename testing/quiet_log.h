#pragma once

// Turns off logging in tests that simulate many processes in one program.

#include <cstdlib>

#include <glog/logging.h>

namespace goldcrest {

// Suppresses all messages below FATAL, unless GOLDCREST_MODEL_LOG is set.
inline void silenceLog()
{
    if (!std::getenv("GOLDCREST_MODEL_LOG"))
        FLAGS_minloglevel = google::GLOG_FATAL;
}

} // namespace goldcrest
