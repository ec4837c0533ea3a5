#pragma once

#include <cstddef>
#include <string>

namespace toucan::standins {

/// Fields of a request that determine the response body of a backend stand-in.
struct answer_identity {
    std::string method;
    /// Path and query as the backend server receives them.
    std::string target;
    std::string body;
    /// Value of the header `Toucan-Test-Id`.
    std::string test_id;
    /// Value of the header `Toucan-Test-Size`: minimum body size in bytes, reached by padding.
    std::size_t size = 0;
};

/// Computes the response body of a backend stand-in. Test callers compute it too and compare it
/// byte for byte.
/// @param request fields of the request.
std::string answer_body(const answer_identity& request);

} // namespace toucan::standins
