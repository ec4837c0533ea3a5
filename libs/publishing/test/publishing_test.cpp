#include "toucan/base/content_hash.h"
#include "toucan/platform/memory_platform.h"
#include "toucan/publishing/configuration_store.h"
#include "toucan/publishing/publisher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace toucan::publishing {

namespace {

using platform::memory_platform;
using fault = memory_platform::write_fault;

steering::steering_source make_source(double rate, std::size_t blocks = 3)
{
    steering::steering_source source;
    source.topology.regions = {region_name("west")};
    source.topology.failure_domains = {{failure_domain_name("a"), region_name("west"), 2}};
    steering::service value;
    value.name = service_name("checkdesk");
    value.rate = rate;
    value.upstreams = {{backend_server_name("b1"), vm_address(1, 1), failure_domain_name("a")}};
    source.services = {value};
    for (std::size_t i = 0; i < blocks; ++i) {
        source.blocks.push_back(
            {static_cast<std::uint32_t>(i << 8U), 24, failure_domain_name("a")});
    }
    return source;
}

std::string head_of(memory_platform& platform)
{
    return std::get<platform::table_row>(platform.read(head_key)).value;
}

/// Reads objects from a platform and counts what was asked for.
struct counting_source {
    memory_platform& platform;
    std::vector<std::string> asked{};

    std::vector<std::string> operator()(const std::vector<std::string>& hashes)
    {
        std::vector<std::string> out;
        for (const auto& it : hashes) {
            asked.push_back(it);
            if (auto content = platform.get(it); content) {
                out.push_back(std::move(*content));
            }
        }
        return out;
    }
};

} // namespace

class publishing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(publishing_test);
    CPPUNIT_TEST(versions_rise_by_one);
    CPPUNIT_TEST(conflict_names_the_winner);
    CPPUNIT_TEST(lost_reply_is_accepted);
    CPPUNIT_TEST(lost_reply_is_accepted_after_a_successor);
    CPPUNIT_TEST(lost_reply_with_two_successors_is_not_known);
    CPPUNIT_TEST(late_write_never_follows_a_denial);
    CPPUNIT_TEST(late_write_after_the_last_attempt_is_not_known);
    CPPUNIT_TEST(lost_request_and_conflict);
    CPPUNIT_TEST(stale_read_back_proves_nothing);
    CPPUNIT_TEST(outage_is_not_accepted);
    CPPUNIT_TEST(uploads_only_what_changed);
    CPPUNIT_TEST(store_fetches_only_what_it_lacks);
    CPPUNIT_TEST(store_catches_up_after_skipped_versions);
    CPPUNIT_TEST(store_never_applies_a_lower_version);
    CPPUNIT_TEST(store_keeps_the_higher_version_under_concurrent_offers);
    CPPUNIT_TEST(store_refuses_another_head_of_the_same_version);
    CPPUNIT_TEST(store_verifies_objects);
    CPPUNIT_TEST(many_changes_are_not_listed);
    CPPUNIT_TEST(head_row_survives_random_input);
    CPPUNIT_TEST_SUITE_END();

