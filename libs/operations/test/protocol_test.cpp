#include "fake_client.h"

#include "toucan/base/manual_clock.h"
#include "toucan/operations/operation_coordinator.h"
#include "toucan/operations/outcomes.h"
#include "toucan/operations/reasons.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace toucan::operations {

namespace {

constexpr milliseconds request_timeout{1000};

/// Delivers calls synchronously to the coordinators in `daemons`. Peers that are not in the map are
/// down.
class direct_client final : public fake_client {
public:
    std::map<vm_address, operation_coordinator*> daemons;
    const clock* time = nullptr;
    /// Called after the delivery of an intent; if it returns true, the reply is lost.
    std::function<bool()> loses_intent_reply = [] {
        return false;
    };
    int forward_count = 0;

    rpc::rpc_result<rpc::forward_reply>
    forward(vm_address peer, const rpc::forward_request& request, duration /*timeout*/) override
    {
        ++forward_count;
        if (!daemons.contains(peer)) {
            return rpc::rpc_error{rpc::rpc_failure::not_sent, "down"};
        }
        const auto deadline = time->now() + request.time_left;
        auto& to = *daemons.at(peer);
        return rpc::forward_reply{request.mode == rpc::forward_mode::own
                                      ? to.handle_own(request, deadline)
                                      : to.handle_resolve(request, deadline)};
    }
    rpc::rpc_result<rpc::intent_reply> record_intent(vm_address peer,
                                                     const rpc::intent_request& request,
                                                     duration /*timeout*/) override
    {
        if (!daemons.contains(peer)) {
            return rpc::rpc_error{rpc::rpc_failure::not_sent, "down"};
        }
        const auto reply = daemons.at(peer)->handle_intent(request);
        if (loses_intent_reply()) {
            return rpc::rpc_error{};
        }
        return reply;
    }
};

/// Table service that fails all writes with `failure` unless it is `write_applied`.
class scripted_table final : public platform::table_service {
public:
    std::map<std::string, std::string> rows;
    platform::write_result failure = platform::write_applied{};

    platform::read_result read(const std::string& /*key*/) override
    {
        return platform::row_absent{};
    }
    platform::write_result compare_and_set(const std::string& key, std::uint64_t /*revision*/,
                                           const std::string& value) override
    {
        if (!std::holds_alternative<platform::write_applied>(failure)) {
            unapplied_row = {key, value};
            return failure;
        }
        const auto [it, is_new] = rows.emplace(key, value);
        if (!is_new) {
            return platform::write_conflict{platform::table_row{it->second, 1}};
        }
        return platform::write_applied{1};
    }
    std::pair<std::string, std::string> unapplied_row;
};

struct daemon {
    daemon(vm_id self, const clock& time, direct_client& net, scripted_table& table,
           int& executions)
        : issuer(self, time), operations(time), intents(self, time),
          coordinator(
              self, time, issuer, operations, intents, net, &table,
              [&executions](const rpc::forward_request&, steady_time, const dispatch_guard& guard) {
                  if (!guard.allows()) {
                      return make_not_run("denied");
                  }
                  return outcome(completed{{200, {}, std::to_string(++executions)}});
              })
    {
        net.daemons[self.address] = &coordinator;
    }

    key_issuer issuer;
    operation_table operations;
    witness_table intents;
    operation_coordinator coordinator;
};

const vm_id owner_id{{1, 1}, incarnation(1)};
const vm_id witness_id{{2, 1}, incarnation(1)};
const vm_id other_id{{3, 1}, incarnation(1)};

} // namespace

class protocol_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(protocol_test);
    CPPUNIT_TEST(repetition_at_any_daemon_returns_the_first_outcome);
    CPPUNIT_TEST(lost_intent_reply_refuses_the_key_permanently);
    CPPUNIT_TEST(expired_deadline_prevents_dispatch);
    CPPUNIT_TEST(witness_answers_for_unreachable_owner);
    CPPUNIT_TEST(restarted_owner_does_not_execute_old_keys);
    CPPUNIT_TEST(sealed_owner_changes_its_witness);
    CPPUNIT_TEST(claim_applied_late_is_refused);
    CPPUNIT_TEST(claims_use_the_key_in_the_row);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    direct_client net_;
    scripted_table table_;
    int executions_ = 0;
    std::unique_ptr<daemon> owner_;
    std::unique_ptr<daemon> witness_;
    std::unique_ptr<daemon> other_;

    std::unique_ptr<daemon> make_daemon(vm_id self)
    {
        return std::make_unique<daemon>(self, time_, net_, table_, executions_);
    }

    std::string new_key(std::uint64_t n = 0)
    {
        return operation_key{owner_->issuer.issue(), n}.to_string();
    }

    outcome call(daemon& at, const std::string& key)
    {
        rpc::forward_request request;
        request.service = service_name("checkdesk");
        request.operation_key = key;
        return at.coordinator.execute(request, time_.now() + request_timeout);
    }

    static outcome completed_execution(int n) { return completed{{200, {}, std::to_string(n)}}; }

