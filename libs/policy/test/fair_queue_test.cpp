#include "toucan/policy/fair_queue.h"
#include "toucan/policy/latency_model.h"
#include "toucan/policy/retry_spread.h"
#include "toucan/policy/slot_throughput.h"

#include "seeds.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace toucan::policy {

namespace {

using std::chrono::nanoseconds;

/// Requests of one route of one workspace.
struct traffic {
    std::uint64_t flow = 0;
    int workspace_priority = 0;
    int route_priority = 0;
    milliseconds objective{0};
    milliseconds timeout{0};
    milliseconds mean_work{0};
    double per_s = 0;
};

/// What the callers of one `traffic` received.
struct outcome {
    unsigned asked = 0;
    unsigned in_objective = 0;
    unsigned in_deadline = 0;
    unsigned refused = 0;
    /// Refused later than on arrival.
    unsigned refused_after_waiting = 0;

    [[nodiscard]] double objective_share() const { return share(in_objective); }
    [[nodiscard]] double served_share() const { return share(in_deadline); }

private:
    [[nodiscard]] double share(unsigned n) const { return asked == 0 ? 1 : 1.0 * n / asked; }
};

/// Slots of one service with one queue in front of them, in steps of a millisecond. Marks requests
/// late and refuses them by the rules of the request path. Callers do not retry.
class slot_model {
public:
    slot_model(unsigned slots, late_order order, std::vector<traffic> all)
        : free_(slots), queue_(order), all_(std::move(all)), outcomes_(all_.size())
    {
        for (const auto& it : all_) {
            latencies_.emplace_back(it.mean_work);
        }
    }

    std::vector<outcome> run(std::mt19937_64& random, milliseconds duration)
    {
        for (const auto end = now_ + duration; now_ < end; now_ += milliseconds(1)) {
            release();
            dispatch(random);
            for (std::size_t n = 0; n < all_.size(); ++n) {
                std::poisson_distribution<int> arrivals(all_[n].per_s / 1000);
                for (int left = arrivals(random); left > 0; --left) {
                    arrive(n);
                }
            }
            dispatch(random);
            reevaluate();
        }
        return outcomes_;
    }

private:
    struct request {
        std::size_t kind = 0;
        steady_time arrived;
        queued_request key;
        bool waited = false;
    };

    steady_time deadline(const request& it) const { return it.arrived + all_[it.kind].timeout; }

    steady_time latest_on_time(const request& it) const
    {
        return it.arrived + all_[it.kind].objective -
               latencies_[it.kind].needed_within(all_[it.kind].objective);
    }

    nanoseconds wait_of(const request& it, std::size_t ahead) const
    {
        return queue_.empty() ? nanoseconds(0)
                              : throughput_.expected_wait(ahead, precedence_of(it), now_);
    }

    static precedence precedence_of(const request& it)
    {
        return {it.key.workspace_priority, it.key.route_priority, it.key.late};
    }

    bool can_meet_deadline(const request& it, std::size_t ahead) const
    {
        return now_ + wait_of(it, ahead) + latencies_[it.kind].mean() <= deadline(it);
    }

    void arrive(std::size_t kind)
    {
        const auto& of = all_[kind];
        request it{kind, now_, {}};
        it.key = {false,        of.workspace_priority, of.route_priority, of.flow,
                  of.mean_work, now_ + of.objective,   next_number_++};
        ++outcomes_[kind].asked;
        if (free_ == 0 &&
            now_ + wait_of(it, queue_.ahead_of(it.key).requests) > latest_on_time(it)) {
            set_late(it);
        }
        if (free_ == 0 && !can_meet_deadline(it, queue_.ahead_of(it.key).requests)) {
            ++outcomes_[kind].refused;
            return;
        }
        queue_.add(it.key);
        waiting_[it.key.number] = it;
    }

    void set_late(request& it) const
    {
        it.key.late = true;
        it.key.due = deadline(it);
    }

