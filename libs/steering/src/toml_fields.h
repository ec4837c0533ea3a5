#pragma once

#include "toucan/steering/steering_error.h"

#include <toml++/toml.h>

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::steering {

/// Inclusive limits of a number in a steering file.
template <typename T>
struct limits {
    T min;
    T max;
};

/// Reads the keys of one TOML table and records all errors. A key is required if the function that
/// reads it is called without a default value. The parameter `allowed` describes the valid
/// values in error messages.
class toml_fields {
public:
    /// All arguments must outlive this object.
    /// @param file file name for errors.
    /// @param errors all errors found are appended.
    toml_fields(const toml::table& table, const std::string& file,
                std::vector<steering_error>& errors);

    /// @return a valid name (1 to 64 letters, digits, `-`, `_` and `.`), or empty text after an
    /// error.
    std::string name(const char* key);
    /// @return any text; empty after an error.
    std::string text(const char* key, const char* allowed);
    /// @return index of the value in `choices`; 0 after an error.
    std::size_t choice(const char* key, std::initializer_list<const char*> choices);
    /// @return the integer; the lower limit after an error.
    std::int64_t integer(const char* key, limits<std::int64_t> range,
                         std::optional<std::int64_t> default_value = std::nullopt);
    /// @return the integer or floating-point number; the lower limit after an error.
    double number(const char* key, limits<double> range,
                  std::optional<double> default_value = std::nullopt);
    /// @return the boolean; false after an error.
    bool boolean(const char* key, std::optional<bool> default_value = std::nullopt);
    /// Element of an array of strings and its line in the file.
    struct element {
        std::string text;
        std::uint32_t line;
    };
    /// @return the strings of an array; elements of other types are recorded as errors.
    std::vector<element> strings(const char* key, const char* allowed);
    /// @return the tables headed `[[key]]`; empty if the key is absent.
    std::vector<const toml::table*> tables(const char* key);
    /// @return the table headed `[key]`, or null if it is absent.
    const toml::table* table(const char* key);

    /// Records an error for each key that none of the functions above has requested.
    void report_unknown_keys();
    /// Records an error at the line of a key, or of the table if the key is absent.
    void add_error(const char* key, std::string message, std::string allowed);
    /// Records an error at a line of the file.
    void add_error_at(std::uint32_t line, std::string message, std::string allowed);
    /// Line of the table.
    [[nodiscard]] std::uint32_t line() const;
    /// Line of a key, or of the table if the key is absent.
    [[nodiscard]] std::uint32_t line(const char* key) const;

private:
    /// Marks the key as known. Records an error if it is required but absent.
    /// @return the node, or null if the key is absent.
    const toml::node* find_node(const char* key, const std::string& allowed, bool required);

    const toml::table& table_;
    const std::string& file_;
    std::vector<steering_error>& errors_;
    std::set<std::string, std::less<>> known_keys_;
};

} // namespace toucan::steering
