#pragma once

#include "toucan/edge/records.h"
#include "toucan/edge/routing_config.h"
#include "toucan/edge/table_client.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::edge {

/// Classification of a row of the operator's table.
struct operator_record {
    enum class kind : std::uint8_t { configuration, evacuation, other };

    kind type = kind::other;
    /// Evacuated failure domain; only for `evacuation`.
    failure_domain_name failure_domain;
};

/// Decodes the rows of the shared store that backend servers and the operator write. A decoder that
/// fails sets the last reason.
class record_codec {
public:
    virtual ~record_codec() = default;

    /// Name of the table of the backend servers.
    [[nodiscard]] virtual std::string backend_table() const = 0;
    /// Name of the operator's table, with configurations and evacuations.
    [[nodiscard]] virtual std::string operator_table() const = 0;

    /// @return nothing with a last reason if the row is not a valid backend server.
    [[nodiscard]] virtual std::optional<backend_record>
    decode_backend(const table_row& it) const = 0;
    /// Determines the kind of a row from its key. The value may be empty for a removed row.
    [[nodiscard]] virtual operator_record classify(const table_row& it) const = 0;
    /// @return nullptr with a last reason if the row is not a valid, complete configuration.
    [[nodiscard]] virtual std::shared_ptr<const routing_config>
    decode_configuration(const table_row& it) const = 0;
};

} // namespace toucan::edge
