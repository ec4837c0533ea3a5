#include "request_path_fixture.h"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

namespace toucan::edge {

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::size_t response_memory_bytes = 4U << 20U;

/// Loopback address with a port that is free at the time of the call.
vm_address free_address(asio::io_context& loop)
{
    tcp::acceptor probe(loop, tcp_endpoint({loopback, 0}));
    return {loopback, probe.local_endpoint().port()};
}

} // namespace

scripted_backend::scripted_backend(asio::io_context& loop, std::string name, reaction_script script)
    : loop_(loop), name_(std::move(name)), script_(std::move(script)),
      acceptor_(loop, tcp_endpoint({loopback, 0}))
{
    accept();
}

vm_address scripted_backend::address() const
{
    return {loopback, acceptor_.local_endpoint().port()};
}

void scripted_backend::stop()
{
    error_code ec;
    acceptor_.close(ec);
    for (const auto& it : streams_) {
        it->close();
    }
}

void scripted_backend::accept()
{
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (!ec) {
            ++connections_;
            serve(std::move(socket));
            accept();
        }
    });
}

void scripted_backend::serve(tcp::socket socket)
{
    const auto connection = std::make_shared<stream>(std::move(socket));
    streams_.push_back(connection);
    const auto reader = std::make_shared<request_reader>(65536, 1U << 20U);
    connection->start({[this, connection, reader](std::string& in) {
                           if (reader->feed(in) != parse_state::complete) {
                               return;
                           }
                           requests_.push_back(reader->take());
                           const auto answer = script_(requests_.back());
                           after(answer.delay,
                                 [this, connection, answer] { react(connection, answer); });
                       },
                       [this](stream::ending) {
                           ++closed_;
                       }});
}

void scripted_backend::react(const std::shared_ptr<stream>& connection, const reaction& answer)
{
    if (!answer.bytes.empty()) {
        connection->write(answer.bytes);
    }
    if (answer.close) {
        connection->finish();
    }
    if (!answer.repeated.empty()) {
        repeat(connection, answer);
    }
    if (!answer.late_copy.empty()) {
        after(answer.late_copy_delay,
              [connection, bytes = answer.late_copy] { connection->write(bytes); });
    }
}

void scripted_backend::repeat(const std::shared_ptr<stream>& connection, const reaction& answer)
{
    if (!connection->open()) {
        return;
    }
    connection->write(answer.repeated, [this, connection, answer] {
        after(answer.repeat_interval, [this, connection, answer] { repeat(connection, answer); });
    });
}

void scripted_backend::after(milliseconds delay, std::function<void()> run)
{
    const auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
    timer->async_wait([timer, run = std::move(run)](error_code ec) {
        if (!ec) {
            run();
        }
    });
}

scripted_caller::scripted_caller(asio::io_context& loop, const vm_address& to)
{
    tcp::socket socket(loop);
    socket.connect(tcp_endpoint(to));
    stream_ = std::make_shared<stream>(std::move(socket));
    stream_->start({[this](std::string& in) {
                        while (!in.empty() && reader_.feed(in) == parse_state::complete) {
                            responses_.push_back(reader_.take());
                            reader_.expect("GET");
                        }
                        surplus_ = !in.empty();
                    },
                    [this](stream::ending how) {
                        ended_ = true;
                        reset_ = how == stream::ending::reset;
                    }});
}

request_path_fixture::request_path_fixture(const bounds& limits)
{
    daemon_settings_.limits = limits;
    daemon_settings_.name = "entry-1";
    daemon_settings_.region = region_name("west");
    daemon_settings_.failure_domain = failure_domain_name("west-a");
    daemon_settings_.regions = {{failure_domain_name("west-a"), region_name("west")},
                                {failure_domain_name("west-b"), region_name("west")},
                                {failure_domain_name("east-a"), region_name("east")}};
    memory_ = std::make_shared<byte_budget>(response_memory_bytes);
    fleet_ = std::make_unique<fleet>(loop_, time_, daemon_settings_, memory_);
    dispatcher_ =
        std::make_unique<dispatcher>(loop_, time_, daemon_settings_, names_, *fleet_, metrics_);
    callers_ = std::make_unique<http_server>(
        loop_, time_,
        [this](parsed_request request, http_server::respond respond) {
            return dispatcher_->handle(std::move(request), std::move(respond));
        },
        [this] {
            return dispatcher_->config() ? dispatcher_->config()->limits() : caller_limits{};
        },
        [this](const parsed_request& request) { return dispatcher_->is_idempotent(request); });
    address_ = free_address(loop_);
    if (!callers_->listen(address_)) {
        throw std::runtime_error("cannot listen for callers on the loopback address");
    }
}

