#include "fault_proxy.h"
#include "http_message.h"
#include "soak_backend.h"
#include "soak_store.h"
#include "stream.h"
#include "support/address_range.h"
#include "support/child_process.h"
#include "support/http.h"
#include "support/known_red.h"
#include "support/temporary_folder.h"

#include "toucan/base/system_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucan::test {

namespace {

using soak::link_fault;
using std::chrono::milliseconds;

/// Longest time from the write of a configuration until it is in force at all daemons.
constexpr milliseconds config_apply{4000};
constexpr milliseconds start_limit{20'000};
constexpr milliseconds response_limit{10'000};

/// Connection of a caller that records the status of each response.
class key_caller {
public:
    key_caller(edge::asio::io_context& loop, const vm_address& to, std::string name)
        : name_(std::move(name))
    {
        edge::tcp::socket socket(loop);
        socket.connect(edge::tcp_endpoint(to));
        stream_ = std::make_shared<edge::stream>(std::move(socket));
        stream_->start({[this](std::string& in) {
                            while (!in.empty() && reader_.feed(in) == parse_state::complete) {
                                statuses_.push_back(reader_.take().response.status);
                                reader_.expect("GET");
                            }
                        },
                        [](edge::stream::ending) {
                        }});
    }
    key_caller(const key_caller&) = delete;
    key_caller& operator=(const key_caller&) = delete;
    ~key_caller() { stream_->close(); }

    void send(const std::string& key)
    {
        stream_->write(fmt::format("GET /read/x HTTP/1.1\r\nHost: a.example\r\n"
                                   "X-Attempt-Id: {}-{}\r\nAuthorization: Token {}\r\n\r\n",
                                   name_, sent_++, key));
    }
    [[nodiscard]] const std::vector<int>& statuses() const { return statuses_; }
    [[nodiscard]] bool idle() const { return statuses_.size() == sent_; }

private:
    std::string name_;
    std::shared_ptr<edge::stream> stream_;
    response_reader reader_;
    std::size_t sent_ = 0;
    std::vector<int> statuses_;
};

/// Store, one backend server, two daemons of one failure domain and one of another, each with its
/// own link to the store.
class key_deployment {
public:
    explicit key_deployment(const std::string& bounds)
        : store_(loop_, time_), store_address_(range_.next()),
          backend_(loop_, time_, {"b1", "desk", "west-a", "west", range_.next(), range_.next()},
                   store_, record_, 1)
    {
        CPPUNIT_ASSERT(store_.listen(store_address_));
        publish({"first-key"});
        backend_.start(false);
        for (int n = 0; n < 3; ++n) {
            start_daemon(n, bounds);
        }
        for (const auto& it : callers_ports_) {
            CPPUNIT_ASSERT_MESSAGE(logs(), run_until(
                                               [&] {
                                                   try {
                                                       return ask(it, "first-key") == 200;
                                                   }
                                                   catch (const std::exception&) {
                                                       return false;
                                                   }
                                               },
                                               start_limit));
        }
        // The daemons choose their relay.
        run_for(milliseconds(1500));
    }
    key_deployment(const key_deployment&) = delete;
    key_deployment& operator=(const key_deployment&) = delete;
    ~key_deployment()
    {
        for (const auto& it : daemons_) {
            it->kill();
        }
        callers_.clear();
        store_.close();
        backend_.crash();
        run_for(milliseconds(20));
    }

    /// Writes a configuration in which one workspace has these keys.
    void publish(const std::vector<std::string>& keys)
    {
        ++version_;
        const nlohmann::json route = {
            {"host", "a.example"},  {"prefix", "/read/"}, {"service", "desk"},
            {"route_type", "safe"}, {"timeout_s", 8.0},   {"target_latency_s", 4.0},
            {"priority", 1},        {"max_attempts", 3},  {"cache_affinity", false}};
        store_.put("op", "config",
                   {{"version", version_},
                    {"routes", {{"read", route}}},
                    {"services",
                     {{"desk",
                       {{"health_path", "/health"},
                        {"max_connections", 200},
                        {"cold_start_s", 3.0},
                        {"warmup_per_s", 10.0}}}}},
                    {"tenants", {{"acme", {{"api_keys", keys}}}}},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 1048576},
                      {"header_timeout_s", 5.0},
                      {"idle_timeout_s", 30.0}}}});
    }
    key_caller& connect(std::size_t daemon)
    {
        return *callers_.emplace_back(std::make_unique<key_caller>(
            loop_, callers_ports_[daemon], fmt::format("c{}", callers_.size())));
    }
    /// Sends a request on a new connection and returns its status.
    int ask(std::size_t daemon, const std::string& key) { return ask(callers_ports_[daemon], key); }
    bool run_until(const std::function<bool()>& done, milliseconds limit)
    {
        const auto end = time_.now() + limit;
        while (!done()) {
            if (time_.now() > end) {
                return false;
            }
            loop_.restart();
            loop_.run_for(milliseconds(10));
        }
        return true;
    }
    void run_for(milliseconds it)
    {
        run_until([] { return false; }, it);
    }
    void cut_store(std::size_t daemon, bool cut)
    {
        store_links_[daemon]->set_fault(cut ? link_fault::reset : link_fault::none);
    }
    [[nodiscard]] soak::soak_backend& backend() { return backend_; }
    [[nodiscard]] const soak::history& record() const { return record_; }
    [[nodiscard]] std::string logs() const
    {
        std::string text;
        for (const auto& it : daemons_) {
            text += it->log_text();
        }
        return text;
    }
    /// No backend server has received a key or another workspace, and no log has a key.
    void expect_no_key_seen() const
    {
        CPPUNIT_ASSERT(!record_.executions.empty());
        for (const auto& it : record_.executions) {
            CPPUNIT_ASSERT_MESSAGE(it.id, !it.has_key);
            CPPUNIT_ASSERT_EQUAL(std::string("acme"), it.workspace);
        }
        CPPUNIT_ASSERT(logs().find("first-key") == std::string::npos);
    }

private:
    int ask(const vm_address& to, const std::string& key)
    {
        key_caller caller(loop_, to, fmt::format("q{}", ++asked_));
        caller.send(key);
        run_until([&] { return caller.idle(); }, response_limit);
        return caller.idle() ? caller.statuses().front() : 0;
    }
    void start_daemon(int n, const std::string& bounds)
    {
        const auto address = range_.next(8144);
        const auto link = range_.next();
        const auto port = [&](std::uint16_t it) {
            return vm_address(address.ip(), it).to_string();
        };
        store_links_.push_back(std::make_unique<soak::fault_proxy>(loop_, link, store_address_));
        callers_ports_.push_back(address);
        const auto settings = folder_.file(fmt::format("entry-{}.toml", n));
        std::ofstream(settings) << fmt::format(
            "[daemon]\nname = \"entry-{}\"\nfailure_domain = \"west-{}\"\nregion = \"west\"\n"
            "memory_mb = 182\n[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\n"
            "directory = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n[store]\naddress = \"{}\"\n"
            "[regions]\nwest-a = \"west\"\nwest-b = \"west\"\n[bounds]\n{}\n",
            n, n < 2 ? "a" : "b", address.to_string(), port(8140), port(8143), port(7660),
            port(9102), link.to_string(), bounds);
        daemons_.push_back(std::make_unique<child_process>(
            TOUCAN_DAEMON, std::vector<std::string>{"edge", "--settings", settings},
            folder_.file(fmt::format("entry-{}.log", n))));
    }

