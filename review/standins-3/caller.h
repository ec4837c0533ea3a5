#pragma once

#include "net.h"

namespace review {

/// Head of a request to the installation, with the time limit of the users' example.
/// @param more further header lines, each with its end.
std::string request_head(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& more);

/// Whether the case is run with its disruption, which TROUBLE=0 leaves out.
bool with_trouble();

} // namespace review
