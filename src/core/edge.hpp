// The core of the edge, without I/O: manages the lifecycle of each request, hosts one routing policy, and
// turns inputs into effects.
//
// step(now, inputs) receives the network layer's reports (inputs.hpp) and returns the operations that it has
// to carry out, in order (effects.hpp). The core uses no sockets, clock, threads, logs or globals: the same
// object runs behind real sockets or in virtual time, and the same inputs give the same effects.
//
// Edge is a coordinator. Each part of the state is owned by a class of its own:
//   ActiveRequests     requests, their phases, deadlines and timers
//   UpstreamCalls      calls to servers in flight; AttemptResult classifies how an attempt ended
//   ReservedKvStates   KV states and reservations that servers hold for requests, and their releases
//   EndpointRegistry   the endpoint list, verification, activity
//   CacheIndex         reported prefix caches
//   RouterHost         the routing policy and its timers
// Three classes implement the operations that involve several of these: RequestIntake accepts a request,
// AttemptRunner runs its attempts, and RequestCompletion sends its final response. AttemptGuard checks each
// attempt that the routing policy requests before it is sent.
//
// The policy decides where and when a request is sent. The core enforces the rest: it ends requests at their
// deadlines, determines whether an attempt is proved not to have run, withdraws an attempt that still waits
// for a connection when its server starts to drain, and sends nothing after a final response.
//
// Not thread-safe: an Edge is used by one thread. Malformed input of clients and servers results in error
// responses and outcomes, never in an exception; the constructors throw std::invalid_argument if the policy
// rejects its settings.
#pragma once

#include <chalksail/chalksail.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/attempt_runner.hpp"
#include "core/core_parts.hpp"
#include "core/effects.hpp"
#include "core/inputs.hpp"
#include "core/request_completion.hpp"
#include "core/request_intake.hpp"
#include "core/routing_policy.hpp"
#include "core/step_output.hpp"
#include "engine/vocabulary.hpp"

namespace chalksail::core {

// Current counts, for the metrics page and for shutdown.
struct Gauges {
    std::size_t open_requests = 0;  // requests without a final response
    std::size_t started_streams = 0;
    std::size_t calls = 0;  // calls to servers in flight
    std::size_t kv_states_held = 0;
    std::size_t request_bytes = 0;   // retained of open requests
    std::size_t response_bytes = 0;  // buffered of the servers' responses
    std::size_t tracked_by_router = 0;
    std::size_t unverified_servers = 0;
    CacheIndex::Counts prefixes;
};

class Edge {
public:
    // Uses the router of src/policy. `vocabulary` is required if the settings name a tokenizer.
    explicit Edge(const config::EdgeSettings& settings,
                  std::shared_ptr<const engine::Vocabulary> vocabulary = nullptr);
    Edge(const config::EdgeSettings& settings, std::unique_ptr<RoutingPolicy> routing_policy,
         std::shared_ptr<const engine::Vocabulary> vocabulary = nullptr);
    ~Edge();
    Edge(const Edge&) = delete;
    Edge& operator=(const Edge&) = delete;

    // Processes a batch of inputs and returns the effects, to be carried out in order. If `now` is earlier
    // than in a previous step, the latest time seen is used.
    [[nodiscard]] std::vector<Output> step(Time now, std::vector<Input> inputs);
    // Returns the time at which step() must be called at the latest, with or without inputs; std::nullopt if
    // no timer is set.
    [[nodiscard]] std::optional<Time> next_wake() const;
    // Returns true if a call may still begin; to be called when its connection is ready, before the first
    // byte is written. Updates the header that carries the remaining time. If it returns false, the call must
    // be reported as CallFailed with ExchangeEnd::expired.
    [[nodiscard]] bool may_begin(Time now, CallId call, http::Headers& headers) const;
    [[nodiscard]] Gauges gauges() const;
    // Returns the listed endpoints, for the admin interface.
    [[nodiscard]] std::vector<membership::EndpointConfig> endpoints() const;
    [[nodiscard]] std::size_t endpoint_count() const { return parts_.endpoints.all().size(); }

private:
    // ---- inputs ----
    void on(ClientRequest& input) { intake_.receive(input, now_, output_); }
    void on(const ClientClosed& input);
    void on(const ClientBacklog& input);
    void on(const CallSent& input);
    void on(const CallWritten& input);
    void on(CallHead& input);
    void on(CallBody& input);
    void on(const CallDone& input) { end_call(input.call, engine::ExchangeEnd::response_received, ""); }
    void on(const CallFailed& input);
    void on(const membership::EndpointList& input);
    void on(const CacheEventMessage& input) { parts_.cache_index.apply(input, now_, output_); }
    void on(const CacheReplayEnded& input) { parts_.cache_index.apply(input, output_); }
    void on(CacheSnapshots& input) { parts_.cache_index.apply(input, now_); }
    void on(const TrustStoreChanged&) { parts_.endpoints.trust_changed(now_); }
    void on(const ShutdownAnnounced& input) { intake_.announce_shutdown(input.response_deadline); }
    void on(const DrainStarted&) { intake_.start_drain(); }
    void on(const DrainExpired&);

    // ---- actions of the routing policy ----
    void run_router();
    void apply(const Send& action);
    void apply(const Reject& action);
    void apply(const Fail& action);
    void apply(const CancelAttempt& action);
    void apply(const ReleaseKvState& action);
    void apply(const MigrateStream& action);
    void apply(const Reserve& action);
    void apply(const HealthCheck& action);
    void apply(const SetTimer& action) { router_.set_timer(action.at, action.id); }
    void apply(const WatchEndpoints&) {}  // no effect: endpoint updates are pushed to the core

    // Begins the request's deferred attempt if no release call defers it any longer and the guard allows it.
    void resume_deferred(RequestId id);

    // ---- calls ----
    // Ends the calls whose responses take the most memory while their total exceeds its limit.
    void limit_buffered_responses(CallId changed);
    void end_call(CallId id, engine::ExchangeEnd ending, const std::string& detail);
    void end_reservation(const UpstreamCall& call, engine::ExchangeEnd ending);
    void end_health_check(const UpstreamCall& call, engine::ExchangeEnd ending);
    void end_verification(const UpstreamCall& call, engine::ExchangeEnd ending);
    void begin_verifications();

    // ---- timers ----
    void run_timers();
    void expire_call(CallId id);
    void on_timer(ActiveRequest& request);
    void check_stream(ActiveRequest& request);
    void check_attempt(ActiveRequest& request);
    void check_unanswered_attempt(ActiveRequest& request, const UpstreamCall& attempt);
    void check_deadline(ActiveRequest& request);
    // The time that the router has to react to a deadline before the core responds by itself.
    [[nodiscard]] Duration deadline_grace() const { return 2 * parts_.settings.router.tick; }

    CoreParts parts_;
    RouterHost router_;
    RequestIntake intake_;
    RequestCompletion completion_;
    AttemptRunner attempts_;
    StepOutput output_;
    Time now_{};
};

}  // namespace chalksail::core
