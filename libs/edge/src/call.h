#pragma once

#include "fleet.h"
#include "http_server.h"

#include "toucan/base/clock.h"
#include "toucan/base/metrics.h"
#include "toucan/edge/routing_config.h"
#include "toucan/policy/latency_model.h"
#include "toucan/policy/weighted_rotation.h"

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace toucan::edge {

class dispatcher;

/// Place of a waiting call in its service's queue; the least goes first.
struct queue_key {
    /// It can no longer be answered within its objective, so it comes after all that can.
    bool late = false;
    int priority = 0;
    /// When its response is due.
    steady_time due;
    std::uint64_t number = 0;

    friend auto operator<=>(const queue_key&, const queue_key&) = default;
};

/// What was measured on one route.
struct route_state {
    route_state(const route& it, metrics& all);

    policy::latency_model latency;
    policy::weighted_rotation rotation;
    /// From the arrival of a request to its response, for responses with success.
    std::shared_ptr<histogram_metric> request_ms;
    /// From the dispatch to a backend server to its response.
    std::shared_ptr<histogram_metric> attempt_ms;
};

/// One request of a caller, from its arrival to its response: it waits for a backend server, is
/// sent, and is sent again to another one where that is safe. Exactly one response is given.
class call : public std::enable_shared_from_this<call> {
public:
    call(dispatcher& owner, parsed_request request, std::shared_ptr<const routing_config> config,
         const route& route, http_server::respond respond);

    void start();
    /// The caller has left. Idempotent work is abandoned; other work runs to its end, because it
    /// cannot be repeated.
    void cancel();
    /// Sends the request to a backend server that has room.
    void dispatch(const fleet::server& to);
    /// Ends a waiting call: it has not run.
    void refuse(const std::string& reason);

    [[nodiscard]] const route& target() const { return route_; }
    [[nodiscard]] const service_name& service() const { return service_; }
    [[nodiscard]] std::uint64_t object() const { return object_; }
    [[nodiscard]] const queue_key& key() const { return key_; }
    [[nodiscard]] bool tried(std::uint32_t id) const;
    [[nodiscard]] steady_time arrived() const { return arrived_; }
    /// Last moment of dispatch for a response within the objective.
    [[nodiscard]] steady_time latest_useful_start() const;
    void set_late(bool late);
    [[nodiscard]] steady_time deadline() const { return deadline_; }
    [[nodiscard]] const std::string& id() const { return id_; }
    /// Whether a backend server of another region may run it.
    [[nodiscard]] bool allowed_in(const region_name& region) const;
    [[nodiscard]] bool idempotent() const { return route_.kind == route_kind::idempotent; }

private:
    struct attempt {
        fleet::server server;
        std::shared_ptr<http_connection> connection;
        steady_time started;
        std::uint64_t number = 0;
        /// Part of its time for which it is expected to hold a slot.
        double load = 1;
    };

    [[nodiscard]] http_request message_for(const backend_server& to) const;
    /// Time that a backend server takes, on average and at most times.
    [[nodiscard]] std::chrono::nanoseconds expected_work() const
    {
        return measured_->latency.mean();
    }
    [[nodiscard]] std::chrono::nanoseconds longest_work() const
    {
        return measured_->latency.high();
    }
    [[nodiscard]] milliseconds time_left() const;
    [[nodiscard]] std::int64_t waited_ms() const;
    [[nodiscard]] bool answers_this(const http_response& it) const;
    void attempt_ended(std::uint64_t number, exchange_result result);
    void response_arrived(const attempt& it, parsed_response response);
    void not_run(const attempt& it, const std::string& reason);
    void broken(const attempt& it, const std::string& reason);
    void failed(const attempt& it, http_response response);
    /// Sends it once more if attempts, time and the retry allowance are left.
    bool try_again(const std::string& reason);
    void give(http_response response);
    void give_unknown(int status, const std::string& reason);
    void finish();
    void abort_attempts();
    void arm_timer();
    void time_passed();
    void release(const attempt& it);
    [[nodiscard]] double load_at(const backend_server& to) const;

    dispatcher& owner_;
    http_request request_;
    std::shared_ptr<const routing_config> config_;
    const route& route_;
    std::shared_ptr<route_state> measured_;
    http_server::respond respond_;
    std::string id_;
    service_name service_;
    std::uint64_t object_ = 0;
    queue_key key_;
    steady_time arrived_;
    steady_time deadline_;
    steady_time hedge_at_;
    std::vector<std::uint32_t> tried_;
    std::vector<attempt> attempts_;
    std::uint64_t next_attempt_ = 1;
    asio::steady_timer timer_;
    /// Where and when the request was sent, and the load known there; for the log.
    std::string trail_;
    bool waiting_ = false;
    bool may_have_run_ = false;
    bool hedged_ = false;
    bool done_ = false;

    friend class dispatcher;
};

} // namespace toucan::edge