request_path_fixture::~request_path_fixture()
{
    callers_->close_all();
    for (const auto& it : backends_) {
        it->stop();
    }
    run_for(milliseconds(5));
}

scripted_backend& request_path_fixture::add_backend(const std::string& name,
                                                    scripted_backend::reaction_script script,
                                                    const std::string& service,
                                                    const std::string& domain)
{
    auto& it =
        *backends_.emplace_back(std::make_unique<scripted_backend>(loop_, name, std::move(script)));
    backend_record record;
    record.name = backend_server_name(name);
    record.service = service_name(service);
    record.address = it.address();
    record.failure_domain = failure_domain_name(domain);
    record.slots = 4;
    record.started_ms = 1;
    records_[name] = record;
    fleet_->apply(record);
    return it;
}

void request_path_fixture::update_record(const scripted_backend& it,
                                         const std::function<void(backend_record&)>& change)
{
    change(records_[it.name()]);
    fleet_->apply(records_[it.name()]);
}

void request_path_fixture::configure(const std::function<void(std::vector<route>&)>& change,
                                     const workspace_table& workspaces)
{
    std::vector<route> routes;
    for (const bool idempotent : {true, false}) {
        route it;
        it.name = idempotent ? "read" : "write";
        it.host = "desk.example";
        it.prefix = idempotent ? "/read/" : "/write/";
        it.kind = idempotent ? route_kind::idempotent : route_kind::non_idempotent;
        it.timeout = milliseconds(1000);
        it.objective = milliseconds(400);
        it.services = {{service_name("desk"), 1}};
        it.max_attempts = 2;
        routes.push_back(it);
    }
    if (change) {
        change(routes);
    }
    service_settings service;
    service.health_path = "/health";
    service.max_connections = 100;
    service.cold_start = milliseconds(3000);
    service.cold_rate_per_s = 10;
    config_entries entries;
    entries.routes = std::move(routes);
    entries.services = {{service_name("desk"), service}};
    entries.workspaces = workspaces;
    dispatcher_->set_config(std::make_shared<routing_config>(++version_, std::move(entries)));
    dispatcher_->update_plans([](const region_name&, std::uint32_t) { return 0.0; });
}

scripted_caller& request_path_fixture::connect()
{
    return *connections_.emplace_back(std::make_unique<scripted_caller>(loop_, address_));
}

bool request_path_fixture::run_until(const std::function<bool()>& done, milliseconds limit)
{
    const auto end = time_.now() + limit;
    while (!done()) {
        if (time_.now() > end) {
            return false;
        }
        loop_.restart();
        loop_.run_for(milliseconds(2));
    }
    return true;
}

bool request_path_fixture::step_until(const std::function<bool()>& done, milliseconds limit)
{
    const auto end = time_.now() + limit;
    while (!done()) {
        if (time_.now() > end) {
            return false;
        }
        loop_.restart();
        loop_.run_one_for(milliseconds(2));
    }
    return true;
}

void request_path_fixture::run_for(milliseconds it)
{
    run_until([] { return false; }, it);
}

std::optional<parsed_response> request_path_fixture::exchange(const std::string& request,
                                                              milliseconds limit)
{
    auto& caller = connect();
    caller.send(request);
    if (!run_until([&] { return !caller.responses().empty(); }, limit)) {
        return std::nullopt;
    }
    return caller.responses().front();
}

std::string request_path_fixture::signed_response(const parsed_request& request,
                                                  const std::string& body) const
{
    return fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: s1\r\nContent-Length: {}\r\n\r\n{}",
                       names_.attempt_id, find_header(request.request.headers, names_.attempt_id),
                       names_.signature, body.size(), body);
}

std::string request_path_fixture::get(const std::string& path, const std::string& id,
                                      const std::string& more)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n{}\r\n", path,
                       wire_names{}.attempt_id, id, more);
}

std::string request_path_fixture::post(const std::string& path, const std::string& id,
                                       const std::string& body)
{
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\nContent-Length: {}\r\n\r\n{}", path,
        wire_names{}.attempt_id, id, body.size(), body);
}

} // namespace toucan::edge
