#pragma once

#include <cstddef>
#include <memory>

namespace toucan::edge {

/// Limits the memory that messages hold while they are received, over all connections of the
/// process. Otherwise a few peers that send without end could use up the memory of a small VM. Not
/// thread-safe.
class byte_budget {
public:
    /// @param limit bytes that all reservations may hold together.
    explicit byte_budget(std::size_t limit) : limit_(limit) {}

    [[nodiscard]] std::size_t used() const { return used_; }

private:
    friend class byte_reservation;

    std::size_t limit_;
    std::size_t used_ = 0;
};

/// Part of a `byte_budget` held by one message; released on destruction.
class byte_reservation {
public:
    /// Messages up to this size are received even when the budget is used up, so that large
    /// messages cannot stop small ones.
    static constexpr std::size_t always_granted = 32U << 10U;

    /// @param budget nullptr for no limit.
    explicit byte_reservation(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation() { release(); }

    /// Changes the reservation to a new size.
    /// @return false, without a change, if the budget does not allow the size.
    bool resize(std::size_t bytes)
    {
        if (!budget_) {
            return true;
        }
        const auto others = budget_->used_ - held_;
        if (bytes > held_ && bytes > always_granted && others + bytes > budget_->limit_) {
            return false;
        }
        budget_->used_ = others + bytes;
        held_ = bytes;
        return true;
    }
    void release() { resize(0); }

private:
    std::shared_ptr<byte_budget> budget_;
    std::size_t held_ = 0;
};

} // namespace toucan::edge
