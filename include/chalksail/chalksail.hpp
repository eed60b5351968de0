// The public interface of the chalksail routing module, which makes the routing decisions of a gateway in
// front of separate prefill and decode servers.
//
// Each gateway uses one Router. The embedder passes it batches of the events that the gateway has observed,
// and carries out the actions that it returns, in order.
//
// Ownership: a Router owns all of its state and copies what it needs from the events.
// Threads: use one instance from one thread; instances share nothing.
// Clock: the time given to step() is the only clock, and must not go backwards.
// Errors: the constructor throws std::invalid_argument when the settings are inconsistent; step() does not
// throw for any order of legal events. The embedder must report one AttemptEnded for each Send, and must call
// step() again no later than the time of each SetTimer.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chalksail {

// The clock of a gateway: the embedder's monotonic time, in nanoseconds.
struct GatewayClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<GatewayClock>;
    static constexpr bool is_steady = true;
};
using Duration = GatewayClock::duration;
using Time = GatewayClock::time_point;
inline double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// A strongly typed value, so that ids of different kinds cannot be confused.
template <class Tag, class Value>
struct Strong {
    Value value{};
    // The linter mistakes the compiler-generated comparison for a null pointer constant.
    friend auto operator<=>(const Strong&, const Strong&) = default;  // NOLINT(modernize-use-nullptr)
};
using RequestId = Strong<struct RequestTag, std::uint64_t>;
using AttemptId = Strong<struct AttemptTag, std::int64_t>;  // numbered from 0 within a request
using ServerId = Strong<struct ServerTag, std::string>;     // an endpoint's name
using TimerId = Strong<struct TimerTag, std::uint64_t>;

// ---- settings ----

// Whether a request may be attempted again once an earlier attempt may have run.
enum class Idempotency {
    idempotent,         // always
    idempotent_by_key,  // within the deduplication scope and window, in which servers drop repeated keys
    non_idempotent      // never
};
// Which servers share their record of idempotency keys.
enum class DeduplicationScope { all, zone, cell };
enum class Role { prefill, decode, mixed };
// The meaning of a value in a load report.
enum class ReportField { other, active, memory_share, prompt_backlog };

struct RequestClassSettings {
    std::string name;
    Duration first_token_objective{};                  // latency objective of the first token
    Duration first_token_objective_per_1000_tokens{};  // added to it for each 1,000 prompt tokens
    Duration inter_token_objective{};  // latency objective of the mean interval between tokens
    Duration deadline{};
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::all;  // idempotent_by_key only
    Duration deduplication_window{};                                   // idempotent_by_key only
    double priority_weight = 1;
    double late_weight_factor = 0;  // fraction of the weight that remains once the objective is missed
};
struct ServerKindSettings {
    std::string name;
    Role role = Role::mixed;
    double memory_tokens = 0;  // KV cache capacity in tokens; 0: unknown
};
struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // requests per second, over all gateways
};
struct Settings {
    std::vector<RequestClassSettings> classes;
    std::vector<ServerKindSettings> kinds;
    std::vector<TenantSettings> tenants;
    std::vector<ReportField> report_fields;
    std::string zone;  // this gateway's zone
    int gateway = 0;   // this gateway's index, from 0
    int gateways = 1;  // number of gateways
    Duration tick{};
    Duration answer_slack{};
    Duration release_within{};               // a KV state must be fetched or released within this time
    Duration slow_start_duration{};          // how long a started server warms up
    double slow_start_initial_capacity = 1;  // fraction of the full capacity at the start
    double slow_start_overload_factor = 1;   // load at which a warming server fails, relative to its capacity
    Duration slow_start_overload_window{};   // time over which this load is measured
    Duration dial_timeout{};
    Duration max_retry_after{};  // 0: clients ignore Retry-After
    Duration poll_within{};      // maximum time until the endpoint list has to be polled
    int max_attempts = 1;
    double over_quota_weight_factor = 1;  // priority weight factor of requests above their tenant's quota
    double cross_cell_cost = 0;
    double cross_zone_cost = 0;
    bool weigh_by_work = false;  // priority weights apply per unit of work, not per request
    bool endpoint_watch_required = false;
    bool cancellation_enabled = false;
    bool health_checks_enabled = false;
    bool hedging_enabled = false;
    bool early_reservation_enabled = false;
    bool prefill_on_decode_enabled = false;
    bool stream_resumption_enabled = false;
};
// Throws std::invalid_argument with the reason if the settings are inconsistent.
void validate(const Settings& settings);

// ---- events that the gateway has observed ----

