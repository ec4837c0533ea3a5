#include "soak_backend.h"

#include "toucan/base/stable_hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace toucan::soak {

namespace {

using edge::find_header;

using std::chrono::milliseconds;

constexpr int slots = 6;
constexpr milliseconds cold_duration{3000};
/// The work of a request takes min_work_ms plus less than work_jitter_ms.
constexpr int min_work_ms = 10;
constexpr int work_jitter_ms = 50;
constexpr int slow_factor = 12;
/// Blocks of a response without end: fields of a few bytes, or a part of the body.
constexpr std::size_t endless_fields = 1000;
constexpr std::size_t endless_body_bytes = 64U << 10U;
constexpr milliseconds endless_block_interval{5};

milliseconds since_epoch(const clock& time)
{
    return std::chrono::duration_cast<milliseconds>(time.wall_now().time_since_epoch());
}

} // namespace

std::string expected_body(const std::string& path, const std::string& id, const std::string& body)
{
    return fmt::format("{}|{}|{:016x}", path, id, stable_hash(body));
}

struct soak_backend::session {
    std::shared_ptr<edge::stream> connection;
    edge::request_reader reader{65536, 1U << 20U};
    bool open = true;
    int requests = 0;
};

soak_backend::soak_backend(edge::asio::io_context& loop, const clock& time, backend_config config,
                           soak_store& store, history& record, std::uint64_t seed)
    : loop_(loop), time_(time), config_(std::move(config)), store_(store), record_(record),
      random_(seed),
      proxy_(config_.shared_proxy ? config_.shared_proxy
                                  : std::make_shared<fault_proxy>(loop, config_.announced_address,
                                                                  config_.listen_address)),
      acceptor_(loop)
{
}

void soak_backend::start(bool cold)
{
    ++run_;
    instance_ = config_.fixed_instance.empty() ? fmt::format("{}-{}", config_.name, run_)
                                               : config_.fixed_instance;
    started_ = since_epoch(time_);
    sequence_ = 0;
    leaving_ = false;
    slots_in_use_ = 0;
    fault_ = backend_fault::none;
    cold_until_ = cold ? time_.now() + cold_duration : steady_time{};
    acceptor_.open(edge::tcp::v4());
    acceptor_.set_option(edge::tcp::acceptor::reuse_address(true));
    acceptor_.bind(edge::tcp_endpoint(config_.listen_address));
    acceptor_.listen();
    accept();
    write_server_row();
}

void soak_backend::write_server_row()
{
    const auto cold = std::chrono::duration<double>(cold_until_ - time_.now()).count();
    const nlohmann::json row = {{"service", config_.service},
                                {"address", config_.announced_address.to_string()},
                                {"zone", config_.failure_domain},
                                {"version", "1"},
                                {"slots", slots},
                                {"state", leaving_ ? "draining" : "ready"},
                                {"cold_remaining_s", std::max(cold, 0.0)},
                                {"sequence", ++sequence_},
                                {"born", started_.count()}};
    row_ = row.dump();
    store_.put_bytes("servers", instance_, row_);
}

void soak_backend::start_leaving()
{
    leaving_ = true;
    write_server_row();
    record_.changes.push_back({acknowledged_change::kind::leaving, instance_, time_.now()});
}

void soak_backend::crash()
{
    halt();
    store_.remove("servers", instance_);
}

void soak_backend::halt()
{
    edge::error_code ec;
    acceptor_.close(ec);
    for (const auto& weak : std::exchange(sessions_, {})) {
        if (const auto it = weak.lock()) {
            it->open = false;
            it->connection->close();
        }
    }
}

void soak_backend::accept()
{
    acceptor_.async_accept([this](edge::error_code ec, edge::tcp::socket socket) {
        if (!ec) {
            serve(std::move(socket));
            accept();
        }
    });
}

