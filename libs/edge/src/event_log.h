#pragma once

#include <fmt/format.h>

#include <cstdint>
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
/// Kinds of request events, each with its own limit of lines per second.
enum class request_lines : std::uint8_t {
    /// Refusals and failures.
    failures,
    /// Where requests with allowed regions are sent. Most of them succeed, so they would use up the
    /// lines of the failures.
    placements,
};

/// Counts a request event against the limit of lines per second.
/// @return false if the limit is reached and the line must be dropped.
bool request_event_allowed(request_lines kind = request_lines::failures);

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

/// Logs where a request is sent, within the limit of `request_lines::placements`.
template <typename... Args>
void log_placement_event(std::string_view name, fmt::format_string<Args...> format, Args&&... args)
{
    if (request_event_allowed(request_lines::placements)) {
        write_event(name, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace toucan::edge
