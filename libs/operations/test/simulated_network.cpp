#include "simulated_network.h"

#include "toucan/operations/outcomes.h"
#include "toucan/operations/reasons.h"

#include <fmt/format.h>

namespace toucan::operations {

namespace {

constexpr std::size_t node_count = 4;
constexpr int max_event_depth = 3;
// Kept short, because `operation_table::wait` blocks in real time if the operation is in progress
// further up the same call stack.
constexpr milliseconds request_timeout{4};

// Small limits, so that the schedules reach them.
constexpr std::size_t record_limit = 3;
constexpr std::size_t body_limit = 64;
constexpr std::size_t intent_limit = 5;
constexpr std::size_t owner_limit = 3;

} // namespace

simulated_network::process::process(simulated_network& net, vm_id self)
    : id(self), peers(net, *this), issuer(self, net.clock_),
      operations(net.clock_, {record_limit, body_limit, std::chrono::minutes(15)}),
      intents(self, net.clock_, {intent_limit, owner_limit, std::chrono::minutes(15)}),
      coordinator(self, net.clock_, issuer, operations, intents, peers, &net.table_,
                  [&net, this](const auto& request, steady_time, const dispatch_guard& guard) {
                      return net.dispatch(*this, request, guard);
                  })
{
}

simulated_network::simulated_network(std::uint64_t seed) : random_(seed)
{
    nodes_.resize(node_count);
    for (std::size_t it = 0; it < node_count; ++it) {
        start_process(it);
    }
}

bool simulated_network::random_bool(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::size_t simulated_network::random_index(std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

vm_address simulated_network::address_of_node(std::size_t node) const
{
    return {0x7f000001U + static_cast<std::uint32_t>(node), 7000};
}

simulated_network::process* simulated_network::process_at(vm_address address)
{
    return nodes_.at(address.ip() - address_of_node(0).ip());
}

void simulated_network::start_process(std::size_t node)
{
    processes_.push_back(std::make_unique<process>(
        *this, vm_id{address_of_node(node), incarnation(++last_incarnation_)}));
    nodes_.at(node) = processes_.back().get();
}

void simulated_network::choose_witness(process& it)
{
    const auto* other = nodes_.at(random_index(node_count));
    if (other->id.address == it.id.address || random_bool(0.1)) {
        it.issuer.set_witness(std::nullopt);
        return;
    }
    it.issuer.set_witness(other->id);
}

void simulated_network::send_caller_request()
{
    auto* const entry = nodes_.at(random_index(node_count));
    if (!entry->alive || entry->paused) {
        return;
    }
    if (operations_.empty() || random_bool(0.4)) {
        auto* const owner = nodes_.at(random_index(node_count));
        if (!owner->alive || owner->paused) {
            return;
        }
        choose_witness(*owner);
        const auto unix_ms =
            std::chrono::duration_cast<milliseconds>(clock_.wall_now().time_since_epoch()).count();
        operations_.push_back(
            {random_bool(0.25)
                 ? caller_key{unix_ms, fmt::format("op{}", operations_.size())}.to_string()
                 : operation_key{owner->issuer.issue(), 1}.to_string(),
             {}});
    }
    const auto index = random_bool(0.7) ? operations_.size() - 1 : random_index(operations_.size());
    rpc::forward_request request;
    request.service = service_name("checkdesk");
    request.operation_key = operations_.at(index).key;
    request.request.body = request.operation_key;
    request.request.path = fmt::format("/{}", ++attempt_count_);
    try {
        auto result = entry->coordinator.execute(request, clock_.now() + request_timeout);
        totals_.completed += std::holds_alternative<completed>(result) ? 1 : 0;
        totals_.not_run += std::holds_alternative<not_run>(result) ? 1 : 0;
        totals_.unknown += std::holds_alternative<unknown>(result) ? 1 : 0;
        operations_.at(index).attempts.push_back({request.request.path, std::move(result)});
    }
    catch (const process_killed& it) {
        if (it.victim != entry) {
            throw;
        }
    }
}

void simulated_network::run_random_event()
{
    ++event_depth_;
    switch (random_index(12)) {
    case 0:
        nodes_.at(random_index(node_count))->alive = false;
        break;
    case 1:
    case 2:
        if (const auto node = random_index(node_count); !nodes_.at(node)->alive) {
            start_process(node);
        }
        break;
    case 3:
        clock_.advance(random_bool(0.3) ? std::chrono::minutes(random_index(10))
                                        : std::chrono::minutes(0));
        for (auto* it : nodes_) {
            if (!it->paused) {
                it->operations.purge();
                it->intents.purge();
            }
        }
        break;
    case 4:
    case 5:
        if (!delayed_actions_.empty()) {
            const auto index = random_index(delayed_actions_.size());
            const auto deliver = std::move(delayed_actions_.at(index));
            delayed_actions_.erase(delayed_actions_.begin() + static_cast<std::ptrdiff_t>(index));
            deliver();
        }
        break;
    case 6:
        table_.apply_delayed_write();
        break;
    default:
        send_caller_request();
    }
    --event_depth_;
}

void simulated_network::pause_process(process& it)
{
    it.paused = true;
    for (auto n = random_index(4); n > 0; --n) {
        run_random_event();
    }
    it.paused = false;
}

/// Simulates a blocking step of a process: other events may run, and the process may be paused or
/// killed.
void simulated_network::block_in(process& it)
{
    if (event_depth_ < max_event_depth && random_bool(0.3)) {
        if (random_bool(0.3) && !it.paused) {
            pause_process(it);
        }
        else {
            run_random_event();
        }
    }
    if (!it.alive) {
        throw process_killed{&it};
    }
}

template <typename Reply>
rpc::rpc_result<Reply>
simulated_network::deliver_call(process& from, vm_address peer, milliseconds timeout,
                                const std::function<Reply(process&)>& deliver)
{
    const auto deadline = clock_.now() + timeout;
    const auto wait_and_lose_reply = [&] {
        if (clock_.now() < deadline) {
            clock_.advance(deadline - clock_.now());
        }
        return rpc::rpc_error{rpc::rpc_failure::no_reply, "lost"};
    };
    block_in(from);
    const auto deliver_unless_killed = [deliver](process& to) -> std::optional<Reply> {
        try {
            return deliver(to);
        }
        catch (const process_killed& it) {
            if (it.victim != &to) {
                throw;
            }
            return std::nullopt;
        }
    };
    if (random_bool(0.08)) {
        return rpc::rpc_error{rpc::rpc_failure::not_sent, "cut"};
    }
    if (random_bool(0.08)) {
        delayed_actions_.emplace_back([this, peer, deliver_unless_killed] {
            if (auto* to = process_at(peer); to->alive && !to->paused) {
                deliver_unless_killed(*to);
            }
        });
        return wait_and_lose_reply();
    }
    auto* const to = process_at(peer);
    if (!to->alive && random_bool(0.5)) {
        return rpc::rpc_error{rpc::rpc_failure::not_sent, "refused"};
    }
    if (!to->alive || to->paused) {
        return wait_and_lose_reply();
    }
    const auto reply = deliver_unless_killed(*to);
    block_in(from);
    if (!reply || !to->alive || clock_.now() > deadline || random_bool(0.08)) {
        return wait_and_lose_reply();
    }
    return *reply;
}

rpc::rpc_result<rpc::forward_reply>
simulated_network::client::forward(vm_address peer, const rpc::forward_request& request,
                                   duration timeout)
{
    auto& net = net_;
    return net.deliver_call<rpc::forward_reply>(from_, peer, timeout, [&net, request](process& to) {
        const auto deadline = net.clock_.now() + request.time_left;
        return rpc::forward_reply{request.mode == rpc::forward_mode::own
                                      ? to.coordinator.handle_own(request, deadline)
                                      : to.coordinator.handle_resolve(request, deadline)};
    });
}

rpc::rpc_result<rpc::intent_reply>
simulated_network::client::record_intent(vm_address peer, const rpc::intent_request& request,
                                         duration timeout)
{
    return net_.deliver_call<rpc::intent_reply>(from_, peer, timeout, [request](process& to) {
        return to.coordinator.handle_intent(request);
    });
}

outcome simulated_network::execute_at_backend(const rpc::forward_request& request)
{
    const auto& key = request.request.body;
    ++totals_.executions;
    executed_attempts_.insert(request.request.path);
    auto& response = responses_[key];
    response = fmt::format("{} #{}", key, ++executions_[key]);
    return completed{{200, {}, response}};
}

outcome simulated_network::dispatch(process& from, const rpc::forward_request& request,
                                    const dispatch_guard& guard)
{
    // The request stays queued after the call has returned. The guard must deny its dispatch once
    // an outcome is recorded.
    if (random_bool(0.15)) {
        delayed_actions_.emplace_back([this, request, guard, &from] {
            if (from.alive && !from.paused && guard.allows()) {
                execute_at_backend(request);
            }
        });
        if (random_bool(0.5)) {
            return make_not_run("left the queue");
        }
        block_in(from);
        return make_unknown("home daemon did not answer");
    }
    block_in(from);
    if (!guard.allows()) {
        return make_not_run("denied");
    }
    if (random_bool(0.1)) {
        return make_not_run("shed");
    }
    auto result = execute_at_backend(request);
    block_in(from);
    return random_bool(0.1) ? make_unknown("response lost") : result;
}

platform::read_result simulated_network::table::read(const std::string& key)
{
    const auto it = rows_.find(key);
    if (it == rows_.end()) {
        return platform::row_absent{};
    }
    return platform::table_row{it->second, 1};
}

platform::write_result simulated_network::table::write(const std::string& key,
                                                       const std::string& value)
{
    const auto [it, is_new] = rows_.emplace(key, value);
    if (is_new) {
        return platform::write_applied{1};
    }
    return platform::write_conflict{platform::table_row{it->second, 1}};
}

platform::write_result simulated_network::table::compare_and_set(const std::string& key,
                                                                 std::uint64_t /*expected*/,
                                                                 const std::string& value)
{
    if (net_.random_bool(0.1)) {
        return platform::write_refused{"down"};
    }
    if (net_.random_bool(0.4)) {
        delayed_writes_.emplace_back(key, value);
        return platform::write_unknown{"lost"};
    }
    auto result = write(key, value);
    if (net_.random_bool(0.3)) {
        return platform::write_unknown{"reply lost"};
    }
    return result;
}

void simulated_network::table::apply_delayed_write()
{
    if (!delayed_writes_.empty()) {
        const auto [key, value] = delayed_writes_.back();
        delayed_writes_.pop_back();
        write(key, value);
    }
}

std::string simulated_network::run()
{
    constexpr int steps = 60;
    for (int it = 0; it < steps; ++it) {
        run_random_event();
    }
    return find_violation();
}

std::string simulated_network::find_violation() const
{
    for (const auto& it : operations_) {
        const auto found = executions_.find(it.key);
        const int n = found == executions_.end() ? 0 : found->second;
        if (n > 1) {
            return fmt::format("{} ran {} times, expected at most once", it.key, n);
        }
        for (const auto& [id, result] : it.attempts) {
            const auto reason = std::string(reason_of(result));
            // If the table service fails, the outcome covers this attempt only: other attempts with
            // the same key may run.
            const bool is_about_key = reason != reasons::claims_unavailable;
            if (std::holds_alternative<not_run>(result) &&
                (is_about_key ? n > 0 : executed_attempts_.contains(id))) {
                return fmt::format("{} ran, but an attempt got not_run: {}", it.key, reason);
            }
            const auto* done = std::get_if<completed>(&result);
            if (done != nullptr && (n == 0 || done->response.body != responses_.at(it.key))) {
                return fmt::format(
                    "{}: an attempt completed with a response other than that of the execution",
                    it.key);
            }
        }
    }
    return {};
}

} // namespace toucan::operations
