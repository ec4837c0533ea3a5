#pragma once

#include "dispatcher.h"
#include "fleet.h"
#include "http_server.h"

#include "toucan/base/metrics.h"
#include "toucan/base/system_clock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::edge {

/// Backend server with responses scripted by a test. Runs on the test's event loop.
class scripted_backend {
public:
    /// Reaction to one request.
    struct reaction {
        /// Bytes to send; empty sends nothing.
        std::string bytes;
        /// Time before sending and closing.
        milliseconds delay{0};
        /// Whether the connection closes afterwards.
        bool close = false;
        /// Bytes that follow again and again until the daemon closes the connection; empty for
        /// none.
        std::string repeated = {};
        milliseconds repeat_interval{0};
        /// Copy of a response that follows late; empty for none.
        std::string late_copy = {};
        milliseconds late_copy_delay{0};
    };
    using reaction_script = std::function<reaction(const parsed_request&)>;

    scripted_backend(asio::io_context& loop, std::string name, reaction_script script);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] vm_address address() const;
    /// Received requests in order.
    [[nodiscard]] const std::vector<parsed_request>& requests() const { return requests_; }
    /// Number of accepted connections.
    [[nodiscard]] std::size_t connections() const { return connections_; }
    /// Number of connections closed by the daemon.
    [[nodiscard]] std::size_t closed() const { return closed_; }
    /// Closes the acceptor and all connections.
    void stop();

private:
    void accept();
    void serve(tcp::socket socket);
    void react(const std::shared_ptr<stream>& connection, const reaction& answer);
    /// Runs a function after a delay.
    void after(milliseconds delay, std::function<void()> run);
    void repeat(const std::shared_ptr<stream>& connection, const reaction& answer);

    asio::io_context& loop_;
    std::string name_;
    reaction_script script_;
    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<stream>> streams_;
    std::vector<parsed_request> requests_;
    std::size_t connections_ = 0;
    std::size_t closed_ = 0;
};

/// Connection of a caller that records the responses.
class scripted_caller {
public:
    scripted_caller(asio::io_context& loop, const vm_address& to);

    /// @param sent called when the bytes have been passed to the kernel; may be empty.
    void send(std::string bytes, std::function<void()> sent = {})
    {
        stream_->write(std::move(bytes), std::move(sent));
    }
    void close() { stream_->close(); }
    /// Sets the method of the next request; a response to HEAD has no body.
    void expect(std::string_view method) { reader_.expect(method); }
    /// Complete responses received so far.
    [[nodiscard]] const std::vector<parsed_response>& responses() const { return responses_; }
    [[nodiscard]] bool ended() const { return ended_; }
    [[nodiscard]] bool reset() const { return reset_; }
    /// Whether data was received after the last complete response.
    [[nodiscard]] bool surplus() const { return surplus_; }

private:
    std::shared_ptr<stream> stream_;
    response_reader reader_;
    std::vector<parsed_response> responses_;
    bool ended_ = false;
    bool reset_ = false;
    bool surplus_ = false;
};

/// Request path of one daemon (HTTP server, dispatcher and fleet) with scripted backend servers and
/// callers on one event loop, over loopback TCP.
class request_path_fixture {
public:
    /// @param limits limits of the daemon's settings.
    explicit request_path_fixture(const bounds& limits = {});
    ~request_path_fixture();
    request_path_fixture(const request_path_fixture&) = delete;
    request_path_fixture& operator=(const request_path_fixture&) = delete;

    /// Starts a backend server with 4 slots and adds its record to the fleet.
    scripted_backend& add_backend(const std::string& name, scripted_backend::reaction_script script,
                                  const std::string& service = "desk",
                                  const std::string& domain = "west-a");
    /// Changes the record of a backend server and applies it to the fleet.
    void update_record(const scripted_backend& it,
                       const std::function<void(backend_record&)>& change);
    /// Applies a configuration with two routes to service `desk`: `/read/` is idempotent, `/write/`
    /// is not.
    /// @param change modifies the routes before they are applied.
    /// @param workspaces workspaces of the configuration; none by default.
    void configure(const std::function<void(std::vector<route>&)>& change = {},
                   const workspace_table& workspaces = {});
    /// Opens a caller connection, which is owned by this object.
    scripted_caller& connect();
    /// Runs the event loop until a condition is met.
    /// @return false if the condition is not met within the limit.
    bool run_until(const std::function<bool()>& done, milliseconds limit = milliseconds(3000));
    /// The same, but checks the condition after each handler, so that a test can act between two
    /// steps of the request path.
    bool step_until(const std::function<bool()>& done, milliseconds limit = milliseconds(3000));
    void run_for(milliseconds it);
    /// Sends a request on a new connection and waits for the response.
    /// @return nothing if there is no response within the limit.
    std::optional<parsed_response> exchange(const std::string& request,
                                            milliseconds limit = milliseconds(3000));

    [[nodiscard]] fleet& servers() { return *fleet_; }
    /// Memory of partly received responses.
    [[nodiscard]] const byte_budget& response_memory() const { return *memory_; }
    [[nodiscard]] http_server& callers() { return *callers_; }
    [[nodiscard]] dispatcher& dispatch() { return *dispatcher_; }
    [[nodiscard]] metrics& all_metrics() { return metrics_; }
    [[nodiscard]] const wire_names& names() const { return names_; }
    /// Address to which callers connect.
    [[nodiscard]] const vm_address& address() const { return address_; }

    /// A signed 200 response of a backend server to a request.
    [[nodiscard]] std::string signed_response(const parsed_request& request,
                                              const std::string& body = "done") const;
    [[nodiscard]] static std::string get(const std::string& path, const std::string& id,
                                         const std::string& more = {});
    [[nodiscard]] static std::string post(const std::string& path, const std::string& id,
                                          const std::string& body = "order");

private:
    asio::io_context loop_{1};
    system_clock time_;
    settings daemon_settings_;
    wire_names names_;
    metrics metrics_;
    std::shared_ptr<byte_budget> memory_;
    std::unique_ptr<fleet> fleet_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<http_server> callers_;
    vm_address address_;
    std::uint64_t version_ = 0;
    std::vector<std::unique_ptr<scripted_backend>> backends_;
    std::map<std::string, backend_record> records_;
    std::vector<std::unique_ptr<scripted_caller>> connections_;
};

} // namespace toucan::edge
