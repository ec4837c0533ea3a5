#include "request_path_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace toucan::edge {

/// Order and refusals of queued requests, checked at the connections of callers and backend
/// servers.
class fair_queue_path_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fair_queue_path_test);
    CPPUNIT_TEST(hot_workspace_does_not_delay_another);
    CPPUNIT_TEST(late_requests_of_an_urgent_route_precede_a_patient_route);
    CPPUNIT_TEST(displaced_requests_are_refused_before_their_deadline);
    CPPUNIT_TEST(refused_callers_get_different_retry_times);
    CPPUNIT_TEST_SUITE_END();

    using reaction = scripted_backend::reaction;

    static workspace_table two_workspaces()
    {
        workspace hot;
        hot.name = workspace_name("hot");
        workspace calm;
        calm.name = workspace_name("calm");
        return workspace_table::builder()
            .add(hot, {key_digest::of("hot-key")})
            .add(calm, {key_digest::of("calm-key")})
            .build();
    }

    static scripted_backend& add_slow(request_path_fixture& fixture, milliseconds delay)
    {
        return fixture.add_backend("b1", [&fixture, delay](const parsed_request& it) {
            return reaction{fixture.signed_response(it), delay, false};
        });
    }

    /// Sends a request on a connection of its own.
    static scripted_caller& send(request_path_fixture& fixture, const std::string& path,
                                 const std::string& id, const std::string& more = {})
    {
        auto& caller = fixture.connect();
        caller.send(fixture.get(path, id, more));
        return caller;
    }

    static std::string authorization(const std::string& key)
    {
        return "Authorization: Bearer " + key + "\r\n";
    }

    /// Position of the last request at the backend server whose id begins with a text; 0 without
    /// one.
    static std::size_t last_position(const request_path_fixture& fixture,
                                     const scripted_backend& backend, const std::string& prefix)
    {
        std::size_t last = 0;
        for (std::size_t n = 0; n < backend.requests().size(); ++n) {
            const auto id =
                find_header(backend.requests()[n].request.headers, fixture.names().attempt_id);
            if (id.substr(0, prefix.size()) == prefix) {
                last = n + 1;
            }
        }
        return last;
    }

