#pragma once

#include "http_message.h"

#include "toucan/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::edge {

/// Why a connection of a caller ended.
enum class connection_end : std::uint8_t {
    /// The caller closed it, or it was lost.
    caller,
    /// A response announced it.
    response,
    /// The idle timeout expired.
    idle,
    /// It was idle while the process stopped.
    stop,
    /// A request was rejected without being read to its end.
    rejection,
    /// Memory or connections ran out.
    eviction,
};
inline constexpr std::size_t connection_end_count = 6;

std::string_view name_of(connection_end it);

/// Counts how the connections of one port ended, and the requests that were received and got no
/// response. Not thread-safe.
class connection_endings {
public:
    struct counters {
        std::array<std::uint64_t, connection_end_count> ended{};
        /// Complete requests without a response, by the reason for the end of their connection.
        std::array<std::uint64_t, connection_end_count> unanswered{};
        /// Bytes that arrived after the end of a connection.
        std::uint64_t discarded_bytes = 0;
        /// Accepted connections that were closed before they were read.
        std::uint64_t unread = 0;
    };

    /// Sets the name of the port in the event log.
    void set_port(std::string it) { port_ = std::move(it); }
    /// Sets the header that identifies a request in the event log.
    void set_id_header(std::string it) { id_header_ = std::move(it); }
    /// Sets whether the end of each connection is logged, as during a stop.
    void set_verbose(bool it) { verbose_ = it; }

    /// @param age time since the connection was accepted.
    /// @param requests number of requests that were started on it.
    void record_end(connection_end reason, milliseconds age, std::uint64_t requests);
    /// @param since_end time since the end of the connection; zero if the request was received
    /// before.
    void record_unanswered(connection_end reason, const parsed_request& it, milliseconds since_end);
    void record_discarded(std::size_t bytes) { counters_.discarded_bytes += bytes; }
    /// Records an accepted connection that was closed before it was read.
    void record_unread();
    [[nodiscard]] const counters& counts() const { return counters_; }
    /// Complete requests without a response, for all reasons.
    [[nodiscard]] std::uint64_t unanswered() const;
    /// The counters in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    std::string port_ = "callers";
    std::string id_header_;
    bool verbose_ = false;
    counters counters_;
};

/// Reads what is discarded at and after the end of a connection, to report the requests in it.
class discarded_input {
public:
    discarded_input(std::shared_ptr<connection_endings> endings, const clock& time,
                    connection_end reason)
        : endings_(std::move(endings)), time_(time), reason_(reason), ended_(time.now())
    {
    }

    /// Reports a request that was read but not started.
    void add(const parsed_request& it);
    /// Consumes data that was received before the end.
    void add_buffered(std::string& in);
    /// Consumes data that is received after the end.
    void add_late(std::string& in);

private:
    void find_requests(std::string& in);

    std::shared_ptr<connection_endings> endings_;
    const clock& time_;
    connection_end reason_;
    steady_time ended_;
    std::optional<request_reader> reader_;
    /// The data cannot be read as requests.
    bool unreadable_ = false;
};

} // namespace toucan::edge
