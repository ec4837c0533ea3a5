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

/// Decodes the blocks of one failure domain and prefix length.
/// @param deltas first prefix number, then the difference of each one to its predecessor.
/// @param prototype block that is copied with each address.
/// @param blocks receives the blocks.
bool decode_deltas(const json& deltas, const client_block& prototype,
                   std::vector<client_block>& blocks)
{
    if (!deltas.is_array() || deltas.empty()) {
        return false;
    }
    const std::uint64_t end = std::uint64_t{1} << prototype.prefix_length;
    std::uint64_t prefix_number = 0;
    bool first = true;
    for (const auto& it : deltas) {
        if (!it.is_number_unsigned() || blocks.size() >= config::client_blocks_per_piece) {
            return false;
        }
        const auto delta = it.get<std::uint64_t>();
        if (delta >= end || (delta == 0 && !first)) {
            return false;
        }
        prefix_number += delta;
        if (prefix_number >= end) {
            return false;
        }
        first = false;
        blocks.push_back(prototype);
        blocks.back().ip = static_cast<std::uint32_t>(
            prefix_number << (max_prefix_length - prototype.prefix_length));
    }
    return true;
}

std::optional<std::uint8_t> parse_prefix_length(const std::string& digits)
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

// Format: {"<failure domain>": {"<prefix length>": [first, delta, delta, ...]}}, where each number
// counts blocks of that prefix length. A daemon keeps all pieces in memory to serve its peers: a
// delta takes 2 to 4 bytes per block, whereas `"a.b.c.d/n",` takes up to 21.
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
            return fail("the client block piece has a failure domain whose value is not an object");
        }
        for (const auto& length : domain.value().items()) {
            const auto prefix_length = parse_prefix_length(length.key());
            if (!prefix_length ||
                !decode_deltas(length.value(),
                               {0, *prefix_length, failure_domain_name(domain.key())}, blocks)) {
                return fail("the client block piece has an invalid prefix length or block number");
            }
        }
    }
    std::sort(blocks.begin(), blocks.end());
    const auto duplicate = std::adjacent_find(
        blocks.begin(), blocks.end(), [](const client_block& lhs, const client_block& rhs) {
            return std::tie(lhs.ip, lhs.prefix_length) == std::tie(rhs.ip, rhs.prefix_length);
        });
    if (duplicate != blocks.end()) {
        return fail("the client block piece contains the same block twice");
    }
    return blocks;
}

} // namespace toucan::steering
