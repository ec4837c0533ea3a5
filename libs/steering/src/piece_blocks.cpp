#include "toucan/steering/piece.h"

#include "toucan/base/config.h"
#include "toucan/base/last_reason.h"
#include "toucan/steering/json_reader.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <tuple>

namespace toucan::steering {

using nlohmann::json;

namespace {

constexpr unsigned max_prefix_length = 32;

/// Reads the numbers of one failure domain and prefix length.
bool read_numbers(const json& numbers, const client_block& form, std::vector<client_block>& blocks)
{
    if (!numbers.is_array() || numbers.empty()) {
        return false;
    }
    const std::uint64_t end = std::uint64_t{1} << form.prefix_length;
    std::uint64_t position = 0;
    bool first = true;
    for (const auto& it : numbers) {
        if (!it.is_number_unsigned() || blocks.size() >= config::client_blocks_per_piece) {
            return false;
        }
        const auto step = it.get<std::uint64_t>();
        if (step >= end || (step == 0 && !first)) {
            return false;
        }
        position += step;
        if (position >= end) {
            return false;
        }
        first = false;
        blocks.push_back(form);
        blocks.back().ip =
            static_cast<std::uint32_t>(position << (max_prefix_length - form.prefix_length));
    }
    return true;
}

std::optional<std::uint8_t> read_prefix_length(const std::string& digits)
{
    unsigned n = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (ec != std::errc() || end != digits.data() + digits.size() || n > max_prefix_length ||
        std::to_string(n) != digits) {
        return std::nullopt;
    }
    return static_cast<std::uint8_t>(n);
}

} // namespace

// {"<failure domain>": {"<prefix length>": [first, step, step, ...]}}, each number in units of the
// prefix length. A daemon keeps all pieces to serve its peers: steps take 2 to 4 bytes for each
// block, where `"a.b.c.d/n",` takes up to 21.
std::string encode(const std::vector<client_block>& blocks)
{
    std::map<std::string, std::map<unsigned, std::vector<std::uint32_t>>> groups;
    for (const auto& it : blocks) {
        groups[it.failure_domain.text()][it.prefix_length].push_back(static_cast<std::uint32_t>(
            std::uint64_t{it.ip} >> (max_prefix_length - it.prefix_length)));
    }
    json value = json::object();
    for (auto& [domain, lengths] : groups) {
        for (auto& [length, numbers] : lengths) {
            for (auto i = numbers.size() - 1; i > 0; --i) {
                numbers[i] -= numbers[i - 1];
            }
            value[domain][std::to_string(length)] = numbers;
        }
    }
    return dump_json(value);
}

std::optional<std::vector<client_block>> decode_blocks(std::string_view text)
{
    const auto parsed = parse_json(text);
    if (!parsed || !parsed->is_object()) {
        return fail("the client block piece is not a JSON object");
    }
    std::vector<client_block> blocks;
    for (const auto& domain : parsed->items()) {
        if (!domain.value().is_object()) {
            return fail("the client block piece has wrong members");
        }
        for (const auto& length : domain.value().items()) {
            const auto prefix_length = read_prefix_length(length.key());
            if (!prefix_length ||
                !read_numbers(length.value(),
                              {0, *prefix_length, failure_domain_name(domain.key())}, blocks)) {
                return fail("the client block piece has wrong numbers");
            }
        }
    }
    std::sort(blocks.begin(), blocks.end());
    const auto same = std::adjacent_find(
        blocks.begin(), blocks.end(), [](const client_block& lhs, const client_block& rhs) {
            return std::tie(lhs.ip, lhs.prefix_length) == std::tie(rhs.ip, rhs.prefix_length);
        });
    if (same != blocks.end()) {
        return fail("the client block piece holds a block twice");
    }
    return blocks;
}

} // namespace toucan::steering
