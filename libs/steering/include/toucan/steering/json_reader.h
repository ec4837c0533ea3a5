#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::steering {

/// Reads the members of one JSON object. The first member that is missing or has the wrong type
/// makes the whole object unusable; the functions then return defaults.
class json_reader {
public:
    /// @param value any JSON value; what is not an object is unusable.
    explicit json_reader(const nlohmann::json& value);

    std::string text(const char* key);
    bool boolean(const char* key);
    std::uint64_t integer(const char* key,
                          std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
    /// A number that is not negative.
    double number(const char* key);
    /// @return the array, or an empty one.
    const nlohmann::json& array(const char* key);
    /// @return any member, or null.
    const nlohmann::json& member(const char* key);

    /// @return true if every member was read, and each was as it has to be.
    [[nodiscard]] bool complete() const;

private:
    const nlohmann::json& value_;
    std::size_t read_ = 0;
    bool usable_ = true;
};

/// Parses text without exceptions.
/// @return nothing if the text is not JSON.
std::optional<nlohmann::json> parse_json(std::string_view text);

/// Writes JSON without white space. Bytes that are not UTF-8 are replaced.
std::string dump_json(const nlohmann::json& value);

} // namespace toucan::steering
