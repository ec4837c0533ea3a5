#include "http_frontend.h"

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
/// An idle connection occupies a thread, so it is closed after this time.
constexpr std::time_t keep_alive_seconds = 5;
constexpr std::size_t keep_alive_requests = 1'000'000;
constexpr std::time_t io_timeout_seconds = 30;

} // namespace

http_frontend::http_frontend(http_handlers handlers) : handlers_(std::move(handlers)) {}

std::unique_ptr<http_frontend> http_frontend::start(vm_address listen, std::size_t threads,
                                                    http_handlers handlers)
{
    auto frontend = std::make_unique<http_frontend>(std::move(handlers));
    auto& server = frontend->server_;
    server.new_task_queue = [threads] {
        return new connection_queue(threads);
    };
    // Without TCP_NODELAY, small writes wait for delayed acknowledgements, about 26 ms per
    // response.
    server.set_tcp_nodelay(true);
    server.set_keep_alive_timeout(keep_alive_seconds);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_read_timeout(io_timeout_seconds);
    server.set_write_timeout(io_timeout_seconds);
    server.set_payload_max_length(config::max_request_body_bytes);
    frontend->add_routes();
    if (!server.bind_to_port(listen.ip_text(), listen.port())) {
        fail(fmt::format("cannot listen on {}", listen.to_string()));
        return nullptr;
    }
    frontend->thread_ = std::thread([&server] { server.listen_after_bind(); });
    // `httplib::Server::stop` has no effect before the accept loop runs.
    while (!server.is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return frontend;
}

http_frontend::~http_frontend()
{
    if (thread_.joinable()) {
        server_.stop();
        thread_.join();
    }
}

void http_frontend::add_routes()
{
    server_.set_pre_routing_handler([this](const httplib::Request&, httplib::Response& response) {
        if (closing_connections_ || connection_queue::is_overflow_thread()) {
            response.set_header("Connection", "close");
        }
        if (!connection_queue::is_overflow_thread()) {
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

void http_frontend::add_call_route(const std::string& pattern)
{
    const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
        ++calls_in_progress_;
        handlers_.call(request, response);
        --calls_in_progress_;
    };
    server_.Get(pattern, handler);
    server_.Post(pattern, handler);
    server_.Put(pattern, handler);
    server_.Patch(pattern, handler);
    server_.Delete(pattern, handler);
    server_.Options(pattern, handler);
}

} // namespace toucan::daemon
