#include "http_message.h"
#include "http_server.h"
#include "soak_store.h"
#include "stream.h"

#include "support/address_range.h"
#include "support/child_process.h"
#include "support/temporary_folder.h"
#include "support/wait_until.h"

#include "toucan/base/system_clock.h"

#include <boost/asio/read.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <dirent.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <future>
#include <iostream>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace toucan::test {

namespace {

namespace asio = edge::asio;
using edge::error_code;
using edge::tcp;
using std::chrono::milliseconds;

/// Settings of the daemon under test. A small crowd exceeds them if nothing bounds it.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_descriptors = 600;
constexpr std::size_t max_header_bytes = 16384;
constexpr std::size_t max_body_bytes = 8U << 20U;
constexpr unsigned backend_slots = 4000;

/// Time for which a crowd sends before the checks, and time for its callers to read what is left.
constexpr milliseconds crowd_time{5000};
constexpr milliseconds drain_time{2000};
constexpr milliseconds sample_interval{10};
/// Callers have small receive buffers, so that unread responses stay in the daemon and not in the
/// kernel.
constexpr int caller_receive_buffer = 16384;
constexpr std::size_t slow_read_bytes = 1024;
constexpr milliseconds slow_read_interval{100};

constexpr const char* host = "a.example";

/// Whether a caller takes a status as proof that its request has not run and will not run.
bool implies_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Bytes that a caller sends, and how it reads.
struct caller_plan {
    struct piece {
        std::shared_ptr<const std::string> bytes;
        std::size_t times = 1;
    };
    enum class reading : std::uint8_t { none, slow, all };

    std::vector<piece> pieces;
    milliseconds pause{0};
    reading reads = reading::none;
    /// Attempt ids of the requests, in order.
    std::vector<std::string> ids;
};

std::shared_ptr<const std::string> shared(std::string it)
{
    return std::make_shared<const std::string>(std::move(it));
}

/// Caller of a crowd: sends its pieces and leaves the connection open.
class crowd_caller : public std::enable_shared_from_this<crowd_caller> {
public:
    crowd_caller(asio::io_context& loop, caller_plan plan)
        : socket_(loop), write_timer_(loop), read_timer_(loop), plan_(std::move(plan))
    {
    }

    void start(const vm_address& to)
    {
        error_code ec;
        socket_.open(tcp::v4(), ec);
        socket_.set_option(asio::socket_base::receive_buffer_size(caller_receive_buffer), ec);
        socket_.async_connect(edge::tcp_endpoint(to),
                              [self = shared_from_this()](error_code failed) {
                                  if (failed) {
                                      return;
                                  }
                                  self->reader_.expect("GET");
                                  self->write();
                                  self->read();
                              });
    }
    /// Reads without pauses from now on.
    void drain()
    {
        const bool idle = plan_.reads == caller_plan::reading::none;
        plan_.reads = caller_plan::reading::all;
        if (idle && socket_.is_open()) {
            read();
        }
    }
    void close()
    {
        error_code ec;
        socket_.close(ec);
        write_timer_.cancel();
        read_timer_.cancel();
    }
    /// Attempt ids of the requests that were refused with a status that implies not run.
    [[nodiscard]] const std::vector<std::string>& refused() const { return refused_; }
    [[nodiscard]] std::size_t responses() const { return responses_; }

private:
    void write()
    {
        while (piece_ < plan_.pieces.size() && sent_ == plan_.pieces[piece_].times) {
            ++piece_;
            sent_ = 0;
        }
        if (piece_ == plan_.pieces.size()) {
            return;
        }
        ++sent_;
        asio::async_write(socket_, asio::buffer(*plan_.pieces[piece_].bytes),
                          [self = shared_from_this()](error_code ec, std::size_t) {
                              if (!ec) {
                                  self->pause_and_write();
                              }
                          });
    }
    void pause_and_write()
    {
        if (plan_.pause == milliseconds(0)) {
            write();
            return;
        }
        write_timer_.expires_after(plan_.pause);
        write_timer_.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec) {
                self->write();
            }
        });
    }
    void read()
    {
        if (plan_.reads == caller_plan::reading::none) {
            return;
        }
        const bool slow = plan_.reads == caller_plan::reading::slow;
        buf_.resize(slow ? slow_read_bytes : 65536);
        socket_.async_read_some(asio::buffer(buf_),
                                [self = shared_from_this()](error_code ec, std::size_t n) {
                                    if (ec) {
                                        return;
                                    }
                                    self->received_.append(self->buf_.data(), n);
                                    self->read_responses();
                                    self->pause_and_read();
                                });
    }
    void pause_and_read()
    {
        if (plan_.reads != caller_plan::reading::slow) {
            read();
            return;
        }
        read_timer_.expires_after(slow_read_interval);
        read_timer_.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec) {
                self->read();
            }
        });
    }
    void read_responses()
    {
        while (!received_.empty() && reader_.feed(received_) == parse_state::complete) {
            const auto status = reader_.take().response.status;
            if (responses_ < plan_.ids.size() && implies_not_run(status)) {
                refused_.push_back(plan_.ids[responses_]);
            }
            ++responses_;
            reader_.expect("GET");
        }
    }

    tcp::socket socket_;
    asio::steady_timer write_timer_;
    asio::steady_timer read_timer_;
    caller_plan plan_;
    std::size_t piece_ = 0;
    std::size_t sent_ = 0;
    std::vector<char> buf_;
    std::string received_;
    response_reader reader_;
    std::size_t responses_ = 0;
    std::vector<std::string> refused_;
};

