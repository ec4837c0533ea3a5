#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace toucan::standins {

/// Fault switches and rate limits of the platform. All faults are off by default.
struct platform_faults {
    bool outage = false;
    /// Delay of each response.
    std::chrono::milliseconds delay{0};
    /// Number of next table writes that are applied but get no response.
    std::uint64_t lost_replies = 0;
    /// Number of next table writes that get no response and are applied after `late_by`.
    std::uint64_t late_writes = 0;
    std::chrono::milliseconds late_by{1000};
    /// Lost replies and late writes affect only keys with this prefix.
    std::string key_prefix;
    /// Table reads return the value that the row had this many revisions ago.
    std::uint64_t stale_revisions = 0;
    double writes_per_s = 400;
    double reads_per_s = 2000;

    /// Sets the fields that are present in a control request.
    /// @param body JSON object; durations are in ms.
    void update(const nlohmann::json& body);
};

/// Result of a read or a conditional write of a row.
struct row_result {
    /// For a write: the write took effect. For a read: the row is present.
    bool applied = false;
    /// Revision and value of the row after the operation; revision 0 if the row is absent.
    std::uint64_t revision = 0;
    std::string value;
};

/// Rows, objects, VM list and request counters of the platform stand-in. Thread-safe.
class platform_state {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @param key key of the row.
    /// @return the row; `applied` is false if it is absent.
    row_result read(const std::string& key);
    /// Writes a row if it has the expected revision.
    /// @param key key of the row.
    /// @param expected_revision revision that the row must have; 0 if it must be absent.
    /// @param value new value.
    row_result write(const std::string& key, std::uint64_t expected_revision,
                     const std::string& value);
    std::optional<std::string> object(const std::string& hash);
    void put_object(const std::string& hash, const std::string& bytes);
    nlohmann::json vms();
    void set_vms(const nlohmann::json& list);

    void update_faults(const nlohmann::json& body);
    platform_faults faults();
    /// Consumes one lost reply or late write if one is pending for this key.
    bool consume_lost_reply(const std::string& key);
    bool consume_late_write(const std::string& key);
    /// Checks the rate limit and the outage switch, and counts the request.
    /// @param is_write selects the write or the read rate limit.
    /// @param kind name of the counter, for example `objects`.
    /// @return false if the rate limit is exceeded or an outage is set.
    bool admit(bool is_write, const std::string& kind);
    nlohmann::json counters();

private:
    struct token_bucket {
        double tokens = 0;
        time_point last;
    };
    struct request_counts {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t refused = 0;
    };

    bool try_take_token(token_bucket& it, double rate);

    std::mutex mutex_;
    platform_faults faults_;
    /// All values that a row had; its revision is the number of values.
    std::map<std::string, std::vector<std::string>> rows_;
    std::map<std::string, std::string> objects_;
    nlohmann::json vms_ = nlohmann::json::array();
    token_bucket read_bucket_;
    token_bucket write_bucket_;
    std::map<std::string, request_counts> counts_;
};

} // namespace toucan::standins