    void reevaluate()
    {
        for (auto& [number, it] : waiting_) {
            if (!it.key.late && now_ > latest_on_time(it)) {
                queue_.remove(number);
                set_late(it);
                queue_.add(it.key);
            }
        }
        std::size_t ahead = 0;
        for (const auto number : queue_.first(queue_.size())) {
            const auto& it = waiting_.at(number);
            if (can_meet_deadline(it, ahead)) {
                ++ahead;
                continue;
            }
            ++outcomes_[it.kind].refused;
            ++outcomes_[it.kind].refused_after_waiting;
            queue_.remove(number);
            waiting_.erase(number);
        }
    }

    void dispatch(std::mt19937_64& random)
    {
        while (free_ > 0 && !queue_.empty()) {
            const auto number = queue_.first(1).front();
            auto it = waiting_.at(number);
            it.waited = now_ > it.arrived;
            queue_.take(number);
            waiting_.erase(number);
            --free_;
            std::uniform_real_distribution<double> spread(0.5, 1.5);
            const auto work =
                std::chrono::duration_cast<nanoseconds>(all_[it.kind].mean_work * spread(random));
            latencies_[it.kind].add(work);
            running_.emplace(now_ + work, it);
        }
    }

    void release()
    {
        while (!running_.empty() && running_.begin()->first <= now_) {
            const auto it = running_.begin()->second;
            running_.erase(running_.begin());
            auto& of = outcomes_[it.kind];
            of.in_objective += now_ <= it.arrived + all_[it.kind].objective ? 1 : 0;
            of.in_deadline += now_ <= deadline(it) ? 1 : 0;
            throughput_.record_release(precedence_of(it), it.waited, now_);
            ++free_;
        }
    }

    unsigned free_;
    fair_queue queue_;
    std::vector<traffic> all_;
    std::vector<outcome> outcomes_;
    std::vector<latency_model> latencies_;
    steady_time now_{milliseconds(1000)};
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, request> waiting_;
    std::multimap<steady_time, request> running_;
    slot_throughput throughput_{milliseconds(1000)};
};

constexpr unsigned slots = 60;

/// An urgent route whose objective is near its service time, and a patient route. Each asks for
/// half of the load.
std::vector<outcome> urgent_beside_patient(std::mt19937_64& random, late_order order, double load,
                                           milliseconds urgent_work)
{
    const auto per_s = [&](milliseconds work) {
        return load / 2 * slots * 1000 / static_cast<double>(work.count());
    };
    const milliseconds patient_work(500);
    slot_model model(
        slots, order,
        {{0, 0, 0, milliseconds(500), milliseconds(2500), urgent_work, per_s(urgent_work)},
         {0, 0, 1, milliseconds(2500), milliseconds(5000), patient_work, per_s(patient_work)}});
    return model.run(random, milliseconds(60'000));
}

} // namespace

class fair_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fair_queue_test);
    CPPUNIT_TEST(order_without_workspaces_is_priority_due_time_arrival);
    CPPUNIT_TEST(workspace_priority_precedes_route_priority);
    CPPUNIT_TEST(hot_workspace_within_its_quota_does_not_delay_others);
    CPPUNIT_TEST(shares_are_equal_in_work_and_not_in_requests);
    CPPUNIT_TEST(idle_workspace_does_not_save_up_its_share);
    CPPUNIT_TEST(requests_ahead_match_the_order);
    CPPUNIT_TEST(state_of_past_workspaces_is_forgotten);
    CPPUNIT_TEST(urgent_route_is_not_served_worse_than_a_patient_one);
    CPPUNIT_TEST(patient_requests_are_refused_on_arrival_under_lasting_overload);
    CPPUNIT_TEST(burst_of_a_higher_class_displaces_before_the_deadline);
    CPPUNIT_TEST(hot_workspace_leaves_the_others_in_their_objective);
    CPPUNIT_TEST(idle_slots_used_by_urgent_requests_do_not_cause_refusals);
    CPPUNIT_TEST(refused_callers_get_different_retry_times);
    CPPUNIT_TEST(retry_times_follow_the_freed_slots);
    CPPUNIT_TEST_SUITE_END();

