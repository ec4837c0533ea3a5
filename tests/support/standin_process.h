#pragma once

#include "support/address_range.h"
#include "support/child_process.h"
#include "support/temporary_folder.h"
#include "toucan/base/vm_address.h"

#include <string>
#include <vector>

namespace toucan::test {

/// A single stand-in process, for the tests of the stand-ins.
class standin_process {
public:
    /// Starts the stand-in and waits until it answers. Throws `std::runtime_error` if it does not.
    /// @param program path of the stand-in.
    /// @param arguments command-line arguments without the address.
    /// @param address_flag flag that receives the address of the HTTP endpoint.
    explicit standin_process(const std::string& program, std::vector<std::string> arguments = {},
                             const std::string& address_flag = "--listen");

    [[nodiscard]] const vm_address& address() const { return address_; }
    child_process& process() { return process_; }

private:
    temporary_folder folder_;
    address_range range_;
    vm_address address_;
    child_process process_;
};

} // namespace toucan::test
