#pragma once

#include "toucan/steering/client_block.h"
#include "toucan/steering/deployment_topology.h"
#include "toucan/steering/service.h"
#include "toucan/steering/steering_source.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::steering {

/// A named part of a configuration. Its encoded content is stored as an immutable object.
struct piece {
    std::string name;
    std::string content;

    friend bool operator==(const piece&, const piece&) = default;
};

/// Name of the piece with the topology.
inline constexpr std::string_view topology_piece = "places";
/// Prefix of service piece names, followed by the name of the service.
inline constexpr std::string_view service_piece_prefix = "service/";
/// Prefix of client block piece names, followed by their address range `a.b.c.d/n`.
inline constexpr std::string_view blocks_piece_prefix = "blocks/";

/// Encodes a value as canonical JSON: equal values have equal encodings. The decoders below accept
/// any input and return nothing, with a last reason, if a member is missing, unknown or invalid.
std::string encode(const deployment_topology& value);
std::string encode(const service& value);
/// @param blocks sorted by address and prefix length, without duplicates.
std::string encode(const std::vector<client_block>& blocks);
std::optional<deployment_topology> decode_topology(std::string_view text);
std::optional<service> decode_service(std::string_view text);
std::optional<std::vector<client_block>> decode_blocks(std::string_view text);

/// Splits a configuration into pieces, sorted by name. Client blocks are split by address: a range
/// with more than `config::client_blocks_per_piece` blocks is halved. A small edit therefore
/// changes few pieces.
/// @param source configuration returned by `read_files` or `read_directory`.
std::vector<piece> make_pieces(const steering_source& source);

} // namespace toucan::steering
