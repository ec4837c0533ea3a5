#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/name.h"
#include "toucan/policy/held_credit.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// Credit as received from its owner.
struct received_credit {
    std::uint64_t id = 0;
    service_name service;
    failure_domain_name failure_domain;
    backend_server_name backend;
    std::uint32_t slots = 0;
    milliseconds lifetime{0};
    /// One-way delay to the owner.
    milliseconds delay{0};
};

/// What a holder has been granted by other failure domains. Credit is used only while the request
/// still arrives before the owner's expiry. Not thread-safe.
class credit_wallet {
public:
    /// @param margin time before expiry at which a credit is no longer used, beyond the delay.
    explicit credit_wallet(milliseconds margin = milliseconds(100)) : margin_(margin) {}

    /// Keeps granted credit; the same id and backend server renew it.
    /// @param asked_at when the request for credit was sent. The owner granted later than that, so
    /// counting from it never outlasts the owner's expiry.
    void add(const received_credit& it, steady_time asked_at);
    /// The credit with most free slots, as input for a decision. Takes nothing.
    [[nodiscard]] std::optional<held_credit> best(const service_name& service,
                                                  const failure_domain_name& failure_domain,
                                                  steady_time now) const;
    /// Takes one slot of a credit that `best` named.
    /// @return false if it has expired or is in use by now.
    bool take(const held_credit& it, steady_time now);
    /// Takes one slot for a request: `best` and `take` in one.
    std::optional<held_credit> take(const service_name& service,
                                    const failure_domain_name& failure_domain, steady_time now);
    /// A request with this credit ended or was refused.
    void release(const held_credit& it);
    /// The owner refused this credit as unknown or expired.
    void drop(const held_credit& it);
    /// Forgets expired credit without requests in progress.
    void expire(steady_time now);

    /// Slots that `take` can hand out.
    [[nodiscard]] std::uint32_t available(const service_name& service,
                                          const failure_domain_name& failure_domain,
                                          steady_time now) const;
    /// How much to ask for, if it is time to ask: the credit runs out in use, or soon in time.
    /// Nothing while an earlier request for the same is pending.
    /// @param demand slots that the caller expects to need; 0 lets credit lapse.
    [[nodiscard]] std::optional<std::uint32_t> wanted(const service_name& service,
                                                      const failure_domain_name& failure_domain,
                                                      std::uint32_t demand, steady_time now) const;
    /// Notes that credit was asked for. It counts as pending until `answered` or the timeout.
    void asked(const service_name& service, const failure_domain_name& failure_domain,
               steady_time now, milliseconds timeout = milliseconds(1000));
    /// Notes the answer.
    /// @param retry_not_before when to ask again after a refusal.
    void answered(const service_name& service, const failure_domain_name& failure_domain,
                  steady_time retry_not_before);

private:
    struct entry {
        received_credit credit;
        steady_time received_from;
        steady_time usable_until;
        std::uint32_t in_flight = 0;
    };
    struct pending {
        service_name service;
        failure_domain_name failure_domain;
        steady_time until;
    };

    [[nodiscard]] static bool usable(const entry& it, steady_time now);
    [[nodiscard]] entry* find(std::uint64_t id, const backend_server_name& backend);
    [[nodiscard]] pending& pending_for(const service_name& service,
                                       const failure_domain_name& failure_domain);

    milliseconds margin_;
    std::vector<entry> entries_;
    std::vector<pending> pending_;
};

} // namespace toucan::policy
