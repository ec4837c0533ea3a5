#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace toucan::edge {

/// Limits the memory that messages and connections hold, over all connections of the process.
/// Otherwise a few peers that send without end could use up the memory of a small VM. Not
/// thread-safe.
class byte_budget {
public:
    /// Closes one connection that has made no progress for a time, to release its bytes.
    /// @return false if there is none.
    using reclaim = std::function<bool(std::chrono::milliseconds min_stalled)>;

    /// @param limit bytes that all reservations may hold together.
    /// @param single_limit bytes that one reservation may hold beside others that hold little; 0 if
    /// `limit` applies to all. A request of the largest size may take most of a small VM alone.
    explicit byte_budget(std::size_t limit, std::size_t single_limit = 0)
        : limit_(limit), single_limit_(single_limit)
    {
    }

    [[nodiscard]] std::size_t used() const { return used_ + single_; }
    [[nodiscard]] std::size_t limit() const { return limit_; }
    void set_reclaim(reclaim it) { reclaim_ = std::move(it); }

private:
    friend class byte_reservation;

    /// A connection that made progress within this time keeps its memory when another one asks for
    /// more.
    static constexpr std::chrono::milliseconds stalled_time{1000};
    /// Parts of the limit: for small messages beyond the limit, and for the reservations beside a
    /// single large one.
    static constexpr std::size_t reserve_part = 4;

    [[nodiscard]] std::size_t shared_limit() const
    {
        return single_ > 0 ? limit_ / reserve_part : limit_;
    }
    [[nodiscard]] std::size_t hard_limit() const { return shared_limit() + limit_ / reserve_part; }
    [[nodiscard]] bool reclaim_one(std::chrono::milliseconds min_stalled) const
    {
        return reclaim_ && reclaim_(min_stalled);
    }

    std::size_t limit_;
    std::size_t single_limit_;
    /// Bytes of all reservations but the single large one.
    std::size_t used_ = 0;
    std::size_t single_ = 0;
    reclaim reclaim_;
};

/// Part of a `byte_budget` held by one message or connection; released on destruction.
class byte_reservation {
public:
    /// Reservations up to this size may exceed the limit by a quarter, so that large messages
    /// cannot stop small ones.
    static constexpr std::size_t always_granted = 32U << 10U;

    /// @param budget nullptr for no limit.
    explicit byte_reservation(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation() { release(); }

    /// Changes the reservation to a new size. If the budget does not allow it, connections without
    /// progress are closed first; the caller's own may be one of them.
    /// @return false, without a change, if the budget does not allow the size.
    bool resize(std::size_t bytes)
    {
        if (budget_ && bytes > held_) {
            while (!fits(bytes)) {
                if (!budget_->reclaim_one(byte_budget::stalled_time)) {
                    return false;
                }
            }
        }
        assign(bytes);
        return true;
    }
    /// Changes the reservation to the size of memory that is already in use. At the bound,
    /// connections that wait for their peers are closed.
    void set(std::size_t bytes)
    {
        const bool grows = bytes > held_;
        assign(bytes);
        while (grows && budget_ && budget_->used_ > budget_->hard_limit() &&
               budget_->reclaim_one(std::chrono::milliseconds(0))) {
        }
    }
    void release() { assign(0); }
    [[nodiscard]] std::size_t held() const { return held_; }

private:
    [[nodiscard]] bool fits(std::size_t bytes)
    {
        const auto others = budget_->used_ - (single_ ? 0 : held_);
        if (single_) {
            return bytes <= budget_->single_limit_;
        }
        if (others + bytes <= budget_->shared_limit() ||
            (bytes <= always_granted && others + bytes <= budget_->hard_limit())) {
            return true;
        }
        if (budget_->single_ == 0 && bytes <= budget_->single_limit_ &&
            others <= budget_->limit_ / byte_budget::reserve_part) {
            budget_->used_ = others;
            budget_->single_ = std::max<std::size_t>(held_, 1);
            held_ = budget_->single_;
            single_ = true;
            return true;
        }
        return false;
    }
    void assign(std::size_t bytes)
    {
        if (!budget_) {
            held_ = bytes;
            return;
        }
        auto& total = single_ ? budget_->single_ : budget_->used_;
        total = total - held_ + bytes;
        held_ = bytes;
        single_ = single_ && bytes > 0;
    }

    std::shared_ptr<byte_budget> budget_;
    std::size_t held_ = 0;
    /// The reservation is the single large one of the budget.
    bool single_ = false;
};

} // namespace toucan::edge
