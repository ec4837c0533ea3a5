#include "raw_peer.h"
#include "toucan/base/last_reason.h"
#include "toucan/rpc/rpc_client.h"
#include "toucan/rpc/rpc_server.h"

#include <absl/synchronization/notification.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <future>
#include <iostream>
#include <random>
#include <thread>
#include <vector>

namespace toucan::rpc {

namespace {

using namespace std::chrono_literals;

constexpr vm_address any_port(INADDR_LOOPBACK, 0);
/// Timeout of calls that are expected to succeed.
constexpr milliseconds test_timeout = 30s;

forward_request request_of(const std::string& key)
{
    forward_request request;
    request.operation_key = key;
    return request;
}

forward_reply reply_of(const std::string& key)
{
    return {completed{{200, {}, key}}};
}

/// Handlers that call `before` with the operation key of a forwarded request, then reply with the
/// key.
daemon_handlers echo_after(std::function<void(const std::string&)> before)
{
    daemon_handlers handlers;
    handlers.forward = [before = std::move(before)](const forward_request& request) {
        before(request.operation_key);
        return reply_of(request.operation_key);
    };
    handlers.sync = [](const sync_request& request) {
        sync_reply reply;
        reply.receiver = request.sender;
        return reply;
    };
    return handlers;
}

template <typename Reply>
bool failed_with(const rpc_result<Reply>& result, rpc_failure kind)
{
    const auto* error = std::get_if<rpc_error>(&result);
    if (error == nullptr || error->kind != kind || error->reason.empty()) {
        std::cerr << "unexpected result: " << (error != nullptr ? error->reason : "a reply")
                  << '\n';
        return false;
    }
    return true;
}

template <typename Condition>
void wait_until(Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + test_timeout;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("condition not met in time",
                               std::chrono::steady_clock::now() < limit);
        std::this_thread::sleep_for(2ms);
    }
}

} // namespace

