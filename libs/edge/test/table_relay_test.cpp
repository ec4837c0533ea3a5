#include "relayed_table_client.h"
#include "store_gate.h"
#include "table_changes.h"
#include "table_relay_server.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/system_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace toucan::edge {

namespace {

/// Store that answers without delay and counts its read and watch calls.
class counting_store final : public table_client {
public:
    explicit counting_store(asio::io_context& loop) : loop_(loop) {}

    void put(const std::string& key, const std::string& value)
    {
        rows_[key] = {key, value, ++version_, false};
        notify_waiting();
    }
    void remove_row(const std::string& key)
    {
        rows_[key] = {key, {}, ++version_, true};
        notify_waiting();
    }
    /// Uses versions for rows of other tables.
    void skip_versions(std::uint64_t count) { version_ += count; }
    /// Restores the store from a copy with the given rows.
    void restore(std::uint64_t version, std::vector<table_row> copy)
    {
        ++era_;
        version_ = version;
        rows_.clear();
        for (auto& it : copy) {
            rows_[it.key] = std::move(it);
        }
        notify_waiting();
    }
    void set_down(bool down)
    {
        down_ = down;
        notify_waiting();
    }

    void read(const std::string& /*table*/, handler done) override
    {
        ++calls;
        ++reads;
        table_result it = empty_result();
        for (const auto& [key, row] : rows_) {
            if (!row.removed) {
                it.rows.push_back(row);
            }
        }
        asio::post(loop_, [it, done] { done(it); });
    }
    void read_range(const std::string& table, const std::string& /*prefix*/, handler done) override
    {
        read(table, std::move(done));
    }
    void watch(const std::string& /*table*/, std::uint64_t after, const watch_options& options,
               handler done) override
    {
        ++calls;
        auto it = changes(after);
        if (!down_ && after > version_) {
            it.error = table_error::history_lost;
        }
        if (down_ || it.error != table_error::none || !it.rows.empty() ||
            options.wait == milliseconds(0)) {
            asio::post(loop_, [it, done] { done(it); });
            return;
        }
        waiting_.emplace_back(after, std::move(done));
    }
    void write(const std::string& /*table*/, const std::string& /*key*/,
               const std::string& /*value*/, handler /*done*/) override
    {
    }
    void remove(const std::string& /*table*/, const std::string& /*key*/, std::uint64_t /*version*/,
                handler /*done*/) override
    {
    }

    int calls = 0;
    int reads = 0;
    /// Clock of the store.
    milliseconds time{1000};

private:
    [[nodiscard]] table_result empty_result() const
    {
        table_result it;
        it.version = version_;
        it.era = era_;
        it.store_time = time;
        if (down_) {
            it.error = table_error::rejected;
        }
        return it;
    }
    [[nodiscard]] table_result changes(std::uint64_t after) const
    {
        auto it = empty_result();
        for (const auto& [key, row] : rows_) {
            if (!down_ && row.version > after) {
                it.rows.push_back(row);
            }
        }
        return it;
    }
    void notify_waiting()
    {
        for (const auto& [after, done] : std::exchange(waiting_, {})) {
            asio::post(loop_, [it = changes(after), done = done] { done(it); });
        }
    }

    asio::io_context& loop_;
    std::map<std::string, table_row> rows_;
    std::vector<std::pair<std::uint64_t, handler>> waiting_;
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 1;
    bool down_ = false;
};

/// Local copy of a table, kept current by a watch.
struct follower {
    follower(asio::io_context& loop, const clock& time, table_client& client)
        : watch(loop, time, client, "things",
                {[this](const table_row& it) { rows[it.key] = it.value; },
                 [this](const std::string& key) { rows.erase(key); },
                 [this] {
                     if (changed) {
                         changed();
                     }
                 },
                 [] {},
                 [this](bool) {
                     if (changed) {
                         changed();
                     }
                 }})
    {
    }

    std::map<std::string, std::string> rows;
    std::function<void()> changed;
    table_watch watch;
};

/// A daemon reduced to its copy of one table: it watches the table through other daemons or in its
/// store, and relays it.
struct test_node {
    test_node(asio::io_context& loop, const clock& time, counting_store& from,
              relayed_table_client::sources relays)
        : gate(loop, time, from, counters), client(loop, time, gate, std::move(relays), counters),
          copy(loop, time, client), server(loop, time)
    {
        server.serve(copy.watch);
        copy.changed = [this] {
            server.changed(copy.watch);
        };
    }

