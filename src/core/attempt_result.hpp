// How an attempt ended, and what that proves. The one place in the core that says so; the rules themselves
// are the protocol's and engine/outcome.hpp's. Pure functions of the call; no errors.
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
    std::optional<PrefillResult> prefill;  // of a prefill attempt that ended well

    [[nodiscard]] AttemptOutcome outcome() const { return classification.outcome; }
    // The server found the request itself at fault (4xx): its answer goes to the client.
    [[nodiscard]] bool client_error() const { return classification.client_error; }
    // Served to its end.
    [[nodiscard]] bool ok() const { return outcome() == AttemptOutcome::ok && !client_error(); }
    // The server has reacted to the attempt, so that it arrived.
    [[nodiscard]] bool proves_arrival(const UpstreamCall& call) const;
    // Not proved not to have run. A prefill has no effect and never counts.
    [[nodiscard]] bool may_have_run(const UpstreamCall& call) const;
    // A prefill that was cancelled may have ended well all the same, with its answer on the way, and so may
    // one whose answer can't be read.
    [[nodiscard]] bool may_have_left_kv_state(const UpstreamCall& call) const;
};

// `stream_started`: the client of the request received a part of an answer.
[[nodiscard]] AttemptResult classify_attempt(const Protocol& protocol, const UpstreamCall& call,
                                             engine::ExchangeEnd ending, bool stream_started);

// If the attempt were cancelled now, could its server have received it?
[[nodiscard]] bool may_have_arrived(const Protocol& protocol, const UpstreamCall& call);

[[nodiscard]] AttemptOutcome classify_health_check(const UpstreamCall& call, engine::ExchangeEnd ending);

}  // namespace chalksail::core
