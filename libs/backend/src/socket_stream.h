#pragma once

#include "toucan/backend/cancellation.h"
#include "toucan/base/clock.h"
#include "toucan/operations/dispatch_guard.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace toucan::backend {

/// One HTTP exchange on a connected socket: sends a prepared request text and receives bytes of the
/// response.
class socket_stream {
public:
    /// Cause of a failed exchange.
    enum class failure { none, denied, deadline, cancelled, closed, connection_error };

    /// The socket, the text and the objects passed by reference or pointer must outlive the stream,
    /// which does not close the socket.
    /// @param guard checked right before the first byte is written.
    /// @param cancel may be null.
    socket_stream(int sock, std::string_view request_text, const clock& time, steady_time deadline,
                  const operations::dispatch_guard& guard, const cancellation* cancel);

    /// Checks the guard and sends the request.
    bool send_request();
    /// Waits for bytes and appends them.
    /// @return false, with the failure, if none arrive.
    bool receive(std::string& received);

    /// Whether the kernel accepted at least one byte of the request.
    [[nodiscard]] bool has_sent_bytes() const { return bytes_sent_ > 0; }
    [[nodiscard]] failure first_failure() const { return failure_; }

private:
    /// Waits for poll events until the deadline or cancellation.
    bool wait_for(short events);
    /// Keeps the first failure. Always returns false.
    bool record_failure(failure it);

    int sock_;
    std::string_view request_text_;
    const clock& clock_;
    steady_time deadline_;
    const operations::dispatch_guard& guard_;
    const cancellation* cancel_;
    failure failure_ = failure::none;
    std::size_t bytes_sent_ = 0;
};

} // namespace toucan::backend
