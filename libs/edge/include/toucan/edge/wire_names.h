#pragma once

#include <functional>
#include <string>
#include <vector>

namespace toucan::edge {

/// Header, cookie, path and parameter names of a deployment's interfaces between callers, daemons
/// and backend servers. The defaults are toucanpoint's own names.
struct wire_names {
    /// Header with the id of a caller's attempt; backend servers repeat it in their responses.
    std::string attempt_id = "Toucan-Attempt-Id";
    /// Header with the time for which the sender still waits, in milliseconds.
    std::string time_left_ms = "Toucan-Deadline-Ms";
    /// Header with the name of the only backend server that may run the request.
    std::string expected_backend = "Toucan-Expect-Backend";
    /// Response header that a backend server sets if it did not run the request.
    std::string not_run = "Toucan-Not-Run";
    /// Response header with the backend server's signature over the response.
    std::string signature = "Toucan-Signature";
    /// Response header with the backend server's load: requests running, requests queued and slots,
    /// separated by commas. A fourth figure may follow: how long work takes on the server at the
    /// moment, 100 for as long as usual, 250 for 2.5 times as long.
    std::string load = "Toucan-Load";
    /// Response header with the rate limit of the backend server: requests per second that it
    /// accepts from all daemons together, as long as its responses carry the header.
    std::string rate_limit = "Toucan-Rate-Limit";
    /// Response header with the value 1 of a backend server that leaves.
    std::string leaving = "Toucan-Leaving";
    /// Response header of a refusal with 503: seconds for which the backend server wants no
    /// requests from this daemon.
    std::string back_off = "Retry-After";
    /// Cookie with the key of the object that a request accesses.
    std::string object_cookie = "Toucan-Object";
    /// Request header with the API key of a caller, after its scheme.
    std::string authorization = "Authorization";
    std::string key_scheme = "Bearer";
    /// Request header with the workspace of a caller, for backend servers. It is always set by the
    /// daemon.
    std::string workspace = "Toucan-Workspace";

    std::string readiness_path = "/readyz";
    std::string directory_path = "/v1/entries";
    /// Query parameters of a directory look-up.
    std::string directory_region = "region";
    std::string directory_failure_domain = "failure_domain";
    /// Formats the body of a directory look-up answer.
    /// Parameters: daemon addresses; lifetime of the answer in seconds.
    std::function<std::string(const std::vector<std::string>&, double)> directory_answer;
};

} // namespace toucan::edge