public:
    void setUp() override
    {
        net_.time = &time_;
        owner_ = make_daemon(owner_id);
        witness_ = make_daemon(witness_id);
        other_ = make_daemon(other_id);
        owner_->issuer.set_witness(witness_id);
    }

    // Guards against a second execution when a request is repeated at another daemon.
    void repetition_at_any_daemon_returns_the_first_outcome()
    {
        const auto key = new_key();
        CPPUNIT_ASSERT(call(*other_, key) == completed_execution(1));
        CPPUNIT_ASSERT(call(*owner_, key) == completed_execution(1));
        CPPUNIT_ASSERT(call(*witness_, key) == completed_execution(1));
        CPPUNIT_ASSERT(call(*witness_, new_key(1)) == completed_execution(2));
    }

    // Guards against executing a key later that was answered `not_run` because the reply of the
    // witness was lost.
    void lost_intent_reply_refuses_the_key_permanently()
    {
        const auto key = new_key();
        net_.loses_intent_reply = [] {
            return true;
        };
        CPPUNIT_ASSERT(call(*owner_, key) == make_not_run(reasons::witness_unreachable));
        net_.loses_intent_reply = [] {
            return false;
        };
        CPPUNIT_ASSERT(call(*other_, key) == make_not_run(reasons::witness_unreachable));
        net_.daemons.erase(owner_id.address);
        CPPUNIT_ASSERT(call(*other_, key) == make_unknown(reasons::possibly_dispatched));
        CPPUNIT_ASSERT_EQUAL(0, executions_);
    }

    // Guards against a dispatch after the deadline when the call to the witness takes too long.
    void expired_deadline_prevents_dispatch()
    {
        net_.loses_intent_reply = [this] {
            time_.advance(request_timeout);
            return false;
        };
        CPPUNIT_ASSERT(call(*owner_, new_key()) == make_not_run(reasons::deadline_passed));
        CPPUNIT_ASSERT_EQUAL(0, executions_);
    }

    // Guards against a wrong answer about the keys of an owner that is down: `not_run` for a key
    // that ran, or `unknown` for a key whose intent was never recorded.
    void witness_answers_for_unreachable_owner()
    {
        const auto started = new_key();
        const auto not_started = new_key(1);
        CPPUNIT_ASSERT(call(*owner_, started) == completed_execution(1));
        net_.daemons.erase(owner_id.address);
        CPPUNIT_ASSERT(call(*other_, started) == make_unknown(reasons::possibly_dispatched));
        CPPUNIT_ASSERT(call(*witness_, not_started) == make_not_run(reasons::never_dispatched));
        net_.daemons.erase(witness_id.address);
        CPPUNIT_ASSERT(call(*other_, not_started) ==
                       make_unknown(reasons::owner_and_witness_unreachable));
    }

    // Guards against executing keys of an earlier incarnation after a restart of the owner.
    void restarted_owner_does_not_execute_old_keys()
    {
        const auto key = new_key();
        owner_ = make_daemon({owner_id.address, incarnation(2)});
        CPPUNIT_ASSERT(call(*other_, key) == make_not_run(reasons::never_dispatched));
        CPPUNIT_ASSERT(call(*owner_, key) == make_not_run(reasons::never_dispatched));
        // With the witness restarted too, no process has a record of the key.
        witness_ = make_daemon({witness_id.address, incarnation(2)});
        CPPUNIT_ASSERT(call(*other_, key) == make_unknown(reasons::owner_and_witness_unreachable));
        CPPUNIT_ASSERT_EQUAL(0, executions_);
    }

    // Guards against an owner that keeps issuing keys with the witness that sealed it; all of them
    // would be refused.
    void sealed_owner_changes_its_witness()
    {
        const auto key = new_key();
        witness_->intents.seal(*operation_key::parse(key));
        CPPUNIT_ASSERT(call(*other_, key) == make_not_run(reasons::owner_sealed));
        CPPUNIT_ASSERT(owner_->issuer.is_excluded(witness_id));
        owner_->issuer.set_witness(other_id);
        CPPUNIT_ASSERT(call(*other_, new_key()) == completed_execution(1));
    }

    // Guards against executing a key whose claim is applied after the caller got `not_run` for it.
    void claim_applied_late_is_refused()
    {
        const auto key = caller_key{
            std::chrono::duration_cast<milliseconds>(time_.wall_now().time_since_epoch()).count(),
            "order"};
        table_.failure = platform::write_unknown{"lost"};
        const auto refusal = make_not_run(reasons::claims_unavailable);
        CPPUNIT_ASSERT(call(*owner_, key.to_string()) == refusal);
        table_.failure = platform::write_applied{};
        table_.rows.insert(table_.unapplied_row);
        CPPUNIT_ASSERT(call(*other_, key.to_string()) == refusal);
        CPPUNIT_ASSERT_EQUAL(0, executions_);
    }

    // Guards against executing a caller-chosen key twice, and against a wrong outcome when its
    // claim is malformed, cannot be written or is too old.
    void claims_use_the_key_in_the_row()
    {
        const auto now =
            std::chrono::duration_cast<milliseconds>(time_.wall_now().time_since_epoch()).count();
        const auto key = caller_key{now, "order"}.to_string();
        CPPUNIT_ASSERT(call(*owner_, key) == completed_execution(1));
        CPPUNIT_ASSERT(call(*other_, key) == completed_execution(1));
        table_.rows.begin()->second = "damaged";
        CPPUNIT_ASSERT(call(*other_, key) == make_unknown(reasons::malformed_claim));
        table_.failure = platform::write_refused{"down"};
        CPPUNIT_ASSERT(call(*other_, key) == make_not_run(reasons::claims_unavailable));
        CPPUNIT_ASSERT(call(*other_, new_key()) == completed_execution(2));
        time_.advance(std::chrono::hours(25));
        CPPUNIT_ASSERT(call(*other_, key) == make_unknown(reasons::expired));
        CPPUNIT_ASSERT(call(*other_, "order") == make_not_run(reasons::malformed_key));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(protocol_test);

} // namespace toucan::operations
