#include "toucan/publishing/head_row.h"

#include "toucan/base/config.h"
#include "toucan/base/last_reason.h"
#include "toucan/steering/json_reader.h"

#include <algorithm>
#include <utility>

namespace toucan::publishing {

using nlohmann::json;
using steering::json_reader;

namespace {

bool is_hash(const std::string& text)
{
    constexpr std::size_t hash_length = 64;
    return text.size() == hash_length && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

std::optional<std::vector<steering::piece_change>> decode_changes(const json& value)
{
    if (!value.is_array() || value.size() > config::max_changed_pieces_in_head) {
        return std::nullopt;
    }
    std::vector<steering::piece_change> out;
    for (const auto& it : value) {
        if (!it.is_array() || it.size() != 3 || !it[0].is_string() || !it[1].is_string() ||
            !it[2].is_number_unsigned()) {
            return std::nullopt;
        }
        steering::piece_change change{it[0].get<std::string>(), it[1].get<std::string>(),
                                      it[2].get<std::uint64_t>()};
        if (!change.hash.empty() && !is_hash(change.hash)) {
            return std::nullopt;
        }
        out.push_back(std::move(change));
    }
    return out;
}

} // namespace

std::string encode(const head_row& value)
{
    json changes;
    if (value.changes) {
        changes = json::array();
        for (const auto& it : *value.changes) {
            changes.push_back(json::array({it.piece, it.hash, it.size}));
        }
    }
    return steering::dump_json({{"version", value.version},
                                {"publisher_id", value.publisher_id},
                                {"publisher_name", value.publisher_name},
                                {"manifest", value.manifest_hash},
                                {"parent_manifest", value.parent_manifest_hash},
                                {"parent_publisher_id", value.parent_publisher_id},
                                {"changes", std::move(changes)}});
}

std::optional<head_row> decode_head_row(std::string_view text)
{
    const auto parsed = steering::parse_json(text);
    if (!parsed) {
        return fail("the head row is not valid JSON");
    }
    json_reader reader(*parsed);
    head_row value;
    value.version = reader.integer("version");
    value.publisher_id = reader.text("publisher_id");
    value.publisher_name = reader.text("publisher_name");
    value.manifest_hash = reader.text("manifest");
    value.parent_manifest_hash = reader.text("parent_manifest");
    value.parent_publisher_id = reader.text("parent_publisher_id");
    const auto& changes = reader.member("changes");
    if (!reader.complete() || value.version == 0 || value.publisher_id.empty() ||
        !is_hash(value.manifest_hash) ||
        (!value.parent_manifest_hash.empty() && !is_hash(value.parent_manifest_hash))) {
        return fail("the head row has missing, unknown or invalid members");
    }
    if (!changes.is_null()) {
        value.changes = decode_changes(changes);
        if (!value.changes) {
            return fail("the head row has an invalid list of changes");
        }
    }
    return value;
}

} // namespace toucan::publishing
