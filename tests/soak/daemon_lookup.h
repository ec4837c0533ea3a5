#pragma once

#include "asio.h"
#include "pooled_http_client.h"

#include "toucan/base/clock.h"
#include "toucan/base/vm_address.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Addresses and location of a daemon.
struct daemon_endpoints {
    /// Listening address for requests of callers.
    vm_address callers;
    /// Listening address of the directory.
    vm_address directory;
    std::string failure_domain;
    std::string region;
    /// Listening addresses of proxies that forward to `callers` with a delay, one for each delay
    /// class.
    std::vector<vm_address> delayed_callers = {};
    /// Number of times that the daemon was started.
    int run = 0;
};

/// Asks the directory of a random daemon which daemon a caller may use.
class daemon_lookup {
public:
    /// @param daemons all daemons, by index; must outlive this object.
    daemon_lookup(edge::asio::io_context& loop, const clock& time,
                  const std::vector<daemon_endpoints>& daemons)
        : loop_(loop), time_(time), daemons_(daemons)
    {
    }

    /// @param done called with the index of a daemon; nothing if the directory does not name one.
    void start(std::mt19937_64& random, std::function<void(std::optional<std::size_t>)> done);

private:
    [[nodiscard]] std::optional<std::size_t> choose(const std::string& body,
                                                    std::uint64_t draw) const;

    edge::asio::io_context& loop_;
    const clock& time_;
    const std::vector<daemon_endpoints>& daemons_;
    std::unique_ptr<edge::pooled_http_client> directory_;
};

} // namespace toucan::soak
