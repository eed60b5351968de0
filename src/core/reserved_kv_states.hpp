// Tracks the KV states of prefills and the reservations that servers hold for open requests, and releases
// them in time regardless of the progress of attempts.
//
// A request may have a held KV state, for its decode attempt, and a *pending release*: something that a
// server may hold and that no attempt will use, because a cancelled prefill may have completed or a
// reservation may have been made. A release call covers either one attempt, at that attempt's server, or the
// whole request, at any server (Protocol::release_scope()). A call for the whole request would also release
// the KV state of a new attempt; such an attempt is therefore deferred until the call has been written.
//
// See docs/design/platform.md for the rule on held state. No I/O, no clock; not thread-safe; reports no
// errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "core/attempt_result.hpp"
#include "core/endpoint_registry.hpp"
#include "core/protocol.hpp"
#include "core/step_output.hpp"
#include "core/upstream_calls.hpp"

namespace chalksail::core {

// Something that a server holds, or may hold, for a request.
struct KvReservation {
    membership::EndpointConfig server;  // a copy, as the endpoint may leave the list before the release
    std::string state;         // as named by the prefill server; empty: identified by the request's name
    std::int64_t attempt = 0;  // the attempt that left it
    Time since{};              // since when no attempt is known to have reached a server
    // For a pending release.
    observe::ReleaseReason reason = observe::ReleaseReason::prefill_may_have_ended;
};

class ReservedKvStates {
public:
    // Keeps references to all arguments.
    ReservedKvStates(const config::EdgeSettings& settings, const Protocol& protocol,
                     const EndpointRegistry& endpoints, UpstreamCalls& calls)
        : settings_(settings), protocol_(protocol), endpoints_(endpoints), calls_(calls) {}

    // ---- requests ----

    // Must be called before any other function for this request. `name` identifies the request at servers.
    void track(RequestId id, const std::string& name);
    // Releases what is held for the request and stops tracking it. No attempt may be in flight.
    void finish(RequestId id, Time now, StepOutput& output);

    // ---- held states ----

    // Records that a prefill attempt has left its KV state at its server.
    void hold(RequestId id, const UpstreamCall& prefill, const std::string& state, Time now,
              StepOutput& output);
    // Records that a decode server has begun to respond, which shows that it has fetched the KV state.
    void mark_fetched(RequestId id, const std::string& decode_server, Time now, StepOutput& output);
    // Returns the name of the held KV state, for a decode attempt; empty if none is held or it has no name.
    [[nodiscard]] std::string held_state(RequestId id) const;
    [[nodiscard]] bool holds_state(RequestId id) const;
    // Returns true if a KV state is held or a release is pending.
    [[nodiscard]] bool holds_any(RequestId id) const;
    // Returns the time at which the release is due unless a response proves before that an attempt has
    // arrived; std::nullopt if nothing is held.
    [[nodiscard]] std::optional<Time> release_due(RequestId id) const;
    [[nodiscard]] std::size_t held_count() const { return held_count_; }

    // ---- ends of calls ----

    // Updates what is held for the request after the end of an attempt, which must no longer be in flight.
    void attempt_ended(RequestId id, const UpstreamCall& call, const AttemptResult& result, Time now,
                       StepOutput& output);
    // Updates what is held for the request after the end of a release call, however that ended. Its deferred
    // attempt may be ready now: see take_ready_attempt().
    void release_ended(const UpstreamCall& call, engine::ExchangeEnd ending, Time now, StepOutput& output);
    // Schedules the release of a reservation that may have been made, unless an attempt uses it before.
    void reservation_ended(const UpstreamCall& call, Time now);

    // ---- releases ----