/// Stand-ins of the store and of a backend server, on a thread of their own. The backend server
/// answers with `size` bytes after `wait` ms, which the query of the request gives.
class standins {
public:
    standins(const vm_address& store_address, const vm_address& backend_address)
        : store_(loop_, time_),
          backend_(
              loop_, time_,
              [this](const edge::parsed_request& request, edge::http_server::respond respond) {
                  return run(request, std::move(respond));
              },
              [] {
                  edge::caller_limits it;
                  it.idle_timeout = std::chrono::minutes(5);
                  return it;
              })
    {
        if (!store_.listen(store_address) || !backend_.listen(backend_address)) {
            throw std::runtime_error("a stand-in cannot listen on its loopback address");
        }
        write_rows(backend_address);
        thread_ = std::thread([this] { loop_.run(); });
    }
    standins(const standins&) = delete;
    standins& operator=(const standins&) = delete;
    ~standins()
    {
        loop_.stop();
        thread_.join();
    }

    /// Attempt ids of the requests that have started to run.
    std::set<std::string> runs()
    {
        std::promise<std::set<std::string>> result;
        asio::post(loop_, [&] { result.set_value(runs_); });
        return result.get_future().get();
    }

private:
    void write_rows(const vm_address& backend_address)
    {
        const auto route = [](const char* prefix, const char* type) {
            return nlohmann::json{
                {"host", host},      {"prefix", prefix},        {"service", "desk"},
                {"timeout_s", 30.0}, {"target_latency_s", 5.0}, {"route_type", type},
                {"priority", 1},     {"max_attempts", 1},       {"cache_affinity", false}};
        };
        store_.put(
            "op", "config",
            {{"version", 1},
             {"routes", {{"read", route("/read/", "safe")}, {"write", route("/write/", "unsafe")}}},
             {"services",
              {{"desk",
                {{"health_path", "/health"},
                 {"max_connections", backend_slots},
                 {"cold_start_s", 0.0},
                 {"warmup_per_s", 10.0}}}}},
             {"limits",
              {{"max_header_bytes", max_header_bytes},
               {"max_body_bytes", max_body_bytes},
               {"header_timeout_s", 3.0},
               {"idle_timeout_s", 15.0}}}});
        store_.put("servers", "desk-1",
                   {{"service", "desk"},
                    {"address", backend_address.to_string()},
                    {"zone", "west-a"},
                    {"version", "1"},
                    {"slots", backend_slots},
                    {"state", "ready"},
                    {"cold_remaining_s", 0.0},
                    {"sequence", 1},
                    {"born", 1}});
    }

    static std::size_t query_number(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        return at == std::string::npos ? 0 : std::stoul(target.substr(at + name.size() + 1));
    }

    edge::http_server::cancel run(const edge::parsed_request& request,
                                  edge::http_server::respond respond)
    {
        const std::string id(edge::find_header(request.request.headers, "X-Attempt-Id"));
        runs_.insert(id);
        http_response response{200, {{"X-Attempt-Id", id}, {"X-Server-Seal", "desk-1"}}, {}};
        const auto size = query_number(request.request.path, "size");
        const auto timer = std::make_shared<asio::steady_timer>(
            loop_, milliseconds(query_number(request.request.path, "wait")));
        timer->async_wait([timer, size, response = std::move(response),
                           respond = std::move(respond)](error_code) mutable {
            response.body.assign(size, 'r');
            respond(std::move(response));
        });
        return {};
    }

