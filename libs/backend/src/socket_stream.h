#pragma once

#include "toucan/backend/cancellation.h"
#include "toucan/base/clock.h"
#include "toucan/operations/dispatch_guard.h"

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace toucan::backend {

/// One HTTP exchange on a connected socket. Sends a prepared request text and passes the response
/// to cpp-httplib for parsing.
///
/// The stream discards the request that cpp-httplib writes and sends the prepared text: cpp-httplib
/// would add `User-Agent`, `Accept` and `Content-Type` headers that the caller did not send. The
/// response head is kept as received, because cpp-httplib decodes percent signs in header values.
class socket_stream final : public httplib::Stream {
public:
    /// Cause of a failed exchange. An oversized response head is a `connection_error`.
    enum class failure { none, denied, deadline, cancelled, closed, connection_error };

    /// The socket, the text and the objects passed by reference or pointer must outlive the stream,
    /// which does not close the socket.
    /// @param guard checked right before the first byte is written.
    /// @param cancel may be null.
    socket_stream(socket_t sock, std::string_view request_text, const clock& time,
                  steady_time deadline, const operations::dispatch_guard& guard,
                  const cancellation* cancel);

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override { return sock_; }

    /// Whether the kernel accepted at least one byte of the request.
    [[nodiscard]] bool has_sent_bytes() const { return bytes_sent_ > 0; }
    /// Whether the buffer has received bytes that were not read. After a complete response, these
    /// belong to no request.
    [[nodiscard]] bool has_unread_bytes() const { return buffer_begin_ < buffer_end_; }
    [[nodiscard]] failure first_failure() const { return failure_; }
    /// Response head as received, without the heads of interim responses.
    [[nodiscard]] const std::string& head() const { return head_; }
    /// Marks the response head as complete; further bytes belong to the body.
    void begin_body() { in_head_ = false; }

private:
    /// Checks the guard and sends the request.
    bool send_request();
    /// Waits for poll events until the deadline or cancellation.
    bool wait_for(short events);
    /// Keeps the first failure. Always returns false.
    bool record_failure(failure it);

    socket_t sock_;
    std::string_view request_text_;
    const clock& clock_;
    steady_time deadline_;
    const operations::dispatch_guard& guard_;
    const cancellation* cancel_;
    failure failure_ = failure::none;
    std::size_t bytes_sent_ = 0;
    bool in_head_ = true;
    std::string head_;
    std::array<char, 16384> buffer_{};
    std::size_t buffer_begin_ = 0;
    std::size_t buffer_end_ = 0;
};

} // namespace toucan::backend
