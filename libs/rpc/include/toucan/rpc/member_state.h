#pragma once

#include <cstdint>

namespace toucan::rpc {

/// Life cycle of a daemon as its peers see it. Only a ready member is named in lookup answers.
enum class member_state : std::uint8_t { starting, ready, leaving };

} // namespace toucan::rpc
