#include "toucan/steering/json_reader.h"

namespace toucan::steering {

using nlohmann::json;

json_reader::json_reader(const json& value) : value_(value), valid_(value.is_object()) {}

const json& json_reader::member(const char* key)
{
    static const json none;
    if (!valid_) {
        return none;
    }
    const auto it = value_.find(key);
    if (it == value_.end()) {
        valid_ = false;
        return none;
    }
    ++members_read_;
    return *it;
}

std::string json_reader::text(const char* key)
{
    const auto& it = member(key);
    valid_ = valid_ && it.is_string();
    return valid_ ? it.get<std::string>() : std::string();
}

bool json_reader::boolean(const char* key)
{
    const auto& it = member(key);
    valid_ = valid_ && it.is_boolean();
    return valid_ && it.get<bool>();
}

std::uint64_t json_reader::integer(const char* key, std::uint64_t max)
{
    const auto& it = member(key);
    valid_ = valid_ && it.is_number_unsigned() && it.get<std::uint64_t>() <= max;
    return valid_ ? it.get<std::uint64_t>() : 0;
}

double json_reader::number(const char* key)
{
    const auto& it = member(key);
    valid_ = valid_ && it.is_number() && it.get<double>() >= 0;
    return valid_ ? it.get<double>() : 0;
}

const json& json_reader::array(const char* key)
{
    static const json none = json::array();
    const auto& it = member(key);
    valid_ = valid_ && it.is_array();
    return valid_ ? it : none;
}

bool json_reader::complete() const
{
    return valid_ && members_read_ == value_.size();
}

std::optional<json> parse_json(std::string_view text)
{
    auto value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::string dump_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace toucan::steering
