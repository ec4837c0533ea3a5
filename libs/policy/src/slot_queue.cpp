#include "toucan/policy/slot_queue.h"

#include "toucan/policy/retry_after.h"
#include "toucan/policy/tunables.h"

#include <algorithm>
#include <cmath>

namespace toucan::policy {

slot_queue_settings settings_for(const steering::service& it, std::uint32_t slots)
{
    slot_queue_settings settings;
    settings.slots = slots;
    settings.headroom = it.headroom;
    const bool latency = it.goal == steering::objective::latency;
    settings.queue_per_slot = latency ? 2 : 8;
    settings.wait_share = latency ? 0.5 : 1;
    return settings;
}

slot_queue::slot_queue(slot_queue_settings settings, steady_time now, bool cold)
    : settings_(settings), ramp_start_(now), ramping_(cold), service_time_(settings.service_time)
{
}

admission_result slot_queue::admit(const admission_request& it, steady_time now)
{
    admission_result result;
    // The ledger no longer counts the slot of an accepted request with credit as unused. It stays
    // reserved here until the request is admitted.
    const std::uint32_t credit_slot = it.credit_id != 0 ? 1 : 0;
    reserved_ += credit_slot;
    result.others = expire(now);
    reserved_ -= credit_slot;
    if (now + service_time_ > it.deadline) {
        result.decision = refusal(refusal_reason::deadline, it, now);
        return result;
    }
    if (fits(it, now)) {
        start(it);
        result.decision = admitted{};
        return result;
    }
    const std::chrono::duration<double> wait = expected_wait(it, now);
    const std::chrono::duration<double> time_left = it.deadline - now - service_time_;
    if (wait > time_left * settings_.wait_share) {
        result.decision = refusal(refusal_reason::deadline, it, now);
        return result;
    }
    if (queue_.size() >= queue_limit(now)) {
        const auto last =
            std::max_element(queue_.begin(), queue_.end(), [&](const auto& lhs, const auto& rhs) {
                return admitted_before(lhs, rhs, now);
            });
        const bool displaces_last = last != queue_.end() && last->credit_id == 0 &&
                                    effective_class(*last, now) > effective_class(it, now);
        if (!displaces_last) {
            result.decision = refusal(refusal_reason::queue_full, it, now);
            return result;
        }
        result.others.refused.push_back({last->id, refusal(refusal_reason::displaced, *last, now)});
        queue_.erase(last);
    }
    queue_.push_back(it);
    result.decision = queued{};
    return result;
}

slot_changes slot_queue::release(std::uint64_t id, std::chrono::nanoseconds service_time,
                                 steady_time now)
{
    if (const auto it = running_.find(id); it != running_.end()) {
        credit_in_use_ -= it->second ? 1U : 0U;
        running_.erase(it);
        if (service_time.count() > 0) {
            const std::chrono::duration<double, std::nano> mean =
                service_time_ * (1 - service_time_weight) + service_time * service_time_weight;
            service_time_ = std::chrono::duration_cast<std::chrono::nanoseconds>(mean);
        }
    }
    return expire(now);
}

bool slot_queue::cancel(std::uint64_t id)
{
    return std::erase_if(queue_, [&](const auto& it) { return it.id == id; }) > 0;
}

slot_changes slot_queue::expire(steady_time now)
{
    slot_changes changes;
    std::erase_if(queue_, [&](const auto& it) {
        if (now + service_time_ <= it.deadline) {
            return false;
        }
        changes.refused.push_back({it.id, refusal(refusal_reason::deadline, it, now)});
        return true;
    });
    start_waiting(now, changes);
    return changes;
}

void slot_queue::set_reported_in_use(std::uint32_t reported_in_use, steady_time now,
                                     std::chrono::nanoseconds hold)
{
    const auto running = static_cast<std::uint32_t>(running_.size());
    predecessor_in_use_ = reported_in_use > running ? reported_in_use - running : 0;
    predecessor_until_ = now + hold;
}

void slot_queue::restart(steady_time now)
{
    ramp_start_ = now;
    ramping_ = true;
}

void slot_queue::configure(const slot_queue_settings& settings)
{
    settings_ = settings;
}

std::uint32_t slot_queue::admitted_slots(steady_time now) const
{
    double share = 1;
    if (ramping_ && settings_.warm_up.count() > 0) {
        const std::chrono::duration<double> warm_up = settings_.warm_up;
        const std::chrono::duration<double> elapsed = now - ramp_start_;
        const double progress = std::clamp(elapsed / warm_up, 0.0, 1.0);
        share = cold_start_share + (1 - cold_start_share) * progress;
    }
    // The epsilon keeps products such as 10 * 0.7 from being rounded down to 6.
    const double slots = std::floor(settings_.slots * settings_.headroom * share + 1e-9);
    return std::max(1U, static_cast<std::uint32_t>(slots));
}

std::uint32_t slot_queue::in_use(steady_time now) const
{
    return static_cast<std::uint32_t>(running_.size()) +
           (now < predecessor_until_ ? predecessor_in_use_ : 0);
}

std::uint32_t slot_queue::local_in_use(steady_time now) const
{
    return in_use(now) - credit_in_use_;
}

std::chrono::nanoseconds slot_queue::expected_wait(const admission_request& it,
                                                   steady_time now) const
{
    if (fits(it, now)) {
        return std::chrono::nanoseconds(0);
    }
    const auto ahead = std::count_if(queue_.begin(), queue_.end(), [&](const auto& other) {
        return admitted_before(other, it, now);
    });
    const std::chrono::duration<double, std::nano> wait =
        service_time_ * (static_cast<double>(ahead + 1) / admitted_slots(now));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

bool slot_queue::fits(const admission_request& it, steady_time now) const
{
    // A request with credit takes a reserved slot; any other request must leave them free.
    const std::uint32_t reserved = it.credit_id != 0 ? 0 : reserved_;
    return in_use(now) + reserved < admitted_slots(now);
}

std::size_t slot_queue::queue_limit(steady_time now) const
{
    return static_cast<std::size_t>(std::ceil(settings_.queue_per_slot * admitted_slots(now)));
}

refuse slot_queue::refusal(refusal_reason reason, const admission_request& it,
                           steady_time now) const
{
    const retry_hint hint{reason, it.priority, expected_wait(it, now), {}, it.id};
    return {reason, retry_after(hint)};
}

void slot_queue::start(const admission_request& it)
{
    if (running_.emplace(it.id, it.credit_id != 0).second && it.credit_id != 0) {
        ++credit_in_use_;
    }
}

void slot_queue::start_waiting(steady_time now, slot_changes& changes)
{
    while (!queue_.empty()) {
        const auto next =
            std::min_element(queue_.begin(), queue_.end(), [&](const auto& lhs, const auto& rhs) {
                // Requests with credit were granted slots, so they precede local requests.
                const bool lhs_credit = lhs.credit_id != 0;
                const bool rhs_credit = rhs.credit_id != 0;
                return lhs_credit != rhs_credit ? lhs_credit : admitted_before(lhs, rhs, now);
            });
        if (!fits(*next, now)) {
            return;
        }
        start(*next);
        changes.started.push_back(next->id);
        queue_.erase(next);
    }
}

} // namespace toucan::policy
