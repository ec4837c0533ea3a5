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

/// One exchange on a connected socket. Sends a prepared request text, and gives the response to
/// cpp-httplib for parsing.
///
/// What cpp-httplib writes is replaced by the prepared text, because it would add `User-Agent`,
/// `Accept` and `Content-Type` headers that the caller did not send. The head of the response is
/// kept as received, because cpp-httplib decodes percent signs in header values.
class socket_stream final : public httplib::Stream {
public:
    enum class failure { none, denied, deadline, cancelled, closed, broken };

    socket_stream(socket_t sock, std::string_view text, const clock& time, steady_time deadline,
                  const operations::dispatch_guard& guard, const cancellation* cancel);

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override { return sock_; }

    /// Whether the operating system accepted any byte of the request.
    [[nodiscard]] bool has_written() const { return written_ > 0; }
    /// Whether received bytes are left over, which belong to no request.
    [[nodiscard]] bool has_leftover() const { return next_ < end_; }
    [[nodiscard]] failure first_failure() const { return failure_; }
    /// Head of the response as received, without interim responses.
    [[nodiscard]] const std::string& head() const { return head_; }
    /// Tells that the head is complete; what follows is the body.
    void end_head() { in_head_ = false; }

private:
    bool send_text();
    bool wait_for(short events);
    bool fail_with(failure it);

    socket_t sock_;
    std::string_view text_;
    const clock& clock_;
    steady_time deadline_;
    const operations::dispatch_guard& guard_;
    const cancellation* cancel_;
    failure failure_ = failure::none;
    std::size_t written_ = 0;
    bool in_head_ = true;
    std::string head_;
    std::array<char, 16384> buffer_{};
    std::size_t next_ = 0;
    std::size_t end_ = 0;
};

} // namespace toucan::backend
