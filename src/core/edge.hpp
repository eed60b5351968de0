// The edge without I/O: it owns the life of each request, hosts one decision module, and speaks in inputs and
// effects.
//
// step(now, inputs) takes what a shell has seen and gives what it is to do, in order. There is no socket,
// clock, thread, log or global in here: the same object runs behind real sockets or in virtual time, and the
// same inputs give the same effects. One Edge, one thread. Bad input of clients and engines becomes answers
// and outcomes, never an exception; the constructor throws std::invalid_argument where the module refuses its
// settings.
//
// Names: a *client* is one connection with one request in hand; a *call* is one HTTP exchange with a server
// (an attempt, a release, a probe). The shell knows both by number only.
//
// The module decides where and when. What is decided here is what the rules leave to whoever owns the
// sockets: the end at the deadline, what proves that an attempt did not run (engine/outcome.hpp), that bytes
// of an attempt still waiting for a connection stay here once the list says that its server drains, and that
// nothing is sent after a final answer. Each of these also stands guard over the module: see guard().
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/units.hpp"
#include "config/settings.hpp"
#include "core/cache_index.hpp"
#include "core/effects.hpp"
#include "core/endpoint_registry.hpp"
#include "core/inputs.hpp"
#include "core/protocol.hpp"
#include "core/routing_policy.hpp"
#include "core/step_output.hpp"
#include "engine/outcome.hpp"
#include "engine/vocabulary.hpp"
#include "http/message.hpp"
#include "membership/endpoint_list.hpp"
#include "observe/record.hpp"
#include "prefix/reported_caches.hpp"

namespace chalksail::core {

struct Gauges {
    std::size_t open_requests = 0;  // without a final answer
    std::size_t started_streams = 0;
    std::size_t calls = 0;
    std::size_t kv_states_held = 0;
    std::size_t tracked_by_router = 0;
    std::size_t unverified_servers = 0;
    prefix::ReportedCaches::Counts prefixes;
};

class Edge {
public:
    // The module decides. `vocabulary`: where the settings name a tokenizer.
    explicit Edge(const config::EdgeSettings& settings,
                  std::shared_ptr<const engine::Vocabulary> vocabulary = nullptr);
    Edge(const config::EdgeSettings& settings, std::unique_ptr<RoutingPolicy> routing_policy,
         std::shared_ptr<const engine::Vocabulary> vocabulary = nullptr);
    ~Edge();
    Edge(const Edge&) = delete;
    Edge& operator=(const Edge&) = delete;

    // `now` must not go backwards; one that does counts as the latest seen.
    [[nodiscard]] std::vector<Output> step(Time now, std::vector<Input> inputs);
    // No later than this step() must be called again, with or without inputs.
    [[nodiscard]] std::optional<Time> next_wake() const;
    // Asked when a call's connection is ready, before its first byte is handed over: may it still go? A dial
    // or a queue may have outlasted the client, the deadline or the window for repeats. Updates the headers
    // that tell how much time is left. A call kept back is to be reported as CallFailed with Ending::expired.
    [[nodiscard]] bool may_begin(Time now, CallId call, http::Headers& headers) const;
    [[nodiscard]] Gauges gauges() const;
    // Names and states of the servers listed, for operators.
    [[nodiscard]] std::vector<membership::EndpointConfig> endpoints() const;
    [[nodiscard]] std::size_t endpoint_count() const { return endpoints_.all().size(); }

private:
    struct ActiveRequest;
    struct UpstreamCall;
    struct AttemptResult;

