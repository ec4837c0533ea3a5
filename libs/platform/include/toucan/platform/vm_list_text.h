#pragma once

#include "toucan/platform/vm_entry.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::platform {

/// Decodes the platform's JSON list. Accepts any input.
/// @return the list, or nothing with a last reason.
std::optional<std::vector<vm_entry>> decode_vm_list(std::string_view text);
std::string encode_vm_list(const std::vector<vm_entry>& entries);

} // namespace toucan::platform
