#include "request_path_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace toucan::edge {

/// Requests of one daemon from its stop signal to the end of its process.
class stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_test);
    CPPUNIT_TEST(non_idempotent_request_that_may_outlast_the_process_is_refused);
    CPPUNIT_TEST(non_idempotent_request_with_a_deadline_before_the_end_is_served);
    CPPUNIT_TEST(request_that_arrives_late_in_the_grace_is_refused);
    CPPUNIT_TEST(idempotent_request_is_served_early_in_the_grace);
    CPPUNIT_TEST(waiting_requests_are_refused_before_the_end);
    CPPUNIT_TEST(request_in_progress_at_the_end_is_answered);
    CPPUNIT_TEST_SUITE_END();

    using reaction = scripted_backend::reaction;

    request_path_fixture fixture_;
    system_clock time_;
    /// Work of the server for each request.
    milliseconds work_{2};
    scripted_backend* backend_ = nullptr;

    /// Begins the stop.
    /// @param late after this time, only requests whose deadline is before the end are taken.
    void stop(milliseconds late, milliseconds end)
    {
        const auto now = time_.now();
        fixture_.dispatch().set_stop_schedule({now + late, now + end});
        fixture_.callers().close_after_responses();
    }

    static int status_of(const std::optional<parsed_response>& it)
    {
        return it ? it->response.status : 0;
    }

    /// Drains the callers' connections before the server's script refers to a destroyed object.
    void run_until_idle()
    {
        fixture_.run_until([&] { return fixture_.callers().in_progress() == 0; });
    }

public:
    void setUp() override
    {
        backend_ = &fixture_.add_backend("b1", [this](const parsed_request& it) {
            return reaction{fixture_.signed_response(it), work_, false};
        });
        fixture_.configure();
        for (int n = 0; n < 40; ++n) { // the expected service time becomes short
            const auto id = std::to_string(n);
            fixture_.exchange(fixture_.get("/read/x", "warm-" + id));
            fixture_.exchange(fixture_.post("/write/x", "warm-w-" + id));
        }
    }

    void tearDown() override { run_until_idle(); }

    // Guards against a non-idempotent request that is taken during a stop, passed on, and cut off
    // at the end of the grace: its server took longer than usual.
    void non_idempotent_request_that_may_outlast_the_process_is_refused()
    {
        const auto before = backend_->requests().size();
        work_ = milliseconds(900);
        stop(milliseconds(400), milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(503, status_of(fixture_.exchange(fixture_.post("/write/x", "id-1"))));
        CPPUNIT_ASSERT_EQUAL(before, backend_->requests().size());
    }

    // A request that is over before the process ends must not be refused.
    void non_idempotent_request_with_a_deadline_before_the_end_is_served()
    {
        stop(milliseconds(400), milliseconds(1300));
        CPPUNIT_ASSERT_EQUAL(200, status_of(fixture_.exchange(fixture_.post("/write/x", "id-1"))));
    }

    // Guards against a request that is complete only late in the grace, such as a long upload, and
    // is passed on although the process ends before its deadline.
    void request_that_arrives_late_in_the_grace_is_refused()
    {
        const auto before = backend_->requests().size();
        const auto request = fixture_.get("/read/x", "id-1");
        auto& caller = fixture_.connect();
        caller.send(request.substr(0, 20));
        fixture_.run_for(milliseconds(20));
        stop(milliseconds(0), milliseconds(600));
        work_ = milliseconds(900);
        fixture_.run_for(milliseconds(20));
        caller.send(request.substr(20));
        CPPUNIT_ASSERT(fixture_.run_until([&] { return caller.responses().size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(503, caller.responses()[0].response.status);
        CPPUNIT_ASSERT_EQUAL(before, backend_->requests().size());
    }

    // Callers still use older look-up answers early in the grace; most of their requests end in
    // time, and those that do not can be sent again.
    void idempotent_request_is_served_early_in_the_grace()
    {
        stop(milliseconds(400), milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(200, status_of(fixture_.exchange(fixture_.get("/read/x", "id-1"))));
    }

    // Guards against requests that still wait when the process ends: each dispatch pass refused the
    // first 32 of them only, and the others ended without a response.
    void waiting_requests_are_refused_before_the_end()
    {
        // Longer than a busy machine takes to read all requests: none may end before the stop.
        work_ = milliseconds(3900);
        fixture_.configure([](std::vector<route>& all) { all[0].timeout = milliseconds(4000); });
        constexpr std::size_t requests = 120;
        for (std::size_t n = 0; n < requests; ++n) {
            fixture_.connect().send(fixture_.get("/read/x", "id-" + std::to_string(n)));
        }
        CPPUNIT_ASSERT(
            fixture_.run_until([&] { return fixture_.callers().in_progress() == requests; }));
        CPPUNIT_ASSERT(fixture_.dispatch().waiting() > 100);
        stop(milliseconds(200), milliseconds(700));
        for (int n = 0; n < 3; ++n) { // the passes of the daemon's housekeeping
            fixture_.run_for(milliseconds(220));
            fixture_.dispatch().schedule_dispatch();
        }
        fixture_.run_for(milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture_.dispatch().waiting());
    }

    // Guards against a request in progress whose connection closes without a response when the
    // process ends: its caller may take that for a request that was not received.
    void request_in_progress_at_the_end_is_answered()
    {
        work_ = milliseconds(900);
        auto& caller = fixture_.connect();
        const auto before = backend_->requests().size();
        caller.send(fixture_.post("/write/x", "id-1"));
        CPPUNIT_ASSERT(
            fixture_.run_until([&] { return backend_->requests().size() == before + 1; }));
        stop(milliseconds(100), milliseconds(200));
        CPPUNIT_ASSERT(
            fixture_.run_until([&] { return caller.responses().size() == 1; }, milliseconds(400)));
        CPPUNIT_ASSERT_EQUAL(504, caller.responses()[0].response.status);
        CPPUNIT_ASSERT(!caller.responses()[0].keep_alive);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_test);

} // namespace toucan::edge
