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

constexpr milliseconds budget{1000};

/// Delivers calls at once, with a hook per call that decides about failures.
class direct_client final : public fake_client {
public:
    std::map<vm_address, operation_coordinator*> daemons;
    const clock* time = nullptr;
    /// Called after the delivery; true loses the reply.
    std::function<bool()> lose_reply = [] {
        return false;
    };
    int forwards = 0;

    rpc::rpc_result<rpc::forward_reply>
    forward(vm_address peer, const rpc::forward_request& request, duration /*timeout*/) override
    {
        ++forwards;
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
        if (lose_reply()) {
            return rpc::rpc_error{};
        }
        return reply;
    }
};

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
            late = {key, value};
            return failure;
        }
        const auto [it, is_new] = rows.emplace(key, value);
        if (!is_new) {
            return platform::write_conflict{platform::table_row{it->second, 1}};
        }
        return platform::write_applied{1};
    }
    std::pair<std::string, std::string> late;
};

struct daemon {
    daemon(vm_id self, const clock& time, direct_client& net, scripted_table& table, int& runs)
        : issuer(self, time), operations(time), witnessed(self, time),
          coordinator(self, time, issuer, operations, witnessed, net, &table,
                      [&runs](const rpc::forward_request&, steady_time, const dispatch_guard& may) {
                          if (!may.allows()) {
                              return refuse("denied");
                          }
                          return outcome(completed{{200, {}, std::to_string(++runs)}});
                      })
    {
        net.daemons[self.address] = &coordinator;
    }

    key_issuer issuer;
    operation_table operations;
    witness_table witnessed;
    operation_coordinator coordinator;
};

const vm_id first_id{{1, 1}, incarnation(1)};
const vm_id second_id{{2, 1}, incarnation(1)};
const vm_id third_id{{3, 1}, incarnation(1)};

} // namespace

class protocol_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(protocol_test);
    CPPUNIT_TEST(repetition_anywhere_gets_the_first_outcome);
    CPPUNIT_TEST(lost_intent_reply_is_refused_for_good);
    CPPUNIT_TEST(pause_past_the_deadline_is_not_dispatched);
    CPPUNIT_TEST(dead_owner_is_answered_by_the_witness);
    CPPUNIT_TEST(restarted_owner_does_not_run_old_keys);
    CPPUNIT_TEST(sealed_owner_changes_its_witness);
    CPPUNIT_TEST(late_claim_is_refused);
    CPPUNIT_TEST(claims_follow_the_row);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    direct_client net_;
    scripted_table table_;
    int runs_ = 0;
    std::unique_ptr<daemon> first_;
    std::unique_ptr<daemon> second_;
    std::unique_ptr<daemon> third_;

    std::unique_ptr<daemon> make(vm_id self)
    {
        return std::make_unique<daemon>(self, time_, net_, table_, runs_);
    }

    std::string new_key(std::uint64_t n = 0)
    {
        return operation_key{first_->issuer.issue(), n}.to_string();
    }

    outcome call(daemon& at, const std::string& key)
    {
        rpc::forward_request request;
        request.service = service_name("checkdesk");
        request.operation_key = key;
        return at.coordinator.execute(request, time_.now() + budget);
    }

    static outcome ran(int n) { return completed{{200, {}, std::to_string(n)}}; }

