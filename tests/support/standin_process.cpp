#include "support/standin_process.h"

#include "support/http.h"
#include "support/wait_until.h"

#include <stdexcept>
#include <utility>

namespace toucan::test {
namespace {

std::vector<std::string> with_address(std::vector<std::string> arguments, const std::string& flag,
                                      const vm_address& address)
{
    arguments.push_back(flag);
    arguments.push_back(address.to_string());
    return arguments;
}

} // namespace

standin_process::standin_process(const std::string& program, std::vector<std::string> arguments,
                                 const std::string& address_flag)
    : address_(range_.next()),
      process_(program, with_address(std::move(arguments), address_flag, address_),
               folder_.file("log"))
{
    // The path is unknown to the stand-in; a response of any status shows that it is serving.
    if (!wait_until(
            [this] { return http_send(address_, "GET", "/control/started").has_value(); })) {
        throw std::runtime_error(program +
                                 " did not answer before the deadline: " + process_.log_text());
    }
}

} // namespace toucan::test
