#include "toucan/policy/credit_ledger.h"
#include "toucan/policy/credit_wallet.h"
#include "toucan/policy/slot_queue.h"

#include "seeds.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace toucan::policy {

class credit_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(credit_test);
    CPPUNIT_TEST(credit_and_local_use_fit_the_admitted_slots);
    CPPUNIT_TEST(renewal_shrinks_when_local_demand_grows);
    CPPUNIT_TEST(successor_waits_one_lifetime_and_rejects_old_credit);
    CPPUNIT_TEST(one_requester_does_not_receive_all_spare_slots);
    CPPUNIT_TEST(wallet_stops_using_credit_before_it_expires_at_the_home);
    CPPUNIT_TEST(wallet_requests_credit_in_time_and_once);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;

    static vm_id requester(unsigned n) { return {vm_address(0x7f000001U + n, 80), incarnation(1)}; }

public:
    // Guards against assigning a slot twice, to other failure domains as credit and to local
    // requests.
    void credit_and_local_use_fit_the_admitted_slots()
    {
        for_each_seed("sum of grants", [&](std::mt19937_64& random) {
            slot_queue_settings settings;
            settings.slots = 12;
            settings.headroom = 1;
            slot_queue queue(settings, time_.now(), false);
            credit_ledger ledger({}, 1, time_.now(), false);
            std::uint64_t next_id = 1;
            std::map<std::uint64_t, std::uint64_t> running; // request id to credit id
            std::map<std::uint64_t, std::uint64_t> waiting;
            std::map<std::uint64_t, credit_grant> granted;
            std::map<std::uint64_t, steady_time> expiry;
            std::map<std::uint64_t, std::uint32_t> use;
            std::size_t accepted = 0;
            const auto apply = [&](const slot_changes& it) {
                for (const auto id : it.started) {
                    running[id] = waiting[id];
                    waiting.erase(id);
                }
                for (const auto& refused : it.refused) {
                    if (const auto credit = waiting[refused.id]; credit != 0) {
                        ledger.release(credit);
                        --use[credit];
                    }
                    waiting.erase(refused.id);
                }
            };
            for (int step = 0; step < 20'000; ++step) {
                time_.advance(milliseconds(draw(random, 30)));
                const auto now = time_.now();
                const home_load load{queue.admitted_slots(now), queue.local_in_use(now),
                                     queue.waiting()};
                switch (draw(random, 8)) {
                case 0: {
                    const auto spare = ledger.spare(load, now);
                    const auto before = ledger.committed(now);
                    if (const auto it =
                            ledger.grant(requester(draw(random, 4)), draw(random, 9), load, now)) {
                        CPPUNIT_ASSERT(ledger.committed(now) <= before + spare);
                        granted[it->id] = *it;
                        expiry[it->id] = now + it->lifetime;
                    }
                    break;
                }
                case 1:
                case 2:
                case 3: {
                    std::uint64_t credit = 0;
                    if (draw(random, 2) == 0 && !granted.empty()) {
                        // One of the last six grants, some of which have expired.
                        const auto candidates = std::min<std::size_t>(granted.size(), 6);
                        auto it = granted.end();
                        std::advance(it, -1 - static_cast<int>(
                                                  draw(random, static_cast<unsigned>(candidates))));
                        credit = it->first;
                        if (ledger.accept(credit, now) != credit_check::accepted) {
                            break;
                        }
                        ++accepted;
                        CPPUNIT_ASSERT(now < expiry[credit]);
                        CPPUNIT_ASSERT(++use[credit] <= it->second.slots);
                    }
                    queue.reserve(ledger.unused(now));
                    const admission_request it{next_id++, steering::request_class::urgent, now,
                                               now + milliseconds(400), credit};
                    const auto result = queue.admit(it, now);
                    apply(result.others);
                    if (std::holds_alternative<admitted>(result.decision)) {
                        running[it.id] = credit;
                    }
                    else {
                        CPPUNIT_ASSERT_MESSAGE("request with accepted credit did not get a slot",
                                               credit == 0);
                        if (std::holds_alternative<queued>(result.decision)) {
                            waiting[it.id] = credit;
                        }
                    }
                    break;
                }
                default:
                    if (!running.empty()) {
                        auto it = running.begin();
                        std::advance(it, draw(random, static_cast<unsigned>(running.size())));
                        const auto [id, credit] = *it;
                        running.erase(it);
                        if (credit != 0) {
                            ledger.release(credit);
                            --use[credit];
                        }
                        queue.reserve(ledger.unused(now));
                        apply(queue.release(id, milliseconds(20), now));
                    }
                }
                queue.reserve(ledger.unused(now));
                CPPUNIT_ASSERT(ledger.committed(now) + queue.local_in_use(now) <= 12);
                CPPUNIT_ASSERT(queue.in_use(now) <= 12);
            }
            CPPUNIT_ASSERT(accepted > 500);
        });
    }

    // Guards against a renewal that keeps slots which local requests need, and against treating the
    // slot of a running request as spare after its credit expired.
    void renewal_shrinks_when_local_demand_grows()
    {
        credit_ledger ledger({}, 1, time_.now(), false);
        const auto first = ledger.grant(requester(1), 4, {10, 0, 0}, time_.now());
        CPPUNIT_ASSERT(first && first->slots == 4);
        CPPUNIT_ASSERT(ledger.accept(first->id, time_.now()) == credit_check::accepted);
        time_.advance(milliseconds(1500));
        const auto renewed = ledger.grant(requester(1), 4, {10, 6, 5}, time_.now());
        CPPUNIT_ASSERT(renewed && renewed->id == first->id);
        CPPUNIT_ASSERT_EQUAL(1U, renewed->slots);
        time_.advance(milliseconds(1500));
        CPPUNIT_ASSERT(ledger.accept(first->id, time_.now()) == credit_check::all_in_use);
        time_.advance(milliseconds(1000));
        CPPUNIT_ASSERT(ledger.accept(first->id, time_.now()) == credit_check::expired);
        // The request is still running, so its slot is not spare.
        CPPUNIT_ASSERT_EQUAL(1U, ledger.committed(time_.now()));
    }

    // Guards against a new home that grants credit while credit of the previous home is still in
    // use, so that the sum exceeds the slots.
    void successor_waits_one_lifetime_and_rejects_old_credit()
    {
        credit_ledger ledger({}, 1000, time_.now(), true);
        CPPUNIT_ASSERT(!ledger.grant(requester(1), 4, {10, 0, 0}, time_.now()));
        CPPUNIT_ASSERT(ledger.accept(7, time_.now()) == credit_check::unknown);
        time_.advance(milliseconds(1999));
        CPPUNIT_ASSERT(!ledger.grant(requester(1), 4, {10, 0, 0}, time_.now()));
        time_.advance(milliseconds(1));
        CPPUNIT_ASSERT(ledger.grant(requester(1), 4, {10, 0, 0}, time_.now()));
    }

    // Guards against a first requester that receives all spare slots, so that later requesters get
    // no credit.
    void one_requester_does_not_receive_all_spare_slots()
    {
        credit_ledger ledger({}, 1, time_.now(), false);
        for (unsigned n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(ledger.grant(requester(n), 100, {10, 0, 0}, time_.now()));
        }
    }

    // Guards against requests that arrive at the home after their credit expired there. Replies are
    // delayed by up to 1.5 s, requests by up to 100 ms of jitter.
    void wallet_stops_using_credit_before_it_expires_at_the_home()
    {
        for_each_seed("wallet expiry", [&](std::mt19937_64& random) {
            const service_name service("checkdesk");
            const failure_domain_name domain("noord-1");
            std::size_t uses = 0;
            for (int round = 0; round < 300; ++round) {
                credit_wallet wallet;
                const milliseconds delay(55);
                const auto requested_at = time_.now();
                const auto expires_at_home = requested_at + delay + milliseconds(2000);
                time_.advance(2 * delay + milliseconds(draw(random, 1500))); // delayed reply
                wallet.add(
                    {1, service, domain, backend_server_name("b1"), 3, milliseconds(2000), delay},
                    requested_at);
                for (int step = 0; step < 40; ++step) {
                    time_.advance(milliseconds(draw(random, 150)));
                    if (const auto it = wallet.take(service, domain, time_.now())) {
                        ++uses;
                        const milliseconds jitter(draw(random, 100));
                        CPPUNIT_ASSERT(time_.now() + delay + jitter < expires_at_home - delay);
                        wallet.release(*it);
                    }
                }
            }
            CPPUNIT_ASSERT(uses > 1000);
        });
    }

    // Guards against credit that runs out before a renewal is requested, and against a second
    // request while one is pending.
    void wallet_requests_credit_in_time_and_once()
    {
        const service_name service("checkdesk");
        const failure_domain_name domain("noord-1");
        credit_wallet wallet;
        CPPUNIT_ASSERT(!wallet.slots_to_request(service, domain, 0, time_.now()));
        CPPUNIT_ASSERT_EQUAL(3U, *wallet.slots_to_request(service, domain, 3, time_.now()));
        const auto requested_at = time_.now();
        wallet.mark_requested(service, domain, time_.now());
        CPPUNIT_ASSERT(!wallet.slots_to_request(service, domain, 3, time_.now()));
        time_.advance(milliseconds(110));
        wallet.add({5, service, domain, backend_server_name("b1"), 3, milliseconds(2000),
                    milliseconds(55)},
                   requested_at);
        wallet.mark_replied(service, domain, time_.now());
        CPPUNIT_ASSERT(!wallet.slots_to_request(service, domain, 3, time_.now()));
        CPPUNIT_ASSERT_EQUAL(3U, wallet.available(service, domain, time_.now()));
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(wallet.take(service, domain, time_.now()));
        }
        CPPUNIT_ASSERT(!wallet.take(service, domain, time_.now()));
        time_.advance(milliseconds(900));
        CPPUNIT_ASSERT(wallet.slots_to_request(service, domain, 3, time_.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(credit_test);

} // namespace toucan::policy