public:
    void setUp() override
    {
        net_.time = &time_;
        first_ = make(first_id);
        second_ = make(second_id);
        third_ = make(third_id);
        first_->issuer.set_witness(second_id);
    }

    void repetition_anywhere_gets_the_first_outcome()
    {
        const auto key = new_key();
        CPPUNIT_ASSERT(call(*third_, key) == ran(1));
        CPPUNIT_ASSERT(call(*first_, key) == ran(1));
        CPPUNIT_ASSERT(call(*second_, key) == ran(1));
        CPPUNIT_ASSERT(call(*second_, new_key(1)) == ran(2));
    }

    void lost_intent_reply_is_refused_for_good()
    {
        const auto key = new_key();
        net_.lose_reply = [] {
            return true;
        };
        CPPUNIT_ASSERT(call(*first_, key) == refuse(reasons::no_witness_answer));
        net_.lose_reply = [] {
            return false;
        };
        CPPUNIT_ASSERT(call(*third_, key) == refuse(reasons::no_witness_answer));
        net_.daemons.erase(first_id.address);
        CPPUNIT_ASSERT(call(*third_, key) == not_known(reasons::maybe_dispatched));
        CPPUNIT_ASSERT_EQUAL(0, runs_);
    }

    void pause_past_the_deadline_is_not_dispatched()
    {
        net_.lose_reply = [this] {
            time_.advance(budget);
            return false;
        };
        CPPUNIT_ASSERT(call(*first_, new_key()) == refuse(reasons::deadline));
        CPPUNIT_ASSERT_EQUAL(0, runs_);
    }

    void dead_owner_is_answered_by_the_witness()
    {
        const auto run = new_key();
        const auto idle = new_key(1);
        CPPUNIT_ASSERT(call(*first_, run) == ran(1));
        net_.daemons.erase(first_id.address);
        CPPUNIT_ASSERT(call(*third_, run) == not_known(reasons::maybe_dispatched));
        CPPUNIT_ASSERT(call(*second_, idle) == refuse(reasons::never_dispatched));
        net_.daemons.erase(second_id.address);
        CPPUNIT_ASSERT(call(*third_, idle) == not_known(reasons::all_gone));
    }

    void restarted_owner_does_not_run_old_keys()
    {
        const auto key = new_key();
        first_ = make({first_id.address, incarnation(2)});
        CPPUNIT_ASSERT(call(*third_, key) == refuse(reasons::never_dispatched));
        CPPUNIT_ASSERT(call(*first_, key) == refuse(reasons::never_dispatched));
        // The witness is restarted too: nobody knows.
        second_ = make({second_id.address, incarnation(2)});
        CPPUNIT_ASSERT(call(*third_, key) == not_known(reasons::all_gone));
        CPPUNIT_ASSERT_EQUAL(0, runs_);
    }

    void sealed_owner_changes_its_witness()
    {
        const auto key = new_key();
        second_->witnessed.seal(*operation_key::parse(key));
        CPPUNIT_ASSERT(call(*third_, key) == refuse(reasons::sealed));
        CPPUNIT_ASSERT(first_->issuer.is_excluded(second_id));
        first_->issuer.set_witness(third_id);
        CPPUNIT_ASSERT(call(*third_, new_key()) == ran(1));
    }

    // Guards against a claim that lands after its caller was told that it failed.
    void late_claim_is_refused()
    {
        const auto key = caller_key{
            std::chrono::duration_cast<milliseconds>(time_.wall_now().time_since_epoch()).count(),
            "order"};
        table_.failure = platform::write_unknown{"lost"};
        const auto refusal = refuse(reasons::claims_unavailable);
        CPPUNIT_ASSERT(call(*first_, key.to_string()) == refusal);
        table_.failure = platform::write_applied{};
        table_.rows.insert(table_.late);
        CPPUNIT_ASSERT(call(*third_, key.to_string()) == refusal);
        CPPUNIT_ASSERT_EQUAL(0, runs_);
    }

    void claims_follow_the_row()
    {
        const auto now =
            std::chrono::duration_cast<milliseconds>(time_.wall_now().time_since_epoch()).count();
        const auto key = caller_key{now, "order"}.to_string();
        CPPUNIT_ASSERT(call(*first_, key) == ran(1));
        CPPUNIT_ASSERT(call(*third_, key) == ran(1));
        table_.rows.begin()->second = "damaged";
        CPPUNIT_ASSERT(call(*third_, key) == not_known(reasons::damaged_claim));
        table_.failure = platform::write_refused{"down"};
        CPPUNIT_ASSERT(call(*third_, key) == refuse(reasons::claims_unavailable));
        CPPUNIT_ASSERT(call(*third_, new_key()) == ran(2));
        time_.advance(std::chrono::hours(25));
        CPPUNIT_ASSERT(call(*third_, key) == not_known(reasons::expired));
        CPPUNIT_ASSERT(call(*third_, "order") == refuse(reasons::bad_key));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(protocol_test);

} // namespace toucan::operations