    // clients
    void on(ClientRequest& in);
    void on(const ClientClosed& in);
    void on(const ClientBacklog& in);
    void take(ClientId client, http::Request& request);
    void reply(ClientId client, Answer answer);
    // calls
    void on(const CallSent& in);
    void on(const CallWritten& in);
    void on(CallHead& in);
    void on(CallBody& in);
    void on(const CallDone& in);
    void on(const CallFailed& in);
    void take_stream(UpstreamCall& call, std::string_view bytes);
    void begin_stream(ActiveRequest& open, const UpstreamCall& call);
    void end_attempt(CallId id, engine::Ending ending, const std::string& detail);
    [[nodiscard]] AttemptResult judge_attempt(const ActiveRequest& open, const UpstreamCall& call,
                                              engine::Ending ending) const;
    void note_may_have_run(ActiveRequest& open, const UpstreamCall& call, const AttemptResult& end);
    void take_read_answer(ActiveRequest& open, const UpstreamCall& call, const PrefillResult& answer);
    void settle_held(ActiveRequest& open, const UpstreamCall& call, const AttemptResult& end);
    [[nodiscard]] static bool may_have_left_a_state(const UpstreamCall& call, const AttemptResult& end);
    void note_attempt(ActiveRequest& open, const UpstreamCall& call, const AttemptResult& end,
                      const std::string& detail);
    void answer_behind(ActiveRequest& open, const UpstreamCall& call, const AttemptResult& end,
                       const std::string& detail);
    void cancel(CallId id);
    void end_other(const UpstreamCall& call, engine::Ending ending, const std::string& detail);
    void end_probe(const UpstreamCall& call, engine::Ending ending);
    void end_release(const UpstreamCall& call, engine::Ending ending);
    void end_lease(const UpstreamCall& call, engine::Ending ending);
    // list
    void on(const membership::EndpointList& in);
    void on(const ShutdownAnnounced& in) { answered_by_ = in.answer_deadline; }
    void on(const DrainStarted&) { draining_ = true; }
    void on(const DrainExpired&);
    void on(const TrustStoreChanged&) { endpoints_.trust_changed(now_); }
    void on(const CacheEventMessage& in) { cache_index_.apply(in, now_, output_); }
    void on(const CacheReplayEnded& in) { cache_index_.apply(in, output_); }
    void on(CacheSnapshots& in) { cache_index_.apply(in, now_); }
    void mark_unverified(const std::string& server, const std::string& detail);
    void begin_verifications();
    // Takes back the attempts that still wait for a connection to one of these servers.
    void withhold(const std::set<std::string>& servers);
    // the module's actions
    void run_module();
    void apply(const Send& action);
    void apply(const Reject& action);
    void apply(const Fail& action);
    void apply(const CancelAttempt& action);
    void apply(const ReleaseKvState& action);
    void apply(const MigrateStream& action);
    void apply(const Reserve& action);
    void apply(const HealthCheck& action);
    void apply(const SetTimer& action);
    void apply(const WatchEndpoints&) {}  // the list is pushed
    // Why this must not be sent; nothing: it may.
    [[nodiscard]] std::optional<observe::GuardReason> guard(const ActiveRequest& open,
                                                            const Send& action) const;
    // By the effect of its class: may another attempt begin at this time, at a server that can be told apart
    // by its zone and cell?
    [[nodiscard]] bool repeat_allowed(const ActiveRequest& open, const std::string& server, Time now) const;
    // time
    void fire_due();
    [[nodiscard]] static Time ends_at(const ActiveRequest& open, const UpstreamCall& attempt);
    [[nodiscard]] bool may_have_come(const UpstreamCall& attempt) const;
    // When what is held for it, or may be, has to be released, if no attempt is known to be with a server.
    [[nodiscard]] std::optional<Time> release_due(const ActiveRequest& open) const;
    // The next look at a request with an attempt out: its end, or sooner what is held.
    [[nodiscard]] Time attempt_due(const ActiveRequest& open, const UpstreamCall& attempt) const;
    void look_at_unanswered(ActiveRequest& open);
    void release_beside_attempt(ActiveRequest& open, observe::ReleaseReason reason);
    void arm(ActiveRequest& open, Time at);
    void disarm(ActiveRequest& open);
    // ends
    void fail(ActiveRequest& open, int status, observe::TerminationReason reason, std::string message);
    void finish(ActiveRequest& open, observe::Termination termination, int status,
                observe::TerminationReason reason);
    void drop_body(ActiveRequest& open);
    void drop_if_over(RequestId id);
    void release_state(ActiveRequest& open, observe::ReleaseReason reason);
    // Sends what is no attempt; it is given up at `due`.
    UpstreamCall& call_out(CallKind kind, const membership::EndpointConfig& to, ServerRequest request,
                           Time due, double worth = 0);
    // Which servers have been asked for one release, in how many rounds, and whether one has taken it.
    struct ReleaseProgress {
        std::set<std::string> asked;
        std::int64_t rounds = 0;
        bool done = false;
    };
    // One release call, and what it takes to ask again.
    struct ReleaseAttempt {
        std::string name;
        std::int64_t attempt = 0;
        std::string state;
        observe::ReleaseReason reason = observe::ReleaseReason::none;
        Time held_since{};
        std::shared_ptr<ReleaseProgress> progress = nullptr;  // of all calls for one release
        bool leads = true;                                    // its failure is followed by the next round
    };
    CallId release_call(ReleaseAttempt release, const membership::EndpointConfig& holder);
    // Another round, behind one whose leading call failed at that server.
    void ask_more_servers(ReleaseAttempt release, RequestId request, const std::string& failed_at);
    void record_held(observe::HeldAction action, const std::string& request, const std::string& server,
                     observe::ReleaseReason reason, Time since);
    void release_pending();
    // A release call that covers the whole request would take what a new attempt gets: while one is on its
    // way out, the attempt is put off.
    [[nodiscard]] bool release_under_way(const ActiveRequest& open) const;
    void resume_deferred(RequestId id);
    void drop_deferred(ActiveRequest& open, bool finished);
    [[nodiscard]] Duration release_timeout() const;
    [[nodiscard]] bool release_covers_request() const;

    ActiveRequest* find(RequestId id);
    ActiveRequest* find(ClientId client);
    [[nodiscard]] Role role_of(const std::string& kind) const;

    config::EdgeSettings settings_;
    std::unique_ptr<RoutingPolicy> routing_policy_;
    std::unique_ptr<Protocol> protocol_;
    Time now_{};
    Time answered_by_ = Time::max();
    bool draining_ = false;
    StepOutput output_;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveRequest>>
        open_;                                                // by request; looked up, never walked
    std::unordered_map<std::uint64_t, RequestId> by_client_;  // the same
    std::map<CallId, UpstreamCall> calls_;
    EndpointRegistry endpoints_;
    CacheIndex cache_index_;
    std::set<std::pair<Time, RequestId>> due_;
    std::set<std::pair<Time, CallId>> call_due_;  // release calls and probes
    std::multimap<Time, TimerId> wakes_;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_call_ = 0;
    std::size_t started_ = 0;
    std::size_t unanswered_ = 0;
    std::size_t request_bytes_ = 0;  // of the bodies of open requests
    std::size_t held_ = 0;
    std::set<std::string> no_release_;  // servers that have no release call
    std::vector<RequestId>
        pending_releases_;  // requests for which something may be held that no attempt may want
};

}  // namespace chalksail::core
