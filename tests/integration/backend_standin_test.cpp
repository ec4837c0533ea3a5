#include "common/response_rule.h"
#include "support/http.h"
#include "support/standin_process.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <optional>
#include <string>
#include <vector>

namespace toucan::test {

// Each test guards against a fault setting without effect: tests of the daemon would then pass
// without the fault that they inject.
class backend_standin_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_standin_test);
    CPPUNIT_TEST(answer_follows_the_rule);
    CPPUNIT_TEST(answers_of_different_requests_differ);
    CPPUNIT_TEST(work_beyond_the_slots_is_shed);
    CPPUNIT_TEST(connections_beyond_the_limit_are_refused);
    CPPUNIT_TEST(cold_start_is_slower);
    CPPUNIT_TEST(drain_is_reported_and_refuses_after_the_grace_time);
    CPPUNIT_TEST(short_deadline_is_not_run);
    CPPUNIT_TEST(disconnect_cancels);
    CPPUNIT_TEST(load_reports_lag_freeze_and_misreport);
    CPPUNIT_TEST(execution_is_recorded_before_the_answer);
    CPPUNIT_TEST(faults_prevent_a_whole_answer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        const std::vector<std::string> args = {"--name", "b", "--slots", "4"};
        backend_.emplace(TOUCAN_BACKEND_STANDIN, args);
    }
    void tearDown() override { backend_.reset(); }

    void answer_follows_the_rule()
    {
        const auto it = call("POST", "/orders/1?x=2", "t1", "content", 5000);
        CPPUNIT_ASSERT_EQUAL(200, it->status);
        CPPUNIT_ASSERT_EQUAL(std::string("5000"), it->header("Content-Length"));
        CPPUNIT_ASSERT(it->body ==
                       standins::expected_body({"POST", "/orders/1?x=2", "content", "t1", 5000}));
    }

    void answers_of_different_requests_differ()
    {
        const auto one = standins::expected_body({"GET", "/a", "", "t1", 1000});
        const auto two = standins::expected_body({"GET", "/a", "", "t2", 1000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, one.size());
        CPPUNIT_ASSERT(one.substr(500) != two.substr(500));
        CPPUNIT_ASSERT(one.substr(500, 100) != one.substr(600, 100));
    }

    void work_beyond_the_slots_is_shed()
    {
        set("settings", {{"slots", 1}, {"service_ms", 1000}});
        auto first = call_async("t1");
        wait_for_slots_in_use(1);
        const auto it = call("GET", "/b", "t2");
        CPPUNIT_ASSERT_EQUAL(503, it->status);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), it->header("Toucan-Shed"));
        CPPUNIT_ASSERT_EQUAL(200, first.get()->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report("executions").size());
        CPPUNIT_ASSERT_EQUAL(1, report("usage")["peak"].get<int>());
    }

    void connections_beyond_the_limit_are_refused()
    {
        const standin_process limited(TOUCAN_BACKEND_STANDIN, {"--connections", "1"});
        const auto send = [&limited](const std::string& target) {
            return http_send(limited.address(), "GET", target);
        };
        // Retries: the connection of the request before, of the start or the control request, may
        // still be open and count towards the limit.
        const nlohmann::json slow = {{"service_ms", 1000}};
        CPPUNIT_ASSERT(wait_until([&] {
            const auto it =
                http_send(limited.address(), "POST", "/control/settings", {}, slow.dump());
            return it && it->status == 200;
        }));
        auto busy = std::async(std::launch::async, [&] {
            std::optional<http_response> out;
            wait_until([&] { return (out = send("/a")).has_value(); });
            return out;
        });
        CPPUNIT_ASSERT(wait_until([&] { return !send("/health"); }));
        CPPUNIT_ASSERT_EQUAL(200, busy.get()->status);
        CPPUNIT_ASSERT(wait_until([&] { return send("/health").has_value(); }));
    }

    void cold_start_is_slower()
    {
        set("settings", {{"service_ms", 100}, {"cold_for_ms", 60000}, {"cold_factor", 5}});
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(200, call("GET", "/a", "t1")->status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(500));
    }

    void drain_is_reported_and_refuses_after_the_grace_time()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), health());
        set("drain", {{"draining", true}, {"grace_ms", 60000}});
        CPPUNIT_ASSERT_EQUAL(std::string("draining"), health());
        CPPUNIT_ASSERT_EQUAL(200, call("GET", "/a", "t1")->status);
        set("drain", {{"draining", true}, {"grace_ms", 0}});
        const auto it = call("GET", "/a", "t2");
        CPPUNIT_ASSERT_EQUAL(503, it->status);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), it->header("Toucan-Shed"));
        set("drain", {{"draining", false}});
        CPPUNIT_ASSERT_EQUAL(200, call("GET", "/a", "t3")->status);
    }

    void short_deadline_is_not_run()
    {
        set("settings", {{"service_ms", 500}});
        const auto it = http_send(address(), "GET", "/a", {{"Toucan-Deadline-Ms", "100"}});
        CPPUNIT_ASSERT_EQUAL(504, it->status);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), it->header("Toucan-Shed"));
        CPPUNIT_ASSERT(report("executions").empty());
    }

    void disconnect_cancels()
    {
        set("settings", {{"service_ms", 20000}});
        CPPUNIT_ASSERT(!http_send(address(), "GET", "/a", {}, "", std::chrono::milliseconds(300)));
        CPPUNIT_ASSERT(wait_until([this] { return report("usage")["cancelled"] == 1; }));
        CPPUNIT_ASSERT_EQUAL(0, report("usage")["in_use"].get<int>());
    }

    void load_reports_lag_freeze_and_misreport()
    {
        set("settings", {{"service_ms", 2000}, {"report_lag_ms", 60000}});
        auto busy = call_async("t1");
        wait_for_slots_in_use(1);
        CPPUNIT_ASSERT_EQUAL(0, load());
        set("settings", {{"report_lag_ms", 0}});
        CPPUNIT_ASSERT_EQUAL(1, load());
        set("freeze", {{"frozen", true}});
        set("drain", {{"draining", true}, {"grace_ms", 60000}});
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), health());
        CPPUNIT_ASSERT_EQUAL(200, busy.get()->status);
        CPPUNIT_ASSERT_EQUAL(1, load());
        set("freeze", {{"frozen", false}});
        CPPUNIT_ASSERT_EQUAL(0, load());
        CPPUNIT_ASSERT_EQUAL(std::string("draining"), health());
        set("settings", {{"lie_state", "ready"}, {"lie_in_use", 7}});
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), health());
        CPPUNIT_ASSERT_EQUAL(7, load());
    }

    void execution_is_recorded_before_the_answer()
    {
        fault("stall", 2000);
        auto it = call_async("t1");
        CPPUNIT_ASSERT(wait_until([this] { return report("executions").size() == 1; }));
        CPPUNIT_ASSERT(it.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
        const auto list = report("executions");
        CPPUNIT_ASSERT_EQUAL(std::string("key-t1"), list[0]["key"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("north"), list[0]["entry_region"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(200, it.get()->status);
    }

    void faults_prevent_a_whole_answer()
    {
        fault("close_before_run", 0);
        CPPUNIT_ASSERT(!call("GET", "/a", "t1"));
        CPPUNIT_ASSERT(report("executions").empty());
        std::size_t ran = 0;
        for (const auto* kind : {"close_after_run", "reset", "truncate"}) {
            fault(kind, 50);
            CPPUNIT_ASSERT_MESSAGE(kind, !call("GET", "/a", kind));
            CPPUNIT_ASSERT_EQUAL(++ran, report("executions").size());
            CPPUNIT_ASSERT_EQUAL(200, call("GET", "/a", std::string("after ") + kind)->status);
            ++ran;
        }
        CPPUNIT_ASSERT_EQUAL(0, report("usage")["in_use"].get<int>());
    }

private:
    [[nodiscard]] const vm_address& address() const { return backend_->address(); }

    std::optional<http_response> call(const std::string& method, const std::string& target,
                                      const std::string& test_id, const std::string& body = {},
                                      int size = 500)
    {
        return http_send(address(), method, target,
                         {{"Toucan-Test-Id", test_id},
                          {"Toucan-Test-Size", std::to_string(size)},
                          {"Toucan-Operation-Key", "key-" + test_id},
                          {"Toucan-Entry-Region", "north"}},
                         body);
    }

    std::future<std::optional<http_response>> call_async(const std::string& test_id)
    {
        return std::async(std::launch::async,
                          [this, test_id] { return call("GET", "/a", test_id); });
    }

    void set(const std::string& endpoint, const nlohmann::json& body)
    {
        post_control(address(), "/control/" + endpoint, body);
    }
    void fault(const std::string& kind, int value)
    {
        set("fault", {{"kind", kind}, {"count", 1}, {"value", value}});
    }
    nlohmann::json report(const std::string& name)
    {
        return *get_json(address(), "/control/" + name);
    }
    std::string health() { return (*get_json(address(), "/health"))["state"]; }
    int load() { return (*get_json(address(), "/load"))["in_use"]; }
    void wait_for_slots_in_use(int n)
    {
        CPPUNIT_ASSERT(wait_until([&] { return report("usage")["in_use"] == n; }));
    }

    std::optional<standin_process> backend_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_standin_test);

} // namespace toucan::test
