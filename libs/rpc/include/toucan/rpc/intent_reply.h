#pragma once

#include <cstdint>

namespace toucan::rpc {

/// Verdict of the witness. The owner may dispatch only after `accepted`.
enum class intent_verdict : std::uint8_t { accepted, sealed, not_the_witness };

struct intent_reply {
    intent_verdict verdict = intent_verdict::not_the_witness;

    friend bool operator==(const intent_reply&, const intent_reply&) = default;
};

} // namespace toucan::rpc