    static constexpr steady_time start{milliseconds(1000)};
    std::uint64_t next_number_ = 1;

    queued_request request(std::uint64_t flow, milliseconds due = milliseconds(500),
                           milliseconds cost = milliseconds(10))
    {
        queued_request it;
        it.flow = flow;
        it.cost = cost;
        it.due = start + due;
        it.number = next_number_++;
        return it;
    }

    /// Takes the first request and returns its number.
    static std::uint64_t take_first(fair_queue& queue)
    {
        const auto number = queue.first(1).at(0);
        CPPUNIT_ASSERT(queue.take(number));
        return number;
    }

public:
    // A deployment without workspaces must keep its order: workspaces must not change it through
    // the virtual times of the one flow that it has.
    void order_without_workspaces_is_priority_due_time_arrival()
    {
        for_each_seed("order without workspaces", [&](std::mt19937_64& random) {
            fair_queue queue;
            std::map<std::uint64_t, queued_request> all;
            const auto before = [&](std::uint64_t lhs, std::uint64_t rhs) {
                const auto& a = all.at(lhs);
                const auto& b = all.at(rhs);
                return std::tuple(a.route_priority, a.late, a.due, a.number) <
                       std::tuple(b.route_priority, b.late, b.due, b.number);
            };
            for (int round = 0; round < 500; ++round) {
                if (draw(random, 3) > 0) {
                    auto it = request(0, milliseconds(draw(random, 50)),
                                      milliseconds(1 + draw(random, 30)));
                    it.route_priority = static_cast<int>(draw(random, 3));
                    it.late = draw(random, 4) == 0;
                    all[it.number] = it;
                    queue.add(it);
                }
                else if (!all.empty()) {
                    const auto at = std::next(all.begin(), draw(random, all.size()));
                    CPPUNIT_ASSERT(draw(random, 2) == 0 ? queue.take(at->first)
                                                        : queue.remove(at->first));
                    all.erase(at);
                }
                std::vector<std::uint64_t> expected;
                expected.reserve(all.size());
                for (const auto& [number, it] : all) {
                    expected.push_back(number);
                }
                std::sort(expected.begin(), expected.end(), before);
                CPPUNIT_ASSERT(expected == queue.first(queue.size()));
                for (std::size_t n = 0; n < expected.size(); ++n) {
                    CPPUNIT_ASSERT_EQUAL(n, queue.ahead_of(all.at(expected[n])).requests);
                }
            }
        });
    }

    // An urgent route of a workspace of low priority must not go before a patient route of a
    // workspace of high priority.
    void workspace_priority_precedes_route_priority()
    {
        fair_queue queue;
        auto low = request(1);
        low.workspace_priority = 1;
        auto high = request(2);
        high.route_priority = 3;
        queue.add(low);
        queue.add(high);
        CPPUNIT_ASSERT(std::vector<std::uint64_t>({high.number, low.number}) == queue.first(2));
    }

    // Load: one workspace within its quota sends 200 requests at once, then three others send one
    // each. By due time alone, the three would wait behind all of the 200.
    void hot_workspace_within_its_quota_does_not_delay_others()
    {
        fair_queue queue;
        for (int n = 0; n < 200; ++n) {
            queue.add(request(1));
        }
        for (int n = 0; n < 20; ++n) {
            take_first(queue);
        }
        std::set<std::uint64_t> others;
        for (std::uint64_t flow = 2; flow <= 4; ++flow) {
            const auto it = request(flow);
            others.insert(it.number);
            queue.add(it);
            CPPUNIT_ASSERT(queue.ahead_of(it).requests <= 3);
        }
        for (int n = 0; n < 4; ++n) {
            others.erase(take_first(queue));
        }
        CPPUNIT_ASSERT(others.empty());
        CPPUNIT_ASSERT(queue.ahead_of(request(1)).requests >= 170);
    }

