#include "connection_registry.h"

#include "event_log.h"

#include <utility>

namespace toucan::edge {

void connection_registry::set_memory(std::shared_ptr<byte_budget> memory)
{
    memory_ = std::move(memory);
    if (memory_) {
        memory_->set_reclaim([weak = weak_from_this()](std::chrono::milliseconds min_stalled) {
            const auto self = weak.lock();
            return self && self->evict_one(min_stalled, shortage::memory);
        });
    }
}

std::shared_ptr<connection_charge> connection_registry::add(std::function<void()> close)
{
    const auto id = next_id_++;
    close_[id] = std::move(close);
    order_.add(id, time_.now());
    return std::make_shared<connection_charge>(shared_from_this(), id);
}

bool connection_registry::evict_one(std::chrono::milliseconds min_stalled, shortage reason)
{
    const auto id = order_.take_next(time_.now(), min_stalled);
    if (!id) {
        return false;
    }
    const bool for_memory = reason == shortage::memory;
    ++(for_memory ? counters_.evicted_for_memory : counters_.evicted_for_connections);
    log_request_event("connection_evicted", "port={} reason={} connections={} memory_used={}",
                      port_, for_memory ? "memory" : "connections", size(),
                      memory_ ? memory_->used() : 0);
    const auto found = close_.find(*id);
    if (found != close_.end()) {
        // Erased first, because closing releases the entry.
        const auto close = std::move(found->second);
        close_.erase(found);
        close();
    }
    return true;
}

void connection_registry::count_refused_connection()
{
    ++counters_.refused;
    log_request_event("connection_refused", "port={} connections={}", port_, size());
}

connection_charge::connection_charge(std::shared_ptr<connection_registry> owner, std::uint64_t id)
    : owner_(std::move(owner)), id_(id), memory_(owner_->memory())
{
    set(part::input, 0);
}

std::size_t connection_charge::total_with(part of, std::size_t bytes) const
{
    auto total = connection_bytes + bytes;
    for (std::size_t n = 0; n < parts_.size(); ++n) {
        total += n == static_cast<std::size_t>(of) ? 0 : parts_.at(n);
    }
    return total;
}

bool connection_charge::resize(part of, std::size_t bytes)
{
    if (released_) {
        return false;
    }
    const auto total = total_with(of, bytes);
    if (!memory_.resize(total)) {
        return false;
    }
    if (released_) {
        // The connection itself was closed to make room.
        memory_.release();
        return false;
    }
    parts_.at(static_cast<std::size_t>(of)) = bytes;
    owner_->order_.set_held(id_, total);
    return true;
}

void connection_charge::set(part of, std::size_t bytes)
{
    if (released_) {
        return;
    }
    const auto total = total_with(of, bytes);
    parts_.at(static_cast<std::size_t>(of)) = bytes;
    owner_->order_.set_held(id_, total);
    memory_.set(total);
}

void connection_charge::record_bytes(std::size_t bytes)
{
    owner_->order_.record_bytes(id_, bytes, owner_->time_.now());
}

void connection_charge::set_waits_for_peer(bool waits)
{
    if (!released_) {
        owner_->order_.set_waits_for_peer(id_, waits, owner_->time_.now());
    }
}

void connection_charge::release()
{
    if (std::exchange(released_, true)) {
        return;
    }
    memory_.release();
    owner_->order_.remove(id_);
    owner_->close_.erase(id_);
}

} // namespace toucan::edge