public:
    // A workspace that fills the queue within its quota must not delay a request of another
    // workspace behind all of its own.
    void hot_workspace_does_not_delay_another()
    {
        request_path_fixture fixture;
        auto& backend = add_slow(fixture, milliseconds(30));
        fixture.configure(
            [](std::vector<route>& routes) {
                for (auto& it : routes) {
                    it.objective = milliseconds(20'000);
                    it.timeout = milliseconds(20'000);
                }
            },
            two_workspaces());
        for (int n = 0; n < 60; ++n) {
            send(fixture, "/read/x", "hot-" + std::to_string(n), authorization("hot-key"));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.dispatch().waiting() >= 40; }));
        const auto before = backend.requests().size();
        for (int n = 0; n < 3; ++n) {
            send(fixture, "/read/x", "calm-" + std::to_string(n), authorization("calm-key"));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return backend.requests().size() == 63; },
                                         milliseconds(10'000)));
        CPPUNIT_ASSERT(last_position(fixture, backend, "calm-") <= before + 30);
    }

    // The objective of the urgent route is shorter than its service time, so that its requests are
    // late on arrival. They were dispatched after all requests of the patient route.
    void late_requests_of_an_urgent_route_precede_a_patient_route()
    {
        request_path_fixture fixture;
        auto& backend = add_slow(fixture, milliseconds(30));
        fixture.configure([](std::vector<route>& routes) {
            for (auto& it : routes) {
                it.timeout = milliseconds(20'000);
                const bool urgent = it.name == routes.front().name;
                it.priority = urgent ? 0 : 1;
                it.objective = urgent ? milliseconds(1) : milliseconds(20'000);
            }
        });
        for (int n = 0; n < 40; ++n) {
            auto& caller = fixture.connect();
            caller.send(fixture.post("/write/x", "patient-" + std::to_string(n)));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.dispatch().waiting() >= 30; }));
        const auto before = backend.requests().size();
        for (int n = 0; n < 3; ++n) {
            send(fixture, "/read/x", "urgent-" + std::to_string(n));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return backend.requests().size() == 43; },
                                         milliseconds(10'000)));
        CPPUNIT_ASSERT(last_position(fixture, backend, "urgent-") <= before + 20);
    }

    // Requests of a patient route that can be served in time are queued; then urgent requests take
    // their slots. They must be refused when this is known and not at their deadline.
    void displaced_requests_are_refused_before_their_deadline()
    {
        request_path_fixture fixture;
        add_slow(fixture, milliseconds(100));
        fixture.configure([](std::vector<route>& routes) {
            for (auto& it : routes) {
                const bool urgent = it.name == routes.front().name;
                it.priority = urgent ? 0 : 1;
                it.timeout = milliseconds(urgent ? 60'000 : 15'000);
                it.objective = it.timeout;
            }
        });
        // Service time and throughput are measured first.
        std::vector<scripted_caller*> first;
        first.reserve(60);
        for (int n = 0; n < 60; ++n) {
            first.push_back(&fixture.connect());
            first.back()->send(fixture.post("/write/x", "first-" + std::to_string(n)));
        }
        CPPUNIT_ASSERT(fixture.run_until(
            [&] {
                return std::all_of(first.begin(), first.end(),
                                   [](const auto* it) { return !it->responses().empty(); });
            },
            milliseconds(10'000)));
        std::vector<scripted_caller*> patient;
        patient.reserve(20);
        for (int n = 0; n < 20; ++n) {
            patient.push_back(&fixture.connect());
            patient.back()->send(fixture.post("/write/x", "patient-" + std::to_string(n)));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.dispatch().waiting() >= 15; }));
        for (int n = 0; n < 900; ++n) {
            send(fixture, "/read/x", "burst-" + std::to_string(n));
        }
        const auto refused = [&] {
            return std::any_of(patient.begin(), patient.end(), [](const auto* it) {
                return !it->responses().empty() && it->responses().back().response.status == 503;
            });
        };
        CPPUNIT_ASSERT(!refused());
        CPPUNIT_ASSERT(fixture.run_until(refused, milliseconds(10'000)));
    }

    // Callers that are refused at one moment must not all retry at one moment.
    void refused_callers_get_different_retry_times()
    {
        request_path_fixture fixture;
        add_slow(fixture, milliseconds(200));
        fixture.configure([](std::vector<route>& routes) {
            for (auto& it : routes) {
                it.objective = milliseconds(400);
                it.timeout = milliseconds(3000);
            }
        });
        // The throughput is measured first.
        for (int n = 0; n < 8; ++n) {
            send(fixture, "/read/x", "first-" + std::to_string(n));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.dispatch().waiting() > 0; }));
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.dispatch().waiting() == 0; }));
        std::vector<scripted_caller*> callers;
        callers.reserve(150);
        for (int n = 0; n < 150; ++n) {
            callers.push_back(&send(fixture, "/read/x", "more-" + std::to_string(n)));
        }
        const auto refusals = [&] {
            return std::count_if(callers.begin(), callers.end(), [](const auto* it) {
                return !it->responses().empty() && it->responses().front().response.status == 503;
            });
        };
        CPPUNIT_ASSERT(fixture.run_until([&] { return refusals() >= 20; }, milliseconds(1000)));
        // Equal delays of refusals at different moments are different times, so some may be equal.
        std::map<std::string, std::size_t> delays;
        std::size_t refused = 0;
        std::size_t most = 0;
        for (const auto* it : callers) {
            if (!it->responses().empty() && it->responses().front().response.status == 503) {
                ++refused;
                const auto& headers = it->responses().front().response.headers;
                most = std::max(most, ++delays[std::string(find_header(headers, "Retry-After"))]);
            }
        }
        CPPUNIT_ASSERT(most * 4 <= refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_path_test);

} // namespace toucan::edge
