// Classifies how an attempt ended and what that proves. No other part of the core does so; the rules are
// those of the protocol and of engine/outcome.hpp. Pure functions of the call; reports no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>

#include "core/protocol.hpp"
#include "core/upstream_calls.hpp"
#include "engine/outcome.hpp"

namespace chalksail::core {

struct AttemptResult {
    engine::ExchangeEnd ending = engine::ExchangeEnd::response_received;
    engine::AttemptClassification classification;
    std::optional<PrefillResult> prefill;  // of a successful prefill attempt

    [[nodiscard]] AttemptOutcome outcome() const { return classification.outcome; }
    // The server rejected the request as invalid (4xx): its response is forwarded to the client.
    [[nodiscard]] bool client_error() const { return classification.client_error; }
    // The request was served completely.
    [[nodiscard]] bool ok() const { return outcome() == AttemptOutcome::ok && !client_error(); }
    // Returns true if the server has responded, which proves that the attempt arrived.
    [[nodiscard]] bool proves_arrival(const UpstreamCall& call) const;
    // Returns true unless the attempt is proved not to have run. Always false for a prefill, which has no
    // effect and can be repeated.
    [[nodiscard]] bool may_have_run(const UpstreamCall& call) const;
    // Returns true if a prefill may have completed although no valid response was received: it was cancelled
    // or lost while its response was on the way, or the response is malformed.
    [[nodiscard]] bool may_have_left_kv_state(const UpstreamCall& call) const;
};

// `stream_started` is true if the client has received a part of a response.
[[nodiscard]] AttemptResult classify_attempt(const Protocol& protocol, const UpstreamCall& call,
                                             engine::ExchangeEnd ending, bool stream_started);

// Returns true if the server may have received the attempt, were it cancelled now.
[[nodiscard]] bool may_have_arrived(const Protocol& protocol, const UpstreamCall& call);

[[nodiscard]] AttemptOutcome classify_health_check(const UpstreamCall& call, engine::ExchangeEnd ending);

}  // namespace chalksail::core