    asio::io_context loop_{1};
    system_clock time_;
    soak::soak_store store_;
    edge::http_server backend_;
    std::set<std::string> runs_;
    std::thread thread_;
};

/// Peak resident memory of a process, in MiB; 0 if it does not run.
std::size_t peak_memory_mb(pid_t process)
{
    std::ifstream in(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(in, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return (std::stoul(line.substr(6)) + 1023) / 1024;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process)
{
    std::size_t count = 0;
    if (DIR* const folder = ::opendir(fmt::format("/proc/{}/fd", process).c_str())) {
        while (const auto* entry = ::readdir(folder)) { // NOLINT(concurrency-mt-unsafe)
            count += entry->d_name[0] == '.' ? 0 : 1;
        }
        ::closedir(folder);
    }
    return count;
}

} // namespace

/// Callers outside the operator's control must not exhaust the memory or the descriptors of the
/// daemon. Each test starts one `toucand edge` process and one kind of crowd; the peak memory must
/// stay below `memory_mb` and the descriptors below `max_descriptors` of its settings.
class misbehaving_callers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(misbehaving_callers_test);
    CPPUNIT_TEST(bodies_that_stop_short_of_their_end);
    CPPUNIT_TEST(many_bodies_below_the_always_granted_size);
    CPPUNIT_TEST(complete_bodies_of_requests_in_progress);
    CPPUNIT_TEST(bodies_over_the_limit);
    CPPUNIT_TEST(heads_of_many_short_fields);
    CPPUNIT_TEST(pipelined_requests_with_unread_responses);
    CPPUNIT_TEST(pipelined_requests_without_a_route);
    CPPUNIT_TEST(slow_senders);
    CPPUNIT_TEST(slow_readers_of_large_responses);
    CPPUNIT_TEST(crowd_at_the_readiness_port);
    CPPUNIT_TEST(all_crowds_together);
    CPPUNIT_TEST_SUITE_END();

    address_range addresses_;
    temporary_folder folder_;
    vm_address store_ = addresses_.next(8142);
    vm_address backend_ = addresses_.next(8200);
    vm_address callers_ = addresses_.next(8144);
    vm_address readiness_{callers_.ip(), 8140};
    std::unique_ptr<standins> standins_;
    std::unique_ptr<child_process> daemon_;
    asio::io_context loop_{1};
    std::vector<std::shared_ptr<crowd_caller>> crowd_;
    std::size_t peak_descriptors_ = 0;
    std::size_t next_id_ = 1;

    std::string new_id() { return fmt::format("{:016x}", next_id_++); }

    static std::string head(const std::string& method, const std::string& target,
                            const std::string& id, const std::string& more = {})
    {
        return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\n"
                           "X-Deadline-Ms: 30000\r\n{}\r\n",
                           method, target, host, id, more);
    }

    void add_caller(const vm_address& to, caller_plan plan)
    {
        crowd_.push_back(std::make_shared<crowd_caller>(loop_, std::move(plan)));
        crowd_.back()->start(to);
    }

    void run_for(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            loop_.restart();
            loop_.run_for(sample_interval);
            peak_descriptors_ = std::max(peak_descriptors_, open_descriptors(daemon_->pid()));
        }
    }

    /// Sends a request on a connection of its own.
    /// @return status of the response; 0 without a response.
    int status_of(const vm_address& to, const std::string& target)
    {
        const auto id = new_id();
        caller_plan plan;
        plan.pieces = {{shared(head("GET", target, id, "Connection: close\r\n")), 1}};
        const auto text = exchange(to, *plan.pieces.front().bytes);
        return text.rfind("HTTP/1.1 ", 0) == 0 ? std::stoi(text.substr(9, 3)) : 0;
    }

    /// Sends bytes and reads until the peer closes, while the crowd goes on.
    std::string exchange(const vm_address& to, const std::string& bytes)
    {
        const auto socket = std::make_shared<tcp::socket>(loop_);
        const auto received = std::make_shared<std::string>();
        const auto done = std::make_shared<bool>(false);
        socket->async_connect(edge::tcp_endpoint(to), [=](error_code ec) {
            if (ec) {
                *done = true;
                return;
            }
            asio::async_write(*socket, asio::buffer(bytes), [=](error_code, std::size_t) {
                asio::async_read(*socket, asio::dynamic_buffer(*received),
                                 [=](error_code, std::size_t) { *done = true; });
            });
        });
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!*done && std::chrono::steady_clock::now() < end) {
            run_for(sample_interval);
        }
        error_code ec;
        socket->close(ec);
        return *received;
    }

    void check_answered(const vm_address& to, const std::string& target)
    {
        const bool answered = wait_until([&] { return status_of(to, target) == 200; });
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("no response 200 to {}, running={}", target, daemon_->running()), answered);
    }

    void add_short_bodies(const vm_address& to, const std::string& path, std::size_t callers)
    {
        const auto block = shared(std::string(65536, 'b'));
        const auto small = shared(std::string(700, 'b'));
        const auto chunk = shared(fmt::format("4000\r\n{}\r\n", std::string(0x4000, 'b')));
        const auto rest = shared(std::string(65535, 'b'));
        const auto length = fmt::format("Content-Length: {}\r\n", max_body_bytes);
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        for (std::size_t n = 0; n < callers; ++n) {
            const auto id = new_id();
            caller_plan it;
            it.ids = {id};
            it.reads = caller_plan::reading::all;
            it.pieces = {{shared(head("POST", path, id, n % 3 == 2 ? chunked : length)), 1}};
            switch (n % 3) {
            case 0:
                it.pieces.push_back({block, max_body_bytes / block->size() - 1});
                it.pieces.push_back({rest, 1});
                break;
            case 1:
                it.pieces.push_back({small, (max_body_bytes - 1) / small->size()});
                break;
            default:
                it.pieces.push_back({chunk, (max_body_bytes - 1) / 0x4000});
            }
            add_caller(to, std::move(it));
        }
    }

    void add_small_bodies(std::size_t callers)
    {
        const auto body = shared(std::string(31000, 'b'));
        for (std::size_t n = 0; n < callers; ++n) {
            const auto id = new_id();
            caller_plan it;
            it.ids = {id};
            it.reads = caller_plan::reading::all;
            it.pieces = {{shared(head("POST", "/write/1", id, "Content-Length: 31001\r\n")), 1},
                         {body, 1}};
            add_caller(callers_, std::move(it));
        }
    }

    void add_complete_bodies(std::size_t callers)
    {
        const auto block = shared(std::string(65536, 'b'));
        for (std::size_t n = 0; n < callers; ++n) {
            const auto id = new_id();
            caller_plan it;
            it.ids = {id};
            it.reads = caller_plan::reading::all;
            it.pieces = {{shared(head("POST", "/write/1?wait=4000", id,
                                      fmt::format("Content-Length: {}\r\n", max_body_bytes))),
                          1},
                         {block, max_body_bytes / block->size()}};
            add_caller(callers_, std::move(it));
        }
    }

    void add_bodies_over_the_limit(const vm_address& to, const std::string& path,
                                   std::size_t callers)
    {
        const auto block = shared(std::string(65536, 'b'));
        const auto chunk = shared(fmt::format("10000\r\n{}\r\n", *block));
        for (std::size_t n = 0; n < callers; ++n) {
            const auto id = new_id();
            const bool announced = n % 2 == 0;
            caller_plan it;
            it.ids = {id};
            it.reads = caller_plan::reading::all;
            it.pieces = {{shared(head("POST", path, id,
                                      announced ? "Content-Length: 4000000000\r\n"
                                                : "Transfer-Encoding: chunked\r\n")),
                          1},
                         {announced ? block : chunk, 4 * max_body_bytes / block->size()}};
            add_caller(to, std::move(it));
        }
    }

    /// Half of the callers stop short of the end of a head; the others pipeline complete requests.
    void add_heads_of_many_fields(const vm_address& to, const std::string& path,
                                  std::size_t callers)
    {
        constexpr std::size_t pipelined = 16;
        std::string fields;
        for (std::size_t n = 0; n < 245; ++n) {
            fields += fmt::format("f{:x}: v\r\n", n);
        }
        for (std::size_t n = 0; n < callers; ++n) {
            caller_plan it;
            it.reads = caller_plan::reading::all;
            std::string bytes;
            for (std::size_t k = 0; k < (n % 2 == 0 ? pipelined : 1); ++k) {
                it.ids.push_back(new_id());
                bytes += head("GET", path, it.ids.back(), fields);
            }
            if (n % 2 != 0) {
                bytes.resize(bytes.size() - 2);
            }
            it.pieces = {{shared(std::move(bytes)), 1}};
            add_caller(to, std::move(it));
        }
    }

    void add_pipelined_unread(const vm_address& to, const std::string& path, std::size_t callers,
                              std::size_t requests)
    {
        for (std::size_t n = 0; n < callers; ++n) {
            caller_plan it;
            std::string bytes;
            for (std::size_t k = 0; k < requests; ++k) {
                it.ids.push_back(new_id());
                bytes += head("GET", path, it.ids.back());
            }
            it.pieces = {{shared(std::move(bytes)), 1}};
            add_caller(to, std::move(it));
        }
    }

    /// Bytes of heads and of bodies, one at a time.
    void add_slow_senders(const vm_address& to, std::size_t callers)
    {
        for (std::size_t n = 0; n < callers; ++n) {
            const auto id = new_id();
            caller_plan it;
            it.ids = {id};
            it.reads = caller_plan::reading::all;
            it.pause = milliseconds(500);
            if (n % 2 == 0) {
                it.pieces = {{shared("GET /read/1 HTTP/1.1\r\nf: "), 1}, {shared("v"), 1000}};
            }
            else {
                it.pieces = {{shared(head("POST", "/write/1", id, "Content-Length: 1000\r\n")), 1},
                             {shared("b"), 999}};
            }
            add_caller(to, std::move(it));
        }
    }

    void add_slow_readers(std::size_t callers)
    {
        for (std::size_t n = 0; n < callers; ++n) {
            const auto id = new_id();
            caller_plan it;
            it.ids = {id};
            it.reads = caller_plan::reading::slow;
            it.pieces = {{shared(head("GET", "/read/1?size=8000000", id)), 1}};
            add_caller(callers_, std::move(it));
        }
    }

    /// Runs the crowd that was added, then checks the daemon.
    void run_and_check(const char* name)
    {
        run_for(crowd_time);
        const bool survived = daemon_->running();
        if (survived) {
            check_answered(readiness_, "/toucanpoint/ready");
            check_answered(callers_, "/read/1?size=100");
        }
        for (const auto& it : crowd_) {
            it->drain();
        }
        run_for(drain_time);
        for (const auto& it : crowd_) {
            it->close();
        }
        const auto memory = peak_memory_mb(daemon_->pid());
        std::size_t responses = 0;
        std::size_t refused = 0;
        for (const auto& it : crowd_) {
            responses += it->responses();
            refused += it->refused().size();
        }
        std::cerr << fmt::format(
            "{}: peak memory {} MiB of {}, descriptors {} of {}, {} responses, {} refused\n", name,
            memory, memory_mb, peak_descriptors_, max_descriptors, responses, refused);
        CPPUNIT_ASSERT_MESSAGE(daemon_->log_text(), daemon_->running());
        check_answered(callers_, "/read/1?size=100");
        check_refused_not_run();
        CPPUNIT_ASSERT_MESSAGE(fmt::format("peak memory {} MiB", memory), memory < memory_mb);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} descriptors", peak_descriptors_),
                               peak_descriptors_ <= max_descriptors);
    }

    void check_refused_not_run()
    {
        const auto runs = standins_->runs();
        for (const auto& it : crowd_) {
            for (const auto& id : it->refused()) {
                CPPUNIT_ASSERT_MESSAGE("refused request has run: " + id, !runs.contains(id));
            }
        }
    }

    static void raise_descriptor_limit()
    {
        rlimit it{};
        ::getrlimit(RLIMIT_NOFILE, &it);
        it.rlim_cur = std::min<rlim_t>(it.rlim_max, 8192);
        ::setrlimit(RLIMIT_NOFILE, &it);
    }

