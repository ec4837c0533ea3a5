#pragma once

#include "toucan/base/vm_address.h"

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace toucan::daemon {

/// Handlers of the HTTP endpoints. Called on connection threads.
struct http_handlers {
    std::function<void(const httplib::Request&, httplib::Response&)> call;
    std::function<void(const httplib::Request&, httplib::Response&)> lookup;
    std::function<std::string()> metrics;
    std::function<std::string()> state;
    /// Returns an empty text if the daemon is ready, else the reason why it is not.
    std::function<std::string()> not_ready;
};

/// HTTP server for callers and operators.
class http_frontend {
public:
    /// Binds the address and starts to serve.
    /// @param listen address to bind.
    /// @param threads number of connections served at the same time.
    /// @param handlers endpoint handlers.
    /// @return null with a last reason if the address cannot be bound.
    static std::unique_ptr<http_frontend> start(vm_address listen, std::size_t threads,
                                                http_handlers handlers);

    explicit http_frontend(http_handlers handlers);
    http_frontend(const http_frontend&) = delete;
    http_frontend& operator=(const http_frontend&) = delete;
    /// Closes the listening socket and waits for requests in progress.
    ~http_frontend();

    /// Closes each connection after its next response (`Connection: close`).
    void close_connections() { closing_connections_ = true; }
    /// Calls whose handler has not returned yet.
    [[nodiscard]] std::size_t calls_in_progress() const { return calls_in_progress_; }

private:
    void add_routes();
    void add_call_route(const std::string& pattern);

    http_handlers handlers_;
    httplib::Server server_;
    std::atomic<std::size_t> calls_in_progress_ = 0;
    std::atomic<bool> closing_connections_ = false;
    std::thread thread_;
};

} // namespace toucan::daemon
