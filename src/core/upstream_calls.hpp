// The HTTP exchanges with servers that are in flight: attempts of requests, releases and reservations of KV
// state, health checks and verifications.
//
// Owns each call from its beginning until its end is reported, and the timers of calls. What a call's end
// means is decided by others (attempt_result.hpp, reserved_kv_states.hpp). Free of I/O and clock; not
// thread-safe; no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/handles.hpp"
#include "core/protocol.hpp"
#include "core/step_output.hpp"
#include "membership/endpoint_list.hpp"

namespace chalksail::core {

// How much of a call has been handed to its connection. Only ever moves on.
enum class SendPhase {
    queued,   // nothing: it waits for a connection
    sending,  // its first byte
    written,  // its last byte
};

// One exchange with a server.
struct UpstreamCall {
    CallId id;
    CallKind kind = CallKind::attempt;
    std::string server;
    std::string server_kind;
    Time begun{};
    SendPhase send_phase = SendPhase::queued;
    std::optional<Time> timer;  // when it is given up
    int status = 0;             // of the response; 0: none yet
    ResponseHead head;
    std::string body;  // of a prefill, a health check or an error; bounded

    // Of attempts, releases and reservations.
    RequestId request;

    // Of attempts only.
    AttemptId attempt;
    bool prefill = false;
    std::optional<Time> timeout;  // the router's own for this attempt
    bool paused = false;          // its response is not read, because its client is slow
    bool half_closed = false;     // cancelled by the end of its sending; its response may be on the way
    std::unique_ptr<DecodeResponseParser> parser;  // of a decode response with status 200

    [[nodiscard]] bool sent() const { return send_phase != SendPhase::queued; }
    [[nodiscard]] bool written() const { return send_phase == SendPhase::written; }
    // Moves on to `phase`, unless the call is further already.
    void advance(SendPhase phase);
};

class UpstreamCalls {
public:
    // Begins a call; the reference is valid until end().
    UpstreamCall& begin(CallKind kind, const membership::EndpointConfig& server, ServerRequest request,
                        double priority, Time now, StepOutput& output);
    // nullptr: it has ended.
    [[nodiscard]] UpstreamCall* find(CallId id);
    [[nodiscard]] const UpstreamCall* find(CallId id) const;
    // Takes a call out, with its timer. It must be in flight.
    [[nodiscard]] UpstreamCall end(CallId id);

    // Gives the call up at `due`. A call has at most one timer.
    void set_timer(UpstreamCall& call, Time due);
    // The next call whose timer is due, and removes that timer.
    [[nodiscard]] std::optional<CallId> pop_due(Time now);
    [[nodiscard]] std::optional<Time> next_timer() const;

    // Attempts of which nothing was sent, to any of these servers; in the order of their beginning.
    [[nodiscard]] std::vector<CallId> queued_attempts(const std::set<std::string>& servers) const;
    // The servers that a call is in flight to.
    [[nodiscard]] std::set<std::string> servers_in_use() const;
    [[nodiscard]] std::size_t count() const { return calls_.size(); }

private:
    std::map<CallId, UpstreamCall> calls_;
    std::set<std::pair<Time, CallId>> timers_;
    std::uint64_t last_id_ = 0;
};

}  // namespace chalksail::core
