#include "daemon_log.h"
#include "judge.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <sstream>
#include <string>
#include <vector>

namespace toucan::soak {

/// Each check of the judge reports a history that breaks its promise, and no other history.
class judge_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(judge_test);
    CPPUNIT_TEST(valid_history_breaks_no_promise);
    CPPUNIT_TEST(each_check_reports_its_violation);
    CPPUNIT_TEST(each_unanswered_request_of_an_ended_connection_is_reported);
    CPPUNIT_TEST(unanswered_requests_are_read_from_a_log);
    CPPUNIT_TEST(daemons_affected_by_faults_are_not_checked);
    CPPUNIT_TEST_SUITE_END();

    using milliseconds = std::chrono::milliseconds;

    static steady_time at(int ms) { return steady_time(std::chrono::hours(1) + milliseconds(ms)); }

    static sent_request make_request(const std::string& id, const std::string& path, int sent)
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

    static execution_record make_execution(const std::string& id, const std::string& path, int when)
    {
        return {id, path, "backend-1", "desk", "west-a", "west", at(when), false};
    }

    static history valid_history()
    {
        history it;
        it.requests = {make_request("a", "/read/", 0), make_request("b", "/write/", 20000)};
        it.executions = {make_execution("a", "/read/", 10), make_execution("b", "/write/", 20010)};
        it.configurations = {
            {7,
             at(-5000),
             {{"read", "a.example", "/read/", "desk"},
              {"write", "a.example", "/write/", "desk", false},
              {"home", "a.example", restricted_prefix, "desk", true, false, {restricted_region}},
              {"moved", "a.example", moved_prefix, "desk"}},
             {}}};
        it.recovery_check_start = at(0);
        it.end = at(21000);
        return it;
    }

    static std::string broken_promise_names(const std::function<void(history&)>& change)
    {
        auto it = valid_history();
        change(it);
        std::string all;
        for (const auto& line : broken_promises(it, {})) {
            all += line.substr(0, line.find(':')) + ";";
        }
        return all;
    }

public:
    // Guards against false reports: a history within all bounds breaks no promise.
    void valid_history_breaks_no_promise()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), broken_promise_names([](history&) {}));
    }

    // Guards against checks that never report: each history breaks exactly one promise.
    void each_check_reports_its_violation()
    {
        using kind = acknowledged_change::kind;
        const auto expect = [](const std::string& promise,
                               const std::function<void(history&)>& change) {
            CPPUNIT_ASSERT_EQUAL(promise + ";", broken_promise_names(change));
        };
        expect("whole answer", [](history& it) { it.requests[0].mismatched = true; });
        expect("at most once", [](history& it) { it.executions.push_back(it.executions[1]); });
        expect("true refusal", [](history& it) {
            it.requests[1].status = 503;
            it.recovery_check_start = at(30000);
            it.requests.push_back(make_request("c", "/read/", 30000));
        });
        expect("nothing unasked",
               [](history& it) { it.executions.push_back(make_execution("x", "/read/", 5)); });
        expect("allowed regions", [](history& it) {
            it.requests[0].path = it.executions[0].path = "/home/x";
            it.executions[0].region = "east";
        });
        expect("allowed regions", [](history& it) {
            it.requests[0].path = it.executions[0].path = "/home/x";
            it.refused_arrivals.push_back({"a", "backend-2", "east", at(5), 421});
        });
        expect("leaving server", [](history& it) {
            it.changes.push_back({kind::leaving, "backend-1", at(17000)});
        });
        expect("evacuation", [](history& it) {
            it.changes.push_back({kind::evacuated, "west-a", at(14000)});
        });
        expect("configuration", [](history& it) {
            it.requests[1].path = it.executions[1].path = "/moved/x";
            it.changes.push_back({kind::moved, "desk", at(0)});
            it.changes.push_back({kind::moved, "archive", at(17000)});
        });
        expect("cold rate", [](history& it) {
            for (int n = 0; n < 21; ++n) {
                const auto id = "c" + std::to_string(n);
                it.requests.push_back(make_request(id, "/read/", 3000));
                it.executions.push_back(make_execution(id, "/read/", 3000 + n));
                it.executions.back().cold = true;
            }
        });
        expect("cold rate", [](history& it) {
            for (int n = 0; n < 40; ++n) {
                const auto id = "c" + std::to_string(n);
                it.requests.push_back(make_request(id, "/read/", 3000));
                it.executions.push_back(make_execution(id, "/read/", 3000 + n));
                it.executions.back().cold = true;
                // The first run gets 19, the second one 21.
                it.executions.back().backend_run = n < 19 ? 1 : 2;
            }
        });
        expect("retry budget", [](history& it) {
            for (int n = 0; n < 121; ++n) {
                it.executions.push_back(make_execution("a", "/read/", 100 + n));
            }
        });
        expect("graceful stop", [](history& it) {
            it.stops.emplace_back(0, at(19900));
            it.requests[1].status = 0;
            it.recovery_check_start = at(30000);
            it.requests.push_back(make_request("c", "/read/", 30000));
        });
        expect("graceful stop", [](history& it) {
            it.stops.emplace_back(0, at(15500)); // the request is sent late in the grace
            it.requests[1].status = 0;
            it.recovery_check_start = at(30000);
            it.requests.push_back(make_request("c", "/read/", 30000));
        });
        expect("no crash", [](history& it) { it.crashes.emplace_back("entry-1"); });
        expect("memory", [](history& it) { it.peak_memory_mb = 183; });
        expect("recovery", [](history& it) { it.requests[0].status = 504; });
    }

    // Guards against requests that are lost when a daemon ends their connection, and against a
    // report for a connection that the caller ended.
    void each_unanswered_request_of_an_ended_connection_is_reported()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("unanswered request;unanswered request;"),
            broken_promise_names([](history& it) {
                it.unanswered = {{"stop", "a"}, {"response", "b"}, {"caller", "c"}};
            }));
    }

    // Guards against a check that never reports because it does not recognize the log lines.
    void unanswered_requests_are_read_from_a_log()
    {
        const std::string line = "2026-12-06T09:00:00.000 event=unanswered id=i1-2 port=callers "
                                 "reason=stop method=GET after_end_ms=12";
        std::istringstream log("2026-12-06T09:00:00.000 event=connection_ended port=callers "
                               "reason=stop age_ms=10 requests=1\n" +
                               line + "\n");
        const std::vector<unanswered_request> expected = {{"stop", line}};
        CPPUNIT_ASSERT(expected == read_unanswered(log));
    }

    // Guards against false reports about a daemon that could not receive a change: its fault covers
    // the time of the change.
    void daemons_affected_by_faults_are_not_checked()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(), broken_promise_names([](history& it) {
                it.changes.push_back({acknowledged_change::kind::leaving, "backend-1", at(17000)});
                it.daemon_fault_windows[0] = {{at(16500), at(18000)}};
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(judge_test);

} // namespace toucan::soak
