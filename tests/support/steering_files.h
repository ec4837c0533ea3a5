#pragma once

#include "support/deployment_plan.h"
#include "toucan/base/vm_address.h"

#include <string>
#include <vector>

namespace toucan::test {

/// A backend server as listed in the steering files.
struct backend_vm {
    std::string name;
    std::string service;
    std::string failure_domain;
    vm_address address;
};

/// Writes `places.toml` and one file for each service.
/// @param folder existing folder.
/// @param plan deployment to describe.
/// @param backends backend servers of all services.
void write_steering_files(const std::string& folder, const deployment_plan& plan,
                          const std::vector<backend_vm>& backends);

/// @return client block that the steering files assign to a failure domain.
/// @param domain_index index of the failure domain in the plan.
std::string client_block_of(std::size_t domain_index);

} // namespace toucan::test
