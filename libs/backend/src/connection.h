#pragma once

#include "socket_stream.h"
#include "toucan/backend/dispatch_result.h"
#include "toucan/base/http_request.h"
#include "toucan/base/vm_address.h"

#include <httplib.h>

#include <memory>
#include <string>

namespace toucan::backend {

/// One keep-alive connection to a backend server, used by one request at a time.
class connection final : private httplib::ClientImpl {
public:
    /// @param address where the backend server listens.
    /// @param time clock of the deadlines.
    connection(vm_address address, const clock& time);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() override;

    /// Connects if necessary, sends the request once and reads the response.
    dispatch_result exchange(const http_request& request, steady_time deadline,
                             const operations::dispatch_guard& guard, const cancellation* cancel);

    /// Whether another request may use the connection.
    [[nodiscard]] bool is_reusable() const { return socket_.is_open(); }

private:
    bool connect(steady_time deadline);
    void disconnect();
    dispatch_result read_failure(const socket_stream& stream, const std::string& what);

    const clock& clock_;
    std::string host_text_;
};

} // namespace toucan::backend