public:
    void setUp() override
    {
        raise_descriptor_limit();
        standins_ = std::make_unique<standins>(store_, backend_);
        const auto path = folder_.file("edge.toml");
        std::ofstream(path) << fmt::format(
            "[daemon]\nname = \"edge-1\"\nfailure_domain = \"west-a\"\nregion = \"west\"\n"
            "memory_mb = {}\nmax_descriptors = {}\n[listen]\ncallers = \"{}\"\n"
            "readiness = \"{}\"\ndirectory = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n"
            "[store]\naddress = \"{}\"\n[regions]\nwest-a = \"west\"\n",
            memory_mb, max_descriptors, callers_.to_string(), readiness_.to_string(),
            vm_address(callers_.ip(), 8143).to_string(),
            vm_address(callers_.ip(), 7660).to_string(),
            vm_address(callers_.ip(), 9102).to_string(), store_.to_string());
        daemon_ = std::make_unique<child_process>(
            TOUCAN_DAEMON, std::vector<std::string>{"edge", "--settings", path},
            folder_.file("edge.log"));
        check_answered(readiness_, "/toucanpoint/ready");
        check_answered(callers_, "/read/1?size=100");
    }

    void tearDown() override
    {
        for (const auto& it : crowd_) {
            it->close();
        }
        loop_.restart();
        loop_.run_for(milliseconds(20));
        crowd_.clear();
        daemon_.reset();
        standins_.reset();
    }

    // Guards against bodies of legal size that hold memory as long as their callers wait, in one
    // piece, in small pieces and in chunks.
    void bodies_that_stop_short_of_their_end()
    {
        add_short_bodies(callers_, "/write/1", 30);
        add_short_bodies(callers_, "/nothing", 6);
        run_and_check("bodies_that_stop_short_of_their_end");
    }

    // Guards against many bodies that are each too small to be refused.
    void many_bodies_below_the_always_granted_size()
    {
        add_small_bodies(2500);
        run_and_check("many_bodies_below_the_always_granted_size");
    }

    // Guards against bodies whose memory is no longer counted once they are complete.
    void complete_bodies_of_requests_in_progress()
    {
        // A few at a time, so that bodies that are still received do not exhaust the budget.
        for (std::size_t n = 0; n < 20; ++n) {
            add_complete_bodies(2);
            run_for(milliseconds(100));
        }
        run_and_check("complete_bodies_of_requests_in_progress");
    }

    // Guards against memory held for bodies that are refused in any case.
    void bodies_over_the_limit()
    {
        add_bodies_over_the_limit(callers_, "/write/1", 60);
        add_bodies_over_the_limit(callers_, "/nothing", 20);
        run_and_check("bodies_over_the_limit");
    }

    // Guards against fields that take far more memory than their bytes.
    void heads_of_many_short_fields()
    {
        add_heads_of_many_fields(callers_, "/read/1?wait=4000", 500);
        add_heads_of_many_fields(callers_, "/nothing", 50);
        run_and_check("heads_of_many_short_fields");
    }

    // Guards against responses that pile up in the daemon because their caller does not read.
    void pipelined_requests_with_unread_responses()
    {
        add_pipelined_unread(callers_, "/read/1?size=500000", 20, 60);
        run_and_check("pipelined_requests_with_unread_responses");
    }

    // As above, with small responses that the daemon gives itself.
    void pipelined_requests_without_a_route()
    {
        add_pipelined_unread(callers_, "/nothing", 20, 30000);
        run_and_check("pipelined_requests_without_a_route");
    }

    // Guards against connections that take all descriptors.
    void slow_senders()
    {
        add_slow_senders(callers_, 1500);
        run_and_check("slow_senders");
    }

    // Guards against large responses held for callers that read slowly.
    void slow_readers_of_large_responses()
    {
        for (std::size_t n = 0; n < 30; ++n) {
            add_slow_readers(2);
            run_for(milliseconds(50));
        }
        run_and_check("slow_readers_of_large_responses");
    }

    // Guards against bounds that only the callers' port has.
    void crowd_at_the_readiness_port()
    {
        add_short_bodies(readiness_, "/toucanpoint/ready", 30);
        add_bodies_over_the_limit(readiness_, "/toucanpoint/ready", 10);
        add_heads_of_many_fields(readiness_, "/toucanpoint/ready", 50);
        add_pipelined_unread(readiness_, "/toucanpoint/ready", 10, 30000);
        add_slow_senders(readiness_, 1000);
        run_and_check("crowd_at_the_readiness_port");
    }

    // Guards against bounds that hold for each kind of caller alone but not for all of them.
    void all_crowds_together()
    {
        add_short_bodies(callers_, "/write/1", 12);
        add_small_bodies(500);
        add_complete_bodies(10);
        add_bodies_over_the_limit(callers_, "/write/1", 20);
        add_heads_of_many_fields(callers_, "/read/1?wait=4000", 100);
        add_pipelined_unread(callers_, "/read/1?size=500000", 10, 60);
        add_pipelined_unread(callers_, "/nothing", 5, 30000);
        add_slow_senders(callers_, 500);
        add_slow_readers(10);
        add_short_bodies(readiness_, "/toucanpoint/ready", 6);
        add_slow_senders(readiness_, 100);
        run_and_check("all_crowds_together");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(misbehaving_callers_test);

} // namespace toucan::test
