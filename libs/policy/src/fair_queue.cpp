#include "toucan/policy/fair_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <queue>

namespace toucan::policy {

using std::chrono::nanoseconds;

fair_queue::band_key fair_queue::key_of(const queued_request& it) const
{
    const int late = it.late ? 1 : 0;
    if (order_ == late_order::after_all) {
        return {late, it.workspace_priority, it.route_priority};
    }
    return {it.workspace_priority, it.route_priority, late};
}

void fair_queue::add(const queued_request& it)
{
    if (!requests_.emplace(it.number, it).second) {
        return;
    }
    auto& group = bands_[key_of(it)];
    auto& own = group.flows[it.flow];
    if (own.costs.empty()) {
        // A flow gains nothing from the time in which it had no requests.
        own.start = std::max(own.start, group.virtual_time);
    }
    own.costs.emplace(position{it.due, it.number}, it.cost);
    own.work += it.cost;
    ++group.queued.requests;
    group.queued.work += it.cost;
}

bool fair_queue::erase(std::uint64_t number, bool charge)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return false;
    }
    const auto it = found->second;
    requests_.erase(found);
    const auto in_bands = bands_.find(key_of(it));
    auto& group = in_bands->second;
    auto& own = group.flows[it.flow];
    own.costs.erase(position{it.due, it.number});
    own.work -= it.cost;
    --group.queued.requests;
    group.queued.work -= it.cost;
    if (charge) {
        own.start += it.cost;
    }
    if (group.queued.requests == 0) {
        bands_.erase(in_bands);
    }
    else {
        advance(group);
    }
    return true;
}

void fair_queue::advance(band& it)
{
    // Requests are also dispatched out of order, because a server that is free need not suit the
    // first request. The virtual time therefore follows the flow that is furthest behind and not
    // the flow that was served last.
    auto lowest = nanoseconds::max();
    for (const auto& [id, waiting] : it.flows) {
        if (!waiting.costs.empty()) {
            lowest = std::min(lowest, waiting.start);
        }
    }
    it.virtual_time = std::max(it.virtual_time, lowest);
    std::erase_if(it.flows, [&](const auto& entry) {
        return entry.second.costs.empty() && entry.second.start <= it.virtual_time;
    });
}

void fair_queue::append_first(const band& it, std::size_t count, std::vector<std::uint64_t>& to)
{
    struct head {
        nanoseconds start;
        std::map<position, nanoseconds>::const_iterator next;
        std::map<position, nanoseconds>::const_iterator end;
    };
    const auto follows = [](const head& lhs, const head& rhs) {
        return lhs.start != rhs.start ? lhs.start > rhs.start : lhs.next->first > rhs.next->first;
    };
    std::priority_queue<head, std::vector<head>, decltype(follows)> heads(follows);
    for (const auto& [id, waiting] : it.flows) {
        if (!waiting.costs.empty()) {
            heads.push({waiting.start, waiting.costs.begin(), waiting.costs.end()});
        }
    }
    while (!heads.empty() && to.size() < count) {
        auto head = heads.top();
        heads.pop();
        to.push_back(head.next->first.number);
        head.start += head.next->second;
        if (++head.next != head.end) {
            heads.push(head);
        }
    }
}

std::vector<std::uint64_t> fair_queue::first(std::size_t count) const
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(std::min(count, size()));
    for (const auto& [key, group] : bands_) {
        if (numbers.size() >= count) {
            break;
        }
        append_first(group, count, numbers);
    }
    return numbers;
}

queue_backlog fair_queue::ahead_in_flow(const flow& it, const position& before)
{
    // Counted from the nearer end: new requests usually are among the last, and those that are
    // reevaluated among the first.
    queue_backlog from_front;
    queue_backlog from_back{it.costs.size(), it.work};
    auto front = it.costs.begin();
    auto back = it.costs.end();
    while (front != back) {
        if (front->first >= before) {
            return from_front;
        }
        ++from_front.requests;
        from_front.work += front->second;
        ++front;
        if (front == back) {
            break;
        }
        const auto last = std::prev(back);
        if (last->first < before) {
            return from_back;
        }
        --from_back.requests;
        from_back.work -= last->second;
        back = last;
    }
    return from_front;
}

queue_backlog fair_queue::ahead_in_other_flow(const flow& it, nanoseconds start)
{
    if (it.costs.empty() || start <= it.start) {
        return {};
    }
    if (it.work <= start - it.start) {
        return {it.costs.size(), it.work};
    }
    const auto mean = it.work / static_cast<std::int64_t>(it.costs.size());
    if (mean <= nanoseconds(0)) {
        return {it.costs.size(), it.work};
    }
    const auto ahead = start - it.start;
    const auto requests = (ahead + mean - nanoseconds(1)) / mean;
    return {static_cast<std::size_t>(requests), ahead};
}

queue_backlog fair_queue::ahead_of(const queued_request& it) const
{
    queue_backlog ahead;
    const auto add = [&ahead](const queue_backlog& more) {
        ahead.requests += more.requests;
        ahead.work += more.work;
    };
    const auto key = key_of(it);
    for (const auto& [other, group] : bands_) {
        if (other > key) {
            break;
        }
        if (other < key) {
            add(group.queued);
            continue;
        }
        auto start = group.virtual_time;
        if (const auto own = group.flows.find(it.flow); own != group.flows.end()) {
            const auto before = ahead_in_flow(own->second, {it.due, it.number});
            add(before);
            start = std::max(start, own->second.start) + before.work;
        }
        for (const auto& [id, waiting] : group.flows) {
            if (id != it.flow) {
                add(ahead_in_other_flow(waiting, start));
            }
        }
    }
    return ahead;
}

std::size_t fair_queue::flows() const
{
    std::size_t n = 0;
    for (const auto& [key, group] : bands_) {
        n += group.flows.size();
    }
    return n;
}

} // namespace toucan::policy
