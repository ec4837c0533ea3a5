#include "toml_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace toucan::steering {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr const char* name_rule =
    "1 to 64 letters, digits, '-', '_' and '.', beginning with a letter or digit";

bool is_name(std::string_view text)
{
    const auto alphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    return !text.empty() && text.size() <= max_name_length && alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [&](char c) { return alphanumeric(c) || c == '-' || c == '_' || c == '.'; });
}

std::string type_name(const toml::node& node)
{
    switch (node.type()) {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::string:
        return "a string";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a floating-point number";
    case toml::node_type::boolean:
        return "a boolean";
    default:
        return "a date or time";
    }
}

} // namespace

toml_fields::toml_fields(const toml::table& table, const std::string& file,
                         std::vector<steering_error>& errors)
    : table_(table), file_(file), errors_(errors)
{
}

std::uint32_t toml_fields::line() const
{
    return table_.source().begin.line;
}

std::uint32_t toml_fields::line(const char* key) const
{
    const auto* node = table_.get(key);
    return node != nullptr ? node->source().begin.line : line();
}

void toml_fields::add_error_at(std::uint32_t line, std::string message, std::string allowed)
{
    errors_.push_back({file_, line, std::move(message), std::move(allowed)});
}

void toml_fields::add_error(const char* key, std::string message, std::string allowed)
{
    add_error_at(line(key), std::move(message), std::move(allowed));
}

const toml::node* toml_fields::find_node(const char* key, const std::string& allowed, bool required)
{
    known_keys_.insert(key);
    const auto* node = table_.get(key);
    if (node == nullptr && required) {
        add_error(key, fmt::format("{} is missing", key), allowed);
    }
    return node;
}

std::string toml_fields::text(const char* key, const char* allowed)
{
    const auto* node = find_node(key, allowed, true);
    if (node == nullptr) {
        return {};
    }
    if (!node->is_string()) {
        add_error(key, fmt::format("{} is {}", key, type_name(*node)), allowed);
        return {};
    }
    return node->as_string()->get();
}

std::string toml_fields::name(const char* key)
{
    const auto before = errors_.size();
    auto value = text(key, name_rule);
    if (errors_.size() == before && !is_name(value)) {
        add_error(key, fmt::format("{} is '{}'", key, value), name_rule);
        return {};
    }
    return value;
}

std::size_t toml_fields::choice(const char* key, std::initializer_list<const char*> choices)
{
    std::string allowed;
    for (const auto* it : choices) {
        allowed += fmt::format("{}\"{}\"", allowed.empty() ? "" : " or ", it);
    }
    const auto before = errors_.size();
    const auto value = text(key, allowed.c_str());
    const auto* const it = std::find(choices.begin(), choices.end(), value);
    if (it != choices.end()) {
        return static_cast<std::size_t>(it - choices.begin());
    }
    if (errors_.size() == before) {
        add_error(key, fmt::format("{} is '{}'", key, value), allowed);
    }
    return 0;
}

std::int64_t toml_fields::integer(const char* key, limits<std::int64_t> range,
                                  std::optional<std::int64_t> default_value)
{
    const auto allowed = fmt::format("an integer from {} to {}", range.min, range.max);
    const auto* node = find_node(key, allowed, !default_value);
    if (node == nullptr) {
        return default_value.value_or(range.min);
    }
    if (!node->is_integer()) {
        add_error(key, fmt::format("{} is {}", key, type_name(*node)), allowed);
        return range.min;
    }
    const auto value = node->as_integer()->get();
    if (value < range.min || value > range.max) {
        add_error(key, fmt::format("{} is {}", key, value), allowed);
        return range.min;
    }
    return value;
}

double toml_fields::number(const char* key, limits<double> range,
                           std::optional<double> default_value)
{
    const auto allowed = fmt::format("a number from {} to {}", range.min, range.max);
    const auto* node = find_node(key, allowed, !default_value);
    if (node == nullptr) {
        return default_value.value_or(range.min);
    }
    if (!node->is_number()) {
        add_error(key, fmt::format("{} is {}", key, type_name(*node)), allowed);
        return range.min;
    }
    const auto value = node->is_integer() ? static_cast<double>(node->as_integer()->get())
                                          : node->as_floating_point()->get();
    // The negated form also rejects NaN.
    if (!(value >= range.min && value <= range.max)) {
        add_error(key, fmt::format("{} is {}", key, value), allowed);
        return range.min;
    }
    return value;
}

bool toml_fields::boolean(const char* key, std::optional<bool> default_value)
{
    constexpr const char* allowed = "true or false";
    const auto* node = find_node(key, allowed, !default_value);
    if (node == nullptr) {
        return default_value.value_or(false);
    }
    if (!node->is_boolean()) {
        add_error(key, fmt::format("{} is {}", key, type_name(*node)), allowed);
        return false;
    }
    return node->as_boolean()->get();
}

std::vector<toml_fields::element> toml_fields::strings(const char* key, const char* allowed)
{
    std::vector<element> out;
    const auto* node = find_node(key, allowed, true);
    if (node == nullptr) {
        return out;
    }
    const auto* array = node->as_array();
    if (array == nullptr) {
        add_error(key, fmt::format("{} is {}", key, type_name(*node)), allowed);
        return out;
    }
    for (const auto& it : *array) {
        if (const auto* value = it.as_string(); value != nullptr) {
            out.push_back({value->get(), it.source().begin.line});
        }
        else {
            add_error_at(it.source().begin.line,
                         fmt::format("an element of {} is {}", key, type_name(it)), allowed);
        }
    }
    return out;
}

std::vector<const toml::table*> toml_fields::tables(const char* key)
{
    std::vector<const toml::table*> out;
    const auto allowed = fmt::format("tables headed [[{}]]", key);
    const auto* node = find_node(key, allowed, false);
    if (node == nullptr) {
        return out;
    }
    const auto* array = node->as_array();
    if (array == nullptr) {
        add_error(key, fmt::format("{} is {}", key, type_name(*node)), allowed);
        return out;
    }
    for (const auto& it : *array) {
        if (const auto* value = it.as_table(); value != nullptr) {
            out.push_back(value);
        }
        else {
            add_error_at(it.source().begin.line,
                         fmt::format("an element of {} is {}", key, type_name(it)), allowed);
        }
    }
    return out;
}

const toml::table* toml_fields::table(const char* key)
{
    const auto allowed = fmt::format("a table headed [{}]", key);
    const auto* node = find_node(key, allowed, false);
    if (node == nullptr) {
        return nullptr;
    }
    const auto* value = node->as_table();
    if (value == nullptr) {
        add_error(key, fmt::format("{} is {}", key, type_name(*node)), allowed);
    }
    return value;
}

void toml_fields::report_unknown_keys()
{
    std::string allowed;
    for (const auto& it : known_keys_) {
        allowed += fmt::format("{}{}", allowed.empty() ? "" : ", ", it);
    }
    for (auto&& [key, node] : table_) {
        if (known_keys_.find(key.str()) == known_keys_.end()) {
            add_error_at(key.source().begin.line, fmt::format("unknown key '{}'", key.str()),
                         allowed);
        }
    }
}

} // namespace toucan::steering
