#pragma once

#include "toucan/base/vm_address.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstddef>
#include <functional>

namespace toucan::standins {

/// HTTP server of the stand-ins, with one thread per connection. A handler can close, reset or
/// write raw bytes to the connection of its request.
class standin_server : public httplib::Server {
public:
    /// @param max_connections connections beyond this number are closed when they are accepted.
    explicit standin_server(std::size_t max_connections);

    /// Serves until SIGTERM, which ends the process with status 0.
    /// @param address address to listen on.
    /// @return exit status of the process; 1 if it cannot listen.
    int run(const vm_address& address);

    /// Adds `POST path` with a JSON body.
    /// @param path path of the endpoint.
    /// @param apply_body called with the parsed body; an exception is answered with status 400.
    void add_control_endpoint(const std::string& path,
                              std::function<void(const nlohmann::json&)> apply_body);
    /// Adds `GET path` with a JSON response.
    /// @param path path of the endpoint.
    /// @param make_report returns the response body.
    void add_report_endpoint(const std::string& path, std::function<nlohmann::json()> make_report);

    /// Socket of the connection whose request the calling thread handles.
    static int connection();
    /// Closes the connection of the request that the calling thread handles, without a response.
    static void close_connection();
    /// Resets the connection of the request that the calling thread handles (TCP RST).
    static void reset_connection();
    /// Sends bytes on the connection of the request that the calling thread handles, bypassing the
    /// HTTP response.
    /// @param bytes raw bytes.
    static void send_raw(const std::string& bytes);
    /// @return true if the peer has closed or reset the connection of the request that the calling
    /// thread handles.
    static bool peer_closed();

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const { return open_connections_; }
    /// Number of connections that were closed because `max_connections` were open.
    [[nodiscard]] std::size_t refused_connections() const { return refused_connections_; }

private:
    bool process_and_close_socket(socket_t sock) override;

    std::size_t max_connections_;
    std::atomic<std::size_t> open_connections_ = 0;
    std::atomic<std::size_t> refused_connections_ = 0;
};

/// Sets a response to status 200 with a JSON body.
/// @param res response to change.
/// @param body JSON document.
void set_json(httplib::Response& res, const nlohmann::json& body);

} // namespace toucan::standins
