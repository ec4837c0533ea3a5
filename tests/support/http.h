#pragma once

#include "toucan/base/vm_address.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace toucan::test {

/// An HTTP answer that arrived whole.
struct http_answer {
    int status = 0;
    std::string body;
    httplib::Headers headers;

    /// @param name header field.
    /// @return the value, or an empty text.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Sends one request over a connection of its own.
/// @param address where to.
/// @param method HTTP method.
/// @param target path and query.
/// @param headers of the request.
/// @param body of the request.
/// @param timeout for connecting, and for each read.
/// @return nothing if no whole answer arrived.
std::optional<http_answer> http_send(const vm_address& address, const std::string& method,
                                     const std::string& target,
                                     const httplib::Headers& headers = {},
                                     const std::string& body = {},
                                     std::chrono::milliseconds timeout = std::chrono::seconds(10));

/// @return the document, or nothing if there is no answer 200 with valid JSON.
std::optional<nlohmann::json> get_json(const vm_address& address, const std::string& target);

/// Sends a control request to a stand-in. Throws unless it is accepted.
/// @param address of the stand-in.
/// @param target path of the control endpoint.
/// @param body JSON document.
void control(const vm_address& address, const std::string& target, const nlohmann::json& body);

} // namespace toucan::test
