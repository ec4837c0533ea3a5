#include "support/http.h"
#include "support/standin_process.h"
#include "support/wait_until.h"
#include "toucan/base/content_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <thread>

namespace toucan::test {

// Each test guards against a fault setting without effect: tests of the daemon would then pass
// without the fault that they inject.
class platform_standin_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_standin_test);
    CPPUNIT_TEST(writes_are_conditional);
    CPPUNIT_TEST(objects_are_checked);
    CPPUNIT_TEST(outage_refuses_and_applies_nothing);
    CPPUNIT_TEST(lost_reply_takes_effect);
    CPPUNIT_TEST(late_write_takes_effect_later);
    CPPUNIT_TEST(late_write_loses_to_a_write_applied_first);
    CPPUNIT_TEST(stale_read_returns_an_old_row);
    CPPUNIT_TEST(rate_limit_refuses);
    CPPUNIT_TEST(delay_is_added);
    CPPUNIT_TEST(vm_list_round_trip);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { platform_.emplace(TOUCAN_PLATFORM_STANDIN); }
    void tearDown() override { platform_.reset(); }

    void writes_are_conditional()
    {
        CPPUNIT_ASSERT_EQUAL(404, get("head")->status);
        CPPUNIT_ASSERT_EQUAL(200, put("head", 0, "one")->status);
        const auto conflict = put("head", 0, "two");
        CPPUNIT_ASSERT_EQUAL(412, conflict->status);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), conflict->body);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), conflict->header("Toucan-Revision"));
        const auto absent = put("other", 3, "x");
        CPPUNIT_ASSERT_EQUAL(412, absent->status);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), absent->header("Toucan-Revision"));
        CPPUNIT_ASSERT_EQUAL(200, put("head", 1, "two")->status);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), get("head")->body);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), get("head")->header("Toucan-Revision"));
        // Keys of claims contain slashes.
        CPPUNIT_ASSERT_EQUAL(200, put("claim/checkdesk/c1-1-a", 0, "k")->status);
        const auto counts = *get_json(address(), "/control/counters");
        CPPUNIT_ASSERT_EQUAL(1, counts["table/claim"]["writes"].get<int>());
    }

    void objects_are_checked()
    {
        const auto hash = content_hash("content");
        const auto target = "/objects/" + hash;
        CPPUNIT_ASSERT_EQUAL(404, http_send(address(), "GET", target)->status);
        CPPUNIT_ASSERT_EQUAL(400, http_send(address(), "PUT", target, {}, "other")->status);
        CPPUNIT_ASSERT_EQUAL(200, http_send(address(), "PUT", target, {}, "content")->status);
        CPPUNIT_ASSERT_EQUAL(std::string("content"), http_send(address(), "GET", target)->body);
    }

    void outage_refuses_and_applies_nothing()
    {
        faults({{"outage", true}});
        CPPUNIT_ASSERT_EQUAL(503, put("head", 0, "one")->status);
        CPPUNIT_ASSERT_EQUAL(503, get("head")->status);
        CPPUNIT_ASSERT_EQUAL(503, http_send(address(), "GET", "/vms")->status);
        faults({{"outage", false}});
        CPPUNIT_ASSERT_EQUAL(404, get("head")->status);
    }

    void lost_reply_takes_effect()
    {
        faults({{"lost_replies", 1}, {"key_prefix", "claim/"}});
        CPPUNIT_ASSERT_EQUAL(200, put("head", 0, "one")->status);
        CPPUNIT_ASSERT(!put("claim/a", 0, "mine"));
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), get("claim/a")->body);
        CPPUNIT_ASSERT_EQUAL(200, put("claim/b", 0, "mine")->status);
    }

    void late_write_takes_effect_later()
    {
        faults({{"late_writes", 1}, {"late_by_ms", 500}});
        CPPUNIT_ASSERT(!put("head", 0, "late"));
        CPPUNIT_ASSERT_EQUAL(404, get("head")->status);
        CPPUNIT_ASSERT(wait_until([this] { return get("head")->body == "late"; }));
    }

    void late_write_loses_to_a_write_applied_first()
    {
        faults({{"late_writes", 1}, {"late_by_ms", 300}});
        CPPUNIT_ASSERT(!put("head", 0, "late"));
        CPPUNIT_ASSERT_EQUAL(200, put("head", 0, "first")->status);
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), get("head")->body);
    }

    void stale_read_returns_an_old_row()
    {
        put("head", 0, "one");
        put("head", 1, "two");
        faults({{"stale_revisions", 1}});
        CPPUNIT_ASSERT_EQUAL(std::string("one"), get("head")->body);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), get("head")->header("Toucan-Revision"));
        faults({{"stale_revisions", 2}});
        CPPUNIT_ASSERT_EQUAL(404, get("head")->status);
    }

    void rate_limit_refuses()
    {
        faults({{"writes_per_s", 1}});
        int refused = 0;
        for (int it = 0; it < 20; ++it) {
            refused += put("row" + std::to_string(it), 0, "x")->status == 503 ? 1 : 0;
        }
        CPPUNIT_ASSERT(refused > 0);
        CPPUNIT_ASSERT_EQUAL(404, get("none")->status);
    }

    void delay_is_added()
    {
        faults({{"delay_ms", 300}});
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(404, get("head")->status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(300));
    }

    void vm_list_round_trip()
    {
        const nlohmann::json list = {{{"role", "backend"},
                                      {"address", "127.0.0.1:80"},
                                      {"failure_domain", "a"},
                                      {"leaving", true}}};
        post_control(address(), "/control/vms", list);
        CPPUNIT_ASSERT(list == *get_json(address(), "/vms"));
    }

private:
    [[nodiscard]] const vm_address& address() const { return platform_->address(); }

    std::optional<http_response> get(const std::string& key)
    {
        return http_send(address(), "GET", "/table/" + key);
    }

    std::optional<http_response> put(const std::string& key, int expected, const std::string& value)
    {
        return http_send(address(), "PUT", "/table/" + key,
                         {{"Toucan-Expected-Revision", std::to_string(expected)}}, value);
    }

    void faults(const nlohmann::json& body) { post_control(address(), "/control/faults", body); }

    std::optional<standin_process> platform_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_standin_test);

} // namespace toucan::test
