#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/config.h"
#include "toucan/base/vm_id.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// What the home daemon knows about one backend server when it is asked for credit.
struct home_load {
    /// `slot_queue::admitted_slots`.
    std::uint32_t admitted = 0;
    /// `slot_queue::local_in_use`.
    std::uint32_t local_in_use = 0;
    /// `slot_queue::waiting`.
    std::uint32_t waiting = 0;

    friend bool operator==(const home_load&, const home_load&) = default;
};

/// Credit given to one requester.
struct credit_grant {
    std::uint64_t id = 0;
    std::uint32_t slots = 0;
    milliseconds lifetime{0};

    friend bool operator==(const credit_grant&, const credit_grant&) = default;
};

enum class credit_check : std::uint8_t { accepted, unknown, expired, all_in_use };

struct credit_ledger_settings {
    milliseconds lifetime = config::credit_lifetime;
    /// Share of the admitted slots that is kept for local demand.
    double local_reserve = 0.1;
};

/// The owner's book of credit for one backend server. Slots under credit, slots of expired credit
/// that are still in use and local slots in use together never exceed the admitted slots at the
/// time of a grant. Not thread-safe.
class credit_ledger {
public:
    /// @param settings fixed.
    /// @param first_id ids count up from here; differs for each ledger and incarnation, so that the
    /// credit of a predecessor is unknown to its successor. Not 0.
    /// @param start when this home began.
    /// @param successor true if another home may have granted credit before; then nothing is
    /// granted for one lifetime.
    credit_ledger(credit_ledger_settings settings, std::uint64_t first_id, steady_time start,
                  bool successor);

    /// Grants credit. A requester that has live credit has it renewed under the same id, with as
    /// many slots as can be spared now, which may be fewer: local demand goes first.
    /// @return nothing if no slot can be spared.
    std::optional<credit_grant> grant(const vm_id& requester, std::uint32_t wanted,
                                      const home_load& load, steady_time now);
    /// Checks the credit of a request that arrives, and counts the request if accepted.
    credit_check accept(std::uint64_t id, steady_time now);
    /// Ends a request that was accepted; also after the credit expired.
    void release(std::uint64_t id);
    /// Forgets expired credit without requests in progress.
    void expire(steady_time now);

    /// Slots that could be granted to anyone now.
    [[nodiscard]] std::uint32_t spare(const home_load& load, steady_time now) const;
    /// Sum of unexpired grants, and of the use above them.
    [[nodiscard]] std::uint32_t committed(steady_time now) const;
    /// Slots granted, unexpired and not in use; to be passed to `slot_queue::reserve`.
    [[nodiscard]] std::uint32_t unused(steady_time now) const;
    [[nodiscard]] std::uint32_t in_use() const;

private:
    struct entry {
        std::uint64_t id = 0;
        vm_id requester;
        std::uint32_t slots = 0;
        std::uint32_t in_use = 0;
        steady_time expires;
    };

    [[nodiscard]] entry* find(std::uint64_t id);
    /// Slots that an entry keeps from others.
    [[nodiscard]] static std::uint32_t held(const entry& it, steady_time now);

    credit_ledger_settings settings_;
    std::uint64_t next_id_;
    steady_time quiet_until_;
    std::vector<entry> entries_;
};

} // namespace toucan::policy
