#include "http_server.h"

#include "request_path_fixture.h"

#include "toucan/base/system_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace toucan::edge {

namespace {

/// Request that the handler of the test server holds until the test answers it.
struct held_request {
    std::string path;
    http_server::respond respond;
    bool cancelled = false;
    std::shared_ptr<byte_reservation> charge;
};

std::string get(const std::string& path, const std::string& more = {})
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: desk.example\r\n{}\r\n", path, more);
}

} // namespace

/// The HTTP server alone: requests below /read/ may overlap, others may not.
class http_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(pipelined_requests_run_side_by_side_and_are_answered_in_order);
    CPPUNIT_TEST(request_that_may_not_overlap_runs_alone);
    CPPUNIT_TEST(request_behind_a_closing_response_is_not_started);
    CPPUNIT_TEST(draining_connection_answers_all_that_was_received);
    CPPUNIT_TEST(draining_connection_announces_its_end_behind_all_that_has_started);
    CPPUNIT_TEST(request_that_crosses_the_last_response_is_refused);
    CPPUNIT_TEST(request_behind_a_large_last_response_is_refused);
    CPPUNIT_TEST(body_that_crosses_the_last_response_is_refused_by_its_head);
    CPPUNIT_TEST(last_response_is_complete_although_the_caller_sends_nothing_more);
    CPPUNIT_TEST(stop_check_leaves_an_announced_end_its_time);
    CPPUNIT_TEST(caller_with_requests_always_at_work_is_told_at_the_end_of_the_grace);
    CPPUNIT_TEST(connection_ends_some_time_after_its_last_response);
    CPPUNIT_TEST(leaving_caller_cancels_all_its_requests);
    CPPUNIT_TEST(read_ahead_is_bounded);
    CPPUNIT_TEST(invalid_request_is_answered_after_those_before_it);
    CPPUNIT_TEST(slow_caller_receives_the_whole_response_during_a_stop);
    CPPUNIT_TEST(requests_in_the_accept_queue_are_answered_during_a_stop);
    CPPUNIT_TEST(unread_request_is_answered_during_a_stop);
    CPPUNIT_TEST(request_on_its_way_to_an_idle_connection_is_answered_during_a_stop);
    CPPUNIT_TEST(request_that_crosses_the_end_of_its_connection_is_counted);
    CPPUNIT_TEST(accepted_connection_is_served_although_the_listening_socket_is_closed);
    CPPUNIT_TEST(exception_of_the_handler_does_not_end_the_server);
    CPPUNIT_TEST(huge_announced_length_is_rejected);
    CPPUNIT_TEST(head_of_many_small_fields_is_rejected);
    CPPUNIT_TEST(bodies_do_not_exceed_the_memory);
    CPPUNIT_TEST(body_that_cannot_fit_is_refused_by_its_announced_length);
    CPPUNIT_TEST(complete_request_is_charged_until_it_ends);
    CPPUNIT_TEST(stalled_body_gives_way_to_another_request);
    CPPUNIT_TEST(connections_are_bounded);
    CPPUNIT_TEST(connection_with_a_request_at_work_does_not_give_way);
    CPPUNIT_TEST(unread_responses_stop_the_reading_of_requests);
    CPPUNIT_TEST(closed_window_is_not_a_lost_peer);
    CPPUNIT_TEST(incomplete_request_times_out);
    CPPUNIT_TEST(request_that_waits_to_be_read_is_answered_after_the_idle_timeout);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t memory_bytes = 256U << 10U;
    /// More than the kernel buffers of a connection take.
    static constexpr std::size_t large_body_bytes = 8U << 20U;

    asio::io_context loop_{1};
    system_clock time_;
    caller_limits limits_;
    std::shared_ptr<byte_budget> memory_ = std::make_shared<byte_budget>(memory_bytes);
    std::vector<std::shared_ptr<held_request>> held_;
    std::function<void()> on_request_;
    std::unique_ptr<http_server> server_;
    vm_address address_;
    std::vector<std::unique_ptr<scripted_caller>> callers_;

    http_server::cancel hold(const parsed_request& request, http_server::respond respond)
    {
        if (on_request_) {
            on_request_();
        }
        const auto it = std::make_shared<held_request>();
        it->path = request.request.path;
        it->respond = std::move(respond);
        it->charge = request.charge;
        held_.push_back(it);
        return [it] {
            it->cancelled = true;
            it->charge.reset();
        };
    }

    scripted_caller& connect()
    {
        return *callers_.emplace_back(std::make_unique<scripted_caller>(loop_, address_));
    }

    bool run_until(const std::function<bool()>& done, milliseconds limit = milliseconds(3000))
    {
        const auto end = time_.now() + limit;
        while (!done() && time_.now() < end) {
            loop_.restart();
            loop_.run_for(milliseconds(2));
        }
        return done();
    }

    void run_for(milliseconds it)
    {
        run_until([] { return false; }, it);
    }

    /// Connects a caller that receives nothing until `receive_all`, and sends a request, which is
    /// held.
    tcp::socket slow_caller(const std::string& request)
    {
        tcp::socket it(loop_);
        it.connect(tcp_endpoint(address_));
        asio::write(it, asio::buffer(request));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        return it;
    }

    /// Receives until the end of the connection.
    std::string receive_all(tcp::socket& from)
    {
        std::string received;
        std::vector<char> buf(1U << 20U);
        error_code ec;
        from.non_blocking(true, ec);
        CPPUNIT_ASSERT(run_until(
            [&] {
                error_code read_error;
                while (!read_error) {
                    const auto n = from.read_some(asio::buffer(buf), read_error);
                    received.append(buf.data(), n);
                }
                return read_error != asio::error::would_block;
            },
            milliseconds(5000)));
        return received;
    }

    /// Complete requests without a response.
    std::uint64_t unanswered() const { return server_->endings().unanswered(); }

    void answer(std::size_t n, const std::string& body = "done")
    {
        held_.at(n)->charge.reset();
        held_.at(n)->respond({200, {}, body});
    }

    static std::vector<std::string> bodies(const scripted_caller& it)
    {
        std::vector<std::string> all;
        for (const auto& response : it.responses()) {
            all.push_back(response.response.body);
        }
        return all;
    }

