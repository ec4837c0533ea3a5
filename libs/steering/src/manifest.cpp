#include "toucan/steering/manifest.h"

#include "toucan/base/content_hash.h"
#include "toucan/base/last_reason.h"
#include "toucan/steering/json_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace toucan::steering {

using nlohmann::json;

manifest make_manifest(const std::vector<piece>& pieces)
{
    manifest value;
    for (const auto& it : pieces) {
        value.entries.push_back({it.name, content_hash(it.content), it.content.size()});
    }
    return value;
}

std::string encode(const manifest& value)
{
    json out = json::array();
    for (const auto& it : value.entries) {
        out.push_back(json::array({it.piece, it.hash, it.size}));
    }
    return dump_json(out);
}

std::optional<manifest> decode_manifest(std::string_view text)
{
    const auto parsed = parse_json(text);
    if (!parsed || !parsed->is_array()) {
        return fail("the manifest is not a JSON array");
    }
    manifest value;
    for (const auto& it : *parsed) {
        if (!it.is_array() || it.size() != 3 || !it[0].is_string() || !it[1].is_string() ||
            !it[2].is_number_unsigned()) {
            return fail("a manifest entry is not [piece, hash, size]");
        }
        value.entries.push_back(
            {it[0].get<std::string>(), it[1].get<std::string>(), it[2].get<std::uint64_t>()});
    }
    const auto not_ascending = [](const manifest_entry& lhs, const manifest_entry& rhs) {
        return lhs.piece >= rhs.piece;
    };
    if (std::adjacent_find(value.entries.begin(), value.entries.end(), not_ascending) !=
        value.entries.end()) {
        return fail("the manifest entries are not in ascending order of their names");
    }
    return value;
}

std::vector<piece_change> difference(const manifest& from, const manifest& to)
{
    std::vector<piece_change> changes;
    auto old = from.entries.begin();
    for (const auto& it : to.entries) {
        for (; old != from.entries.end() && old->piece < it.piece; ++old) {
            changes.push_back({old->piece, {}, 0});
        }
        const bool present = old != from.entries.end() && old->piece == it.piece;
        if (!present || *old != it) {
            changes.push_back({it.piece, it.hash, it.size});
        }
        if (present) {
            ++old;
        }
    }
    for (; old != from.entries.end(); ++old) {
        changes.push_back({old->piece, {}, 0});
    }
    return changes;
}

manifest apply_changes(const manifest& base, const std::vector<piece_change>& changes)
{
    const auto changed = [&](const manifest_entry& entry) {
        return std::any_of(changes.begin(), changes.end(),
                           [&](const piece_change& it) { return it.piece == entry.piece; });
    };
    manifest value;
    std::remove_copy_if(base.entries.begin(), base.entries.end(), std::back_inserter(value.entries),
                        changed);
    for (const auto& it : changes) {
        if (!it.hash.empty()) {
            value.entries.push_back({it.piece, it.hash, it.size});
        }
    }
    std::sort(value.entries.begin(), value.entries.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.piece < rhs.piece; });
    return value;
}

} // namespace toucan::steering
