#include "http_front.h"

#include "connection_queue.h"
#include "outcome_writer.h"

#include "toucan/base/config.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace toucan::daemon {

namespace {

constexpr int status_unavailable = 503;
/// A connection without a request holds a thread, so it is closed after this time.
constexpr std::time_t keep_alive_seconds = 5;
constexpr std::size_t keep_alive_requests = 1'000'000;
constexpr std::time_t io_timeout_seconds = 30;

} // namespace

http_front::http_front(http_handlers handlers) : handlers_(std::move(handlers)) {}

std::unique_ptr<http_front> http_front::start(vm_address listen, std::size_t threads,
                                              http_handlers handlers)
{
    auto made = std::make_unique<http_front>(std::move(handlers));
    auto& server = made->server_;
    server.new_task_queue = [threads] {
        return new connection_queue(threads);
    };
    // Small writes wait for delayed acknowledgements otherwise, about 26 ms for each response.
    server.set_tcp_nodelay(true);
    server.set_keep_alive_timeout(keep_alive_seconds);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_read_timeout(io_timeout_seconds);
    server.set_write_timeout(io_timeout_seconds);
    server.set_payload_max_length(config::max_request_body_bytes);
    made->add_routes();
    if (!server.bind_to_port(listen.ip_text(), listen.port())) {
        fail(fmt::format("cannot listen on {}", listen.to_string()));
        return nullptr;
    }
    made->thread_ = std::thread([&server] { server.listen_after_bind(); });
    // `stop` before the loop has begun would have no effect.
    while (!server.is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return made;
}

http_front::~http_front()
{
    if (thread_.joinable()) {
        server_.stop();
        thread_.join();
    }
}

void http_front::add_routes()
{
    server_.set_pre_routing_handler([this](const httplib::Request&, httplib::Response& response) {
        if (closing_ || connection_queue::is_spare_thread()) {
            response.set_header("Connection", "close");
        }
        if (!connection_queue::is_spare_thread()) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        write_outcome(not_run{"too many connections", std::chrono::seconds(1)}, {}, response);
        return httplib::Server::HandlerResponse::Handled;
    });
    add_call_route("/v1/call/.+");
    server_.Get("/v1/lookup", [this](const auto& request, auto& response) {
        handlers_.lookup(request, response);
    });
    server_.Get("/metrics", [this](const auto&, auto& response) {
        response.set_content(handlers_.metrics(), "text/plain; version=0.0.4");
    });
    server_.Get("/state", [this](const auto&, auto& response) {
        response.set_content(handlers_.state(), "application/json");
    });
    server_.Get("/healthz",
                [](const auto&, auto& response) { response.set_content("alive\n", "text/plain"); });
    server_.Get("/readyz", [this](const auto&, auto& response) {
        const auto reason = handlers_.not_ready();
        response.status = reason.empty() ? 200 : status_unavailable;
        response.set_content(reason.empty() ? "ready\n" : reason + "\n", "text/plain");
    });
}

void http_front::add_call_route(const std::string& pattern)
{
    const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
        ++under_way_;
        handlers_.call(request, response);
        --under_way_;
    };
    server_.Get(pattern, handler);
    server_.Post(pattern, handler);
    server_.Put(pattern, handler);
    server_.Patch(pattern, handler);
    server_.Delete(pattern, handler);
    server_.Options(pattern, handler);
}

} // namespace toucan::daemon
