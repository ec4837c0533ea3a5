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

/// What a request's backend server puts into its response, so that a caller can tell its own.
std::string expected_body(const std::string& path, const std::string& id, const std::string& body);

/// How a backend server misbehaves.
enum class backend_fault : std::uint8_t {
    none,
    /// Runs requests and closes the connection instead of answering.
    loses_answers,
    fails,
    slow,
    /// Sends a further response after each one.
    repeats_itself,
    /// Sends part of the response and closes the connection.
    truncates,
    /// Closes connections that were idle, without notice, as soon as the next request arrives.
    forgets_idle
};

/// Where a backend server is and what it serves.
struct backend_place {
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string region;
    /// Behind its proxy, and as its entry says.
    vm_address own;
    vm_address announced;
};

/// Stand-in of a backend server that records what it runs.
class soak_backend {
public:
    soak_backend(edge::asio::io_context& loop, const clock& time, backend_place place,
                 soak_store& store, history& record, std::uint64_t seed);

    /// Starts, cold unless it is the start of the whole deployment.
    void start(bool cold);
    /// Ends at once.
    void crash();
    /// Says that it takes nothing new.
    void leave();
    void set_fault(backend_fault it) { fault_ = it; }
    void set_link_fault(link_fault it) { proxy_.set_fault(it); }
    [[nodiscard]] bool running() const { return acceptor_.is_open(); }
    [[nodiscard]] const backend_place& place() const { return place_; }

private:
    struct session;

    void accept();
    void serve(edge::tcp::socket socket);
    void handle(const std::shared_ptr<session>& it, const edge::parsed_request& request);
    void finish(const std::shared_ptr<session>& it, const edge::parsed_request& request);
    void announce();

    edge::asio::io_context& loop_;
    const clock& time_;
    backend_place place_;
    soak_store& store_;
    history& record_;
    std::mt19937_64 random_;
    fault_proxy proxy_;
    edge::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<session>> sessions_;
    steady_time cold_until_;
    std::string instance_;
    int run_ = 0;
    int busy_ = 0;
    bool leaving_ = false;
    backend_fault fault_ = backend_fault::none;
};

} // namespace toucan::soak
