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

constexpr std::uint32_t loopback = 0x7f000000;
// The first ranges are left to everything else that uses loopback.
constexpr std::uint32_t first_range = 256;
constexpr std::uint32_t range_count = 4096;
constexpr std::uint32_t range_size = 250;

} // namespace

address_range::address_range()
{
    const auto folder =
        std::filesystem::temp_directory_path() / ("toucan-test-ranges-" + std::to_string(getuid()));
    std::filesystem::create_directories(folder);
    // Addresses decide homes and gateways, so each test program has the same ones on every run.
    const auto start = static_cast<std::uint32_t>(stable_hash(program_invocation_short_name));
    for (std::uint32_t it = 0; it < range_count; ++it) {
        const auto n = first_range + (start + it) % range_count;
        const auto path = folder / std::to_string(n);
        const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0) {
            lock_ = fd;
            base_ = loopback + n * 256;
            return;
        }
        if (fd >= 0) {
            close(fd);
        }
    }
    throw std::runtime_error("no free range of loopback addresses");
}

address_range::~address_range()
{
    close(lock_);
}

vm_address address_range::next(std::uint16_t port)
{
    if (used_ == range_size) {
        throw std::runtime_error("range of loopback addresses is used up");
    }
    return {base_ + ++used_, port};
}

} // namespace toucan::test
