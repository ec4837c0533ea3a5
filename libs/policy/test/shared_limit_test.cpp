#include "toucan/policy/cold_limit.h"
#include "toucan/policy/retry_allowance.h"
#include "toucan/policy/shift_limit.h"
#include "toucan/policy/weighted_rotation.h"

#include "seeds.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace toucan::policy {

class shared_limit_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shared_limit_test);
    CPPUNIT_TEST(cold_request_shares_stay_within_the_rate_in_any_second);
    CPPUNIT_TEST(cold_limit_admits_requests_with_many_daemons);
    CPPUNIT_TEST(resends_of_all_daemons_stay_within_the_budget);
    CPPUNIT_TEST(resend_that_was_not_sent_is_allowed_again_once);
    CPPUNIT_TEST(split_keeps_its_weights_over_few_requests);
    CPPUNIT_TEST(target_without_weight_gets_no_requests_after_a_change);
    CPPUNIT_TEST(share_of_requests_leaving_the_region_grows_within_limit);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;

public:
    // Guards against daemons that each keep to a low rate but all send in the same second: 23
    // daemons sent 11 requests where 10.1 were permitted.
    void cold_request_shares_stay_within_the_rate_in_any_second()
    {
        for_each_seed("cold rate", [&](std::mt19937_64& random) {
            const cold_rate rate{1.0 + draw(random, 40), 1.5, 5};
            const std::size_t daemons = 1 + draw(random, 120);
            std::vector<cold_limit> limits(daemons);
            for (std::size_t it = 0; it < daemons; ++it) {
                limits[it].configure(rate, daemons, it);
            }
            std::deque<steady_time> sent;
            const double bound = rate.requests_per_s * rate.factor + rate.slack;
            for (int step = 0; step < 400; ++step) {
                const auto now = time_.now();
                for (auto& it : limits) {
                    while (it.try_take(now)) {
                        sent.push_back(now);
                    }
                }
                while (!sent.empty() && now - sent.front() > std::chrono::seconds(1)) {
                    sent.pop_front();
                }
                CPPUNIT_ASSERT(static_cast<double>(sent.size()) <= bound);
                time_.advance(milliseconds(5 + draw(random, 40)));
            }
        });
    }

    // Guards against a division that rounds every daemon's share down to zero. A cold server that
    // receives no requests never becomes warm.
    void cold_limit_admits_requests_with_many_daemons()
    {
        std::size_t with_share = 0;
        for (std::size_t it = 0; it < 300; ++it) {
            cold_limit limit;
            limit.configure({3.4, 1.5, 5}, 300, it);
            with_share += limit.allows(time_.now()) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, with_share);
    }

    // Guards against resends that are lost although nothing was sent, and against one that is put
    // back after its time and permits a resend too many.
    void resend_that_was_not_sent_is_allowed_again_once()
    {
        retry_allowance allowance({0, 2.6, milliseconds(10000)});
        const auto first = time_.now();
        CPPUNIT_ASSERT(allowance.try_take(first));
        time_.advance(milliseconds(1500));
        CPPUNIT_ASSERT(allowance.try_take(time_.now()));
        CPPUNIT_ASSERT(!allowance.try_take(time_.now()));
        allowance.put_back(first);
        CPPUNIT_ASSERT(allowance.try_take(time_.now()));
        CPPUNIT_ASSERT(!allowance.try_take(time_.now()));
        allowance.put_back(first);
        CPPUNIT_ASSERT(!allowance.try_take(time_.now()));
        time_.advance(milliseconds(11000));
        CPPUNIT_ASSERT(allowance.try_take(time_.now()));
        allowance.put_back(first);
        CPPUNIT_ASSERT(allowance.try_take(time_.now()));
        CPPUNIT_ASSERT(!allowance.try_take(time_.now()));
    }

    // Guards the retry budget: while all daemons resend as much as they may, the resends in any
    // window stay within the ratio of the requests plus the constant.
    void resends_of_all_daemons_stay_within_the_budget()
    {
        for_each_seed("retry budget", [&](std::mt19937_64& random) {
            constexpr std::size_t daemons = 20;
            const retry_allowance_settings settings{0.2, 120, milliseconds(10000)};
            std::vector<retry_allowance> allowances(daemons, retry_allowance(settings));
            for (auto& it : allowances) {
                it.set_daemons(daemons);
            }
            std::deque<steady_time> requests;
            std::deque<steady_time> resends;
            for (int step = 0; step < 3000; ++step) {
                const auto now = time_.now();
                // Load alternates, so that a window can contain few requests.
                const bool busy = (step / 500) % 2 == 0;
                for (auto& it : allowances) {
                    if (busy && draw(random, 4) == 0) {
                        it.count_request(now);
                        requests.push_back(now);
                    }
                    while (it.try_take(now)) {
                        resends.push_back(now);
                    }
                }
                // The bound uses the highest of three request counts: in the current window, half a
                // window earlier and a whole window earlier.
                const auto in_window = [&](const std::deque<steady_time>& all,
                                           milliseconds before) {
                    const auto last = now - before;
                    return std::count_if(all.begin(), all.end(), [&](steady_time it) {
                        return it <= last && last - it < settings.window;
                    });
                };
                const auto max_requests = std::max({in_window(requests, milliseconds(0)),
                                                    in_window(requests, settings.window / 2),
                                                    in_window(requests, settings.window)});
                CPPUNIT_ASSERT(static_cast<double>(in_window(resends, milliseconds(0))) <=
                               settings.ratio * static_cast<double>(max_requests) + settings.extra);
                while (!requests.empty() && now - requests.front() >= 2 * settings.window) {
                    requests.pop_front();
                }
                while (!resends.empty() && now - resends.front() >= settings.window) {
                    resends.pop_front();
                }
                time_.advance(milliseconds(20));
            }
        });
    }

    // Guards against a random draw that misses the shares of a split when requests are few.
    void split_keeps_its_weights_over_few_requests()
    {
        const std::vector<double> weights{90, 10};
        weighted_rotation rotation;
        std::vector<int> count(2, 0);
        for (int it = 0; it < 50; ++it) {
            ++count[rotation.next(weights)];
        }
        CPPUNIT_ASSERT_EQUAL(45, count[0]);
        CPPUNIT_ASSERT_EQUAL(5, count[1]);
    }

    // Guards against balances kept from the previous weights: a target whose weight a new
    // configuration set to zero still received one more request.
    void target_without_weight_gets_no_requests_after_a_change()
    {
        for (int before = 1; before < 12; ++before) {
            weighted_rotation rotation;
            for (int it = 0; it < before; ++it) {
                rotation.next(std::vector<double>{40, 60});
            }
            for (int it = 0; it < 10; ++it) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rotation.next(std::vector<double>{100, 0}));
            }
        }
    }

    // Guards against a share of requests leaving the region that grows by more than the limit from
    // one window to the next.
    void share_of_requests_leaving_the_region_grows_within_limit()
    {
        shift_limit limit(0.15);
        std::vector<double> shares;
        for (int window = 0; window < 8; ++window) {
            int left = 0;
            constexpr int requests = 200;
            for (int it = 0; it < requests; ++it) {
                const bool leaves = limit.allows(time_.now());
                limit.count(leaves, time_.now());
                left += leaves ? 1 : 0;
                time_.advance(milliseconds(10));
            }
            shares.push_back(static_cast<double>(left) / requests);
        }
        for (std::size_t it = 1; it < shares.size(); ++it) {
            CPPUNIT_ASSERT(shares[it] - shares[it - 1] <= 0.15);
        }
        CPPUNIT_ASSERT(shares.back() > 0.3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_limit_test);

} // namespace toucan::policy
