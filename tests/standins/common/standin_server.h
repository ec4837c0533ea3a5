#pragma once

#include "toucan/base/vm_address.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstddef>
#include <functional>

namespace toucan::standins {

/// HTTP server of the stand-ins. It gives handlers the connection of their request, so that they
/// can close, reset or cut it, and runs one thread for each connection.
class standin_server : public httplib::Server {
public:
    /// @param max_connections connections beyond this number are closed when they are accepted.
    explicit standin_server(std::size_t max_connections);

    /// Serves until SIGTERM.
    /// @param address where to listen.
    /// @return exit status of the process.
    int run(const vm_address& address);

    /// Adds `POST path` with a JSON body; a body that is not valid is answered 400.
    /// @param path of the endpoint.
    /// @param change applies the body.
    void on_control(const std::string& path, std::function<void(const nlohmann::json&)> change);
    /// Adds `GET path`.
    /// @param path of the endpoint.
    /// @param report makes the answer.
    void on_report(const std::string& path, std::function<nlohmann::json()> report);

    /// Socket of the connection whose request the calling thread handles.
    static int connection();
    /// Closes that connection without an answer.
    static void close_connection();
    /// Resets that connection.
    static void reset_connection();
    /// Sends raw bytes on that connection.
    /// @param bytes are sent as they are.
    static void send_raw(const std::string& bytes);
    /// True if the other side has closed that connection.
    static bool peer_closed();

    [[nodiscard]] std::size_t connections() const { return connections_; }
    [[nodiscard]] std::size_t refused_connections() const { return refused_; }

private:
    bool process_and_close_socket(socket_t sock) override;

    std::size_t max_connections_;
    std::atomic<std::size_t> connections_ = 0;
    std::atomic<std::size_t> refused_ = 0;
};

/// Sets the answer to a JSON document.
/// @param res answer to change.
/// @param body document.
void set_json(httplib::Response& res, const nlohmann::json& body);

} // namespace toucan::standins
