#pragma once

#include "toucan/base/vm_address.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace toucan::test {

/// A complete HTTP response.
struct http_response {
    int status = 0;
    std::string body;
    httplib::Headers headers;

    /// @param name header field.
    /// @return the value, or an empty string if the field is absent.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Sends one request over a new connection.
/// @param address destination.
/// @param method HTTP method.
/// @param target path and query.
/// @param headers request headers.
/// @param body request body.
/// @param timeout limit for the connection, and for each read and write.
/// @return empty if no complete response arrived.
std::optional<http_response>
http_send(const vm_address& address, const std::string& method, const std::string& target,
          const httplib::Headers& headers = {}, const std::string& body = {},
          std::chrono::milliseconds timeout = std::chrono::seconds(10));

/// @return the JSON document, or empty unless the response has status 200 and valid JSON.
std::optional<nlohmann::json> get_json(const vm_address& address, const std::string& target);

/// Sends a control request to a stand-in. Throws `std::runtime_error` unless the status is 200.
/// @param address address of the stand-in.
/// @param target path of the control endpoint.
/// @param body JSON document.
void post_control(const vm_address& address, const std::string& target, const nlohmann::json& body);

} // namespace toucan::test
