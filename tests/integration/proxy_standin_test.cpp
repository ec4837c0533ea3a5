#include "support/http.h"
#include "support/standin_process.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace toucan::test {

// Each test guards against a fault setting without effect: tests of the daemon would then pass
// without the fault that they inject.
class proxy_standin_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(proxy_standin_test);
    CPPUNIT_TEST(whole_answers_are_forwarded_and_counted);
    CPPUNIT_TEST(cut_closes_and_refuses_connections_until_cleared);
    CPPUNIT_TEST(black_hole_accepts_and_forwards_nothing);
    CPPUNIT_TEST(delay_is_added_in_each_direction);
    CPPUNIT_TEST(dropped_requests_do_not_arrive);
    CPPUNIT_TEST(dropped_answers_come_from_requests_that_ran);
    CPPUNIT_TEST(answer_is_truncated);
    CPPUNIT_TEST(jitter_reorders_connections);
    CPPUNIT_TEST(routes_are_independent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        range_.emplace();
        route_ = range_->next();
        second_route_ = range_->next();
        const std::vector<std::string> slots = {"--slots", "16"};
        backend_.emplace(TOUCAN_BACKEND_STANDIN, slots);
        const std::vector<std::string> routes = {"--route", route_argument(route_), "--route",
                                                 route_argument(second_route_)};
        proxy_.emplace(TOUCAN_PROXY_STANDIN, routes, "--control");
    }
    void tearDown() override
    {
        proxy_.reset();
        backend_.reset();
        range_.reset();
    }

    void whole_answers_are_forwarded_and_counted()
    {
        const auto it = call(200'000);
        CPPUNIT_ASSERT(it && it->body.size() == 200'000);
        const auto counts = *get_json(proxy_->address(), "/control/counters");
        const auto& route = counts[route_.to_string()];
        CPPUNIT_ASSERT(route["bytes_back"].get<int>() > 200'000);
        CPPUNIT_ASSERT(route["bytes_forward"].get<int>() > 50);
        CPPUNIT_ASSERT_EQUAL(1, route["connections"].get<int>());
    }

    void cut_closes_and_refuses_connections_until_cleared()
    {
        post_control(backend_->address(), "/control/settings", {{"service_ms", 20000}});
        auto busy = std::async(std::launch::async, [this] { return call(10); });
        wait_for_executions(1);
        set({{"cut", true}});
        CPPUNIT_ASSERT(!busy.get());
        post_control(backend_->address(), "/control/settings", {{"service_ms", 1}});
        CPPUNIT_ASSERT(!call(10));
        set({{"cut", false}});
        CPPUNIT_ASSERT(call(10));
    }

    void black_hole_accepts_and_forwards_nothing()
    {
        set({{"blackhole", true}});
        CPPUNIT_ASSERT(!call(10, std::chrono::milliseconds(500)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, executions());
        const auto counts = *get_json(proxy_->address(), "/control/counters");
        CPPUNIT_ASSERT_EQUAL(1, counts[route_.to_string()]["connections"].get<int>());
        set({{"blackhole", false}});
        CPPUNIT_ASSERT(call(10));
    }

    void delay_is_added_in_each_direction()
    {
        set({{"delay_forward_ms", 200}, {"delay_back_ms", 300}});
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(call(10));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(500));
    }

    void dropped_requests_do_not_arrive()
    {
        set({{"drop_forward", true}});
        CPPUNIT_ASSERT(!call(10, std::chrono::milliseconds(500)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, executions());
    }

    void dropped_answers_come_from_requests_that_ran()
    {
        set({{"drop_back", true}});
        CPPUNIT_ASSERT(!call(10, std::chrono::milliseconds(500)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executions());
    }

    void answer_is_truncated()
    {
        set({{"truncate_after", 300}});
        CPPUNIT_ASSERT(!call(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executions());
        set({{"truncate_after", -1}});
        CPPUNIT_ASSERT(call(1000));
    }

    void jitter_reorders_connections()
    {
        set({{"jitter_ms", 400}});
        // The order of arrival has to differ from the order in which the requests were sent.
        std::vector<std::future<void>> sent;
        for (int it = 0; it < 8; ++it) {
            sent.push_back(std::async(std::launch::async, [this, it] {
                http_send(route_, "GET", "/a", {{"Toucan-Test-Id", std::to_string(it)}});
            }));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        sent.clear();
        std::string order;
        const auto list = *get_json(backend_->address(), "/control/executions");
        for (const auto& it : list) {
            order += it["test_id"].get<std::string>();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, order.size());
        CPPUNIT_ASSERT_MESSAGE(order, order != "01234567");
    }

    void routes_are_independent()
    {
        set({{"cut", true}});
        CPPUNIT_ASSERT(!call(10));
        CPPUNIT_ASSERT(http_send(second_route_, "GET", "/a"));
    }

private:
    std::optional<http_response> call(int size,
                                      std::chrono::milliseconds timeout = std::chrono::seconds(10))
    {
        return http_send(route_, "GET", "/a", {{"Toucan-Test-Size", std::to_string(size)}}, "",
                         timeout);
    }
    void set(nlohmann::json faults)
    {
        faults["listen"] = {route_.to_string()};
        post_control(proxy_->address(), "/control/routes", faults);
    }
    std::size_t executions()
    {
        return get_json(backend_->address(), "/control/executions")->size();
    }
    void wait_for_executions(std::size_t n)
    {
        CPPUNIT_ASSERT(wait_until([&] { return executions() == n; }));
    }

    std::string route_argument(const vm_address& listen)
    {
        return listen.to_string() + "=" + backend_->address().to_string();
    }

    std::optional<address_range> range_;
    vm_address route_;
    vm_address second_route_;
    std::optional<standin_process> backend_;
    std::optional<standin_process> proxy_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_standin_test);

} // namespace toucan::test
