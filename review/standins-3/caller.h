#pragma once

#include "net.h"

namespace review {

/// Head of a request to the installation.
/// @param more further header lines, each with its end.
/// @param limit_ms time limit; that of the users' example if it isn't named.
std::string request_head(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& more, unsigned limit_ms = 1200);

/// Whether the case is run with its disruption, which TROUBLE=0 leaves out.
bool with_trouble();

} // namespace review
