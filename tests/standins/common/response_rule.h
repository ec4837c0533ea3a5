#pragma once

#include <cstddef>
#include <string>

namespace toucan::standins {

/// Fields of a request that determine the response body of a backend stand-in.
struct response_key {
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
std::string expected_body(const response_key& request);

} // namespace toucan::standins