    // Load: one workspace sends requests of 40 ms and another requests of 10 ms. With equal numbers
    // of requests, the first would get four fifths of the slots.
    void shares_are_equal_in_work_and_not_in_requests()
    {
        fair_queue queue;
        std::map<std::uint64_t, queued_request> all;
        for (int n = 0; n < 400; ++n) {
            const auto it =
                request(1 + n % 2, milliseconds(500), milliseconds(n % 2 == 0 ? 40 : 10));
            all[it.number] = it;
            queue.add(it);
        }
        std::map<std::uint64_t, nanoseconds> work;
        for (int n = 0; n < 200; ++n) {
            const auto& it = all.at(take_first(queue));
            work[it.flow] += it.cost;
        }
        CPPUNIT_ASSERT(work[1] <= work[2] + milliseconds(40));
        CPPUNIT_ASSERT(work[2] <= work[1] + milliseconds(40));
    }

    // Load: a workspace returns after a long pause with a burst. A share saved up in the pause
    // would let its whole burst go first.
    void idle_workspace_does_not_save_up_its_share()
    {
        fair_queue queue;
        queue.add(request(2));
        for (int n = 0; n < 300; ++n) {
            queue.add(request(1));
        }
        for (int n = 0; n < 200; ++n) {
            take_first(queue);
        }
        std::set<std::uint64_t> returned;
        for (int n = 0; n < 50; ++n) {
            const auto it = request(2);
            returned.insert(it.number);
            queue.add(it);
        }
        std::size_t taken = 0;
        for (int n = 0; n < 40; ++n) {
            taken += returned.count(take_first(queue));
        }
        CPPUNIT_ASSERT(taken >= 19 && taken <= 21);
    }

    // The expected wait, and with it each refusal, depends on the number of requests ahead. It must
    // agree with the order of dispatch, up to one request per other workspace for equal virtual
    // times.
    void requests_ahead_match_the_order()
    {
        for_each_seed("requests ahead", [&](std::mt19937_64& random) {
            fair_queue queue;
            std::map<std::uint64_t, queued_request> all;
            for (int n = 0; n < 300; ++n) {
                auto it = request(draw(random, 6), milliseconds(draw(random, 400)));
                it.workspace_priority = static_cast<int>(draw(random, 2));
                it.late = draw(random, 3) == 0;
                all[it.number] = it;
                queue.add(it);
                if (draw(random, 3) == 0) {
                    all.erase(take_first(queue));
                }
            }
            std::size_t n = 0;
            nanoseconds work{0};
            for (const auto number : queue.first(queue.size())) {
                const auto ahead = queue.ahead_of(all.at(number));
                CPPUNIT_ASSERT(ahead.requests <= n && n <= ahead.requests + 5);
                CPPUNIT_ASSERT(ahead.work <= work && work <= ahead.work + 5 * milliseconds(10));
                ++n;
                work += all.at(number).cost;
            }
            CPPUNIT_ASSERT_EQUAL(all.size(), n);
        });
    }

    // Load: 5,000 workspaces come and go while one remains. Their state must not add up.
    void state_of_past_workspaces_is_forgotten()
    {
        fair_queue queue;
        for (int n = 0; n < 50; ++n) {
            queue.add(request(1));
        }
        std::size_t most = 0;
        for (std::uint64_t flow = 2; flow < 5002; ++flow) {
            queue.add(request(flow));
            queue.add(request(1));
            take_first(queue);
            take_first(queue);
            most = std::max(most, queue.flows());
        }
        CPPUNIT_ASSERT(most <= 4);
        while (!queue.empty()) {
            take_first(queue);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.flows());
    }

