#include "common/response_rule.h"

#include "toucan/base/content_hash.h"
#include "toucan/base/stable_hash.h"

#include <fmt/format.h>

namespace toucan::standins {

std::string expected_body(const response_key& request)
{
    auto out = fmt::format("{} {}\nbody {}\nid {}\n", request.method, request.target,
                           content_hash(request.body), request.test_id);
    // The padding depends on the request and the position, so shifted, swapped or truncated parts
    // never compare equal.
    const auto seed = out;
    for (std::uint64_t it = 0; out.size() < request.size; ++it) {
        out += fmt::format("{:016x}", stable_hash(seed, it));
        if (out.size() > request.size) {
            out.resize(request.size);
        }
    }
    return out;
}

} // namespace toucan::standins