class rpc_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rpc_test);
    CPPUNIT_TEST(out_of_order_replies_match_their_calls);
    CPPUNIT_TEST(many_concurrent_calls_get_their_own_replies);
    CPPUNIT_TEST(timed_out_call_closes_its_connection);
    CPPUNIT_TEST(refused_connection_reports_not_sent);
    CPPUNIT_TEST(silent_peer_reports_no_reply);
    CPPUNIT_TEST(closed_connection_reports_no_reply);
    CPPUNIT_TEST(client_reconnects_to_a_restarted_peer);
    CPPUNIT_TEST(full_worker_queue_reports_an_error);
    CPPUNIT_TEST(failing_handler_reports_an_error);
    CPPUNIT_TEST(oversized_message_fails_only_its_call);
    CPPUNIT_TEST(huge_claimed_size_closes_the_connection);
    CPPUNIT_TEST(stop_finishes_calls_in_progress);
    CPPUNIT_TEST(idle_connection_is_closed);
    CPPUNIT_TEST(occupied_address_is_reported);
    CPPUNIT_TEST(random_bytes_do_not_stop_the_server);
    CPPUNIT_TEST(broken_response_in_a_reply_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Replies must be matched to calls by their identity, not by order of arrival.
    void out_of_order_replies_match_their_calls()
    {
        absl::Notification first_arrived;
        absl::Notification second_answered;
        const auto server = rpc_server::start(any_port, echo_after([&](const std::string& key) {
                                                  if (key == "first") {
                                                      first_arrived.Notify();
                                                      second_answered.WaitForNotification();
                                                  }
                                              }),
                                              2, 8);
        rpc_client client;
        auto first = std::async(std::launch::async, [&] {
            return client.forward(server->address(), request_of("first"), test_timeout);
        });
        first_arrived.WaitForNotification();
        const auto second = client.forward(server->address(), request_of("second"), test_timeout);
        second_answered.Notify();
        CPPUNIT_ASSERT(std::get<forward_reply>(second) == reply_of("second"));
        CPPUNIT_ASSERT(std::get<forward_reply>(first.get()) == reply_of("first"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.open_connections());
    }

    // Concurrent calls of many threads must not lose or exchange replies.
    void many_concurrent_calls_get_their_own_replies()
    {
        constexpr int threads = 16;
        constexpr int calls = 200;
        const auto server = rpc_server::start(
            any_port, echo_after([](const std::string& key) {
                std::this_thread::sleep_for(std::chrono::microseconds(key.size() % 7 * 100));
            }),
            8, 1000);
        rpc_client client;
        std::atomic<int> correct_replies = 0;
        std::vector<std::thread> callers;
        callers.reserve(threads);
        for (int caller = 0; caller < threads; ++caller) {
            callers.emplace_back([&, caller] {
                for (int it = 0; it < calls; ++it) {
                    const auto key = fmt::format("{}-{}", caller, it);
                    const auto result =
                        client.forward(server->address(), request_of(key), test_timeout);
                    const auto* reply = std::get_if<forward_reply>(&result);
                    correct_replies += reply != nullptr && *reply == reply_of(key) ? 1 : 0;
                }
            });
        }
        for (auto& it : callers) {
            it.join();
        }
        CPPUNIT_ASSERT_EQUAL(threads * calls, correct_replies.load());
    }

    // A connection with a timed-out call must not be reused: a late reply could reach another call.
    void timed_out_call_closes_its_connection()
    {
        absl::Notification release;
        std::atomic<int> waiting = 0;
        const auto server = rpc_server::start(any_port, echo_after([&](const std::string& key) {
                                                  if (key != "later") {
                                                      ++waiting;
                                                      release.WaitForNotification();
                                                  }
                                              }),
                                              4, 8);
        rpc_client client;
        auto other = std::async(std::launch::async, [&] {
            return client.forward(server->address(), request_of("other"), 2 * test_timeout);
        });
        wait_until([&] { return waiting == 1; });
        const auto late = client.forward(server->address(), request_of("late"), 50ms);
        CPPUNIT_ASSERT(failed_with(late, rpc_failure::no_reply));
        // The server holds the reply of this call until `release`, so only closing the connection
        // can end the call.
        CPPUNIT_ASSERT(other.wait_for(test_timeout) == std::future_status::ready);
        CPPUNIT_ASSERT(failed_with(other.get(), rpc_failure::no_reply));
        const auto later = client.forward(server->address(), request_of("later"), test_timeout);
        release.Notify();
        CPPUNIT_ASSERT(std::get<forward_reply>(later) == reply_of("later"));
    }

    // A call that was never written must not be reported as possibly executed.
    void refused_connection_reports_not_sent()
    {
        vm_address unused;
        {
            const raw_peer gone(raw_peer::behaviour::silent);
            unused = gone.address();
        }
        rpc_client client;
        CPPUNIT_ASSERT(failed_with(client.forward(unused, request_of("x"), test_timeout),
                                   rpc_failure::not_sent));
    }

    // A call that the peer may have read must not be reported as not sent.
    void silent_peer_reports_no_reply()
    {
        const raw_peer peer(raw_peer::behaviour::silent);
        rpc_client client;
        for (int it = 1; it <= 2; ++it) {
            CPPUNIT_ASSERT(failed_with(client.forward(peer.address(), request_of("x"), 50ms),
                                       rpc_failure::no_reply));
            wait_until([&] { return peer.accepted() == it; });
        }
    }

    // A call must not be reported as not sent if the peer closes the connection after reading part
    // of it.
    void closed_connection_reports_no_reply()
    {
        const raw_peer peer(raw_peer::behaviour::close_after_first_byte);
        rpc_client client;
        CPPUNIT_ASSERT(failed_with(client.forward(peer.address(), request_of("x"), test_timeout),
                                   rpc_failure::no_reply));
    }

    // After a restart of the peer, the client must drop the old connection and connect again.
    void client_reconnects_to_a_restarted_peer()
    {
        rpc_client client;
        auto server = rpc_server::start(any_port, echo_after([](const std::string&) {}), 2, 8);
        const auto address = server->address();
        CPPUNIT_ASSERT(std::holds_alternative<forward_reply>(
            client.forward(address, request_of("x"), test_timeout)));
        server.reset();
        wait_until([&] { return client.open_connections() == 0; });
        CPPUNIT_ASSERT(failed_with(client.forward(address, request_of("x"), test_timeout),
                                   rpc_failure::not_sent));
        server = rpc_server::start(address, echo_after([](const std::string&) {}), 2, 8);
        CPPUNIT_ASSERT_MESSAGE(last_reason(), server);
        CPPUNIT_ASSERT(std::holds_alternative<forward_reply>(
            client.forward(address, request_of("x"), test_timeout)));
    }

    // With a full worker queue, a call must fail with an error; it must not be queued or hang.
    void full_worker_queue_reports_an_error()
    {
        absl::Notification release;
        std::atomic<int> running = 0;
        const auto server = rpc_server::start(any_port, echo_after([&](const std::string&) {
                                                  ++running;
                                                  release.WaitForNotification();
                                              }),
                                              1, 0);
        const auto result = [&] {
            rpc_client client;
            return client.forward(server->address(), request_of("refused"), test_timeout);
        }();
        release.Notify();
        CPPUNIT_ASSERT(failed_with(result, rpc_failure::no_reply));
        CPPUNIT_ASSERT(std::get<rpc_error>(result).reason.find("busy") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, running.load());
    }

    // An exception of a handler must fail its call and not terminate the process.
    void failing_handler_reports_an_error()
    {
        const auto server = rpc_server::start(
            any_port, echo_after([](const std::string&) { throw std::runtime_error("broken"); }), 1,
            8);
        rpc_client client;
        CPPUNIT_ASSERT(failed_with(client.forward(server->address(), request_of("x"), test_timeout),
                                   rpc_failure::no_reply));
        CPPUNIT_ASSERT(
            failed_with(client.fetch(server->address(), {}, test_timeout), rpc_failure::no_reply));
    }

    // A request or reply above the size limit must fail without closing the connection.
    void oversized_message_fails_only_its_call()
    {
        auto handlers = echo_after([](const std::string&) {});
        handlers.fetch = [](const fetch_request&) {
            return fetch_reply{std::string(config::max_request_body_bytes * 3, 'x'), {}};
        };
        const auto server = rpc_server::start(any_port, handlers, 2, 8);
        rpc_client client;
        auto huge = request_of("x");
        huge.request.body.assign(config::max_request_body_bytes * 3, 'x');
        CPPUNIT_ASSERT(failed_with(client.forward(server->address(), huge, test_timeout),
                                   rpc_failure::not_sent));
        CPPUNIT_ASSERT(
            failed_with(client.fetch(server->address(), {}, test_timeout), rpc_failure::no_reply));
        auto largest = request_of("largest");
        largest.request.body.assign(config::max_request_body_bytes, 'x');
        CPPUNIT_ASSERT(std::get<forward_reply>(client.forward(
                           server->address(), largest, test_timeout)) == reply_of("largest"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.open_connections());
    }

    // A message that claims a huge size must close the connection; the server must not reserve
    // memory for it.
    void huge_claimed_size_closes_the_connection()
    {
        const auto server =
            rpc_server::start(any_port, echo_after([](const std::string&) {}), 1, 1);
        // One segment of 2^28 words (2 GiB).
        CPPUNIT_ASSERT(closes_after(server->address(), std::string("\0\0\0\0\0\0\0\x10", 8)));
    }

    // `stop` must not drop the replies of calls in progress.
    void stop_finishes_calls_in_progress()
    {
        absl::Notification arrived;
        absl::Notification release;
        const auto server = rpc_server::start(any_port, echo_after([&](const std::string&) {
                                                  arrived.Notify();
                                                  release.WaitForNotification();
                                              }),
                                              2, 8);
        rpc_client client;
        auto call = std::async(std::launch::async, [&] {
            return client.forward(server->address(), request_of("x"), test_timeout);
        });
        arrived.WaitForNotification();
        auto stop = std::async(std::launch::async, [&] { server->stop(); });
        rpc_client second_client;
        wait_until([&] {
            return std::holds_alternative<rpc_error>(
                second_client.sync(server->address(), {}, test_timeout));
        });
        release.Notify();
        stop.get();
        const auto result = call.get();
        CPPUNIT_ASSERT(std::holds_alternative<forward_reply>(result));
    }

    // Idle connections must be closed; connections to peers that left would otherwise accumulate.
    void idle_connection_is_closed()
    {
        const auto server =
            rpc_server::start(any_port, echo_after([](const std::string&) {}), 2, 8);
        rpc_client client({1000ms, 100ms});
        static_cast<void>(client.forward(server->address(), request_of("x"), test_timeout));
        wait_until([&] { return client.open_connections() == 0; });
        CPPUNIT_ASSERT(std::holds_alternative<forward_reply>(
            client.forward(server->address(), request_of("x"), test_timeout)));
    }

    // An address in use must be reported as an error and not crash the process.
    void occupied_address_is_reported()
    {
        const raw_peer taken(raw_peer::behaviour::silent);
        CPPUNIT_ASSERT(
            !rpc_server::start(taken.address(), echo_after([](const std::string&) {}), 1, 1));
        CPPUNIT_ASSERT(last_reason().find("cannot listen") != std::string::npos);
    }

    // Random bytes, huge claimed sizes and truncated messages must not stop the server.
    void random_bytes_do_not_stop_the_server()
    {
        constexpr unsigned seed = 20261204;
        std::cerr << "seed " << seed << '\n';
        const auto server =
            rpc_server::start(any_port, echo_after([](const std::string&) {}), 2, 8);
        std::mt19937 random(seed);
        for (int it = 0; it < 400; ++it) {
            std::string bytes(8 + random() % 600, '\0');
            for (auto& byte : bytes) {
                byte = static_cast<char>(random());
            }
            if (it % 2 == 0) {
                // Writes a valid segment table, so that the bytes reach the message reader.
                bytes.replace(0, 4, std::string(4, '\0'));
                const auto words = static_cast<std::uint32_t>(
                    it % 4 == 0 ? bytes.size() / 8 - 1 : std::uint32_t{1} << (it % 32));
                for (int at = 0; at < 4; ++at) {
                    bytes.at(4 + at) = static_cast<char>(words >> (8 * at));
                }
                // Writes a root pointer to a struct of a few words, so that its fields are read.
                if (bytes.size() >= 16) {
                    bytes.replace(8, 8, std::string("\0\0\0\0\1\0\1\0", 8));
                }
            }
            send_raw(server->address(), bytes);
        }
        rpc_client client;
        CPPUNIT_ASSERT(std::holds_alternative<forward_reply>(
            client.forward(server->address(), request_of("x"), test_timeout)));
    }

    // Guards against handing on a response with the status 000 of another daemon, and against one
    // that nobody hears of.
    void broken_response_in_a_reply_is_reported()
    {
        daemon_handlers handlers;
        handlers.forward = [](const forward_request&) {
            return forward_reply{completed{{0, {}, "body"}}};
        };
        const auto server = rpc_server::start(any_port, handlers, 2, 8);
        std::vector<response_fault> reported;
        rpc_client_options options;
        options.broken_reply = [&](vm_address peer, response_fault it) {
            CPPUNIT_ASSERT(peer == server->address());
            reported.push_back(it);
        };
        rpc_client client(options);
        const auto result = client.forward(server->address(), request_of("a"), test_timeout);
        CPPUNIT_ASSERT(std::holds_alternative<unknown>(std::get<forward_reply>(result).result));
        CPPUNIT_ASSERT(reported == std::vector<response_fault>{response_fault::status});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rpc_test);

} // namespace toucan::rpc