    // Load: 1.3 and 2 times the slots, half of it on an urgent route whose objective (500 ms) is
    // near its service time, half on a patient route. With late requests behind all others, most
    // requests of the urgent route are late on arrival, and at twice the slots 0.08 of them are
    // served beside 0.92 of the patient ones. Callers need a share of served requests that follows
    // the urgency. The share within the objective is bounded by the service time itself: 0.33 of
    // requests that take 300 to 900 ms could be answered within 500 ms on idle servers.
    void urgent_route_is_not_served_worse_than_a_patient_one()
    {
        for_each_seed("urgent beside patient", [&](std::mt19937_64& random) {
            for (const double load : {1.3, 2.0}) {
                for (const int work : {350, 450, 600}) {
                    const auto all = urgent_beside_patient(random, late_order::within_class, load,
                                                           milliseconds(work));
                    const auto before = urgent_beside_patient(random, late_order::after_all, load,
                                                              milliseconds(work));
                    std::cout << "[policy] load " << load << " work " << work << " ms: urgent "
                              << all[0].objective_share() << " in objective, "
                              << all[0].served_share() << " served, patient "
                              << all[1].objective_share() << ", " << all[1].served_share()
                              << "; late after all: urgent " << before[0].objective_share() << ", "
                              << before[0].served_share() << ", patient "
                              << before[1].objective_share() << ", " << before[1].served_share()
                              << '\n';
                    // The urgent route asks for at most the slots.
                    CPPUNIT_ASSERT(all[0].served_share() >= 0.9);
                    CPPUNIT_ASSERT(all[0].served_share() > all[1].served_share());
                    const double possible = work <= 350 ? 0.9 : work <= 450 ? 0.61 : 0.33;
                    CPPUNIT_ASSERT(all[0].objective_share() >= 0.5 * possible);
                    if (work < 500) {
                        CPPUNIT_ASSERT(all[0].objective_share() > all[1].objective_share());
                    }
                }
            }
        });
    }

    // Load: twice the slots, with the urgent route alone at the slots. A patient request that is
    // queued at the mean rate of freed slots waits for seconds and is then refused, because urgent
    // requests that arrive later take these slots. Most refusals must come on arrival.
    void patient_requests_are_refused_on_arrival_under_lasting_overload()
    {
        for_each_seed("refusal on arrival", [&](std::mt19937_64& random) {
            const auto all =
                urgent_beside_patient(random, late_order::within_class, 2.0, milliseconds(450));
            CPPUNIT_ASSERT(all[1].refused > 1000);
            CPPUNIT_ASSERT(all[1].refused_after_waiting * 4 < all[1].refused);
        });
    }

    // Load: patient requests fill the queue, then a burst of urgent requests precedes them. Those
    // that cannot be served any more are known at once, long before their deadlines.
    void burst_of_a_higher_class_displaces_before_the_deadline()
    {
        fair_queue queue;
        slot_throughput throughput(milliseconds(1000));
        for (int n = 0; n < 100; ++n) {
            throughput.record_release({0, 1, false}, true, start + milliseconds(10 * n));
        }
        const auto now = start + milliseconds(990);
        const auto waits = [&](const queued_request& it) {
            return throughput.expected_wait(queue.ahead_of(it).requests,
                                            {it.workspace_priority, it.route_priority, it.late},
                                            now);
        };
        queued_request last;
        for (int n = 0; n < 50; ++n) {
            last = request(0);
            last.route_priority = 1;
            queue.add(last);
        }
        CPPUNIT_ASSERT(waits(last) <= milliseconds(510));
        for (int n = 0; n < 100; ++n) {
            queue.add(request(0));
        }
        CPPUNIT_ASSERT(waits(last) >= milliseconds(1450));
    }

