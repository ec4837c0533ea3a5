#include "toucan/edge/workspace.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <stdexcept>
#include <utility>

namespace toucan::edge {

key_digest key_digest::of(std::string_view key)
{
    key_digest it;
    unsigned int n = 0;
    if (EVP_Digest(key.data(), key.size(), it.bytes_.data(), &n, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 digest failed in libcrypto");
    }
    return it;
}

bool operator==(const key_digest& lhs, const key_digest& rhs)
{
    return CRYPTO_memcmp(lhs.bytes_.data(), rhs.bytes_.data(), key_digest::size) == 0;
}

const workspace* workspace_table::find(const key_digest& key) const
{
    const auto it = keys_.find(key);
    return it == keys_.end() ? nullptr : &all_[it->second];
}

absl::flat_hash_map<workspace_name, std::size_t>
workspace_table::keys_missing_in(const workspace_table& other) const
{
    absl::flat_hash_map<workspace_name, std::size_t> missing;
    for (const auto& [key, owner] : keys_) {
        if (!other.keys_.contains(key)) {
            ++missing[all_[owner].name];
        }
    }
    return missing;
}

workspace_table::builder& workspace_table::builder::add(workspace it,
                                                        const std::vector<key_digest>& keys)
{
    for (const auto& key : keys) {
        table_.keys_.try_emplace(key, table_.all_.size());
    }
    table_.all_.push_back(std::move(it));
    return *this;
}

workspace_table::builder& workspace_table::builder::set_incomplete()
{
    table_.incomplete_ = true;
    return *this;
}

} // namespace toucan::edge
