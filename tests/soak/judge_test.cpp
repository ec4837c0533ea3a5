#include "judge.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

namespace toucan::soak {

/// Each check of the judge fires for a history that breaks its promise, and for no other.
class judge_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(judge_test);
    CPPUNIT_TEST(calm_history_breaks_nothing);
    CPPUNIT_TEST(each_check_fires);
    CPPUNIT_TEST(daemons_out_of_touch_are_excused);
    CPPUNIT_TEST_SUITE_END();

    using milliseconds = std::chrono::milliseconds;

    static steady_time at(int ms) { return steady_time(std::chrono::hours(1) + milliseconds(ms)); }

    static sent_request request(const std::string& id, const std::string& path, int sent)
    {
        sent_request it;
        it.id = id;
        it.path = path;
        it.idempotent = path.rfind("/write/", 0) != 0;
        it.sent = at(sent);
        it.status = 200;
        it.ended = at(sent + 30);
        return it;
    }

    static run_record run(const std::string& id, const std::string& path, int when)
    {
        return {id, path, "backend-1", "desk", "west-a", "west", at(when), false};
    }

    static history calm()
    {
        history it;
        it.requests = {request("a", "/read/", 0), request("b", "/write/", 20000)};
        it.runs = {run("a", "/read/", 10), run("b", "/write/", 20010)};
        it.calm_from = at(0);
        it.end = at(21000);
        return it;
    }

    static std::string verdict(const std::function<void(history&)>& change)
    {
        auto it = calm();
        change(it);
        std::string all;
        for (const auto& line : broken_promises(it, {})) {
            all += line.substr(0, line.find(':')) + ";";
        }
        return all;
    }

public:
    // Guards against a judge that reports what is allowed.
    void calm_history_breaks_nothing()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), verdict([](history&) {}));
    }

    // Guards against checks that can never fail.
    void each_check_fires()
    {
        using kind = acknowledged_change::kind;
        const auto expect = [](const std::string& promise,
                               const std::function<void(history&)>& change) {
            CPPUNIT_ASSERT_EQUAL(promise + ";", verdict(change));
        };
        expect("whole answer", [](history& it) { it.requests[0].mixed = true; });
        expect("at most once", [](history& it) { it.runs.push_back(it.runs[1]); });
        expect("true refusal", [](history& it) {
            it.requests[1].status = 503;
            it.calm_from = at(30000);
            it.requests.push_back(request("c", "/read/", 30000));
        });
        expect("nothing unasked", [](history& it) { it.runs.push_back(run("x", "/read/", 5)); });
        expect("allowed regions", [](history& it) {
            it.requests[0].path = it.runs[0].path = "/home/x";
            it.runs[0].region = "east";
        });
        expect("leaving server", [](history& it) {
            it.changes.push_back({kind::leaving, "backend-1", at(17000)});
        });
        expect("evacuation", [](history& it) {
            it.changes.push_back({kind::evacuated, "west-a", at(14000)});
        });
        expect("configuration", [](history& it) {
            it.requests[1].path = it.runs[1].path = "/moved/x";
            it.changes.push_back({kind::moved, "desk", at(0)});
            it.changes.push_back({kind::moved, "archive", at(17000)});
        });
        expect("cold rate", [](history& it) {
            for (int n = 0; n < 21; ++n) {
                const auto id = "c" + std::to_string(n);
                it.requests.push_back(request(id, "/read/", 3000));
                it.runs.push_back(run(id, "/read/", 3000 + n));
                it.runs.back().cold = true;
            }
        });
        expect("retry budget", [](history& it) {
            for (int n = 0; n < 121; ++n) {
                it.runs.push_back(run("a", "/read/", 100 + n));
            }
        });
        expect("graceful stop", [](history& it) {
            it.stops.emplace_back(0, at(19900));
            it.requests[1].status = 0;
            it.calm_from = at(30000);
            it.requests.push_back(request("c", "/read/", 30000));
        });
        expect("no crash", [](history& it) { it.crashes.emplace_back("entry-1"); });
        expect("recovery", [](history& it) { it.requests[0].status = 504; });
    }

    // Guards against a judge that blames a daemon for what it could not know.
    void daemons_out_of_touch_are_excused()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(), verdict([](history& it) {
                it.changes.push_back({acknowledged_change::kind::leaving, "backend-1", at(17000)});
                it.daemon_disturbances[0] = {{at(16500), at(18000)}};
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(judge_test);

} // namespace toucan::soak