    // Load: four workspaces ask for half of the slots together, and a fifth one, within its quota,
    // for 1.5 times the slots. In one common order by due time, all five are late alike.
    void hot_workspace_leaves_the_others_in_their_objective()
    {
        const auto share_of_others = [](std::mt19937_64& random, bool separate) {
            std::vector<traffic> all;
            const milliseconds work(100);
            const double per_s = slots * 10.0;
            for (std::uint64_t flow = 1; flow <= 5; ++flow) {
                all.push_back({separate ? flow : 0, 0, 0, milliseconds(500), milliseconds(2500),
                               work, flow == 5 ? 1.5 * per_s : per_s / 8});
            }
            slot_model model(slots, late_order::within_class, all);
            const auto outcomes = model.run(random, milliseconds(20'000));
            double lowest = 1;
            for (std::size_t n = 0; n < 4; ++n) {
                lowest = std::min(lowest, outcomes[n].objective_share());
            }
            return lowest;
        };
        for_each_seed("hot workspace", [&](std::mt19937_64& random) {
            const double fair = share_of_others(random, true);
            const double common = share_of_others(random, false);
            std::cout << "[policy] others in objective: " << fair << ", in one flow " << common
                      << '\n';
            CPPUNIT_ASSERT(fair >= 0.98);
            CPPUNIT_ASSERT(common < 0.7);
        });
    }

    // Load: an urgent route alone, well below the slots. The slots that it used without waiting are
    // no sign that a patient request would not get one.
    void idle_slots_used_by_urgent_requests_do_not_cause_refusals()
    {
        slot_throughput throughput(milliseconds(1000));
        for (int n = 0; n < 100; ++n) {
            throughput.record_release({0, 0, false}, false, start + milliseconds(10 * n));
        }
        const auto now = start + milliseconds(990);
        CPPUNIT_ASSERT(throughput.expected_wait(0, {0, 1, false}, now) <= milliseconds(10));
        for (int n = 0; n < 100; ++n) {
            throughput.record_release({0, 0, false}, true, now + milliseconds(10 * n));
        }
        CPPUNIT_ASSERT(throughput.expected_wait(0, {0, 1, false}, now + milliseconds(990)) >=
                       milliseconds(300));
        CPPUNIT_ASSERT(throughput.expected_wait(0, {0, 0, false}, now + milliseconds(990)) <=
                       milliseconds(15));
    }

    // Load: a burst is refused at one moment. Equal delays would bring it back at one moment.
    void refused_callers_get_different_retry_times()
    {
        retry_spread spread;
        std::set<milliseconds> delays;
        for (int n = 0; n < 200; ++n) {
            const auto it = spread.next(std::chrono::seconds(5), milliseconds(2),
                                        {milliseconds(50), milliseconds(1000)}, start);
            CPPUNIT_ASSERT(it >= milliseconds(50) && it <= milliseconds(1000));
            delays.insert(it);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(200), delays.size());
    }

    // The first caller that is refused gets the first slot that becomes free, the next one the
    // next. After an overload the delays must be short again.
    void retry_times_follow_the_freed_slots()
    {
        retry_spread spread;
        const retry_spread::bounds within{milliseconds(50), milliseconds(1000)};
        milliseconds last{0};
        for (int n = 0; n < 50; ++n) {
            const auto it = spread.next(milliseconds(100), milliseconds(10), within, start);
            CPPUNIT_ASSERT_EQUAL(milliseconds(100 + 10 * n), it);
            CPPUNIT_ASSERT(it > last);
            last = it;
        }
        for (int n = 0; n < 5000; ++n) {
            const auto it = spread.next(milliseconds(100), milliseconds(10), within, start);
            CPPUNIT_ASSERT(it >= milliseconds(50) && it <= milliseconds(1000));
        }
        const auto later = start + std::chrono::seconds(5);
        CPPUNIT_ASSERT_EQUAL(milliseconds(100),
                             spread.next(milliseconds(100), milliseconds(10), within, later));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);

} // namespace toucan::policy
