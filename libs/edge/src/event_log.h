#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>

namespace toucan::edge {

/// Starts the event log, which writes one line `event=NAME key=value ...` per event to standard
/// output. A separate thread writes the lines from a bounded queue. A stalled reader therefore does
/// not block the event loop; the oldest queued lines are dropped instead.
void start_event_log();
/// Writes the queued lines and stops the event log.
void stop_event_log();
/// Queues a line; without effect if the event log is not started.
void write_event(std::string_view name, std::string fields);
/// Counts a request event against the limit of lines per second.
/// @return false if the limit is reached and the line must be dropped.
bool request_event_allowed();

/// Logs a change of the process's state, without a rate limit.
/// @param name event name.
/// @param format fmt format string of the fields.
template <typename... Args>
void log_event(std::string_view name, fmt::format_string<Args...> format, Args&&... args)
{
    write_event(name, fmt::format(format, std::forward<Args>(args)...));
}

/// Logs a request event, unless the limit of request lines in the current second is reached.
template <typename... Args>
void log_request_event(std::string_view name, fmt::format_string<Args...> format, Args&&... args)
{
    if (request_event_allowed()) {
        write_event(name, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace toucan::edge