void soak_backend::serve(edge::tcp::socket socket)
{
    const auto it = std::make_shared<session>();
    it->connection = std::make_shared<edge::stream>(std::move(socket));
    std::erase_if(sessions_, [](const auto& known) { return known.expired(); });
    sessions_.push_back(it);
    it->connection->start({[this, it](std::string& in) {
                               if (it->reader.feed(in) == parse_state::complete) {
                                   handle(it, it->reader.take());
                               }
                           },
                           [it](edge::stream::ending) {
                               it->open = false;
                           }});
}

void soak_backend::handle(const std::shared_ptr<session>& it, const edge::parsed_request& request)
{
    const auto& headers = request.request.headers;
    const auto refuse = [&](int status) {
        record_refusal(request, status);
        http_response response{status, {{"X-Not-Executed", "1"}}, {}};
        response.headers.push_back(
            {"X-Attempt-Id", std::string(find_header(headers, "X-Attempt-Id"))});
        it->connection->write(edge::serialize(response, true, false));
    };
    const auto expected = find_header(headers, "X-Expect-Instance");
    if (fault_ == backend_fault::stale_keep_alive && it->requests > 0) {
        record_refusal(request, 0);
        it->connection->close();
        it->open = false;
        return;
    }
    ++it->requests;
    if (!expected.empty() && expected != instance_) {
        refuse(421);
        return;
    }
    if (slots_in_use_ >= slots) {
        refuse(503);
        return;
    }
    record_.executions.push_back(
        {std::string(find_header(headers, "X-Attempt-Id")), request.request.path, instance_,
         config_.service, config_.failure_domain, config_.region, time_.now(),
         time_.now() < cold_until_, std::string(find_header(headers, "X-Tenant-Name")),
         !find_header(headers, "Authorization").empty(), run_});
    ++slots_in_use_;
    const int work = min_work_ms + static_cast<int>(random_() % work_jitter_ms);
    const auto timer = std::make_shared<edge::asio::steady_timer>(
        loop_, milliseconds(fault_ == backend_fault::slow ? work * slow_factor : work));
    timer->async_wait([this, it, timer, request, run = run_](edge::error_code) {
        if (run != run_) {
            return;
        }
        --slots_in_use_;
        if (it->open) {
            send_response(it, request);
        }
    });
}

void soak_backend::record_refusal(const edge::parsed_request& request, int status)
{
    record_.refused_arrivals.push_back(
        {std::string(find_header(request.request.headers, "X-Attempt-Id")), instance_,
         config_.region, time_.now(), status});
}

void soak_backend::send_response(const std::shared_ptr<session>& it,
                                 const edge::parsed_request& request)
{
    const std::string id(find_header(request.request.headers, "X-Attempt-Id"));
    http_response response{fault_ == backend_fault::server_error ? 500 : 200,
                           {{"X-Attempt-Id", id}, {"X-Server-Seal", instance_}},
                           expected_body(request.request.path, id, request.request.body)};
    auto bytes = edge::serialize(response, true, false);
    switch (fault_) {
    case backend_fault::lost_response:
        it->connection->close();
        it->open = false;
        return;
    case backend_fault::truncated_response:
        bytes.resize(bytes.size() - 5);
        it->connection->write(bytes);
        it->connection->finish();
        it->open = false;
        return;
    case backend_fault::duplicate_response:
        bytes += bytes;
        break;
    case backend_fault::endless_head: {
        std::string fields;
        for (std::size_t n = 0; n < endless_fields; ++n) {
            fields += "a:\r\n";
        }
        it->connection->write("HTTP/1.1 200 OK\r\n");
        send_without_end(it, fields);
        return;
    }
    case backend_fault::endless_body:
        it->connection->write(bytes.substr(0, bytes.find("Content-Length")) + "\r\n");
        send_without_end(it, std::string(endless_body_bytes, 'b'));
        return;
    default:
        break;
    }
    it->connection->write(bytes);
}

void soak_backend::send_without_end(const std::shared_ptr<session>& it, const std::string& block)
{
    if (!it->open) {
        return;
    }
    it->connection->write(block);
    const auto timer = std::make_shared<edge::asio::steady_timer>(loop_, endless_block_interval);
    timer->async_wait([this, it, timer, block](edge::error_code) { send_without_end(it, block); });
}

} // namespace toucan::soak
