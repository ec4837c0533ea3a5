#pragma once

#include "toucan/steering/client_block.h"
#include "toucan/steering/places.h"
#include "toucan/steering/service.h"
#include "toucan/steering/steering_source.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::steering {

/// A named part of a configuration; its content is an immutable object.
struct piece {
    std::string name;
    std::string content;

    friend bool operator==(const piece&, const piece&) = default;
};

inline constexpr std::string_view places_piece = "places";
/// Followed by the name of the service.
inline constexpr std::string_view service_piece_prefix = "service/";
/// Followed by the address range of the blocks, `a.b.c.d/n`.
inline constexpr std::string_view blocks_piece_prefix = "blocks/";

/// Encoders write canonical text: equal values give equal text. Decoders accept any input and
/// return nothing, with a last reason, if it is not what the encoder writes.
std::string encode(const places& value);
std::string encode(const service& value);
/// @param blocks sorted by address and prefix length, without duplicates.
std::string encode(const std::vector<client_block>& blocks);
std::optional<places> decode_places(std::string_view text);
std::optional<service> decode_service(std::string_view text);
std::optional<std::vector<client_block>> decode_blocks(std::string_view text);

/// Divides a configuration into pieces, sorted by name. Client blocks are divided by address: a
/// range that holds too many blocks is halved, so that a small edit changes few pieces.
/// @param source has passed the checks.
std::vector<piece> make_pieces(const steering_source& source);

} // namespace toucan::steering
