#include "toucan/policy/confidence.h"
#include "toucan/policy/entry_vm_choice.h"
#include "toucan/policy/local_backend_choice.h"
#include "toucan/policy/retry_after.h"
#include "toucan/policy/route_decision.h"
#include "toucan/policy/tunables.h"

#include "seeds.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <vector>

namespace toucan::policy {

class choice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(choice_test);
    CPPUNIT_TEST(leaving_and_tried_backends_are_not_chosen);
    CPPUNIT_TEST(less_loaded_backend_is_preferred_while_reports_arrive);
    CPPUNIT_TEST(small_differences_do_not_change_the_target);
    CPPUNIT_TEST(one_report_does_not_redirect_all_requests);
    CPPUNIT_TEST(confidence_halves_per_half_life);
    CPPUNIT_TEST(lookup_returns_two_ready_entry_vms);
    CPPUNIT_TEST(objective_determines_when_requests_go_remote);
    CPPUNIT_TEST(route_respects_every_budget);
    CPPUNIT_TEST(retry_after_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;

    static backend_server_name backend(unsigned n)
    {
        return backend_server_name("b" + std::to_string(n));
    }

    std::map<std::string, double> shares(const local_backend_choice& choice,
                                         std::mt19937_64& random) const
    {
        std::map<std::string, double> count;
        constexpr int draws = 20'000;
        for (int n = 0; n < draws; ++n) {
            count[choice.choose({}, random(), time_.now())->text()] += 1.0 / draws;
        }
        return count;
    }

    static remote_candidate remote(const char* region, int round_trip)
    {
        remote_candidate it;
        it.failure_domain = failure_domain_name(std::string(region) + "-1");
        it.region = region_name(region);
        it.round_trip = milliseconds(round_trip);
        it.credit = held_credit{1, it.failure_domain, backend(9)};
        it.credit_slots = 2;
        it.remaining_shift = 1;
        return it;
    }

    static route_input input(steering::objective goal, int wait)
    {
        route_input it;
        it.goal = goal;
        it.client_region = region_name("noord");
        it.entry_region = region_name("noord");
        it.local = local_candidate{backend(1), milliseconds(wait)};
        it.time_left = milliseconds(1000);
        it.service_time = milliseconds(20);
        return it;
    }

public:
    // Guards against sending a request to a backend server that is leaving or was already tried,
    // and against finding none while another one is eligible.
    void leaving_and_tried_backends_are_not_chosen()
    {
        for_each_seed("excluded backend servers", [&](std::mt19937_64& random) {
            for (int round = 0; round < 2000; ++round) {
                local_backend_choice choice;
                std::set<std::string> usable;
                std::vector<backend_server_name> tried;
                for (unsigned n = 0; n < 5; ++n) {
                    choice.set_backend(backend(n), 1 + draw(random, 9));
                    const bool leaving = draw(random, 2) == 0;
                    const bool used = draw(random, 3) == 0;
                    choice.set_leaving(backend(n), leaving);
                    if (used) {
                        tried.push_back(backend(n));
                    }
                    if (!leaving && !used) {
                        usable.insert(backend(n).text());
                    }
                }
                const auto it = choice.choose(tried, random(), time_.now());
                CPPUNIT_ASSERT_EQUAL(!usable.empty(), it.has_value());
                CPPUNIT_ASSERT(!it || usable.contains(it->text()));
            }
        });
    }

    // Guards against load reports that still steer requests 60 s after they stopped. The choice
    // must return to equal shares.
    void less_loaded_backend_is_preferred_while_reports_arrive()
    {
        for_each_seed("shares", [&](std::mt19937_64& random) {
            local_backend_choice choice;
            for (unsigned n = 0; n < 3; ++n) {
                choice.set_backend(backend(n), 9);
                choice.report(backend(n), 9, n == 0 ? 9 : 3, time_.now());
            }
            CPPUNIT_ASSERT(shares(choice, random)["b0"] < 0.02);
            time_.advance(std::chrono::seconds(60));
            for (const auto& [name, share] : shares(choice, random)) {
                CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, share, 0.02);
            }
        });
    }