public:
    void versions_rise_by_one()
    {
        CPPUNIT_ASSERT(publish("one", 1) == publish_result(accepted{1}));
        CPPUNIT_ASSERT(publish("two", 2) == publish_result(accepted{2}));
        const auto head = decode_head_row(head_of(platform_));
        CPPUNIT_ASSERT(head && head->version == 2 && head->publisher_name == "two");
        CPPUNIT_ASSERT(head->changes && head->changes->size() == 1);
        CPPUNIT_ASSERT_EQUAL(std::string("service/checkdesk"), head->changes->at(0).piece);
    }

    void conflict_names_the_winner()
    {
        publish("zero", 1);
        before_first_write([&] { publish("winner", 2); });
        CPPUNIT_ASSERT(publish("loser", 3) == publish_result(conflict{2, "winner"}));
    }

    // Guards against reporting a failure for a configuration that is in force.
    void lost_reply_is_accepted()
    {
        platform_.set_write_fault(fault::lost_reply, 1);
        CPPUNIT_ASSERT(publish("one", 1) == publish_result(accepted{1}));
    }

    void lost_reply_is_accepted_after_a_successor()
    {
        platform_.set_write_fault(fault::lost_reply, 1);
        during_first_pause([&] { publish("two", 2); });
        CPPUNIT_ASSERT(publish("one", 1) == publish_result(accepted{1}));
    }

    void lost_reply_with_two_successors_is_not_known()
    {
        platform_.set_write_fault(fault::lost_reply, 1);
        during_first_pause([&] {
            publish("two", 2);
            publish("three", 3);
        });
        CPPUNIT_ASSERT(std::holds_alternative<not_known>(publish("one", 1)));
    }

    // Guards against "not accepted" for a write that is still on its way and lands later.
    void late_write_never_follows_a_denial()
    {
        publish("zero", 1);
        platform_.set_write_fault(fault::late_request, 2);
        const auto result = publish("late", 2);
        CPPUNIT_ASSERT(result == publish_result(accepted{2}));
        publish("next", 3);
        const auto head = head_of(platform_);
        platform_.deliver_late_writes();
        CPPUNIT_ASSERT_EQUAL(head, head_of(platform_));
    }

    void late_write_after_the_last_attempt_is_not_known()
    {
        publish("zero", 1);
        platform_.set_write_fault(fault::late_request, 100);
        CPPUNIT_ASSERT(std::holds_alternative<not_known>(publish("late", 2)));
        platform_.deliver_late_writes();
        CPPUNIT_ASSERT_EQUAL(std::string("late"),
                             decode_head_row(head_of(platform_))->publisher_name);
    }

    void lost_request_and_conflict()
    {
        publish("zero", 1);
        platform_.set_write_fault(fault::lost_request, 1);
        during_first_pause([&] { publish("winner", 2); });
        CPPUNIT_ASSERT(publish("loser", 3) == publish_result(conflict{2, "winner"}));
    }

    // Guards against taking the old row from a stale replica as proof that the write failed.
    void stale_read_back_proves_nothing()
    {
        publish("zero", 1);
        platform_.set_stale_reads(true);
        platform_.set_write_fault(fault::lost_reply, 1);
        CPPUNIT_ASSERT(publish("one", 2) == publish_result(accepted{2}));
    }

    void outage_is_not_accepted()
    {
        before_first_write([&] { platform_.set_outage(true); });
        CPPUNIT_ASSERT(std::holds_alternative<not_accepted>(publish("one", 1)));
        platform_.set_outage(false);
        CPPUNIT_ASSERT(std::holds_alternative<platform::row_absent>(platform_.read(head_key)));
    }

    void uploads_only_what_changed()
    {
        publish("one", 1);
        const auto before = platform_.object_count();
        publish("two", 2);
        // The service and the manifest.
        CPPUNIT_ASSERT_EQUAL(before + 2, platform_.object_count());
    }

    void store_fetches_only_what_it_lacks()
    {
        publish("one", 1);
        offer_head(apply_verdict::applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, source_.asked.size());
        source_.asked.clear();
        const auto first = store_.current();
        publish("two", 2);
        offer_head(apply_verdict::applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, source_.asked.size());
        CPPUNIT_ASSERT_EQUAL(2.0, store_.current()->services.at(0).rate);
        CPPUNIT_ASSERT_EQUAL(1.0, first->services.at(0).rate);
        offer_head(apply_verdict::in_force);

        // A peer that starts from nothing can be served from this store alone.
        configuration_store peer;
        const auto result = peer.offer(store_.head_text(), [&](const auto& hashes) {
            std::vector<std::string> out;
            out.reserve(hashes.size());
            for (const auto& it : hashes) {
                out.push_back(*store_.object(it));
            }
            return out;
        });
        CPPUNIT_ASSERT(result.verdict == apply_verdict::applied);
        CPPUNIT_ASSERT(!store_.object(std::string(64, '0')));
    }

    void store_catches_up_after_skipped_versions()
    {
        publish("one", 1);
        offer_head(apply_verdict::applied);
        for (int i = 2; i <= 5; ++i) {
            publish("next", i);
        }
        source_.asked.clear();
        offer_head(apply_verdict::applied);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, store_.version());
        CPPUNIT_ASSERT_EQUAL(5.0, store_.current()->services.at(0).rate);
        // The manifest and the service.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, source_.asked.size());
    }

    void store_never_applies_a_lower_version()
    {
        publish("one", 1);
        const auto first = head_of(platform_);
        publish("two", 2);
        offer_head(apply_verdict::applied);
        const auto result = store_.offer(first, std::ref(source_));
        CPPUNIT_ASSERT(result.verdict == apply_verdict::lower_version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store_.version());
    }

    // Guards against a slow fetch of a lower version that ends after a higher one was applied.
    void store_keeps_the_higher_version_under_concurrent_offers()
    {
        publish("one", 1);
        const auto first = head_of(platform_);
        publish("two", 2);
        bool nested = false;
        const auto result = store_.offer(first, [&](const std::vector<std::string>& hashes) {
            if (!std::exchange(nested, true)) {
                offer_head(apply_verdict::applied);
            }
            return source_(hashes);
        });
        CPPUNIT_ASSERT(result.verdict == apply_verdict::lower_version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store_.version());

        std::vector<std::string> heads;
        for (int i = 3; i <= 40; ++i) {
            publish("next", i);
            heads.push_back(head_of(platform_));
        }
        std::atomic<bool> fell{false};
        std::vector<std::thread> threads;
        for (std::size_t t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                counting_source source{platform_};
                std::uint64_t seen = 0;
                for (std::size_t i = 0; i < heads.size(); ++i) {
                    store_.offer(heads[(i * (t + 1) * 7) % heads.size()], std::ref(source));
                    const auto now = store_.current()->version;
                    if (now < seen) {
                        fell = true;
                    }
                    seen = now;
                }
            });
        }
        for (auto& it : threads) {
            it.join();
        }
        CPPUNIT_ASSERT(!fell);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, store_.version());
    }

    void store_refuses_another_head_of_the_same_version()
    {
        publish("one", 1);
        offer_head(apply_verdict::applied);
        auto other = *decode_head_row(head_of(platform_));
        other.publisher_id = "other";
        const auto result = store_.offer(encode(other), std::ref(source_));
        CPPUNIT_ASSERT(result.verdict == apply_verdict::refused);
        CPPUNIT_ASSERT_EQUAL(head_of(platform_), store_.head_text());
    }

    // Guards against a peer or a store that returns damaged content.
    void store_verifies_objects()
    {
        publish("one", 1);
        const auto result =
            store_.offer(head_of(platform_), [&](const std::vector<std::string>& hashes) {
                auto out = source_(hashes);
                out.back() += ' ';
                return out;
            });
        CPPUNIT_ASSERT(result.verdict == apply_verdict::incomplete);
        CPPUNIT_ASSERT(store_.current() == nullptr);
        CPPUNIT_ASSERT(store_.offer("{}", std::ref(source_)).verdict == apply_verdict::refused);
    }

    void many_changes_are_not_listed()
    {
        publish("one", 1);
        offer_head(apply_verdict::applied);
        publisher(platform_, platform_, "many", quick()).publish(make_source(1, 400'000));
        CPPUNIT_ASSERT(!decode_head_row(head_of(platform_))->changes);
        offer_head(apply_verdict::applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{400'000}, store_.current()->blocks.size());
    }

    void head_row_survives_random_input()
    {
        constexpr unsigned seed = 41;
        std::cout << " [seed " << seed << "]";
        publish("one", 1);
        publish("two", 2);
        const auto valid = head_of(platform_);
        std::mt19937 random(seed);
        int good = 0;
        for (int round = 0; round < 20'000; ++round) {
            auto text = valid;
            for (auto edits = random() % 4; edits > 0 && !text.empty(); --edits) {
                if (random() % 2 == 0) {
                    text[random() % text.size()] = static_cast<char>(random() % 256);
                }
                else {
                    text.erase(random() % text.size(), random() % 30);
                }
            }
            good += decode_head_row(text) ? 1 : 0;
            store_.offer(text, [](const auto&) { return std::vector<std::string>{"x"}; });
        }
        CPPUNIT_ASSERT(good > 0);
        CPPUNIT_ASSERT(store_.current() == nullptr);
    }

private:
    publisher::options quick()
    {
        return {4, std::chrono::milliseconds(1), [this](std::chrono::milliseconds) {
                    if (const auto hook = std::exchange(during_pause_, nullptr); hook) {
                        hook();
                    }
                }};
    }

    publish_result publish(const char* name, double rate)
    {
        return publisher(platform_, platform_, name, quick()).publish(make_source(rate));
    }

    void before_first_write(const std::function<void()>& hook)
    {
        platform_.set_before_write([this, hook] {
            platform_.set_before_write(nullptr);
            hook();
        });
    }

    void during_first_pause(std::function<void()> hook) { during_pause_ = std::move(hook); }

    void offer_head(apply_verdict expected)
    {
        const auto result = store_.offer(head_of(platform_), std::ref(source_));
        CPPUNIT_ASSERT_MESSAGE(result.reason, result.verdict == expected);
    }

    memory_platform platform_;
    configuration_store store_;
    counting_source source_{platform_};
    std::function<void()> during_pause_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(publishing_test);

} // namespace toucan::publishing
