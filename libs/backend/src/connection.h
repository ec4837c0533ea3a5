#pragma once

#include "socket_stream.h"
#include "toucan/backend/dispatch_result.h"
#include "toucan/base/http_request.h"
#include "toucan/base/response_reader.h"
#include "toucan/base/vm_address.h"

#include <httplib.h>

#include <memory>
#include <string>

namespace toucan::backend {

/// One keep-alive connection to a backend server, used by one request at a time.
class connection final : private httplib::ClientImpl {
public:
    /// @param address HTTP address of the backend server.
    /// @param time clock of the deadlines; must outlive the connection.
    connection(vm_address address, const clock& time);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() override;

    /// Connects if necessary, sends the request once and reads the response. Closes the connection
    /// if the exchange fails. Parameters as for `backend_client::send`.
    dispatch_result exchange(const http_request& request, steady_time deadline,
                             const operations::dispatch_guard& guard, const cancellation* cancel);

    /// Whether the connection is open and can serve another request.
    [[nodiscard]] bool is_reusable() const { return socket_.is_open(); }

private:
    /// @return false if the deadline has passed or connecting failed.
    bool connect(steady_time deadline);
    void disconnect();
    /// Closes the connection and reports the first failure of the stream.
    /// @param reader reader of the response, whose fault counts if the stream itself did not fail.
    dispatch_result close_after_failure(const socket_stream& stream, const response_reader& reader);

    const clock& clock_;
    std::string host_text_;
};

} // namespace toucan::backend
