// The HTTP exchanges with servers that are in flight: attempts of requests, releases and reservations of KV
// states, health checks and verifications.
//
// Owns each call from its beginning until its end is reported, and the timers of calls. The end of a call is
// interpreted elsewhere (attempt_result.hpp, reserved_kv_states.hpp). No I/O, no clock; not thread-safe;
// reports no errors.
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

// How much of a call has been handed to its connection. The phase never goes back.
enum class SendPhase {
    queued,   // nothing: the call waits for a connection
    sending,  // the first byte
    written,  // the last byte
};

// One exchange with a server.
struct UpstreamCall {
    CallId id;
    CallKind kind = CallKind::attempt;
    std::string server;
    std::string server_kind;
    Time begun{};
    SendPhase send_phase = SendPhase::queued;
    std::optional<Time> timer;  // when the call is aborted
    int status = 0;             // status of the response; 0: not received yet
    ResponseHead head;
    std::string body;  // response body of a prefill, a health check or an error; limited in size

    // For attempts, releases and reservations.
    RequestId request;

    // For attempts only.
    AttemptId attempt;
    bool prefill = false;
    std::optional<Time> timeout;  // the timeout that the router set for this attempt
    bool paused = false;          // the response is not read, because the client is slow
    bool half_closed = false;     // cancelled by a half-close; the response may still be on its way
    std::unique_ptr<DecodeResponseParser> parser;  // for a decode response with status 200
    std::size_t stream_bytes = 0;                  // bytes of the body that the parser was given
    std::size_t buffered_bytes = 0;                // of the response, by the call or its parser

    [[nodiscard]] bool sent() const { return send_phase != SendPhase::queued; }
    [[nodiscard]] bool written() const { return send_phase == SendPhase::written; }
    // Advances to `phase`, unless the call has already reached or passed it.
    void advance(SendPhase phase);
};

class UpstreamCalls {
public:
    // Begins a call; the reference is valid until end().
    UpstreamCall& begin(CallKind kind, const membership::EndpointConfig& server, ServerRequest request,
                        double priority, Time now, StepOutput& output);
    // Returns nullptr if the call has ended.
    [[nodiscard]] UpstreamCall* find(CallId id);
    [[nodiscard]] const UpstreamCall* find(CallId id) const;
    // Removes a call and its timer, and returns the call. It must be in flight.
    [[nodiscard]] UpstreamCall end(CallId id);

    // Sets the time at which the call is aborted. A call has at most one timer.
    void set_timer(UpstreamCall& call, Time due);
    // Removes the earliest timer that is due and returns its call; std::nullopt if none is due.
    [[nodiscard]] std::optional<CallId> pop_due(Time now);
    [[nodiscard]] std::optional<Time> next_timer() const;

    // Returns the attempts to any of these servers of which no byte was sent, in the order in which they
    // began.
    [[nodiscard]] std::vector<CallId> queued_attempts(const std::set<std::string>& servers) const;
    // Returns the servers to which a call is in flight.
    [[nodiscard]] std::set<std::string> servers_in_use() const;
    [[nodiscard]] std::size_t count() const { return calls_.size(); }
    // Updates the size of the part of the call's response that is buffered.
    void update_buffered_bytes(UpstreamCall& call);
    // Returns the total size of the buffered parts of responses.
    [[nodiscard]] std::size_t buffered_bytes() const { return buffered_bytes_; }
    // Returns the call with the largest buffered part; std::nullopt if nothing is buffered.
    [[nodiscard]] std::optional<CallId> largest_buffer() const;

private:
    std::map<CallId, UpstreamCall> calls_;
    std::set<std::pair<Time, CallId>> timers_;
    std::uint64_t last_id_ = 0;
    std::size_t buffered_bytes_ = 0;
};

}  // namespace chalksail::core
