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

/// Limits of a number in a steering file, both allowed.
template <typename T>
struct limits {
    T min;
    T max;
};

/// Reads the keys of one TOML table and records everything that is wrong with them. A function
/// without a default treats its key as required.
class toml_fields {
public:
    /// @param file name for errors.
    toml_fields(const toml::table& table, const std::string& file,
                std::vector<steering_error>& errors);

    /// Text that has the form of a name; empty after an error.
    std::string name(const char* key);
    /// Any text; empty after an error.
    std::string text(const char* key, const char* allowed);
    /// @return index of the word that was found; the first one after an error.
    std::size_t choice(const char* key, std::initializer_list<const char*> words);
    std::int64_t integer(const char* key, limits<std::int64_t> range,
                         std::optional<std::int64_t> otherwise = std::nullopt);
    double number(const char* key, limits<double> range,
                  std::optional<double> otherwise = std::nullopt);
    bool boolean(const char* key, std::optional<bool> otherwise = std::nullopt);
    /// Elements of an array of strings, with their lines.
    struct element {
        std::string text;
        std::uint32_t line;
    };
    std::vector<element> texts(const char* key, const char* allowed);
    /// Tables of `[[key]]`; none if the key is absent.
    std::vector<const toml::table*> tables(const char* key);
    /// The table of `[key]`; null if it is absent.
    const toml::table* table(const char* key);

    /// Records an error for each key that none of the functions above asked for.
    void refuse_unknown();
    /// @param key names the line; the line of the table if the key is absent.
    void refuse(const char* key, std::string message, std::string allowed);
    void refuse_line(std::uint32_t line, std::string message, std::string allowed);
    [[nodiscard]] std::uint32_t line() const;
    [[nodiscard]] std::uint32_t line(const char* key) const;

private:
    const toml::node* take(const char* key, const std::string& allowed, bool required);

    const toml::table& table_;
    const std::string& file_;
    std::vector<steering_error>& errors_;
    std::set<std::string, std::less<>> known_;
};

} // namespace toucan::steering
