#include "shared_tables.h"

#include "fleet.h"
#include "peer_exchange.h"

#include "toucan/base/metrics.h"
#include "toucan/base/system_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace toucan::edge {

namespace {

/// Store of one table, the operator's. Calls that wait can be made silent: they never end, as on a
/// connection that carries nothing any more.
class silent_store {
public:
    explicit silent_store(asio::io_context& loop) : loop_(loop) {}

    void put(const std::string& value)
    {
        value_ = value;
        ++version_;
        for (const auto& it : std::exchange(waiting_, {})) {
            it.done(answer(it.after));
        }
    }
    /// Whether calls are never answered. Calls that wait now stay silent for good.
    void set_silent(bool silent)
    {
        silent_ = silent;
        waiting_.clear();
    }
    void watch(std::uint64_t after, milliseconds wait, table_client::handler done)
    {
        if (silent_) {
            return;
        }
        if (version_ > after || wait == milliseconds(0)) {
            asio::post(loop_, [it = answer(after), done = std::move(done)] { done(it); });
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(loop_, wait);
        waiting_.push_back({after, std::move(done), timer});
        timer->async_wait([this, timer](error_code ec) {
            const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                                         [&](const auto& each) { return each.timer == timer; });
            if (!ec && it != waiting_.end()) {
                const auto call = *it;
                waiting_.erase(it);
                call.done(answer(call.after));
            }
        });
    }
    [[nodiscard]] table_result answer(std::uint64_t after) const
    {
        table_result it;
        it.version = version_;
        if (version_ > after) {
            it.rows.push_back({"config", value_, version_, false});
        }
        return it;
    }

private:
    struct waiting_call {
        std::uint64_t after = 0;
        table_client::handler done;
        std::shared_ptr<asio::steady_timer> timer;
    };

    asio::io_context& loop_;
    std::string value_ = "1";
    std::uint64_t version_ = 1;
    std::vector<waiting_call> waiting_;
    bool silent_ = false;
};

/// Client of the silent store; the other tables are empty.
class silent_store_client final : public table_client {
public:
    silent_store_client(asio::io_context& loop, silent_store& store) : loop_(loop), store_(store) {}

    void read(const std::string& table, handler done) override
    {
        const auto it = table == "operator" ? store_.answer(0) : table_result{};
        asio::post(loop_, [it, done = std::move(done)] { done(it); });
    }
    void read_range(const std::string& /*table*/, const std::string& /*prefix*/,
                    handler done) override
    {
        asio::post(loop_, [done = std::move(done)] { done({}); });
    }
    void watch(const std::string& table, std::uint64_t after, const watch_options& options,
               handler done) override
    {
        if (table == "operator") {
            store_.watch(after, options.wait, std::move(done));
        }
    }
    void write(const std::string& /*table*/, const std::string& /*key*/,
               const std::string& /*value*/, handler done) override
    {
        asio::post(loop_, [done = std::move(done)] { done({}); });
    }
    void remove(const std::string& /*table*/, const std::string& /*key*/, std::uint64_t /*version*/,
                handler done) override
    {
        asio::post(loop_, [done = std::move(done)] { done({}); });
    }

private:
    asio::io_context& loop_;
    silent_store& store_;
};

class test_codec final : public record_codec {
public:
    [[nodiscard]] std::string backend_table() const override { return "backends"; }
    [[nodiscard]] std::string operator_table() const override { return "operator"; }
    [[nodiscard]] std::optional<backend_record>
    decode_backend(const table_row& /*it*/) const override
    {
        return std::nullopt;
    }
    [[nodiscard]] operator_record classify(const table_row& /*it*/) const override { return {}; }
    [[nodiscard]] std::shared_ptr<const routing_config>
    decode_configuration(const table_row& /*it*/) const override
    {
        return nullptr;
    }
};

vm_address free_address(asio::io_context& loop)
{
    tcp::acceptor probe(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return *vm_address::parse(fmt::format("127.0.0.1:{}", probe.local_endpoint().port()));
}

} // namespace

/// The tables of one daemon without other daemons: a relay that hears only the store.
class shared_tables_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shared_tables_test);
    CPPUNIT_TEST(change_arrives_although_the_pending_call_is_dead);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context loop_{1};
    system_clock time_;
    metrics counters_;
    settings settings_;
    deployment_adapter adapter_;
    std::unique_ptr<silent_store> store_;
    std::unique_ptr<fleet> servers_;
    std::unique_ptr<peer_exchange> peers_;
    std::unique_ptr<shared_tables> tables_;
    std::string value_;

    void make_daemon()
    {
        settings_.name = "entry-1";
        settings_.failure_domain = failure_domain_name("west-a");
        settings_.region = region_name("west");
        settings_.peers = free_address(loop_);
        adapter_.codec = std::make_unique<test_codec>();
        adapter_.make_table_client = [this](http_client&) {
            return std::make_unique<silent_store_client>(loop_, *store_);
        };
        servers_ = std::make_unique<fleet>(loop_, time_, settings_);
        peers_ = std::make_unique<peer_exchange>(
            loop_, time_, settings_, *servers_, 1,
            peer_exchange::events{[] {}, [] { return true; },
                                  [] { return std::vector<policy::service_demand>{}; },
                                  [this] { return tables_->states(); },
                                  [] {
                                      return false;
                                  }});
        shared_tables::events hooks;
        hooks.operator_table.changed = [this](const table_row& it) {
            value_ = it.value;
        };
        hooks.backends.changed = [](const table_row&) {
        };
        hooks.members.changed = hooks.backends.changed;
        hooks.operator_table.removed = [](const std::string&) {
        };
        hooks.backends.removed = hooks.operator_table.removed;
        hooks.members.removed = hooks.operator_table.removed;
        hooks.loaded = [] {
        };
        tables_ = std::make_unique<shared_tables>(loop_, time_, settings_, adapter_, *peers_,
                                                  counters_, 1, std::move(hooks));
    }

    bool run_until(const std::function<bool()>& done, milliseconds limit)
    {
        const auto end = time_.now() + limit;
        while (!done() && time_.now() < end) {
            loop_.restart();
            loop_.run_for(milliseconds(20));
            tables_->check_peers();
        }
        return done();
    }

public:
    void setUp() override
    {
        store_ = std::make_unique<silent_store>(loop_);
        make_daemon();
        CPPUNIT_ASSERT(peers_->start());
        tables_->start();
        CPPUNIT_ASSERT(run_until([&] { return tables_->loaded(); }, milliseconds(2000)));
    }

    void tearDown() override { loop_.stop(); }

    // Guards against a configuration that is in force late because the call that should report it
    // waits on a dead connection, and no other daemon can be heard: the daemon took the silence for
    // a table without changes until the call timed out, up to 11 s.
    void change_arrives_although_the_pending_call_is_dead()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("1"), value_);
        store_->set_silent(true);
        store_->set_silent(false);
        store_->put("2");
        CPPUNIT_ASSERT(run_until([&] { return value_ == "2"; }, milliseconds(3200)));
        CPPUNIT_ASSERT(run_until([&] { return tables_->loaded(); }, milliseconds(10)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_tables_test);

} // namespace toucan::edge
