#pragma once

#include <cstdint>

namespace toucan::rpc {

/// Life-cycle state of a daemon as reported to its peers. Lookup responses list only ready members.
enum class member_state : std::uint8_t { starting, ready, leaving };

} // namespace toucan::rpc
