#pragma once

#include "toucan/platform/vm_entry.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::platform {

/// Decodes the platform's VM list from JSON. Accepts any input.
/// @return empty, with a last reason, if the text or an entry is malformed.
std::optional<std::vector<vm_entry>> decode_vm_list(std::string_view text);
/// Encodes a VM list as JSON.
std::string encode_vm_list(const std::vector<vm_entry>& entries);

} // namespace toucan::platform
