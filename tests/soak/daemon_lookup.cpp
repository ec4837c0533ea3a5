#include "daemon_lookup.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace toucan::soak {

namespace {

constexpr std::chrono::milliseconds lookup_timeout{1000};

} // namespace

void daemon_lookup::start(std::mt19937_64& random,
                          std::function<void(std::optional<std::size_t>)> done)
{
    const auto& daemon = daemons_[random() % daemons_.size()];
    directory_ = std::make_unique<edge::pooled_http_client>(loop_, time_, daemon.directory);
    directory_->send({"GET",
                      fmt::format("/toucanpoint/resolve?name=a.example&region={}&zone={}",
                                  daemon.region, daemon.failure_domain),
                      {},
                      {}},
                     lookup_timeout,
                     [this, draw = random(), done = std::move(done)](const edge::http_result& it) {
                         const bool named = it.response && it.response->status == 200;
                         const auto chosen = named ? choose(it.response->body, draw) : std::nullopt;
                         // Posted, because the next lookup destroys the client that runs this
                         // callback.
                         edge::asio::post(loop_, [done, chosen] { done(chosen); });
                     });
}

std::optional<std::size_t> daemon_lookup::choose(const std::string& body, std::uint64_t draw) const
{
    const auto addresses = nlohmann::json::parse(body).at("addresses");
    const auto address = addresses.at(draw % addresses.size()).get<std::string>();
    const auto it =
        std::find_if(daemons_.begin(), daemons_.end(), [&](const daemon_endpoints& endpoint) {
            return endpoint.callers.to_string() == address;
        });
    return it == daemons_.end()
               ? std::nullopt
               : std::optional<std::size_t>(static_cast<std::size_t>(it - daemons_.begin()));
}

} // namespace toucan::soak
