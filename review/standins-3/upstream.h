#pragma once

#include "store.h"

#include <set>

namespace review {

/// What an upstream got.
struct arrival {
    milliseconds at{0};
    std::string id;
    std::string upstream;
    std::string method;
    std::string target;
    std::string body;
    /// It began to work on the request; otherwise it turned it away.
    bool ran = false;
    bool cold = false;
};

/// Arrivals at all upstreams; thread-safe.
class arrivals {
public:
    void add(arrival it);
    [[nodiscard]] std::vector<arrival> all();

private:
    std::mutex mutex_;
    std::vector<arrival> all_;
};

struct upstream_settings {
    std::string id;
    std::string service;
    std::string zone;
    std::size_t slots = 9;
    std::size_t queue = 27;
    milliseconds work{50};
    /// 0 for a free port.
    std::uint16_t port = 0;
    /// How long it is cold after its start.
    milliseconds cold{0};
    /// Additional bytes that follow some answers, in turn, and late: when the next request on the
    /// connection has begun to run.
    std::vector<std::string> extras = {};
    /// Every how many answers they follow.
    unsigned extra_every = 0;
    /// It reads the body of a request only this long after its head.
    milliseconds read_pause{0};
};

/// One lifetime of an upstream. It checks in at the store every 1.5 s while it runs.
class upstream {
public:
    upstream(upstream_settings settings, store& platform, arrivals& all);
    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;
    upstream(upstream&&) = delete;
    upstream& operator=(upstream&&) = delete;
    ~upstream() { stop(); }

    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
    [[nodiscard]] const std::string& id() const { return settings_.id; }
    /// Share of the requests that it turns away as if it were full, 0 to 1.
    void set_refused_share(double share) { refused_share_ = share; }
    /// Says in its answers that it leaves, and takes its entry out of the store.
    void leave();
    /// Takes its entry out of the store once more, if it leaves.
    void remove_entry();
    /// Ends as a crash does; the entry stays in the store.
    void stop();

private:
    void serve(link& from);
    /// Begins a request by its head and pauses before it reads the body.
    void pause_reading(const link& from);
    /// @param extra_due additional bytes of the answer before are to be sent; receives whether
    /// those of this answer are.
    void answer(link& to, const message& request, bool& extra_due);
    [[nodiscard]] std::string head(const std::string& status, const message& request) const;
    void check_in();
    void check_in_forever();
    [[nodiscard]] milliseconds cold_left() const;
    /// Waits for a slot.
    /// @return false if the queue is full.
    bool take_slot();
    void release_slot();

    upstream_settings settings_;
    store& platform_;
    arrivals& all_;
    milliseconds started_;
    std::int64_t born_ms_;
    std::atomic<double> refused_share_{0};
    std::atomic<unsigned> drawn_{0};
    std::atomic<unsigned> answered_{0};
    std::atomic<unsigned> extras_sent_{0};
    std::atomic<bool> leaving_{false};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    std::uint64_t sequence_ = 0;
    bool stopped_ = false;
    listener listener_;
    std::thread checking_in_;
};

} // namespace review