    edge::asio::io_context loop_{1};
    system_clock time_;
    address_range range_;
    temporary_folder folder_;
    soak::history record_;
    soak::soak_store store_;
    vm_address store_address_;
    soak::soak_backend backend_;
    std::vector<std::unique_ptr<soak::fault_proxy>> store_links_;
    std::vector<vm_address> callers_ports_;
    std::vector<std::unique_ptr<child_process>> daemons_;
    std::vector<std::unique_ptr<key_caller>> callers_;
    std::uint64_t version_ = 0;
    int asked_ = 0;
};

} // namespace

/// A withdrawn API key stops working at real daemons: on kept connections, for requests that wait
/// and without the store.
class workspace_key_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(workspace_key_test);
    CPPUNIT_TEST(withdrawn_key_ends_on_kept_connections);
    CPPUNIT_TEST(withdrawn_key_ends_in_the_queue_and_on_a_pipelined_connection);
    CPPUNIT_TEST(withdrawn_key_is_learned_through_the_relay);
    CPPUNIT_TEST(lost_store_ends_keyed_requests_only_if_revocation_is_strict);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a connection that keeps the key with which it was first used.
    void withdrawn_key_ends_on_kept_connections()
    {
        key_deployment system("");
        std::vector<key_caller*> callers{&system.connect(0), &system.connect(1)};
        const auto send_all = [&](const std::string& key, int expected) {
            for (auto* it : callers) {
                it->send(key);
                CPPUNIT_ASSERT(system.run_until([&] { return it->idle(); }, response_limit));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(system.logs(), expected, it->statuses().back());
            }
        };
        send_all("first-key", 200);
        send_all("unknown", 401);
        system.publish({"second-key"});
        system.run_for(config_apply);
        const auto runs = system.record().executions.size();
        send_all("first-key", 401);
        CPPUNIT_ASSERT_EQUAL(runs, system.record().executions.size());
        send_all("second-key", 200);
        system.expect_no_key_seen();
    }

    // Guards against requests that were accepted with a key and run after it was withdrawn.
    void withdrawn_key_ends_in_the_queue_and_on_a_pipelined_connection()
    {
        key_deployment system("");
        system.backend().set_fault(soak::backend_fault::slow);
        std::vector<key_caller*> callers;
        constexpr std::size_t count = 12;
        for (std::size_t n = 0; n < count; ++n) {
            callers.push_back(&system.connect(0));
            callers.back()->send("first-key");
        }
        auto& pipelined = system.connect(0);
        for (int n = 0; n < 4; ++n) {
            pipelined.send("first-key");
        }
        // The work of a request takes at least 120 ms, so the requests without a slot wait.
        system.run_for(milliseconds(50));
        system.publish({"second-key"});
        const auto denied = [&] {
            return std::any_of(callers.begin(), callers.end(), [](const auto* it) {
                return !it->statuses().empty() && it->statuses().front() == 401;
            });
        };
        CPPUNIT_ASSERT_MESSAGE(system.logs(), system.run_until(denied, config_apply));
        // Requests that a server has received may complete; no other one starts.
        system.run_for(milliseconds(200));
        const auto runs = system.record().executions.size();
        CPPUNIT_ASSERT(system.run_until(
            [&] {
                return pipelined.idle() && std::all_of(callers.begin(), callers.end(),
                                                       [](const auto* it) { return it->idle(); });
            },
            response_limit));
        pipelined.send("first-key");
        CPPUNIT_ASSERT(system.run_until([&] { return pipelined.idle(); }, response_limit));
        CPPUNIT_ASSERT_EQUAL(401, pipelined.statuses().back());
        CPPUNIT_ASSERT_EQUAL(runs, system.record().executions.size());
        system.expect_no_key_seen();
    }

    // Guards against a daemon that the store does not answer and that goes on with a withdrawn key,
    // although another daemon knows better.
    void withdrawn_key_is_learned_through_the_relay()
    {
        for (const std::size_t cut : {0U, 1U, 2U}) {
            key_deployment system("");
            system.cut_store(cut, true);
            system.run_for(milliseconds(500));
            auto& caller = system.connect(cut);
            caller.send("first-key");
            CPPUNIT_ASSERT(system.run_until([&] { return caller.idle(); }, response_limit));
            CPPUNIT_ASSERT_EQUAL(200, caller.statuses().back());
            system.publish({"second-key"});
            const system_clock time;
            const auto published = time.now();
            const auto denied = [&] {
                system.run_for(milliseconds(50));
                caller.send("first-key");
                return system.run_until([&] { return caller.idle(); }, response_limit) &&
                       caller.statuses().back() == 401;
            };
            CPPUNIT_ASSERT_MESSAGE(system.logs(), system.run_until(denied, response_limit));
            const auto ms =
                std::chrono::duration_cast<milliseconds>(time.now() - published).count();
            CPPUNIT_ASSERT_LESSEQUAL(std::int64_t{config_apply.count()}, std::int64_t{ms});
            system.expect_no_key_seen();
        }
    }

    // Without the store no daemon knows of withdrawn keys. With strict revocation they must stop
    // serving keyed requests, and serve again when the store returns; without, they must go on.
    void lost_store_ends_keyed_requests_only_if_revocation_is_strict()
    {
        for (const bool strict : {true, false}) {
            key_deployment system(
                fmt::format("strict_revocation = {}\nrevocation_s = 3\n", strict));
            const auto all_answer = [&](int status) {
                return system.ask(std::size_t{0}, "first-key") == status &&
                       system.ask(std::size_t{1}, "first-key") == status;
            };
            for (const std::size_t n : {0U, 1U, 2U}) {
                system.cut_store(n, true);
            }
            if (strict) {
                CPPUNIT_ASSERT_MESSAGE(
                    system.logs(),
                    system.run_until([&] { return all_answer(503); }, milliseconds(10'000)));
            }
            else {
                system.run_for(milliseconds(6000));
                CPPUNIT_ASSERT_MESSAGE(system.logs(), all_answer(200));
            }
            for (const std::size_t n : {0U, 1U, 2U}) {
                system.cut_store(n, false);
            }
            CPPUNIT_ASSERT_MESSAGE(system.logs(), system.run_until([&] { return all_answer(200); },
                                                                   milliseconds(10'000)));
            system.expect_no_key_seen();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_key_test);

} // namespace toucan::test
