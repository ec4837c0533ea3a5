#include "toucan/steering/build_configuration.h"

#include "toucan/base/config.h"
#include "toucan/base/last_reason.h"
#include "toucan/steering/cidr.h"
#include "toucan/steering/client_block_table_builder.h"

#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace toucan::steering {

namespace {

bool starts_with(const std::string& text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::vector<manifest_entry> block_entries(const manifest& pieces)
{
    std::vector<manifest_entry> out;
    for (const auto& it : pieces.entries) {
        if (starts_with(it.piece, blocks_piece_prefix)) {
            out.push_back(it);
        }
    }
    return out;
}

std::shared_ptr<const std::string> read_piece(const piece_reader& read, const manifest_entry& entry)
{
    auto content = read(entry);
    if (!content) {
        fail(fmt::format("content of piece {} is not available", entry.piece));
    }
    return content;
}

bool add_service(const manifest_entry& entry, const piece_reader& read,
                 std::vector<service>& services)
{
    const auto content = read_piece(read, entry);
    if (!content) {
        return false;
    }
    auto decoded = decode_service(*content);
    if (!decoded) {
        return false;
    }
    if (entry.piece.substr(service_piece_prefix.size()) != decoded->name.text()) {
        fail(fmt::format("piece {} defines service {}, which does not match its name", entry.piece,
                         decoded->name.text()));
        return false;
    }
    services.push_back(std::move(*decoded));
    return true;
}

/// Manifest entries are sorted by name as text, but the table builder needs ascending addresses.
/// @return false, with a last reason, if a piece name has no valid address range.
bool sort_by_address(std::vector<manifest_entry>& entries)
{
    std::vector<std::pair<std::uint32_t, manifest_entry>> keyed;
    keyed.reserve(entries.size());
    for (auto& it : entries) {
        const auto range = parse_cidr(it.piece.substr(blocks_piece_prefix.size()));
        if (!range) {
            return false;
        }
        keyed.emplace_back(range->ip, std::move(it));
    }
    std::sort(keyed.begin(), keyed.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.first < rhs.first; });
    std::transform(keyed.begin(), keyed.end(), entries.begin(),
                   [](auto& it) { return std::move(it.second); });
    return true;
}

std::optional<client_block_table> read_blocks(std::vector<manifest_entry> entries,
                                              const piece_reader& read)
{
    if (!sort_by_address(entries)) {
        return std::nullopt;
    }
    client_block_table_builder builder;
    builder.reserve(entries.size() * config::client_blocks_per_piece);
    for (const auto& entry : entries) {
        const auto content = read_piece(read, entry);
        if (!content) {
            return std::nullopt;
        }
        const auto blocks = decode_blocks(*content);
        if (!blocks) {
            return std::nullopt;
        }
        for (const auto& it : *blocks) {
            if (!builder.add(it)) {
                return std::nullopt;
            }
        }
    }
    return builder.build();
}

/// Checks that every failure domain referred to is part of the topology. The daemons rely on this.
bool failure_domains_are_defined(const configuration& value)
{
    absl::flat_hash_set<failure_domain_name> defined;
    for (const auto& it : value.topology.failure_domains) {
        defined.insert(it.name);
    }
    const auto check = [&](const failure_domain_name& it) {
        if (!defined.contains(it)) {
            fail(fmt::format("failure domain {} is referred to but not defined in the topology",
                             it.text()));
            return false;
        }
        return true;
    };
    for (const auto& service : value.services) {
        for (const auto& it : service.upstreams) {
            if (!check(it.failure_domain)) {
                return false;
            }
        }
    }
    const auto& targets = value.blocks.targets();
    return std::all_of(targets.begin(), targets.end(), check);
}

} // namespace

std::optional<configuration> build_configuration(std::uint64_t version, const manifest& pieces,
                                                 const piece_reader& read,
                                                 const std::optional<built_configuration>& previous)
{
    configuration value;
    value.version = version;
    bool has_topology = false;
    for (const auto& entry : pieces.entries) {
        if (entry.piece == topology_piece) {
            const auto content = read_piece(read, entry);
            auto decoded = content ? decode_topology(*content) : std::nullopt;
            if (!decoded) {
                return std::nullopt;
            }
            value.topology = std::move(*decoded);
            has_topology = true;
        }
        else if (starts_with(entry.piece, service_piece_prefix)) {
            if (!add_service(entry, read, value.services)) {
                return std::nullopt;
            }
        }
        else if (!starts_with(entry.piece, blocks_piece_prefix)) {
            return fail(fmt::format("piece {} has an unknown kind", entry.piece));
        }
    }
    if (!has_topology) {
        return fail("the manifest has no piece named places");
    }
    const auto entries = block_entries(pieces);
    if (previous && block_entries(previous->pieces) == entries) {
        value.blocks = previous->value.blocks;
    }
    else {
        auto blocks = read_blocks(entries, read);
        if (!blocks) {
            return std::nullopt;
        }
        value.blocks = std::move(*blocks);
    }
    if (!failure_domains_are_defined(value)) {
        return std::nullopt;
    }
    return value;
}

} // namespace toucan::steering
