// The edge without I/O: it owns the life of each request, hosts one routing policy, and turns inputs into
// effects.
//
// step(now, inputs) takes what the network layer has seen (inputs.hpp) and returns what it is to do
// (effects.hpp), in order. There is no socket, clock, thread, log or global in here: the same object runs
// behind real sockets or in virtual time, and the same inputs give the same effects.
//
// Edge is a coordinator. Each part of the state has an owner, a class of its own, which it calls with values:
//   ActiveRequests     requests, their phases, deadlines and timers
//   UpstreamCalls      calls to servers in flight; AttemptResult says what an attempt's end proves
//   ReservedKvStates   what servers hold for requests, and its releases
//   EndpointRegistry   the endpoint list, verification, activity
//   CacheIndex         reported prefix caches
//   RouterHost         the routing policy and its timers
// Three classes carry out what takes several of them: RequestIntake accepts a request,
// AttemptRunner runs its attempts, RequestCompletion gives its final answer. AttemptGuard stands between the
// routing policy and the wire.
//
// The policy decides where and when. What is decided here is what the rules leave to whoever owns the
// sockets: the end at the deadline, what proves that an attempt did not run, that an attempt still waiting
// for a connection is withheld once its server drains, and that nothing is sent after a final answer.
//
// Threads: one Edge, one thread. Errors: bad input of clients and engines becomes answers and outcomes, never
// an exception; the constructors throw std::invalid_argument where the policy refuses its settings.
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

// Figures of one moment, for the metrics page and for shutdown.
struct Gauges {
    std::size_t open_requests = 0;  // without a final answer
    std::size_t started_streams = 0;
    std::size_t calls = 0;  // to servers, in flight
    std::size_t kv_states_held = 0;
    std::size_t tracked_by_router = 0;
    std::size_t unverified_servers = 0;
    CacheIndex::Counts prefixes;
};

class Edge {
public:
    // With the router of src/policy. `vocabulary`: where the settings name a tokenizer.
    explicit Edge(const config::EdgeSettings& settings,
                  std::shared_ptr<const engine::Vocabulary> vocabulary = nullptr);
    Edge(const config::EdgeSettings& settings, std::unique_ptr<RoutingPolicy> routing_policy,
         std::shared_ptr<const engine::Vocabulary> vocabulary = nullptr);
    ~Edge();
    Edge(const Edge&) = delete;
    Edge& operator=(const Edge&) = delete;

    // Takes a batch of inputs and returns the effects, to be carried out in order. `now` must not go
    // backwards; one that does counts as the latest seen.
    [[nodiscard]] std::vector<Output> step(Time now, std::vector<Input> inputs);
    // No later than this step() must be called again, with or without inputs; nothing: no timer is set.
    [[nodiscard]] std::optional<Time> next_wake() const;
    // To be called when a call's connection is ready, before its first byte is handed over: may the call
    // still begin? Updates the headers that carry the time left. A call withheld by this is to be reported as
    // CallFailed with ExchangeEnd::expired.
    [[nodiscard]] bool may_begin(Time now, CallId call, http::Headers& headers) const;
    [[nodiscard]] Gauges gauges() const;
    // The listed endpoints, for operators.
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
    void on(const ShutdownAnnounced& input) { intake_.announce_shutdown(input.answer_deadline); }
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
    void apply(const WatchEndpoints&) {}  // the list is pushed

    // The attempt deferred for a release goes, if it still may.
    void resume_deferred(RequestId id);

    // ---- calls ----
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
    // What the router gets to react to a deadline before the core answers by itself.
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
