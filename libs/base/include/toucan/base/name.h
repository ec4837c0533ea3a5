#pragma once

#include <compare>
#include <string>
#include <utility>

namespace toucan {

/// Strongly typed name. `Tag` selects the kind; names of different kinds do not convert.
template <typename Tag>
class name {
public:
    name() = default;
    explicit name(std::string text) : text_(std::move(text)) {}

    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const name&, const name&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const name& it) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), it.text_);
    }

private:
    std::string text_;
};

using region_name = name<struct region_tag>;
using failure_domain_name = name<struct failure_domain_tag>;
using service_name = name<struct service_tag>;
using backend_server_name = name<struct backend_server_tag>;
using workspace_name = name<struct workspace_tag>;

} // namespace toucan
