#include "toucan/base/content_hash.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace toucan {

std::string content_hash(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), buf.data(), &n, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 digest failed in libcrypto");
    }
    return fmt::format("{:02x}", fmt::join(buf.begin(), buf.begin() + n, ""));
}

} // namespace toucan
