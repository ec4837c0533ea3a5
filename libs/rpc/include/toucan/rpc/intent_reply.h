#pragma once

#include <cstdint>

namespace toucan::rpc {

/// Verdict of the witness. The owner may dispatch only after `accepted`.
enum class intent_verdict : std::uint8_t {
    /// The intent is recorded.
    accepted,
    /// The witness refuses all intents of this incarnation of the owner.
    sealed,
    /// The request names another witness incarnation than the receiver.
    not_the_witness
};

/// Reply to an `intent_request`.
struct intent_reply {
    intent_verdict verdict = intent_verdict::not_the_witness;

    friend bool operator==(const intent_reply&, const intent_reply&) = default;
};

} // namespace toucan::rpc
