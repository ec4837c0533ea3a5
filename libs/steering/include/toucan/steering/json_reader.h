#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::steering {

/// Reads the members of one JSON object. After the first member that is missing or has the wrong
/// type, `complete` is false and all functions return defaults.
class json_reader {
public:
    /// @param value must outlive the reader; if it is not an object, `complete` is false.
    explicit json_reader(const nlohmann::json& value);

    /// @return the string, or an empty one.
    std::string text(const char* key);
    /// @return the boolean, or false.
    bool boolean(const char* key);
    /// @param max largest valid value.
    /// @return the unsigned integer, or 0.
    std::uint64_t integer(const char* key,
                          std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
    /// @return the non-negative number, or 0.
    double number(const char* key);
    /// @return the array, or an empty one.
    const nlohmann::json& array(const char* key);
    /// @return the member of any type, or null.
    const nlohmann::json& member(const char* key);

    /// @return true if all members requested were valid and the object has no other members.
    [[nodiscard]] bool complete() const;

private:
    const nlohmann::json& value_;
    std::size_t members_read_ = 0;
    bool valid_ = true;
};

/// Parses JSON without throwing.
/// @return the value, or nothing if the text is not valid JSON.
std::optional<nlohmann::json> parse_json(std::string_view text);

/// Serializes JSON without white space. Bytes that are not valid UTF-8 are replaced.
std::string dump_json(const nlohmann::json& value);

} // namespace toucan::steering
