#include "support/http.h"

#include <stdexcept>

namespace toucan::test {

std::string http_response::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::optional<http_response> http_send(const vm_address& address, const std::string& method,
                                       const std::string& target, const httplib::Headers& headers,
                                       const std::string& body, std::chrono::milliseconds timeout)
{
    httplib::Client client(address.ip_text(), address.port());
    client.set_tcp_nodelay(true);
    client.set_keep_alive(false);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    httplib::Request req;
    req.method = method;
    req.path = target;
    req.headers = headers;
    req.body = body;
    const auto res = client.send(req);
    if (!res) {
        return std::nullopt;
    }
    return http_response{res->status, res->body, res->headers};
}

std::optional<nlohmann::json> get_json(const vm_address& address, const std::string& target)
{
    const auto it = http_send(address, "GET", target);
    if (!it || it->status != 200) {
        return std::nullopt;
    }
    auto out = nlohmann::json::parse(it->body, nullptr, false);
    return out.is_discarded() ? std::nullopt : std::optional(std::move(out));
}

void post_control(const vm_address& address, const std::string& target, const nlohmann::json& body)
{
    const auto it = http_send(address, "POST", target, {}, body.dump());
    if (!it || it->status != 200) {
        throw std::runtime_error("control request failed (no response or status other than 200): " +
                                 target + " " + body.dump());
    }
}

} // namespace toucan::test