public:
    void setUp() override
    {
        server_ = std::make_unique<http_server>(
            loop_, time_,
            [this](const parsed_request& request, http_server::respond respond) {
                return hold(request, std::move(respond));
            },
            [this] { return limits_; },
            [](const parsed_request& request) {
                return request.request.path.rfind("/read/", 0) == 0;
            });
        server_->set_memory(memory_);
        tcp::acceptor probe(loop_, tcp_endpoint({0x7f000001, 0}));
        address_ = {0x7f000001, probe.local_endpoint().port()};
        probe.close();
        CPPUNIT_ASSERT(server_->listen(address_));
    }

    void tearDown() override
    {
        for (const auto& it : callers_) {
            it->close();
        }
        server_->close_all();
        run_for(milliseconds(5));
    }

    // Guards against pipelined requests that wait for the response to the request before them,
    // although they could run at the same time, and against responses in another order than the
    // requests.
    void pipelined_requests_run_side_by_side_and_are_answered_in_order()
    {
        auto& caller = connect();
        caller.send(get("/read/1") + get("/read/2") + get("/read/3"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 3; }));
        answer(2, "third");
        answer(1, "second");
        run_for(milliseconds(20));
        CPPUNIT_ASSERT(caller.responses().empty());
        answer(0, "first");
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 3; }));
        CPPUNIT_ASSERT((bodies(caller) == std::vector<std::string>{"first", "second", "third"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->in_progress());
    }

    // Guards against a request that is not idempotent and has run although the connection was
    // closed by the response to the request before it: its caller would send it again.
    void request_that_may_not_overlap_runs_alone()
    {
        auto& caller = connect();
        caller.send(get("/read/1") + get("/write/2") + get("/read/3"));
        run_for(milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held_.size());
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 2; }));
        run_for(milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, held_.size());
        answer(1);
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 3; }));
        answer(2);
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 3; }));
    }

    // Guards against requests that run although their caller takes them as not received.
    void request_behind_a_closing_response_is_not_started()
    {
        auto& caller = connect();
        caller.send(get("/read/1", "Connection: close\r\n") + get("/read/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return caller.ended(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, caller.responses().size());
        CPPUNIT_ASSERT(!caller.reset());
    }

    // Guards against a drain that closes a connection behind a response and loses the requests that
    // were received behind it, started or not.
    void draining_connection_answers_all_that_was_received()
    {
        auto& caller = connect();
        caller.send(get("/read/1") + get("/write/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        server_->close_after_responses();
        caller.send(get("/read/3"));
        run_for(milliseconds(20));
        for (std::size_t n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(run_until([&] { return held_.size() == n + 1; }));
            answer(n, held_[n]->path);
        }
        CPPUNIT_ASSERT(run_until([&] { return caller.ended(); }));
        CPPUNIT_ASSERT(
            (bodies(caller) == std::vector<std::string>{"/read/1", "/write/2", "/read/3"}));
        CPPUNIT_ASSERT(caller.responses()[0].keep_alive);
        CPPUNIT_ASSERT(caller.responses()[1].keep_alive);
        CPPUNIT_ASSERT(!caller.responses()[2].keep_alive);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unanswered());
    }

    // Guards against a request without any response because it was sent before its caller received
    // the response that announces the end of the connection. It must not run: the caller may send
    // it again.
    void request_that_crosses_the_last_response_is_refused()
    {
        auto& caller = connect();
        caller.send(get("/read/1"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        server_->close_after_responses();
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 1; }));
        CPPUNIT_ASSERT(!caller.responses()[0].keep_alive);
        caller.send(get("/write/2"));
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(503, caller.responses()[1].response.status);
        CPPUNIT_ASSERT(run_until([&] { return caller.ended(); }));
        CPPUNIT_ASSERT(!caller.reset());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unanswered());
    }

    // Guards against a response that announces the end of its connection although a request behind
    // it has started.
    void draining_connection_announces_its_end_behind_all_that_has_started()
    {
        auto& caller = connect();
        caller.send(get("/read/1") + get("/read/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 2; }));
        server_->close_after_responses();
        answer(0, "first");
        run_for(milliseconds(20));
        answer(1, "second");
        CPPUNIT_ASSERT(run_until([&] { return caller.ended(); }));
        CPPUNIT_ASSERT((bodies(caller) == std::vector<std::string>{"first", "second"}));
        CPPUNIT_ASSERT(caller.responses().front().keep_alive);
        CPPUNIT_ASSERT(!caller.responses().back().keep_alive);
    }

    // Guards against a request without a response that was sent while its caller still received a
    // long last response: reading stayed paused, and the time began before the response was sent.
    void request_behind_a_large_last_response_is_refused()
    {
        server_->set_memory(std::make_shared<byte_budget>(64U << 20U));
        auto caller = slow_caller(get("/read/1"));
        server_->close_after_responses();
        answer(0, std::string(large_body_bytes, 'x'));
        run_for(milliseconds(20));
        asio::write(caller, asio::buffer(get("/write/2")));
        run_for(milliseconds(700));
        CPPUNIT_ASSERT(receive_all(caller).find(" 503 ") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unanswered());
    }

    // Guards against a request without a response whose body arrives only after its connection has
    // ended.
    void body_that_crosses_the_last_response_is_refused_by_its_head()
    {
        auto& caller = connect();
        caller.send(get("/read/1"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        server_->close_after_responses();
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 1; }));
        caller.send("POST /write/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhello");
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(503, caller.responses()[1].response.status);
        caller.send("hello");
        CPPUNIT_ASSERT(run_until([&] { return caller.ended(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held_.size());
    }

    // Guards against a last response that is cut off because its caller shuts down its sending side
    // when it learns of the end of the connection.
    void last_response_is_complete_although_the_caller_sends_nothing_more()
    {
        server_->set_memory(std::make_shared<byte_budget>(64U << 20U));
        auto caller = slow_caller(get("/read/1"));
        server_->close_after_responses();
        answer(0, std::string(large_body_bytes, 'x'));
        run_for(milliseconds(20));
        caller.shutdown(tcp::socket::shutdown_send);
        run_for(milliseconds(50));
        CPPUNIT_ASSERT(receive_all(caller).size() > large_body_bytes);
        CPPUNIT_ASSERT(
            run_until([&] { return server_->sessions() == 0 && server_->closing() == 0; }));
    }

    // Guards against a check for idle connections that ends one just after its end was announced,
    // when a request may be on its way.
    void stop_check_leaves_an_announced_end_its_time()
    {
        auto& caller = connect();
        caller.send(get("/read/1"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        server_->close_after_responses();
        server_->stop_accepting();
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 1; }));
        server_->close_idle_connections();
        run_for(milliseconds(50));
        caller.send(get("/read/2"));
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(503, caller.responses()[1].response.status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unanswered());
    }

    // Guards against a caller that is never told of the stop, so that its requests are cut off at
    // the end of the process.
    void caller_with_requests_always_at_work_is_told_at_the_end_of_the_grace()
    {
        auto& caller = connect();
        caller.send(get("/read/1") + get("/read/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 2; }));
        server_->close_after_responses();
        server_->end_connections();
        caller.send(get("/read/3") + get("/read/4"));
        run_for(milliseconds(20));
        answer(0);
        answer(1);
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 4; }));
        CPPUNIT_ASSERT(caller.responses()[0].keep_alive);
        CPPUNIT_ASSERT(!caller.responses()[1].keep_alive);
        CPPUNIT_ASSERT_EQUAL(503, caller.responses()[2].response.status);
        CPPUNIT_ASSERT_EQUAL(503, caller.responses()[3].response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, held_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unanswered());
    }

    // Guards against a stop that waits for callers which never close a connection whose end was
    // announced, however much they send.
    void connection_ends_some_time_after_its_last_response()
    {
        auto& silent = connect();
        auto& busy = connect();
        silent.send(get("/read/1"));
        busy.send(get("/read/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 2; }));
        server_->close_after_responses();
        answer(0);
        answer(1);
        run_for(milliseconds(200));
        CPPUNIT_ASSERT(!silent.ended() && !busy.ended());
        CPPUNIT_ASSERT(run_until([&] {
            if (!busy.ended()) {
                busy.send(get("/read/3"));
            }
            return silent.ended() && busy.ended();
        }));
        CPPUNIT_ASSERT(run_until([&] { return server_->closing() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, held_.size());
    }

    // Guards against work for a caller that has left, behind the first of its requests.
    void leaving_caller_cancels_all_its_requests()
    {
        auto& caller = connect();
        caller.send(get("/read/1") + get("/read/2") + get("/read/3"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 3; }));
        answer(1);
        caller.close();
        CPPUNIT_ASSERT(run_until([&] { return held_[0]->cancelled && held_[2]->cancelled; }));
        CPPUNIT_ASSERT(!held_[1]->cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->in_progress());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->sessions());
    }

    // Guards against a caller that occupies the memory of the daemon, or all slots of a service,
    // with pipelined requests.
    void read_ahead_is_bounded()
    {
        auto& caller = connect();
        constexpr std::size_t requests = 400'000;
        std::string bytes;
        for (std::size_t n = 0; n < requests; ++n) {
            bytes += get("/read/x");
        }
        bool sent = false;
        caller.send(std::move(bytes), [&] { sent = true; });
        run_for(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, held_.size());
        CPPUNIT_ASSERT(!sent);
        for (std::size_t n = 0; n < 100; ++n) {
            CPPUNIT_ASSERT(run_until([&] { return held_.size() > n; }));
            answer(n);
        }
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 100; }));
    }

    // Guards against an error response that overtakes the responses to the requests before it.
    void invalid_request_is_answered_after_those_before_it()
    {
        auto& caller = connect();
        caller.send(get("/read/1") + "not HTTP\r\n\r\n" + get("/read/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        run_for(milliseconds(20));
        CPPUNIT_ASSERT(caller.responses().empty());
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return caller.ended(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, caller.responses().size());
        CPPUNIT_ASSERT_EQUAL(400, caller.responses()[1].response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held_.size());
    }

    // Guards against a stop that cuts off a response while a slow caller still receives it. The
    // connection was closed 1 s after the response, and its session no longer counted.
    void slow_caller_receives_the_whole_response_during_a_stop()
    {
        tcp::socket slow(loop_);
        slow.connect(tcp_endpoint(address_));
        asio::write(slow, asio::buffer(get("/read/1")));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        server_->close_after_responses();
        server_->stop_accepting();
        constexpr std::size_t body_bytes = 24U << 20U;
        answer(0, std::string(body_bytes, 'x'));
        run_for(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->sessions() + server_->closing());
        std::size_t received = 0;
        std::vector<char> buf(1U << 20U);
        error_code ec;
        slow.non_blocking(true, ec);
        CPPUNIT_ASSERT(run_until(
            [&] {
                error_code read_error;
                while (!read_error) {
                    received += slow.read_some(asio::buffer(buf), read_error);
                }
                return read_error == asio::error::eof ||
                       read_error == asio::error::connection_reset;
            },
            milliseconds(5000)));
        CPPUNIT_ASSERT(received > body_bytes);
        slow.close();
        CPPUNIT_ASSERT(
            run_until([&] { return server_->sessions() == 0 && server_->closing() == 0; }));
    }

    // Guards against connections that are reset in the queue of the listening socket when a stop
    // begins, although their callers have sent requests.
    void requests_in_the_accept_queue_are_answered_during_a_stop()
    {
        std::vector<tcp::socket> sockets;
        for (int n = 0; n < 20; ++n) {
            sockets.emplace_back(loop_);
            sockets.back().connect(tcp_endpoint(address_));
            asio::write(sockets.back(), asio::buffer(get("/read/1")));
        }
        server_->close_after_responses();
        server_->stop_accepting();
        server_->close_idle_connections();
        run_until([&] { return held_.size() == sockets.size(); });
        CPPUNIT_ASSERT_EQUAL(sockets.size(), held_.size());
        for (std::size_t n = 0; n < held_.size(); ++n) {
            answer(n);
        }
        run_for(milliseconds(50));
        for (auto& it : sockets) {
            std::string buf(1024, '\0');
            error_code ec;
            const auto n = it.read_some(asio::buffer(buf), ec);
            CPPUNIT_ASSERT(!ec);
            CPPUNIT_ASSERT(buf.substr(0, n).find("200 OK") != std::string::npos);
        }
    }

    // Guards against an open connection that is closed as idle although a request has arrived on
    // it that the process has not read yet.
    void unread_request_is_answered_during_a_stop()
    {
        tcp::socket caller(loop_);
        caller.connect(tcp_endpoint(address_));
        CPPUNIT_ASSERT(run_until([&] { return server_->sessions() == 1; }));
        asio::write(caller, asio::buffer(get("/read/1")));
        server_->close_after_responses();
        server_->stop_accepting();
        server_->close_idle_connections();
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        server_->close_idle_connections();
        run_for(milliseconds(20));
        answer(0);
        run_for(milliseconds(20));
        std::string buf(1024, '\0');
        error_code ec;
        const auto n = caller.read_some(asio::buffer(buf), ec);
        CPPUNIT_ASSERT(buf.substr(0, n).find("200 OK") != std::string::npos);
    }

    // Guards against a request without a response because the daemon closes its idle connection
    // while the request is on its way: it was read and discarded (LOST at a planned stop).
    void request_on_its_way_to_an_idle_connection_is_answered_during_a_stop()
    {
        auto& caller = connect();
        auto& late = connect();
        auto& silent = connect();
        CPPUNIT_ASSERT(run_until([&] { return server_->sessions() == 3; }));
        server_->close_after_responses();
        server_->stop_accepting();
        run_for(milliseconds(60));
        caller.send(get("/read/1"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        answer(0);
        run_for(milliseconds(700));
        late.send(get("/write/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 2; }));
        answer(1);
        CPPUNIT_ASSERT(run_until([&] { return late.responses().size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, caller.responses().size());
        CPPUNIT_ASSERT(!late.responses()[0].keep_alive);
        CPPUNIT_ASSERT(!silent.ended());
        server_->close_idle_connections();
        CPPUNIT_ASSERT(run_until([&] { return caller.ended() && late.ended() && silent.ended(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unanswered());
    }

    // Guards against a lost request that no log line or counter shows.
    void request_that_crosses_the_end_of_its_connection_is_counted()
    {
        tcp::socket caller(loop_);
        caller.connect(tcp_endpoint(address_));
        CPPUNIT_ASSERT(run_until([&] { return server_->sessions() == 1; }));
        server_->close_after_responses();
        server_->stop_accepting();
        server_->close_idle_connections();
        CPPUNIT_ASSERT(run_until([&] { return server_->sessions() == 0; }));
        asio::write(caller, asio::buffer(get("/read/1")));
        CPPUNIT_ASSERT(run_until([&] { return unanswered() == 1; }));
        CPPUNIT_ASSERT(held_.empty());
    }

    // Guards against a connection that the event loop has accepted, with a request in it, and that
    // is destroyed because the listening socket closes before its handler runs.
    void accepted_connection_is_served_although_the_listening_socket_is_closed()
    {
        std::vector<tcp::socket> sockets;
        for (int n = 0; n < 5; ++n) {
            sockets.emplace_back(loop_);
            sockets.back().connect(tcp_endpoint(address_));
            asio::write(sockets.back(), asio::buffer(get("/read/1")));
        }
        // The first accept starts the second one, which completes at once and waits for its turn.
        while (server_->sessions() == 0) {
            loop_.restart();
            loop_.poll_one();
        }
        server_->close_after_responses();
        server_->stop_accepting();
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == sockets.size(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, server_->endings().counts().unread);
    }

    // Guards against one request that ends the process, and with it the requests of all callers.
    void exception_of_the_handler_does_not_end_the_server()
    {
        on_request_ = [] {
            throw std::runtime_error("unexpected");
        };
        auto& caller = connect();
        caller.send(get("/read/1"));
        CPPUNIT_ASSERT(run_until([&] { return !caller.responses().empty(); }));
        CPPUNIT_ASSERT_EQUAL(500, caller.responses()[0].response.status);
        on_request_ = {};
        caller.send(get("/read/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 2; }));
    }

    // Guards against an announced length for which the parser reserves memory at once. One such
    // request ended the process.
    void huge_announced_length_is_rejected()
    {
        auto& caller = connect();
        caller.send("POST /write/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999\r\n\r\nx");
        CPPUNIT_ASSERT(run_until([&] { return !caller.responses().empty(); }));
        CPPUNIT_ASSERT_EQUAL(413, caller.responses()[0].response.status);
    }

    // Guards against callers that send long bodies without end and use up the memory of a small
    // VM.
    void bodies_do_not_exceed_the_memory()
    {
        const std::string head =
            "POST /write/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 180000\r\n\r\n";
        for (int n = 0; n < 4; ++n) {
            connect().send(head + std::string(170'000, 'x'));
        }
        CPPUNIT_ASSERT(run_until([&] {
            return std::count_if(callers_.begin(), callers_.end(), [](const auto& it) {
                       return !it->responses().empty() && it->responses()[0].response.status == 503;
                   }) == 3;
        }));
        CPPUNIT_ASSERT(memory_->used() <= memory_bytes);
        auto& small = connect();
        small.send("POST /write/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        for (const auto& it : callers_) {
            it->close();
        }
        CPPUNIT_ASSERT(run_until([&] { return memory_->used() == 0; }));
    }

    // Guards against a body that is received although its announced length cannot fit.
    void body_that_cannot_fit_is_refused_by_its_announced_length()
    {
        auto& caller = connect();
        caller.send("POST /write/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n");
        CPPUNIT_ASSERT(run_until([&] { return !caller.responses().empty(); }));
        CPPUNIT_ASSERT_EQUAL(503, caller.responses()[0].response.status);
        CPPUNIT_ASSERT(held_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, server_->connections().counts().requests_refused);
    }

    // Guards against complete bodies that are no longer counted while their requests run.
    void complete_request_is_charged_until_it_ends()
    {
        auto& caller = connect();
        caller.send("POST /write/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 150000\r\n\r\n" +
                    std::string(150'000, 'x'));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        CPPUNIT_ASSERT(memory_->used() > 150'000);
        auto& other = connect();
        other.send("POST /write/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 150000\r\n\r\n");
        CPPUNIT_ASSERT(run_until([&] { return !other.responses().empty(); }));
        CPPUNIT_ASSERT_EQUAL(503, other.responses()[0].response.status);
        held_[0]->charge.reset();
        CPPUNIT_ASSERT(memory_->used() < 150'000);
    }

    // Guards against a body that stops short of its end and keeps its memory, so that others are
    // refused.
    void stalled_body_gives_way_to_another_request()
    {
        auto& stalled = connect();
        stalled.send("POST /write/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 180000\r\n\r\nx");
        run_for(milliseconds(1200));
        auto& other = connect();
        other.send("POST /write/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 150000\r\n\r\n" +
                   std::string(150'000, 'x'));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string("/write/2"), held_[0]->path);
        CPPUNIT_ASSERT(run_until([&] { return stalled.ended(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, server_->connections().counts().evicted_for_memory);
    }

    // Guards against connections without end, and against closing the newest one or one whose
    // request is in progress.
    void connections_are_bounded()
    {
        server_->set_max_connections(3);
        auto& busy = connect();
        busy.send(get("/write/1"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        auto& slow = connect();
        slow.send("GET /read/1 HTTP/1.1\r\nf: ");
        run_for(milliseconds(20));
        auto& idle = connect();
        run_for(milliseconds(20));
        auto& last = connect();
        last.send(get("/write/2"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 2; }));
        CPPUNIT_ASSERT(run_until([&] { return slow.ended() || idle.ended(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server_->connections().size());
        CPPUNIT_ASSERT(!busy.ended() && !last.ended());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             server_->connections().counts().evicted_for_connections);
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return busy.responses().size() == 1; }));
    }

    // Guards against a connection that is closed to make room although a request is at work for it:
    // its caller has begun a further request, or has not read an earlier response.
    void connection_with_a_request_at_work_does_not_give_way()
    {
        server_->set_max_connections(2);
        auto& busy = connect();
        busy.send(get("/write/1") + "GET /read/2 HTTP/1.1\r\nf: ");
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        run_for(milliseconds(50));
        auto& idle = connect();
        CPPUNIT_ASSERT(run_until([&] { return server_->sessions() == 2; }));
        auto& last = connect();
        last.send(get("/write/3"));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 2; }));
        CPPUNIT_ASSERT(run_until([&] { return idle.ended(); }));
        CPPUNIT_ASSERT(!held_[0]->cancelled);
        answer(0);
        CPPUNIT_ASSERT(run_until([&] { return busy.responses().size() == 1; }));
    }

    // Guards against a caller that does not read its responses and makes the process produce more.
    void unread_responses_stop_the_reading_of_requests()
    {
        tcp::socket caller(loop_);
        caller.open(tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(8192));
        caller.connect(tcp_endpoint(address_));
        constexpr std::size_t body_bytes = 8U << 20U;
        server_->set_memory(std::make_shared<byte_budget>(64U << 20U));
        asio::write(caller, asio::buffer(get("/write/1") + get("/write/2")));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        answer(0, std::string(body_bytes, 'x'));
        run_for(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held_.size());
        std::vector<char> buf(1U << 20U);
        caller.non_blocking(true);
        CPPUNIT_ASSERT(run_until(
            [&] {
                error_code ec;
                while (!ec) {
                    caller.read_some(asio::buffer(buf), ec);
                }
                return held_.size() == 2;
            },
            milliseconds(10000)));
    }

    // Guards against a caller that is cut off because it pauses reading for longer than the silence
    // timeout: its window is closed, but it acknowledges the probes.
    void closed_window_is_not_a_lost_peer()
    {
        server_->set_memory(std::make_shared<byte_budget>(64U << 20U));
        tcp::socket caller(loop_);
        caller.open(tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(8192));
        caller.connect(tcp_endpoint(address_));
        asio::write(caller, asio::buffer(get("/read/1")));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 1; }));
        constexpr std::size_t body_bytes = 2U << 20U;
        answer(0, std::string(body_bytes, 'x'));
        run_for(milliseconds(4000));
        std::vector<char> buf(1U << 20U);
        std::size_t received = 0;
        caller.non_blocking(true);
        CPPUNIT_ASSERT(run_until(
            [&] {
                error_code ec;
                while (!ec) {
                    received += caller.read_some(asio::buffer(buf), ec);
                }
                return received > body_bytes;
            },
            milliseconds(10000)));
    }

    // Guards against callers whose requests hold thousands of fields of a few bytes: each field
    // takes far more memory than its bytes.
    void head_of_many_small_fields_is_rejected()
    {
        auto& caller = connect();
        std::string fields;
        for (int n = 0; n < 1000; ++n) {
            fields += "a:\r\n";
        }
        caller.send(get("/read/x", fields));
        CPPUNIT_ASSERT(run_until([&] { return caller.responses().size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(431, caller.responses()[0].response.status);
        CPPUNIT_ASSERT(held_.empty());
    }

    // Guards against an idle timeout that closes a connection although a request has arrived on it
    // while the event loop was busy with another one.
    void request_that_waits_to_be_read_is_answered_after_the_idle_timeout()
    {
        limits_.idle_timeout = milliseconds(50);
        auto& busy = connect();
        tcp::socket idle(loop_);
        idle.connect(tcp_endpoint(address_));
        CPPUNIT_ASSERT(run_until([&] { return server_->sessions() == 2; }));
        on_request_ = [&] {
            if (held_.empty()) {
                asio::write(idle, asio::buffer(get("/read/2")));
            }
        };
        busy.send(get("/read/1"));
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT(run_until([&] { return held_.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unanswered());
    }

    // Guards against connections that a caller keeps open with a part of a header.
    void incomplete_request_times_out()
    {
        limits_.header_timeout = milliseconds(100);
        auto& caller = connect();
        caller.send("GET /read/1 HTTP/1.1\r\nHost:");
        CPPUNIT_ASSERT(run_until([&] { return caller.ended(); }, milliseconds(1000)));
        CPPUNIT_ASSERT_EQUAL(408, caller.responses().at(0).response.status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace toucan::edge
