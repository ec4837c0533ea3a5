#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/name.h"
#include "toucan/policy/held_credit.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// Credit as granted by the home of a backend server.
struct received_credit {
    std::uint64_t id = 0;
    service_name service;
    failure_domain_name failure_domain;
    backend_server_name backend;
    std::uint32_t slots = 0;
    milliseconds lifetime{0};
    /// One-way delay to the home.
    milliseconds delay{0};
};

/// Credit that this daemon holds for backend servers in other failure domains. Credit is used only
/// while a request that uses it still arrives at the home before the credit expires there. Not
/// thread-safe.
class credit_wallet {
public:
    /// @param margin time before expiry, in addition to the one-way delay, at which use of a credit
    /// ends.
    explicit credit_wallet(milliseconds margin = milliseconds(100)) : margin_(margin) {}

    /// Adds granted credit. Credit with a known id and backend server replaces the earlier grant.
    /// @param requested_at when the credit was requested. The home grants it later than that, so a
    /// lifetime counted from here ends before the credit expires at the home.
    void add(const received_credit& it, steady_time requested_at);
    /// The usable credit with the most free slots. Does not take a slot.
    [[nodiscard]] std::optional<held_credit> best(const service_name& service,
                                                  const failure_domain_name& failure_domain,
                                                  steady_time now) const;
    /// Takes one slot of a credit returned by `best`.
    /// @return false if the credit has expired or has no free slot.
    bool take(const held_credit& it, steady_time now);
    /// Combines `best` and `take`.
    /// @return nothing if no credit is usable.
    std::optional<held_credit> take(const service_name& service,
                                    const failure_domain_name& failure_domain, steady_time now);
    /// Frees the slot of a request that ended or was refused.
    void release(const held_credit& it);
    /// Discards credit that the home refused as unknown or expired.
    void drop(const held_credit& it);
    /// Removes expired credit that has no requests in progress, and credit requests that timed out.
    void expire(steady_time now);

    /// Free slots of all usable credit.
    [[nodiscard]] std::uint32_t available(const service_name& service,
                                          const failure_domain_name& failure_domain,
                                          steady_time now) const;
    /// Number of slots to request now, if any. Credit is requested when the slots that have more
    /// than half of their lifetime left do not cover the demand, no earlier request for the same
    /// service and failure domain is pending, and the retry delay of the last reply has passed.
    /// @param demand slots that this daemon expects to need; with 0, credit is left to expire.
    [[nodiscard]] std::optional<std::uint32_t>
    slots_to_request(const service_name& service, const failure_domain_name& failure_domain,
                     std::uint32_t demand, steady_time now) const;
    /// Records that credit was requested. The request is pending until its reply is recorded or the
    /// timeout ends.
    void mark_requested(const service_name& service, const failure_domain_name& failure_domain,
                        steady_time now, milliseconds timeout = milliseconds(1000));
    /// Records the reply to a credit request.
    /// @param retry_not_before earliest time of the next request.
    void mark_replied(const service_name& service, const failure_domain_name& failure_domain,
                      steady_time retry_not_before);

private:
    struct entry {
        received_credit credit;
        steady_time requested_at;
        steady_time usable_until;
        std::uint32_t in_flight = 0;
    };
    struct pending_request {
        service_name service;
        failure_domain_name failure_domain;
        /// End of the timeout or, after a reply, earliest time of the next request.
        steady_time until;
    };

    [[nodiscard]] static bool usable(const entry& it, steady_time now);
    [[nodiscard]] entry* find(std::uint64_t id, const backend_server_name& backend);
    [[nodiscard]] pending_request& find_or_add_pending(const service_name& service,
                                                       const failure_domain_name& failure_domain);

    milliseconds margin_;
    std::vector<entry> entries_;
    std::vector<pending_request> pending_;
};

} // namespace toucan::policy
