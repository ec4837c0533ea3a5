#include "simulated_network.h"

#include "toucan/operations/outcomes.h"
#include "toucan/operations/reasons.h"

#include <fmt/format.h>

namespace toucan::operations {

namespace {

constexpr std::size_t node_count = 4;
constexpr int max_depth = 3;
// Short, because a caller waits in real time for an operation that is in progress below it.
constexpr milliseconds budget{4};

// Small tables, so that the limits are reached.
constexpr std::size_t record_limit = 3;
constexpr std::size_t body_limit = 64;
constexpr std::size_t intent_limit = 5;
constexpr std::size_t owner_limit = 3;

} // namespace

simulated_network::process::process(simulated_network& net, vm_id self)
    : id(self), peers(net, *this), issuer(self, net.clock_),
      operations(net.clock_, {record_limit, body_limit, std::chrono::minutes(15)}),
      witnessed(self, net.clock_, {intent_limit, owner_limit, std::chrono::minutes(15)}),
      coordinator(self, net.clock_, issuer, operations, witnessed, peers, &net.table_,
                  [&net, this](const auto& request, steady_time, const dispatch_guard& guard) {
                      return net.dispatch(*this, request, guard);
                  })
{
}

simulated_network::simulated_network(std::uint64_t seed) : random_(seed)
{
    nodes_.resize(node_count);
    for (std::size_t it = 0; it < node_count; ++it) {
        start(it);
    }
}

bool simulated_network::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

std::size_t simulated_network::pick(std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

vm_address simulated_network::address_of(std::size_t node) const
{
    return {0x7f000001U + static_cast<std::uint32_t>(node), 7000};
}

simulated_network::process* simulated_network::at(vm_address address)
{
    return nodes_.at(address.ip() - address_of(0).ip());
}

void simulated_network::start(std::size_t node)
{
    processes_.push_back(
        std::make_unique<process>(*this, vm_id{address_of(node), incarnation(++started_)}));
    nodes_.at(node) = processes_.back().get();
}

void simulated_network::choose_witness(process& it)
{
    const auto* other = nodes_.at(pick(node_count));
    if (other->id.address == it.id.address || chance(0.1)) {
        it.issuer.set_witness(std::nullopt);
        return;
    }
    it.issuer.set_witness(other->id);
}

void simulated_network::call()
{
    auto* const entry = nodes_.at(pick(node_count));
    if (!entry->alive || entry->frozen) {
        return;
    }
    if (operations_.empty() || chance(0.4)) {
        auto* const owner = nodes_.at(pick(node_count));
        if (!owner->alive || owner->frozen) {
            return;
        }
        choose_witness(*owner);
        const auto unix_ms =
            std::chrono::duration_cast<milliseconds>(clock_.wall_now().time_since_epoch()).count();
        operations_.push_back(
            {chance(0.25) ? caller_key{unix_ms, fmt::format("op{}", operations_.size())}.to_string()
                          : operation_key{owner->issuer.issue(), 1}.to_string(),
             {}});
    }
    const auto index = chance(0.7) ? operations_.size() - 1 : pick(operations_.size());
    rpc::forward_request request;
    request.service = service_name("checkdesk");
    request.operation_key = operations_.at(index).key;
    request.request.body = request.operation_key;
    request.request.path = fmt::format("/{}", ++attempts_);
    try {
        auto result = entry->coordinator.execute(request, clock_.now() + budget);
        totals_.completed += std::holds_alternative<completed>(result) ? 1 : 0;
        totals_.not_run += std::holds_alternative<not_run>(result) ? 1 : 0;
        totals_.unknown += std::holds_alternative<unknown>(result) ? 1 : 0;
        operations_.at(index).attempts.push_back({request.request.path, std::move(result)});
    }
    catch (const killed& it) {
        if (it.who != entry) {
            throw;
        }
    }
}

void simulated_network::happen()
{
    ++depth_;
    switch (pick(12)) {
    case 0:
        nodes_.at(pick(node_count))->alive = false;
        break;
    case 1:
    case 2:
        if (const auto node = pick(node_count); !nodes_.at(node)->alive) {
            start(node);
        }
        break;
    case 3:
        clock_.advance(chance(0.3) ? std::chrono::minutes(pick(10)) : std::chrono::minutes(0));
        for (auto* it : nodes_) {
            if (!it->frozen) {
                it->operations.purge();
                it->witnessed.purge();
            }
        }
        break;
    case 4:
    case 5:
        if (!late_.empty()) {
            const auto index = pick(late_.size());
            const auto deliver = std::move(late_.at(index));
            late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(index));
            deliver();
        }
        break;
    case 6:
        table_.land_late_write();
        break;
    default:
        call();
    }
    --depth_;
}

void simulated_network::pause(process& it)
{
    it.frozen = true;
    for (auto n = pick(4); n > 0; --n) {
        happen();
    }
    it.frozen = false;
}

/// Something that blocks in a process: others act, and the process may be paused or killed.
void simulated_network::wait_in(process& it)
{
    if (depth_ < max_depth && chance(0.3)) {
        if (chance(0.3) && !it.frozen) {
            pause(it);
        }
        else {
            happen();
        }
    }
    if (!it.alive) {
        throw killed{&it};
    }
}

template <typename Reply>
rpc::rpc_result<Reply> simulated_network::carry(process& from, vm_address peer,
                                                milliseconds timeout,
                                                const std::function<Reply(process&)>& deliver)
{
    const auto deadline = clock_.now() + timeout;
    const auto lost = [&] {
        if (clock_.now() < deadline) {
            clock_.advance(deadline - clock_.now());
        }
        return rpc::rpc_error{rpc::rpc_failure::no_reply, "lost"};
    };
    wait_in(from);
    const auto safely = [deliver](process& to) -> std::optional<Reply> {
        try {
            return deliver(to);
        }
        catch (const killed& it) {
            if (it.who != &to) {
                throw;
            }
            return std::nullopt;
        }
    };
    if (chance(0.08)) {
        return rpc::rpc_error{rpc::rpc_failure::not_sent, "cut"};
    }
    if (chance(0.08)) {
        late_.emplace_back([this, peer, safely] {
            if (auto* to = at(peer); to->alive && !to->frozen) {
                safely(*to);
            }
        });
        return lost();
    }
    auto* const to = at(peer);
    if (!to->alive && chance(0.5)) {
        return rpc::rpc_error{rpc::rpc_failure::not_sent, "refused"};
    }
    if (!to->alive || to->frozen) {
        return lost();
    }
    const auto reply = safely(*to);
    wait_in(from);
    if (!reply || !to->alive || clock_.now() > deadline || chance(0.08)) {
        return lost();
    }
    return *reply;
}

rpc::rpc_result<rpc::forward_reply>
simulated_network::client::forward(vm_address peer, const rpc::forward_request& request,
                                   duration timeout)
{
    auto& net = net_;
    return net.carry<rpc::forward_reply>(from_, peer, timeout, [&net, request](process& to) {
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
    return net_.carry<rpc::intent_reply>(from_, peer, timeout, [request](process& to) {
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

outcome simulated_network::dispatch(process& at, const rpc::forward_request& request,
                                    const dispatch_guard& guard)
{
    // A queue entry that outlives the call; the guard must deny it once an outcome is recorded.
    if (chance(0.15)) {
        late_.emplace_back([this, request, guard, &at] {
            if (at.alive && !at.frozen && guard.allows()) {
                execute_at_backend(request);
            }
        });
        if (chance(0.5)) {
            return refuse("left the queue");
        }
        wait_in(at);
        return not_known("home daemon did not answer");
    }
    wait_in(at);
    if (!guard.allows()) {
        return refuse("denied");
    }
    if (chance(0.1)) {
        return refuse("shed");
    }
    auto result = execute_at_backend(request);
    wait_in(at);
    return chance(0.1) ? not_known("response lost") : result;
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
    if (net_.chance(0.1)) {
        return platform::write_refused{"down"};
    }
    if (net_.chance(0.4)) {
        late_.emplace_back(key, value);
        return platform::write_unknown{"lost"};
    }
    auto result = write(key, value);
    if (net_.chance(0.3)) {
        return platform::write_unknown{"reply lost"};
    }
    return result;
}

void simulated_network::table::land_late_write()
{
    if (!late_.empty()) {
        const auto [key, value] = late_.back();
        late_.pop_back();
        write(key, value);
    }
}

std::string simulated_network::run()
{
    constexpr int steps = 60;
    for (int it = 0; it < steps; ++it) {
        happen();
    }
    return check();
}

std::string simulated_network::check() const
{
    for (const auto& it : operations_) {
        const auto found = executions_.find(it.key);
        const int n = found == executions_.end() ? 0 : found->second;
        if (n > 1) {
            return fmt::format("{} ran {} times", it.key, n);
        }
        for (const auto& [id, result] : it.attempts) {
            const auto reason = std::string(reason_of(result));
            // Without the table service nothing is known about other attempts with the same key.
            const bool is_about_key = reason != reasons::claims_unavailable;
            if (std::holds_alternative<not_run>(result) &&
                (is_about_key ? n > 0 : executed_attempts_.contains(id))) {
                return fmt::format("{} ran, but was told not run: {}", it.key, reason);
            }
            const auto* done = std::get_if<completed>(&result);
            if (done != nullptr && (n == 0 || done->response.body != responses_.at(it.key))) {
                return fmt::format("{} got another response", it.key);
            }
        }
    }
    return {};
}

} // namespace toucan::operations
