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

/// Fault switches of the platform. All are off by default.
struct platform_faults {
    bool outage = false;
    /// Added before each answer.
    std::chrono::milliseconds delay{0};
    /// This many table writes take effect and are not answered.
    std::uint64_t lost_replies = 0;
    /// This many table writes are not answered and take effect after `late_by`.
    std::uint64_t late_writes = 0;
    std::chrono::milliseconds late_by{1000};
    /// Lost replies and late writes hit only keys that begin with this.
    std::string key_prefix;
    /// Table reads answer with the row as it was this many revisions ago.
    std::uint64_t stale_revisions = 0;
    double writes_per_s = 400;
    double reads_per_s = 2000;

    /// Changes the fields that a control request names.
    /// @param body JSON object; durations are in ms.
    void update(const nlohmann::json& body);
};

/// Answer to a conditional write.
struct write_reply {
    bool applied = false;
    /// Revision and value after the write; revision 0 if the row is absent.
    std::uint64_t revision = 0;
    std::string value;
};

/// Rows, objects, VM list and counters of the platform.
class platform_state {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @param key row to read.
    /// @return the row; `applied` says whether it is present.
    write_reply read(const std::string& key);
    /// @param key row to write.
    /// @param expected_revision revision that the row must have; 0 if it must be absent.
    /// @param value new content.
    write_reply write(const std::string& key, std::uint64_t expected_revision,
                      const std::string& value);
    std::optional<std::string> object(const std::string& hash);
    void put_object(const std::string& hash, const std::string& bytes);
    nlohmann::json vms();
    void set_vms(const nlohmann::json& list);

    void update_faults(const nlohmann::json& body);
    platform_faults faults();
    /// Takes one lost reply or late write if one is due for this key.
    bool take_lost_reply(const std::string& key);
    bool take_late_write(const std::string& key);
    /// False while the rate limit is exceeded or the platform is out.
    /// @param is_write selects the limit.
    /// @param kind prefix that the request is counted under.
    bool admit(bool is_write, const std::string& kind);
    nlohmann::json counters();

private:
    struct bucket {
        double tokens = 0;
        time_point last;
    };
    struct kind_count {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t refused = 0;
    };

    bool take_token(bucket& it, double rate);

    std::mutex mutex_;
    platform_faults faults_;
    /// All values of a row; its revision is their number.
    std::map<std::string, std::vector<std::string>> rows_;
    std::map<std::string, std::string> objects_;
    nlohmann::json vms_ = nlohmann::json::array();
    bucket reads_;
    bucket writes_;
    std::map<std::string, kind_count> counts_;
};

} // namespace toucan::standins
