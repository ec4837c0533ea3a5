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

/// What the HTTP server does with each kind of request. Called on the threads of its connections.
struct http_handlers {
    std::function<void(const httplib::Request&, httplib::Response&)> call;
    std::function<void(const httplib::Request&, httplib::Response&)> lookup;
    std::function<std::string()> metrics;
    std::function<std::string()> state;
    /// Empty if the daemon is ready, else the reason.
    std::function<std::string()> not_ready;
};

/// The HTTP server towards callers and operators.
class http_front {
public:
    /// @param listen address to bind.
    /// @param threads connections that are served at the same time.
    /// @param handlers what to do.
    /// @return null with a last reason if the address cannot be bound.
    static std::unique_ptr<http_front> start(vm_address listen, std::size_t threads,
                                             http_handlers handlers);

    explicit http_front(http_handlers handlers);
    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;
    /// Closes the listening socket and waits for requests under way.
    ~http_front();

    /// Asks callers to close their connections after the next answer.
    void close_connections() { closing_ = true; }
    /// Calls that are being answered, up to the last byte.
    [[nodiscard]] std::size_t calls_under_way() const { return under_way_; }

private:
    void add_routes();
    void add_call_route(const std::string& pattern);

    http_handlers handlers_;
    httplib::Server server_;
    std::atomic<std::size_t> under_way_ = 0;
    std::atomic<bool> closing_ = false;
    std::thread thread_;
};

} // namespace toucan::daemon
