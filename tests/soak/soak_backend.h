#pragma once

#include "asio.h"
#include "fault_proxy.h"
#include "history.h"
#include "http_message.h"
#include "soak_store.h"
#include "stream.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Body of the response to a request. It depends on path, id and body of the request, so that the
/// caller can detect the response to another request.
std::string expected_body(const std::string& path, const std::string& id, const std::string& body);

/// Fault of a backend server.
enum class backend_fault : std::uint8_t {
    none,
    /// Executes requests and closes the connection without a response.
    lost_response,
    /// Responds with status 500.
    server_error,
    /// Work takes 12 times as long.
    slow,
    /// Sends each response twice.
    duplicate_response,
    /// Sends part of the response and closes the connection.
    truncated_response,
    /// Closes an idle connection when the next request arrives on it.
    stale_keep_alive,
    /// Executes requests and sends header fields without end in place of the response.
    endless_head,
    /// Executes requests and sends a body without end.
    endless_body
};
inline constexpr std::size_t backend_faults = 8;

/// Identity and addresses of a backend server.
struct backend_config {
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string region;
    /// Address at which it listens, behind its proxy.
    vm_address listen_address;
    /// Address of its proxy, written to the store.
    vm_address announced_address;
    /// Id that the server keeps when it starts again; empty for a new id with each start.
    std::string fixed_instance = {};
    /// Proxy for servers that have the address one after the other; nullptr for one of its own.
    std::shared_ptr<fault_proxy> shared_proxy = {};
};

/// Stand-in of a backend server that records each execution.
class soak_backend {
public:
    soak_backend(edge::asio::io_context& loop, const clock& time, backend_config config,
                 soak_store& store, history& record, std::uint64_t seed);

    /// Starts to listen as a new instance and writes its row to the store.
    /// @param cold if true, the instance announces a cold start of 3 s.
    void start(bool cold);
    /// Closes the listening socket and all connections. Its row stays.
    void halt();
    /// Closes the listening socket and all connections, and removes its row from the store.
    void crash();
    /// Announces in the store that the instance is draining. The instance keeps serving requests.
    void start_leaving();
    /// Writes its row to the store, with the next sequence number.
    void write_server_row();
    /// @return the row that it wrote last.
    [[nodiscard]] const std::string& row() const { return row_; }
    [[nodiscard]] const std::string& instance() const { return instance_; }
    void set_fault(backend_fault it) { fault_ = it; }
    void set_link_fault(link_fault it) { proxy_->set_fault(it); }
    [[nodiscard]] bool running() const { return acceptor_.is_open(); }
    [[nodiscard]] const backend_config& config() const { return config_; }

private:
    struct session;

    void accept();
    void serve(edge::tcp::socket socket);
    void handle(const std::shared_ptr<session>& it, const edge::parsed_request& request);
    /// Records the arrival of a request that is not executed.
    void record_refusal(const edge::parsed_request& request, int status);
    void send_response(const std::shared_ptr<session>& it, const edge::parsed_request& request);
    /// Sends a block again and again until the connection closes.
    void send_without_end(const std::shared_ptr<session>& it, const std::string& block);

    edge::asio::io_context& loop_;
    const clock& time_;
    backend_config config_;
    soak_store& store_;
    history& record_;
    std::mt19937_64 random_;
    std::shared_ptr<fault_proxy> proxy_;
    edge::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<session>> sessions_;
    steady_time cold_until_;
    std::string instance_;
    std::string row_;
    std::chrono::milliseconds started_{0};
    std::uint64_t sequence_ = 0;
    int run_ = 0;
    int slots_in_use_ = 0;
    bool leaving_ = false;
    backend_fault fault_ = backend_fault::none;
};

} // namespace toucan::soak