    // Guards against moving all requests for a load difference within the hysteresis: 50 against 45
    // of 100 slots does not change the shares, 50 against 40 does.
    void small_differences_do_not_change_the_target()
    {
        for_each_seed("hysteresis", [&](std::mt19937_64& random) {
            local_backend_choice choice;
            choice.set_backend(backend(0), 100);
            choice.set_backend(backend(1), 100);
            choice.report(backend(0), 100, 50, time_.now());
            choice.report(backend(1), 100, 45, time_.now());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, shares(choice, random)["b0"], 0.02);
            local_backend_choice other;
            other.set_backend(backend(0), 100);
            other.set_backend(backend(1), 100);
            other.report(backend(0), 100, 50, time_.now());
            other.report(backend(1), 100, 40, time_.now());
            CPPUNIT_ASSERT(shares(other, random)["b1"] > 0.98);
        });
    }

    // Guards against all daemons switching to the same backend server after one report.
    void one_report_does_not_redirect_all_requests()
    {
        for_each_seed("smoothing", [&](std::mt19937_64& random) {
            local_backend_choice choice;
            for (unsigned n = 0; n < 2; ++n) {
                choice.set_backend(backend(n), 9);
                choice.report(backend(n), 9, 5, time_.now());
            }
            choice.report(backend(0), 9, 7, time_.now());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, shares(choice, random)["b0"], 0.02);
            for (int n = 0; n < 20; ++n) {
                choice.report(backend(0), 9, 7, time_.now());
            }
            CPPUNIT_ASSERT(shares(choice, random)["b0"] < 0.02);
        });
    }

    // Guards against a wrong decay of measurements: weight 1 up to 1 s, then halved every 5 s.
    void confidence_halves_per_half_life()
    {
        using std::chrono::seconds;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, confidence(seconds(1)), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, confidence(seconds(6)), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, confidence(seconds(11)), 1e-9);
    }

    // Guards against lookups that return one entry VM or a leaving one while others are ready, or
    // VMs of a farther failure domain before those of a nearer one.
    void lookup_returns_two_ready_entry_vms()
    {
        steering::deployment_topology topology;
        const region_name noord("noord");
        const region_name zuid("zuid");
        const region_name far("far");
        const std::vector<std::pair<const char*, region_name>> domains{
            {"n1", noord}, {"n2", noord}, {"f1", far}, {"z1", zuid}};
        for (const auto& [name, region] : domains) {
            topology.failure_domains.push_back({failure_domain_name(name), region, 2});
        }
        topology.links = {{noord, zuid, 1, milliseconds(20)}, {noord, far, 1, milliseconds(55)}};
        for_each_seed("lookup", [&](std::mt19937_64& random) {
            for (int round = 0; round < 1000; ++round) {
                std::vector<entry_candidate> candidates;
                std::map<vm_address, std::string> usable;
                std::vector<std::string> expected;
                std::uint32_t ip = 1;
                for (const auto* name : {"n1", "n2", "z1", "f1"}) {
                    for (int n = 0; n < 2; ++n) {
                        entry_candidate it{{vm_address(ip++, 80), incarnation(1)},
                                           failure_domain_name(name),
                                           draw(random, 3) != 0,
                                           draw(random, 3) == 0};
                        candidates.push_back(it);
                        if (it.ready && !it.leaving) {
                            usable[it.id.address] = name;
                            expected.emplace_back(name);
                        }
                    }
                }
                expected.resize(std::min<std::size_t>(2, expected.size()));
                const auto chosen = choose_entry_vms(topology, "10.0.0.0/24",
                                                     failure_domain_name("n1"), candidates);
                std::vector<std::string> names;
                for (const auto& it : chosen) {
                    CPPUNIT_ASSERT(usable.contains(it.address));
                    names.push_back(usable[it.address]);
                }
                CPPUNIT_ASSERT(expected == names);
                CPPUNIT_ASSERT(chosen.size() < 2 || chosen[0] != chosen[1]);
            }
        });
    }

    // Guards against requests that leave the failure domain at the wrong local wait. With `latency`
    // they leave once the wait exceeds the round trip of 110 ms, with `headroom` once it exceeds a
    // quarter of it.
    void objective_determines_when_requests_go_remote()
    {
        const auto goes_to_other_region = [](steering::objective goal, int wait) {
            auto it = input(goal, wait);
            it.remotes = {remote("zuid", 110)};
            return std::holds_alternative<serve_remote>(decide_route(it));
        };
        // A failure domain 2 ms away does not receive requests for small errors in the estimated
        // wait.
        const auto goes_to_neighbour = [](int wait) {
            auto it = input(steering::objective::latency, wait);
            it.remotes = {remote("noord", 2)};
            return std::holds_alternative<serve_remote>(decide_route(it));
        };
        CPPUNIT_ASSERT(!goes_to_neighbour(9));
        CPPUNIT_ASSERT(goes_to_neighbour(11));
        CPPUNIT_ASSERT(!goes_to_other_region(steering::objective::latency, 100));
        CPPUNIT_ASSERT(goes_to_other_region(steering::objective::latency, 120));
        CPPUNIT_ASSERT(!goes_to_other_region(steering::objective::headroom, 20));
        CPPUNIT_ASSERT(goes_to_other_region(steering::objective::headroom, 40));
    }

    // Guards against a remote target without credit, shift allowance, link budget or time.
    void route_respects_every_budget()
    {
        for_each_seed("route", [&](std::mt19937_64& random) {
            for (int round = 0; round < 20'000; ++round) {
                const auto pick = [&](unsigned odds) {
                    return draw(random, odds) == 0;
                };
                auto it =
                    input(pick(2) ? steering::objective::latency : steering::objective::headroom,
                          static_cast<int>(draw(random, 400)));
                if (pick(3)) {
                    it.local.reset();
                }
                if (pick(3)) {
                    it.client_region = region_name("zuid");
                }
                it.local_remaining_shift = draw(random, 2);
                it.time_left = milliseconds(draw(random, 400));
                for (const auto& [region, trip] :
                     {std::pair{"noord", 2}, std::pair{"zuid", 110}, std::pair{"oost", 110}}) {
                    auto other = remote(region, trip);
                    if (pick(3)) {
                        other.credit.reset();
                    }
                    other.remaining_shift = draw(random, 2);
                    other.link_allows = pick(2);
                    it.remotes.push_back(other);
                }
                const auto decision = decide_route(it);
                CPPUNIT_ASSERT(decision == decide_route(it));
                if (const auto* local = std::get_if<serve_local>(&decision)) {
                    CPPUNIT_ASSERT(it.local);
                    CPPUNIT_ASSERT_EQUAL(it.client_region != it.entry_region, local->shifted);
                    CPPUNIT_ASSERT(!local->shifted || it.local_remaining_shift > 0);
                    CPPUNIT_ASSERT(it.local->expected_wait + it.service_time <= it.time_left);
                }
                else if (const auto* away = std::get_if<serve_remote>(&decision)) {
                    for (const auto& other : it.remotes) {
                        if (other.region == away->region) {
                            CPPUNIT_ASSERT(other.credit == away->credit);
                            CPPUNIT_ASSERT_EQUAL(other.region != it.client_region, away->shifted);
                            CPPUNIT_ASSERT(!away->shifted || other.remaining_shift > 0);
                            CPPUNIT_ASSERT(!away->crosses_link || other.link_allows);
                            CPPUNIT_ASSERT(other.round_trip + it.service_time <= it.time_left);
                        }
                    }
                }
                else {
                    CPPUNIT_ASSERT(std::get<refuse>(decision).retry_after >= min_retry_after);
                }
            }
        });
    }

    // Guards against retry delays outside the bounds, and against deferrable requests that retry
    // before urgent ones.
    void retry_after_is_bounded()
    {
        for_each_seed("retry after", [&](std::mt19937_64& random) {
            for (int round = 0; round < 5000; ++round) {
                retry_hint hint;
                hint.reason = static_cast<refusal_reason>(draw(random, 7));
                hint.expected_wait = milliseconds(draw(random, 40'000));
                hint.shift_renewal = milliseconds(draw(random, 40'000));
                hint.spread = random();
                const auto urgent = retry_after(hint);
                CPPUNIT_ASSERT(urgent >= min_retry_after && urgent <= max_retry_after);
                hint.priority = steering::request_class::deferrable;
                CPPUNIT_ASSERT(retry_after(hint) <= max_retry_after);
                // Without jitter, a deferrable request never retries earlier than an urgent one.
                hint.spread = 0;
                const auto deferrable = retry_after(hint);
                hint.priority = steering::request_class::urgent;
                CPPUNIT_ASSERT(deferrable >= retry_after(hint));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(choice_test);

} // namespace toucan::policy