    metrics counters;
    store_gate gate;
    relayed_table_client client;
    follower copy;
    table_relay_server server;
};

} // namespace

/// A relay watches the store, and a follower watches the table through the relay.
class table_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(table_relay_test);
    CPPUNIT_TEST(follower_receives_changes_without_store_calls);
    CPPUNIT_TEST(follower_uses_store_after_relay_failure);
    CPPUNIT_TEST(follower_uses_store_when_relay_has_lost_it);
    CPPUNIT_TEST(removals_are_relayed_or_history_is_lost);
    CPPUNIT_TEST(starting_daemon_reads_no_table_from_the_store);
    CPPUNIT_TEST(starting_daemon_gets_no_older_rows_than_the_store_has);
    CPPUNIT_TEST(starting_daemon_waits_for_a_relay_that_is_loading);
    CPPUNIT_TEST(starting_daemon_uses_the_store_if_the_relay_is_gone);
    CPPUNIT_TEST(starting_daemon_serves_without_the_store);
    CPPUNIT_TEST(relay_without_store_follows_another_relay);
    CPPUNIT_TEST(relay_without_store_follows_another_relay_that_started_later);
    CPPUNIT_TEST(relay_returns_to_the_store_within_one_wait_for_another_relay);
    CPPUNIT_TEST(relay_asks_the_store_between_other_relays_that_are_silent);
    CPPUNIT_TEST(full_read_passes_over_other_relays_without_the_store);
    CPPUNIT_TEST(follower_asks_the_store_if_its_relay_is_behind_after_a_failure);
    CPPUNIT_TEST(follower_whose_call_was_silent_follows_its_relay_while_the_store_rejects_it);
    CPPUNIT_TEST(relays_without_store_do_not_follow_each_other);
    CPPUNIT_TEST(failing_store_gets_few_calls);
    CPPUNIT_TEST(confirmation_by_the_store_is_relayed);
    CPPUNIT_TEST(restore_of_the_store_is_relayed);
    CPPUNIT_TEST(relay_that_has_missed_a_restore_is_passed_over);
    CPPUNIT_TEST(starting_daemon_reads_no_rows_from_before_a_restore);
    CPPUNIT_TEST(changes_round_trip_and_malformed_bytes_do_not_crash);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context loop_{1};
    system_clock time_;
    std::unique_ptr<counting_store> relay_store_;
    std::unique_ptr<counting_store> follower_store_;
    std::unique_ptr<test_node> relay_;
    std::unique_ptr<test_node> follower_;
    std::optional<vm_address> address_;

    [[nodiscard]] vm_address free_address()
    {
        tcp::acceptor probe(loop_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        return *vm_address::parse(fmt::format("127.0.0.1:{}", probe.local_endpoint().port()));
    }

    std::unique_ptr<test_node> make_relay(counting_store& store)
    {
        return std::make_unique<test_node>(
            loop_, time_, store,
            relayed_table_client::sources{[] { return std::nullopt; },
                                          [this] {
                                              return other_relays_;
                                          }});
    }

    std::unique_ptr<test_node> make_follower()
    {
        return std::make_unique<test_node>(
            loop_, time_, *follower_store_,
            relayed_table_client::sources{[this] { return address_; },
                                          [] {
                                              return std::vector<vm_address>{};
                                          }});
    }

    std::vector<vm_address> other_relays_;
    /// Replaced daemons, which live as long as the event loop has calls of theirs.
    std::vector<std::unique_ptr<test_node>> retired_;

    void replace(std::unique_ptr<test_node>& it, std::unique_ptr<test_node> by)
    {
        retired_.push_back(std::exchange(it, std::move(by)));
    }

    bool run_until(const std::function<bool()>& done, milliseconds limit = milliseconds(3000))
    {
        const auto end = time_.now() + limit;
        while (!done() && time_.now() < end) {
            loop_.run_for(milliseconds(5));
        }
        return done();
    }

    /// Starts a relay of another failure domain, whose calls go to the follower's store.
    test_node* start_other_relay(const vm_address& at)
    {
        auto* other = retired_.emplace_back(make_relay(*follower_store_)).get();
        CPPUNIT_ASSERT(other->server.listen(at));
        other->copy.watch.start();
        CPPUNIT_ASSERT(run_until([&] { return other->copy.watch.loaded(); }));
        return other;
    }

    /// Writes the same row to both stores, which stand for one store with separate call counts.
    void put(const std::string& key, const std::string& value)
    {
        relay_store_->put(key, value);
        follower_store_->put(key, value);
    }

    /// Restores both stores from a copy in which row a is older and which has used fewer versions.
    void restore_stores(std::uint64_t version)
    {
        for (auto* it : {relay_store_.get(), follower_store_.get()}) {
            it->restore(version, {{"a", "copy", version, false}});
        }
    }

public:
    void setUp() override
    {
        relay_store_ = std::make_unique<counting_store>(loop_);
        follower_store_ = std::make_unique<counting_store>(loop_);
        put("a", "1");
        relay_ = make_relay(*relay_store_);
        address_ = free_address();
        CPPUNIT_ASSERT(relay_->server.listen(*address_));
        relay_->copy.watch.start();
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.watch.loaded(); }));
        follower_ = make_follower();
        follower_->copy.watch.start();
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.watch.loaded(); }));
    }

    void tearDown() override
    {
        relay_->server.close_all();
        loop_.run_for(milliseconds(5));
        loop_.stop();
    }

    // Guards against every daemon calling the store for every change. On 103 VMs these calls cost
    // 0.17 of the value of a quiet day.
    void follower_receives_changes_without_store_calls()
    {
        const int calls_before = follower_store_->calls;
        for (int n = 2; n < 12; ++n) {
            put("a", std::to_string(n));
            CPPUNIT_ASSERT(
                run_until([&] { return follower_->copy.rows["a"] == std::to_string(n); }));
        }
        CPPUNIT_ASSERT_EQUAL(calls_before, follower_store_->calls);
    }

    // Guards against a follower that receives no more changes after its relay has failed.
    void follower_uses_store_after_relay_failure()
    {
        relay_->server.close_all();
        put("b", "2");
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows.count("b") > 0; }));
        put("b", "3");
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows["b"] == "3"; }));
    }

    // Guards against a follower that keeps using a relay that has lost its connection to the store.
    void follower_uses_store_when_relay_has_lost_it()
    {
        relay_store_->set_down(true);
        follower_store_->put("b", "2");
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows.count("b") > 0; }));
        CPPUNIT_ASSERT(!relay_->copy.watch.available());
    }

    // Guards against rows that a follower keeps after their removal from the store, because the
    // relay does not report removals or hides that its history does not reach back far enough.
    void removals_are_relayed_or_history_is_lost()
    {
        put("b", "2");
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows.count("b") > 0; }));
        relay_store_->remove_row("b");
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows.count("b") == 0; }));
        CPPUNIT_ASSERT(relay_->copy.watch.changes(0).error == table_error::history_lost);
        CPPUNIT_ASSERT(relay_->copy.watch.changes(2).rows.at(0).removed);
    }

    // Guards against a restart of many daemons that all read whole tables from the store. At 300
    // daemons and 3,000 backend servers these reads were the largest price of the day.
    void starting_daemon_reads_no_table_from_the_store()
    {
        CPPUNIT_ASSERT_EQUAL(0, follower_store_->reads);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), follower_->copy.rows["a"]);
    }

    // Guards against a restarted daemon that uses rows that the store has removed or changed,
    // because its relay did not know it yet.
    void starting_daemon_gets_no_older_rows_than_the_store_has()
    {
        put("b", "1");
        put("c", "1");
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.rows.count("c") > 0; }));
        follower_store_->put("a", "2");
        follower_store_->remove_row("b");
        replace(follower_, make_follower());
        follower_->copy.watch.start();
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.watch.loaded(); }));
        CPPUNIT_ASSERT(
            (follower_->copy.rows == std::map<std::string, std::string>{{"a", "2"}, {"c", "1"}}));
        CPPUNIT_ASSERT_EQUAL(0, follower_store_->reads);
    }

    // Guards against daemons that restart together with their relay and all turn to the store
    // while the relay loads the tables.
    void starting_daemon_waits_for_a_relay_that_is_loading()
    {
        relay_->server.close_all();
        replace(relay_, make_relay(*relay_store_));
        CPPUNIT_ASSERT(relay_->server.listen(*address_));
        replace(follower_, make_follower());
        follower_->copy.watch.start();
        run_until([] { return false; }, milliseconds(100));
        CPPUNIT_ASSERT(!follower_->copy.watch.loaded());
        relay_->copy.watch.start();
        CPPUNIT_ASSERT(
            run_until([&] { return follower_->copy.watch.loaded(); }, milliseconds(500)));
        CPPUNIT_ASSERT_EQUAL(0, follower_store_->reads);
    }

    // Guards against a daemon that never becomes ready because its relay is gone.
    void starting_daemon_uses_the_store_if_the_relay_is_gone()
    {
        relay_->server.close_all();
        replace(follower_, make_follower());
        follower_->copy.watch.start();
        CPPUNIT_ASSERT(
            run_until([&] { return follower_->copy.watch.loaded(); }, milliseconds(2500)));
        CPPUNIT_ASSERT_EQUAL(1, follower_store_->reads);
    }

    // Guards against a daemon that is not ready because only it cannot reach the store.
    void starting_daemon_serves_without_the_store()
    {
        follower_store_->set_down(true);
        replace(follower_, make_follower());
        follower_->copy.watch.start();
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.watch.loaded(); }));
        relay_store_->put("b", "2");
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows.count("b") > 0; }));
    }

    // Guards against a relay that the store turns away, and with it its failure domain, while the
    // relays of other domains still receive all changes.
    void relay_without_store_follows_another_relay()
    {
        const auto other_address = free_address();
        auto* other = start_other_relay(other_address);
        // The first other relay is gone too.
        other_relays_ = {free_address(), other_address};
        relay_store_->set_down(true);
        follower_store_->put("b", "2");
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.rows.count("b") > 0; }));
        follower_store_->put("b", "3");
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows["b"] == "3"; }));
        relay_store_->put("b", "2");
        relay_store_->put("b", "3");
        relay_store_->set_down(false);
        put("b", "4");
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.rows["b"] == "4"; }));
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.watch.from_store(); }));
        other->server.close_all();
    }

    // Guards against a failure domain that keeps an older configuration for as long as the store
    // turns its relay away, because the other relay has started since the relay's last answer and
    // does not keep the changes from there on.
    void relay_without_store_follows_another_relay_that_started_later()
    {
        relay_store_->skip_versions(3);
        follower_store_->skip_versions(3);
        const auto other_address = free_address();
        auto* other = start_other_relay(other_address);
        other_relays_ = {other_address};
        relay_store_->set_down(true);
        follower_store_->put("a", "2");
        CPPUNIT_ASSERT(run_until([&] { return other->copy.rows["a"] == "2"; }));
        const bool followed =
            run_until([&] { return relay_->copy.rows["a"] == "2"; }, milliseconds(8000));
        other->server.close_all();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), relay_->copy.rows["a"]);
        CPPUNIT_ASSERT(followed);
    }

    // Guards against a relay whose store answers again, but which follows another relay for two
    // waits: for the one in progress, and for the one that began with the call to the store.
    void relay_returns_to_the_store_within_one_wait_for_another_relay()
    {
        const auto other_address = free_address();
        auto* other = start_other_relay(other_address);
        other_relays_ = {other_address};
        relay_store_->set_down(true);
        follower_store_->put("b", "2");
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.rows.count("b") > 0; }));
        CPPUNIT_ASSERT(!relay_->copy.watch.from_store());
        relay_store_->put("b", "2");
        relay_store_->set_down(false);
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.watch.from_store(); },
                                 max_relay_wait + milliseconds(500)));
        put("b", "3");
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.rows["b"] == "3"; }));
        CPPUNIT_ASSERT(relay_->copy.watch.from_store());
        other->server.close_all();
    }

    // Guards against a relay that returns to the store late because it first waits for each relay
    // of the other failure domains, none of which answers.
    void relay_asks_the_store_between_other_relays_that_are_silent()
    {
        constexpr std::size_t silent_relays = 8;
        std::vector<std::unique_ptr<tcp::acceptor>> silent;
        for (std::size_t n = 0; n < silent_relays; ++n) {
            silent.push_back(std::make_unique<tcp::acceptor>(
                loop_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
            other_relays_.push_back(*vm_address::parse(
                fmt::format("127.0.0.1:{}", silent.back()->local_endpoint().port())));
        }
        relay_store_->set_down(true);
        CPPUNIT_ASSERT(run_until([&] { return !relay_->copy.watch.available(); }));
        // The first call of the next watch, which the pacing holds back, is over.
        loop_.run_for(milliseconds(1000));
        relay_store_->put("a", "2");
        relay_store_->set_down(false);
        CPPUNIT_ASSERT(
            run_until([&] { return relay_->copy.rows["a"] == "2"; }, milliseconds(2000)));
    }

    // Guards against a relay whose full reads always ask the same other relays, which do not have
    // the table from the store either.
    void full_read_passes_over_other_relays_without_the_store()
    {
        relay_store_->skip_versions(3);
        follower_store_->skip_versions(3);
        counting_store down(loop_);
        for (int n = 0; n < 3; ++n) {
            const auto at = free_address();
            other_relays_.push_back(at);
            auto* other = retired_.emplace_back(make_relay(down)).get();
            CPPUNIT_ASSERT(other->server.listen(at));
            down.set_down(true);
            other->copy.watch.start();
        }
        const auto other_address = free_address();
        auto* other = start_other_relay(other_address);
        other_relays_.push_back(other_address);
        relay_store_->set_down(true);
        follower_store_->put("a", "2");
        CPPUNIT_ASSERT(run_until([&] { return other->copy.rows["a"] == "2"; }));
        run_until([&] { return relay_->copy.rows["a"] == "2"; }, milliseconds(8000));
        for (const auto& it : retired_) {
            it->server.close_all();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("2"), relay_->copy.rows["a"]);
    }

    // Guards against a daemon that no longer asks the store at all after one failed call: a relay
    // that answers and is behind would keep it behind.
    void follower_asks_the_store_if_its_relay_is_behind_after_a_failure()
    {
        const auto report_newer_row = [&] {
            auto reported = follower_->copy.watch.state();
            ++reported.newest_row;
            follower_->copy.watch.check_peer_version(reported);
            loop_.run_for(milliseconds(600));
            follower_->copy.watch.check_peer_version(reported);
        };
        follower_store_->set_down(true);
        report_newer_row();
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.watch.available(); }));
        follower_store_->set_down(false);
        follower_store_->put("a", "2");
        run_until(
            [&] {
                report_newer_row();
                return follower_->copy.rows["a"] == "2";
            },
            milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), follower_->copy.rows["a"]);
    }

    // Guards against a daemon that keeps an old configuration although its relay has the new one:
    // after a call that did not deliver, it asked only the store, which rejected it for long.
    void follower_whose_call_was_silent_follows_its_relay_while_the_store_rejects_it()
    {
        follower_store_->set_down(true);
        auto reported = follower_->copy.watch.state();
        ++reported.newest_row;
        follower_->copy.watch.check_peer_version(reported);
        loop_.run_for(milliseconds(600));
        follower_->copy.watch.check_peer_version(reported);
        CPPUNIT_ASSERT(!follower_->copy.watch.available());
        loop_.run_for(milliseconds(500));
        relay_store_->put("a", "2");
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.rows["a"] == "2"; }));
        run_until([&] { return follower_->copy.rows["a"] == "2"; }, milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), follower_->copy.rows["a"]);
        CPPUNIT_ASSERT(follower_->copy.watch.available());
    }

    // Guards against two relays that confirm to each other that their tables are current while
    // neither reaches the store.
    void relays_without_store_do_not_follow_each_other()
    {
        const auto other_address = free_address();
        auto* other = start_other_relay(other_address);
        other_relays_ = {other_address, *address_};
        relay_store_->set_down(true);
        follower_store_->set_down(true);
        CPPUNIT_ASSERT(run_until(
            [&] { return !relay_->copy.watch.available() && !other->copy.watch.available(); },
            milliseconds(4000)));
        run_until([] { return false; }, milliseconds(500));
        CPPUNIT_ASSERT(!relay_->copy.watch.available());
        CPPUNIT_ASSERT(!other->copy.watch.available());
        other->server.close_all();
    }

    // Guards against daemons that all call a failing store as often as they can.
    void failing_store_gets_few_calls()
    {
        follower_->gate.set_longest_pause(milliseconds(1000));
        relay_store_->set_down(true);
        follower_store_->set_down(true);
        CPPUNIT_ASSERT(run_until([&] { return !follower_->copy.watch.available(); }));
        run_until([] { return false; }, milliseconds(1500));
        const int before = follower_store_->calls;
        run_until([] { return false; }, milliseconds(3000));
        CPPUNIT_ASSERT(follower_store_->calls - before <= 6);
        CPPUNIT_ASSERT(follower_store_->calls - before >= 1);
        follower_store_->set_down(false);
        relay_store_->set_down(false);
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.watch.available(); }));
    }

    // Guards against a follower that cannot tell whether its relay still hears the store.
    void confirmation_by_the_store_is_relayed()
    {
        CPPUNIT_ASSERT_EQUAL(1000L, follower_->copy.watch.state().store_time.count());
        relay_store_->time = milliseconds(2000);
        put("b", "2");
        CPPUNIT_ASSERT(run_until(
            [&] { return follower_->copy.watch.state().store_time == milliseconds(2000); }));
        const auto confirmed_at = follower_->copy.watch.state().confirmed_at;
        // Answers of a relay that has heard nothing since are no confirmation.
        run_until([] { return false; }, milliseconds(2000));
        CPPUNIT_ASSERT(confirmed_at == follower_->copy.watch.state().confirmed_at);
    }

    // Guards against followers that keep old rows after the store was restored from an older copy:
    // their relay had the new rows, with versions below the ones that they knew.
    void restore_of_the_store_is_relayed()
    {
        for (int n = 2; n < 10; ++n) {
            put("a", std::to_string(n));
        }
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows["a"] == "9"; }));
        restore_stores(3);
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows["a"] == "copy"; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, follower_->copy.watch.era());
        put("a", "again");
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows["a"] == "again"; }));
    }

    // Guards against a relay that was cut off from the store while it was restored, and gives rows
    // from before the restore to daemons that know better.
    void relay_that_has_missed_a_restore_is_passed_over()
    {
        for (int n = 2; n < 10; ++n) {
            put("a", std::to_string(n));
        }
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows["a"] == "9"; }));
        follower_store_->restore(3, {{"a", "copy", 3, false}});
        follower_->copy.watch.replace_call();
        CPPUNIT_ASSERT(run_until([&] { return follower_->copy.rows["a"] == "copy"; }));
        follower_store_->put("b", "new");
        CPPUNIT_ASSERT(
            run_until([&] { return follower_->copy.rows.count("b") > 0; }, milliseconds(8000)));
        CPPUNIT_ASSERT_EQUAL(std::string("copy"), follower_->copy.rows["a"]);
    }

    // Guards against a daemon that starts with the rows of a relay that has missed a restore.
    void starting_daemon_reads_no_rows_from_before_a_restore()
    {
        for (int n = 2; n < 10; ++n) {
            put("a", std::to_string(n));
        }
        CPPUNIT_ASSERT(run_until([&] { return relay_->copy.rows["a"] == "9"; }));
        for (const std::uint64_t version : {std::uint64_t{3}, std::uint64_t{30}}) {
            follower_store_->restore(version, {{"a", "copy", version, false}});
            replace(follower_, make_follower());
            follower_->copy.watch.start();
            CPPUNIT_ASSERT(run_until([&] { return follower_->copy.watch.loaded(); }));
            CPPUNIT_ASSERT_EQUAL(std::string("copy"), follower_->copy.rows["a"]);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower_->copy.rows.size());
        }
    }

    // Guards against fields that the encoding loses, and against a crash on bytes that are
    // truncated or have random values, as an answer of another software version might.
    void changes_round_trip_and_malformed_bytes_do_not_crash()
    {
        table_result it;
        it.version = 9;
        it.relayed = true;
        it.rows = {{"a", std::string("\0x", 2), 8, false}, {"b", {}, 9, true}};
        const auto decoded = decode_changes(encode_changes(it));
        CPPUNIT_ASSERT(decoded && *decoded == it);
        auto longer = it;
        for (std::uint64_t n = 10; n < 400; ++n) {
            longer.rows.push_back({fmt::format("key-{}", n), "a value like others", n, false});
        }
        const auto compressed = encode_changes(longer);
        CPPUNIT_ASSERT(compressed.size() < 8000);
        const auto decompressed = decode_changes(compressed);
        CPPUNIT_ASSERT(decompressed && *decompressed == longer);
        constexpr unsigned seed = 20261205;
        std::cout << "[edge] random table answers seed " << seed << '\n';
        std::mt19937 random(seed);
        for (int step = 0; step < 3000; ++step) {
            auto bytes = encode_changes(it);
            for (unsigned n = 0; n < 1 + random() % 4; ++n) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            bytes.resize(random() % (bytes.size() + 1));
            decode_changes(bytes); // must not crash
            auto damaged = compressed;
            damaged[random() % damaged.size()] = static_cast<char>(random());
            decode_changes(damaged); // must not crash
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_relay_test);

} // namespace toucan::edge
