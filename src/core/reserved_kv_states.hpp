// What servers hold for open requests, KV states of prefills and reservations, and how it is released in its
// time whatever the attempts do.
//
// For each request there may be a state that is held for its decode attempt, and a *pending release*:
// something that a server may hold (a cancelled prefill may have ended well, a reservation may have been
// made) and that no attempt is to use. One release call covers either one attempt, at that attempt's server,
// or the whole request, at any server (Protocol::release_covers()). A call for the whole request takes away
// what a new attempt needs; such an attempt is deferred until the call is written.
//
// See docs/design/platform.md for the rule on held state. Free of I/O and clock; not thread-safe; no errors.
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
    membership::EndpointConfig server;  // a copy: it may leave the list before the release
    std::string state;                  // as the prefill server named it; empty: the request's name is enough
    std::int64_t attempt = 0;           // that left it
    Time since{};                       // from when on no attempt has been known to be with a server
    // Of a pending release.
    observe::ReleaseReason reason = observe::ReleaseReason::prefill_may_have_ended;
};

class ReservedKvStates {
public:
    // Keeps references to all of them.
    ReservedKvStates(const config::EdgeSettings& settings, const Protocol& protocol,
                     const EndpointRegistry& endpoints, UpstreamCalls& calls)
        : settings_(settings), protocol_(protocol), endpoints_(endpoints), calls_(calls) {}

    // ---- requests ----

    // Must come before anything else about this request. `name`: the request's towards servers.
    void track(RequestId id, const std::string& name);
    // The request is over and no attempt is in flight: releases what is held, and forgets the request.
    void finish(RequestId id, Time now, StepOutput& output);

    // ---- what is held ----

    // A prefill attempt has left its state at its server.
    void hold(RequestId id, const UpstreamCall& prefill, const std::string& state, Time now,
              StepOutput& output);
    // A decode server has begun to answer, so that it has fetched the state.
    void mark_fetched(RequestId id, const std::string& decode_server, Time now, StepOutput& output);
    // Names the state for a decode attempt; empty: none is held, or it has no name.
    [[nodiscard]] std::string held_state(RequestId id) const;
    [[nodiscard]] bool holds_state(RequestId id) const;
    // Is a state held, or a release pending?
    [[nodiscard]] bool holds_any(RequestId id) const;
    // When it has to be released if no attempt is known to be with a server; nothing: nothing is held.
    [[nodiscard]] std::optional<Time> release_due(RequestId id) const;
    [[nodiscard]] std::size_t held_count() const { return held_count_; }

    // ---- ends of calls ----

    // Draws from an attempt's end what it means for what is held. The attempt is no longer in flight.
    void attempt_ended(RequestId id, const UpstreamCall& call, const AttemptResult& result, Time now,
                       StepOutput& output);
    // Returns whether the request's deferred attempt may go now: see take_ready_attempt().
    [[nodiscard]] bool release_ended(const UpstreamCall& call, engine::ExchangeEnd ending, Time now,
                                     StepOutput& output);
    // A reservation that may have been made is released like a state, unless an attempt uses it.
    void reservation_ended(const UpstreamCall& call, Time now);

    // ---- releases ----

    // Releases what is held for the request, if anything; no attempt of it may be in flight.
    void release(RequestId id, observe::ReleaseReason reason, Time now, StepOutput& output);
    // The same with an attempt in flight, of which nothing shows whether it has arrived. Something must be
    // held, and releases must cover the request.
    void release_beside_attempt(RequestId id, observe::ReleaseReason reason, Time now, StepOutput& output);
    // Makes the pending releases of requests that have no attempt in flight and no state held.
    void release_pending(const std::function<bool(RequestId)>& attempt_in_flight, Time now,
                         StepOutput& output);
    // Does one release call cover all that is held for a request?
    [[nodiscard]] bool release_covers_request() const {
        return protocol_.release_covers() == Protocol::ReleaseScope::request;
    }
    // The server is off the list.
    void forget_server(const std::string& server) { without_release_.erase(server); }

    // ---- deferred attempts ----

    // Must a new attempt be deferred, because a release call for the request has not been written yet?
    [[nodiscard]] bool defers_attempts(RequestId id) const;
    void defer(RequestId id, const Send& attempt);
    [[nodiscard]] bool has_deferred(RequestId id) const;
    // Takes out the deferred attempt once no release call holds it back; nothing: there is none, or it waits.
    [[nodiscard]] std::optional<Send> take_ready_attempt(RequestId id);
    // Takes out the deferred attempt, which there must be.
    [[nodiscard]] Send take_deferred(RequestId id);

private:
    struct Entry {  // of one request
        std::string name;
        std::optional<KvReservation> held;
        std::optional<KvReservation> pending;
        std::optional<CallId> last_release;  // it may still be in flight
        std::optional<Send> deferred;
    };
    // Shared by all calls of one release: which servers were called, in how many rounds, and with what
    // result.
    struct ReleaseProgress {
        std::set<std::string> called;
        std::int64_t rounds = 0;
        bool done = false;
    };
    // One release call, and what it takes to repeat it.
    struct ReleaseCall {
        std::string name;
        std::int64_t attempt = 0;
        std::string state;
        observe::ReleaseReason reason = observe::ReleaseReason::none;
        Time held_since{};
        std::shared_ptr<ReleaseProgress> progress = nullptr;
        bool leads = true;  // its failure is followed by the next round
    };

    [[nodiscard]] Entry* find(RequestId id);
    [[nodiscard]] const Entry* find(RequestId id) const;
    // Moves the held state to the pending release.
    void make_pending(RequestId id, Entry& entry, observe::ReleaseReason reason);
    // Begins a release call to `holder`, or where any server takes it to the one that was active last.
    // Nothing: servers of that kind have no such call.
    std::optional<CallId> begin_release(RequestId id, ReleaseCall release,
                                        const membership::EndpointConfig& holder, Time now,
                                        StepOutput& output);
    void release_entry(RequestId id, Entry& entry, const KvReservation& reservation,
                       observe::ReleaseReason reason, Time now, StepOutput& output);
    // Begins the next round after one whose leading call failed; returns false if there is none.
    bool begin_next_round(RequestId id, ReleaseCall release, const std::string& failed_at, Time now,
                          StepOutput& output);
    [[nodiscard]] Duration release_timeout() const;

    const config::EdgeSettings& settings_;
    const Protocol& protocol_;
    const EndpointRegistry& endpoints_;
    UpstreamCalls& calls_;
    std::unordered_map<std::uint64_t, Entry> entries_;  // by request; looked up, never walked
    std::map<CallId, ReleaseCall> release_calls_;       // in flight
    std::set<std::string> without_release_;             // servers that have no release call
    std::vector<RequestId> pending_;                    // requests that may have a pending release
    std::size_t held_count_ = 0;
};

}  // namespace chalksail::core
