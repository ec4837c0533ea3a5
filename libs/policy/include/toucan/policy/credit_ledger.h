#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/config.h"
#include "toucan/base/vm_id.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// Load of one backend server at its home daemon when credit is requested.
struct home_load {
    /// `slot_queue::admitted_slots`.
    std::uint32_t admitted = 0;
    /// `slot_queue::local_in_use`.
    std::uint32_t local_in_use = 0;
    /// `slot_queue::waiting`.
    std::uint32_t waiting = 0;

    friend bool operator==(const home_load&, const home_load&) = default;
};

/// Credit granted to one requester: slots of a backend server that a daemon in another failure
/// domain may use until the lifetime ends.
struct credit_grant {
    std::uint64_t id = 0;
    std::uint32_t slots = 0;
    milliseconds lifetime{0};

    friend bool operator==(const credit_grant&, const credit_grant&) = default;
};

/// Result of checking the credit of an arriving request.
enum class credit_check : std::uint8_t { accepted, unknown, expired, all_in_use };

/// Limits on the credit that a ledger grants.
struct credit_ledger_settings {
    milliseconds lifetime = config::credit_lifetime;
    /// Share of the admitted slots reserved for local demand.
    double local_reserve = 0.1;
};

/// Credit granted by the home of one backend server, which is the daemon that admits requests to
/// it. At the time of a grant, the sum of slots under credit, slots in use under expired credit and
/// local slots in use does not exceed the admitted slots. Not thread-safe.
class credit_ledger {
public:
    /// @param settings fixed for the lifetime of the ledger.
    /// @param first_id first credit id; later ids count up from it. It must differ between ledgers
    /// and between incarnations, so that a successor does not recognize its predecessor's credit.
    /// Not 0.
    /// @param start time at which this daemon became the home.
    /// @param may_have_predecessor true if another home may have granted credit before; no credit
    /// is then granted for one lifetime.
    credit_ledger(credit_ledger_settings settings, std::uint64_t first_id, steady_time start,
                  bool may_have_predecessor);

    /// Grants credit. Unexpired credit of the same requester is renewed under its id with the slots
    /// that its requests use and slots that are spare now. These may be fewer than before, because
    /// local demand has priority.
    /// @return nothing if there is no such slot.
    std::optional<credit_grant> grant(const vm_id& requester, std::uint32_t wanted,
                                      const home_load& load, steady_time now);
    /// Checks the credit of an arriving request and, if it is accepted, counts the request as in
    /// use.
    credit_check accept(std::uint64_t id, steady_time now);
    /// Ends an accepted request, also after its credit expired.
    void release(std::uint64_t id);
    /// Removes expired credit that has no requests in progress.
    void expire(steady_time now);

    /// Slots available for new grants.
    [[nodiscard]] std::uint32_t spare(const home_load& load, steady_time now) const;
    /// Slots under unexpired credit, plus slots still in use by requests whose credit has expired.
    [[nodiscard]] std::uint32_t committed(steady_time now) const;
    /// Slots under unexpired credit that are not in use; to be passed to `slot_queue::reserve`.
    [[nodiscard]] std::uint32_t unused(steady_time now) const;
    /// Accepted requests in progress.
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
    /// Slots that an entry withholds from other requesters and from local requests.
    [[nodiscard]] static std::uint32_t committed_slots(const entry& it, steady_time now);

    credit_ledger_settings settings_;
    std::uint64_t next_id_;
    steady_time no_grants_before_;
    std::vector<entry> entries_;
};

} // namespace toucan::policy