    // Releases what is held for the request, if anything. No attempt may be in flight.
    void release(RequestId id, observe::ReleaseReason reason, Time now, StepOutput& output);
    // Releases what is held for the request while an attempt is in flight that is not known to have arrived.
    // Something must be held, and releases must cover the whole request.
    void release_during_attempt(RequestId id, observe::ReleaseReason reason, Time now, StepOutput& output);
    // Begins the pending releases of requests that have no attempt in flight and no held KV state.
    void release_pending(const std::function<bool(RequestId)>& attempt_in_flight, Time now,
                         StepOutput& output);
    // Returns true if one release call covers everything that is held for a request.
    [[nodiscard]] bool release_covers_request() const {
        return protocol_.release_scope() == Protocol::ReleaseScope::request;
    }
    // Drops the state kept for a server that has left the list.
    void forget_server(const std::string& server) { servers_without_release_.erase(server); }

    // ---- deferred attempts ----

    // Returns true if a new attempt must be deferred because a release call for the request has not been
    // written yet.
    [[nodiscard]] bool defers_attempts(RequestId id) const;
    void defer(RequestId id, const Send& attempt, Time now, StepOutput& output);
    [[nodiscard]] bool has_deferred(RequestId id) const;
    // Removes and returns the deferred attempt if no release call defers it any longer; std::nullopt if it
    // still waits or there is none.
    [[nodiscard]] std::optional<Send> take_ready_attempt(RequestId id, Time now, StepOutput& output);
    // Removes and returns the deferred attempt, which must exist and does not begin.
    [[nodiscard]] Send drop_deferred(RequestId id, Time now, StepOutput& output);

private:
    struct DeferredAttempt {
        Send attempt;
        Time since{};
    };
    // The state of one request.
    struct Entry {
        std::string name;
        std::optional<KvReservation> held;
        std::optional<KvReservation> pending;
        std::optional<CallId> last_release;  // the last release call, which may still be in flight
        std::optional<DeferredAttempt> deferred;
    };
    // The progress of one release, shared by all its calls.
    struct ReleaseProgress {
        std::set<std::string> called;
        std::int64_t rounds = 0;
        bool done = false;
    };
    // One release call and the data needed to repeat it.
    struct ReleaseCall {
        std::string name;
        std::int64_t attempt = 0;
        std::string state;
        observe::ReleaseReason reason = observe::ReleaseReason::none;
        Time held_since{};
        std::shared_ptr<ReleaseProgress> progress = nullptr;
        bool starts_next_round = true;  // if the call fails; true for one call of each round
    };

    [[nodiscard]] Entry* find(RequestId id);
    [[nodiscard]] const Entry* find(RequestId id) const;
    // Turns the held KV state into a pending release.
    void make_pending(RequestId id, Entry& entry, observe::ReleaseReason reason);
    // Begins a release call to `holder`, or to the most recently active server if any server accepts the
    // call. Returns std::nullopt if the server has no release call.
    std::optional<CallId> begin_release(RequestId id, ReleaseCall release,
                                        const membership::EndpointConfig& holder, Time now,
                                        StepOutput& output);
    void release_entry(RequestId id, Entry& entry, const KvReservation& reservation,
                       observe::ReleaseReason reason, Time now, StepOutput& output);
    // Begins the next round of calls, if any is left, after the failure of a call with `starts_next_round`.
    void begin_next_round(RequestId id, ReleaseCall release, const std::string& failed_at, Time now,
                          StepOutput& output);
    Send take_deferred(Entry& entry, observe::DeferralAction action, Time now, StepOutput& output);
    [[nodiscard]] Duration release_timeout() const;

    const config::EdgeSettings& settings_;
    const Protocol& protocol_;
    const EndpointRegistry& endpoints_;
    UpstreamCalls& calls_;
    std::unordered_map<std::uint64_t, Entry> entries_;  // by request; never iterated: unordered
    std::map<CallId, ReleaseCall> release_calls_;       // release calls in flight
    std::set<std::string> servers_without_release_;     // servers that have no release call
    std::vector<RequestId> pending_;                    // requests that may have a pending release
    std::size_t held_count_ = 0;
};

}  // namespace chalksail::core