enum class EndpointState { up, draining, removed };
// A model server, as listed by service discovery.
struct Endpoint {
    ServerId id;
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    EndpointState state = EndpointState::up;
    double weight = 1;
    Time started_at{};  // zero: long ago
};
enum class EndpointUpdateKind {
    delta,            // only the endpoints that have changed
    snapshot,         // all endpoints
    cached_snapshot,  // all endpoints as stored before this process started; may be out of date
    watch_lost        // the watch has ended; lists no endpoints
};
struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::snapshot;
    std::vector<Endpoint> endpoints;
};
// The number of leading prompt tokens that a server reports to have in its prefix cache.
struct CachedPrefix {
    ServerId server;
    double tokens = 0;
};
struct RequestArrived {
    RequestId id;
    std::string class_name;
    std::string tenant;
    std::string session;
    std::string prefix;
    Duration time_remaining{};        // until the client's deadline
    Duration elapsed{};               // time since the request's last byte was received
    Duration output_duration_hint{};  // how long the client expects the stream to last; zero: no hint
    double prompt_tokens = 0;
    double shared_tokens = 0;  // leading tokens of the prompt that `prefix` stands for
    double max_output = 0;     // tokens; zero: unknown
    // For the servers that report their cache (CacheReportingChanged). A reporting server that is not listed
    // here has none of the prompt cached.
    std::vector<CachedPrefix> cached_prefixes;
    bool retry = false;           // the client's own retry
    bool resumes_stream = false;  // continues a broken stream
};
struct StreamStarted {
    RequestId id;
    AttemptId attempt;
    ServerId server;
    Duration elapsed{};  // time since the attempt was sent
};
enum class AttemptOutcome {
    ok,
    error,
    at_capacity,  // the server had no capacity and did not run the attempt
    timeout,
    connect_failed,
    reset,
    cancelled,
    not_sent,  // cancelled before its first byte was sent
    prefilled  // a prefill attempt succeeded and left its KV state
};
struct AttemptEnded {
    RequestId id;
    AttemptId attempt;
    ServerId server;
    AttemptOutcome outcome = AttemptOutcome::error;
    Duration elapsed{};
    bool request_finished = false;    // the client has received its final response
    bool kv_state_missing = false;    // at_capacity only: there was no KV state to fetch
    double cached_prompt_tokens = 0;  // ok and prefilled: prompt tokens found in the prefix cache
    std::vector<double> load_report;  // in the order of Settings::report_fields; empty: none
};
struct ReservationResult {
    RequestId id;
    ServerId server;
    bool reserved = false;
};
// The embedder has released the request's KV state while an attempt was in flight, because there was no proof
// in time that the attempt had reached its server. The attempt may still succeed; any other attempt needs a
// new prefill.
struct KvStateReleased {
    RequestId id;
};
struct ClientDisconnected {
    RequestId id;
};
struct TimerFired {
    TimerId id;
};
struct HealthCheckEnded {
    ServerId server;
    AttemptOutcome outcome = AttemptOutcome::error;
    Duration elapsed{};
    std::vector<double> load_report;
};
// A server has started or stopped reporting its cache. While it reports, RequestArrived lists its cached
// prefixes; otherwise the module estimates them.
struct CacheReportingChanged {
    ServerId server;
    bool reporting = false;
};
// A message from another gateway. The module ignores such messages and sends none.
struct PeerMessage {
    std::int64_t from = 0;
    std::string hex;
};
using Event = std::variant<EndpointUpdate, RequestArrived, StreamStarted, AttemptEnded, ReservationResult,
                           KvStateReleased, ClientDisconnected, TimerFired, HealthCheckEnded,
                           CacheReportingChanged, PeerMessage>;

// ---- actions for the gateway to carry out ----

// Sends the request to a server; the attempts of a request are numbered in this order.
struct Send {
    RequestId id;
    ServerId server;
    Duration timeout{};  // zero: until the client's deadline
};
// Responds to the client that the request was not run and may be retried.
struct Reject {
    RequestId id;
    Duration retry_after{};  // zero: no Retry-After
};
// Responds to the client with an error, as the request may have run.
struct Fail {
    RequestId id;
};
struct CancelAttempt {
    RequestId id;
    AttemptId attempt;
};
// Releases the KV state and capacity that servers have reserved for the request.
struct ReleaseKvState {
    RequestId id;
};
struct MigrateStream {
    RequestId id;
};
// Reserves capacity for the request at a server.
struct Reserve {
    RequestId id;
    ServerId server;
};
struct HealthCheck {
    ServerId server;
};
struct SetTimer {
    Time at{};
    TimerId id;
};
// Starts or stops watching the endpoint list.
struct WatchEndpoints {
    bool enabled = true;
};
using Action = std::variant<Send, Reject, Fail, CancelAttempt, ReleaseKvState, MigrateStream, Reserve,
                            HealthCheck, SetTimer, WatchEndpoints>;

// Makes the routing decisions of one gateway. The comment at the top of this file describes ownership,
// threads, clock and errors.
class Router {
public:
    Router(const Settings& settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    // Processes a batch of events and returns the resulting actions, to be carried out in order.
    [[nodiscard]] std::vector<Action> step(Time now, std::span<const Event> events);
    // Returns the number of requests that the router tracks: open ones, and ended ones with an attempt in
    // flight.
    [[nodiscard]] std::size_t tracked_requests() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace chalksail
