#pragma once

#include "asio.h"

#include "toucan/base/clock.h"
#include "toucan/base/metrics.h"
#include "toucan/edge/table_client.h"
#include "toucan/policy/store_pacing.h"

#include <absl/random/random.h>

#include <string>

namespace toucan::edge {

/// Client of the shared store that counts its calls and holds them back while the store fails. A
/// call that is held back is answered with `table_error::rejected`.
class store_gate final : public table_client {
public:
    /// @param store must outlive this object, like `all`.
    store_gate(asio::io_context& loop, const clock& time, table_client& store, metrics& all);

    /// @param it see `policy::store_pacing`.
    void set_longest_pause(milliseconds it) { pacing_.set_longest_pause(it); }
    [[nodiscard]] bool failing() const { return pacing_.failing(); }
    /// Calls since the start of the process, as log fields.
    [[nodiscard]] std::string activity() const;

    void read(const std::string& table, handler done) override;
    void read_range(const std::string& table, const std::string& prefix, handler done) override;
    void watch(const std::string& table, std::uint64_t after, const watch_options& options,
               handler done) override;
    void write(const std::string& table, const std::string& key, const std::string& value,
               handler done) override;
    void remove(const std::string& table, const std::string& key, std::uint64_t version,
                handler done) override;

private:
    /// Makes a call, or answers it with `table_error::rejected`.
    void pass(metrics::counter& count, handler done, const std::function<void(handler)>& call);

    asio::io_context& loop_;
    const clock& time_;
    table_client& store_;
    policy::store_pacing pacing_;
    absl::InsecureBitGen random_;
    metrics::counter& reads_;
    metrics::counter& watches_;
    metrics::counter& writes_;
    metrics::counter& removals_;
    metrics::counter& failed_;
    metrics::counter& held_back_;
    metrics::counter& rows_;
};

} // namespace toucan::edge
