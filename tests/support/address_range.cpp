#include "support/address_range.h"

#include "toucan/base/stable_hash.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace toucan::test {
namespace {

constexpr std::uint32_t loopback_base = 0x7f000000;
// Leaves the first 256 ranges to other programs that use loopback addresses.
constexpr std::uint32_t first_range = 256;
constexpr std::uint32_t range_count = 4096;
constexpr std::uint32_t addresses_per_range = 250;

} // namespace

address_range::address_range()
{
    const auto folder =
        std::filesystem::temp_directory_path() / ("toucan-test-ranges-" + std::to_string(getuid()));
    std::filesystem::create_directories(folder);
    // Homes and gateways are chosen by address. Starting from a hash of the program name gives a
    // test program the same addresses, and the same homes and gateways, in every run.
    const auto first_candidate =
        static_cast<std::uint32_t>(stable_hash(program_invocation_short_name));
    for (std::uint32_t it = 0; it < range_count; ++it) {
        const auto n = first_range + (first_candidate + it) % range_count;
        const auto path = folder / std::to_string(n);
        const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0) {
            lock_fd_ = fd;
            base_ip_ = loopback_base + n * 256;
            return;
        }
        if (fd >= 0) {
            close(fd);
        }
    }
    throw std::runtime_error(
        "no free loopback address range: each lock file is held or cannot be opened");
}

address_range::~address_range()
{
    close(lock_fd_);
}

vm_address address_range::next(std::uint16_t port)
{
    if (allocated_count_ == addresses_per_range) {
        throw std::runtime_error("all addresses of the loopback range are allocated");
    }
    return {base_ip_ + ++allocated_count_, port};
}

} // namespace toucan::test
