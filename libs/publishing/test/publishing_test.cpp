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

std::string read_head(memory_platform& platform)
{
    return std::get<platform::table_row>(platform.read(head_key)).value;
}

/// Reads objects from a platform and records the requested hashes.
struct counting_source {
    memory_platform& platform;
    std::vector<std::string> requested{};

    std::vector<std::string> operator()(const std::vector<std::string>& hashes)
    {
        std::vector<std::string> out;
        for (const auto& it : hashes) {
            requested.push_back(it);
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
    CPPUNIT_TEST(versions_increase_by_one);
    CPPUNIT_TEST(conflict_names_the_winning_publisher);
    CPPUNIT_TEST(lost_reply_is_accepted);
    CPPUNIT_TEST(lost_reply_is_accepted_after_a_successor);
    CPPUNIT_TEST(lost_reply_with_two_successors_is_not_known);
    CPPUNIT_TEST(late_write_is_reported_as_accepted);
    CPPUNIT_TEST(late_write_after_the_last_attempt_is_not_known);
    CPPUNIT_TEST(lost_request_and_conflict);
    CPPUNIT_TEST(stale_read_back_is_ignored);
    CPPUNIT_TEST(outage_is_reported_as_not_accepted);
    CPPUNIT_TEST(uploads_only_changed_objects);
    CPPUNIT_TEST(store_fetches_only_missing_objects);
    CPPUNIT_TEST(store_catches_up_after_skipped_versions);
    CPPUNIT_TEST(store_never_applies_a_lower_version);
    CPPUNIT_TEST(store_keeps_the_higher_version_under_concurrent_offers);
    CPPUNIT_TEST(store_rejects_different_head_of_same_version);
    CPPUNIT_TEST(store_verifies_objects);
    CPPUNIT_TEST(long_change_list_is_omitted);
    CPPUNIT_TEST(head_row_decoder_handles_random_input);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against skipped or repeated versions, and against a change list that names pieces that
    // did not change.
    void versions_increase_by_one()
    {
        CPPUNIT_ASSERT(publish("one", 1) == publish_result(accepted{1}));
        CPPUNIT_ASSERT(publish("two", 2) == publish_result(accepted{2}));
        const auto head = decode_head_row(read_head(platform_));
        CPPUNIT_ASSERT(head && head->version == 2 && head->publisher_name == "two");
        CPPUNIT_ASSERT(head->changes && head->changes->size() == 1);
        CPPUNIT_ASSERT_EQUAL(std::string("service/checkdesk"), head->changes->at(0).piece);
    }

    // Guards against overwriting a configuration that another publisher put in force between the
    // read and the write of the head row.
    void conflict_names_the_winning_publisher()
    {
        publish("zero", 1);
        before_first_write([&] { publish("winner", 2); });
        CPPUNIT_ASSERT(publish("loser", 3) == publish_result(conflict{2, "winner"}));
    }

    // Guards against reporting a failure for a configuration that is in force: the write succeeds,
    // but its reply is lost.
    void lost_reply_is_accepted()
    {
        platform_.set_write_fault(fault::lost_reply, 1);
        CPPUNIT_ASSERT(publish("one", 1) == publish_result(accepted{1}));
    }

    // Guards against reporting a conflict for a version that was in force until the next publisher
    // replaced it.
    void lost_reply_is_accepted_after_a_successor()
    {
        platform_.set_write_fault(fault::lost_reply, 1);
        during_first_pause([&] { publish("two", 2); });
        CPPUNIT_ASSERT(publish("one", 1) == publish_result(accepted{1}));
    }

    // Guards against guessing the outcome: the current head row names only its direct parent, so it
    // no longer shows whether the write took effect.
    void lost_reply_with_two_successors_is_not_known()
    {
        platform_.set_write_fault(fault::lost_reply, 1);
        during_first_pause([&] {
            publish("two", 2);
            publish("three", 3);
        });
        CPPUNIT_ASSERT(std::holds_alternative<not_known>(publish("one", 1)));
    }

    // Guards against reporting "not accepted" for a write that the platform receives late and then
    // applies.
    void late_write_is_reported_as_accepted()
    {
        publish("zero", 1);
        platform_.set_write_fault(fault::late_request, 2);
        const auto result = publish("late", 2);
        CPPUNIT_ASSERT(result == publish_result(accepted{2}));
        publish("next", 3);
        const auto head = read_head(platform_);
        platform_.deliver_late_writes();
        CPPUNIT_ASSERT_EQUAL(head, read_head(platform_));
    }

    // Guards against reporting "not accepted" while a delayed write can still take effect.
    void late_write_after_the_last_attempt_is_not_known()
    {
        publish("zero", 1);
        platform_.set_write_fault(fault::late_request, 100);
        CPPUNIT_ASSERT(std::holds_alternative<not_known>(publish("late", 2)));
        platform_.deliver_late_writes();
        CPPUNIT_ASSERT_EQUAL(std::string("late"),
                             decode_head_row(read_head(platform_))->publisher_name);
    }

    // Guards against claiming the version of another publisher: the write of this publisher never
    // arrived, and the other publisher used the version number.
    void lost_request_and_conflict()
    {
        publish("zero", 1);
        platform_.set_write_fault(fault::lost_request, 1);
        during_first_pause([&] { publish("winner", 2); });
        CPPUNIT_ASSERT(publish("loser", 3) == publish_result(conflict{2, "winner"}));
    }

    // Guards against concluding from an old row, read from a stale replica, that the write failed.
    void stale_read_back_is_ignored()
    {
        publish("zero", 1);
        platform_.set_stale_reads(true);
        platform_.set_write_fault(fault::lost_reply, 1);
        CPPUNIT_ASSERT(publish("one", 2) == publish_result(accepted{2}));
    }

    // Guards against reporting "not known" if the platform rejected every attempt, so that none can
    // take effect.
    void outage_is_reported_as_not_accepted()
    {
        before_first_write([&] { platform_.set_outage(true); });
        CPPUNIT_ASSERT(std::holds_alternative<not_accepted>(publish("one", 1)));
        platform_.set_outage(false);
        CPPUNIT_ASSERT(std::holds_alternative<platform::row_absent>(platform_.read(head_key)));
    }

    // Guards against uploading all pieces again for each small change.
    void uploads_only_changed_objects()
    {
        publish("one", 1);
        const auto before = platform_.object_count();
        publish("two", 2);
        // One object for the service and one for the manifest.
        CPPUNIT_ASSERT_EQUAL(before + 2, platform_.object_count());
    }

    // Guards against fetching unchanged pieces again, and against a store that cannot serve all
    // objects of its configuration to peers.
    void store_fetches_only_missing_objects()
    {
        publish("one", 1);
        offer_current_head(apply_verdict::applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, source_.requested.size());
        source_.requested.clear();
        const auto first = store_.current();
        publish("two", 2);
        offer_current_head(apply_verdict::applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, source_.requested.size());
        CPPUNIT_ASSERT_EQUAL(2.0, store_.current()->services.at(0).rate);
        CPPUNIT_ASSERT_EQUAL(1.0, first->services.at(0).rate);
        offer_current_head(apply_verdict::in_force);

        // A peer without a configuration can fetch all objects from this store.
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

    // Guards against applying the changes of a head row to a manifest that is not its parent.
    void store_catches_up_after_skipped_versions()
    {
        publish("one", 1);
        offer_current_head(apply_verdict::applied);
        for (int i = 2; i <= 5; ++i) {
            publish("next", i);
        }
        source_.requested.clear();
        offer_current_head(apply_verdict::applied);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, store_.version());
        CPPUNIT_ASSERT_EQUAL(5.0, store_.current()->services.at(0).rate);
        // One object for the manifest and one for the service.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, source_.requested.size());
    }

    // Guards against a rollback by an old head row, for example from a peer that is behind.
    void store_never_applies_a_lower_version()
    {
        publish("one", 1);
        const auto first = read_head(platform_);
        publish("two", 2);
        offer_current_head(apply_verdict::applied);
        const auto result = store_.offer(first, std::ref(source_));
        CPPUNIT_ASSERT(result.verdict == apply_verdict::lower_version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store_.version());
    }

    // Guards against a lower version replacing a higher one that was applied while the objects of
    // the lower version were being fetched.
    void store_keeps_the_higher_version_under_concurrent_offers()
    {
        publish("one", 1);
        const auto first = read_head(platform_);
        publish("two", 2);
        bool nested = false;
        const auto result = store_.offer(first, [&](const std::vector<std::string>& hashes) {
            if (!std::exchange(nested, true)) {
                offer_current_head(apply_verdict::applied);
            }
            return source_(hashes);
        });
        CPPUNIT_ASSERT(result.verdict == apply_verdict::lower_version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store_.version());

        std::vector<std::string> heads;
        for (int i = 3; i <= 40; ++i) {
            publish("next", i);
            heads.push_back(read_head(platform_));
        }
        std::atomic<bool> version_decreased{false};
        std::vector<std::thread> threads;
        for (std::size_t t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                counting_source source{platform_};
                std::uint64_t seen = 0;
                for (std::size_t i = 0; i < heads.size(); ++i) {
                    store_.offer(heads[(i * (t + 1) * 7) % heads.size()], std::ref(source));
                    const auto now = store_.current()->version;
                    if (now < seen) {
                        version_decreased = true;
                    }
                    seen = now;
                }
            });
        }
        for (auto& it : threads) {
            it.join();
        }
        CPPUNIT_ASSERT(!version_decreased);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, store_.version());
    }

    // Guards against daemons with different configurations under one version number.
    void store_rejects_different_head_of_same_version()
    {
        publish("one", 1);
        offer_current_head(apply_verdict::applied);
        auto other = *decode_head_row(read_head(platform_));
        other.publisher_id = "other";
        const auto result = store_.offer(encode(other), std::ref(source_));
        CPPUNIT_ASSERT(result.verdict == apply_verdict::refused);
        CPPUNIT_ASSERT_EQUAL(read_head(platform_), store_.head_text());
    }

    // Guards against applying damaged content returned by a peer or by the object store.
    void store_verifies_objects()
    {
        publish("one", 1);
        const auto result =
            store_.offer(read_head(platform_), [&](const std::vector<std::string>& hashes) {
                auto out = source_(hashes);
                out.back() += ' ';
                return out;
            });
        CPPUNIT_ASSERT(result.verdict == apply_verdict::incomplete);
        CPPUNIT_ASSERT(store_.current() == nullptr);
        CPPUNIT_ASSERT(store_.offer("{}", std::ref(source_)).verdict == apply_verdict::refused);
    }

    // Guards against a head row that grows with the number of changed pieces, and against a store
    // that depends on the change list.
    void long_change_list_is_omitted()
    {
        publish("one", 1);
        offer_current_head(apply_verdict::applied);
        publisher(platform_, platform_, "many", fast_options()).publish(make_source(1, 400'000));
        CPPUNIT_ASSERT(!decode_head_row(read_head(platform_))->changes);
        offer_current_head(apply_verdict::applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{400'000}, store_.current()->blocks.size());
    }

    // Guards against a crash on a malformed head row, and against applying one whose objects are
    // not available.
    void head_row_decoder_handles_random_input()
    {
        constexpr unsigned seed = 41;
        std::cout << " [seed " << seed << "]";
        publish("one", 1);
        publish("two", 2);
        const auto valid = read_head(platform_);
        std::mt19937 random(seed);
        int accepted_count = 0;
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
            accepted_count += decode_head_row(text) ? 1 : 0;
            store_.offer(text, [](const auto&) { return std::vector<std::string>{"x"}; });
        }
        CPPUNIT_ASSERT(accepted_count > 0);
        CPPUNIT_ASSERT(store_.current() == nullptr);
    }

private:
    publisher::options fast_options()
    {
        return {4, std::chrono::milliseconds(1), [this](std::chrono::milliseconds) {
                    if (const auto hook = std::exchange(during_pause_, nullptr); hook) {
                        hook();
                    }
                }};
    }

    publish_result publish(const char* name, double rate)
    {
        return publisher(platform_, platform_, name, fast_options()).publish(make_source(rate));
    }

    void before_first_write(const std::function<void()>& hook)
    {
        platform_.set_before_write([this, hook] {
            platform_.set_before_write(nullptr);
            hook();
        });
    }

    void during_first_pause(std::function<void()> hook) { during_pause_ = std::move(hook); }

    void offer_current_head(apply_verdict expected)
    {
        const auto result = store_.offer(read_head(platform_), std::ref(source_));
        CPPUNIT_ASSERT_MESSAGE(result.reason, result.verdict == expected);
    }

    memory_platform platform_;
    configuration_store store_;
    counting_source source_{platform_};
    std::function<void()> during_pause_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(publishing_test);

} // namespace toucan::publishing
