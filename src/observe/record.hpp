// Records of what the gateway's core did: plain values, one for each request, attempt, endpoint event, change
// of a KV reservation and blocked action.
//
// Logs (log.hpp) and metrics (metrics.hpp) are both derived from the records, so that they agree. States and
// reasons are enums; name() returns the text used in log lines and metric labels. No I/O, no state; values
// may be passed between threads.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace chalksail::observe {

// The end of an attempt.
// Log line, level debug: {"event":"attempt","request","attempt","server","stage":"read"|"write","outcome",
// "status","sent","written","started","ms","detail"}.
struct AttemptRecord {
    std::string request;
    std::int64_t attempt = 0;
    std::string server;
    bool prefill = false;      // the attempt's stage: prefill ("read" in the log), else decode ("write")
    std::string_view outcome;  // engine::name() of its AttemptOutcome
    int status = 0;            // HTTP status of the engine's response; 0: none
    bool sent = false;         // the request's first byte was handed to the connection
    bool started = false;      // the client received a part of the response
    Duration duration{};
    std::string detail;
    bool written = false;  // the request's last byte was handed to the connection
};

// How a request ended.
enum class Termination {
    served,
    refused,      // not run, because this gateway is draining or no capacity was available
    failed,       // the servers failed, or the deadline passed
    client_gone,  // the client disconnected
    rejected,     // invalid (4xx), according to this gateway or an engine
};
[[nodiscard]] std::string_view name(Termination termination);

// Why a request ended.
enum class TerminationReason {
    draining,                     // refused: this gateway accepts no new requests
    over_limit,                   // refused: too many open requests, or too many bytes in them
    invalid_request,              // rejected: not a valid request of the protocol
    may_have_run_before,          // rejected: its id is that of an earlier request that may have run
    rejected_by_engine,           // rejected: an engine found the request invalid
    not_attempted,                // refused: no attempt was started in time
    attempts_failed,              // refused or failed: no attempt succeeded
    deadline,                     // failed: its deadline passed
    drain_expired,                // failed: the time for draining ended before the request did
    stream_migrated,              // failed: the stream was closed so that its client resumes it elsewhere
    broken_stream,                // failed: the response was incomplete
    stream_timeout,               // failed: the response took too long, or no chunk arrived for too long
    served,                       // served
    disconnected_before_attempt,  // client_gone: no attempt was in flight
    disconnected_during_attempt,  // client_gone: an attempt was in flight without a response yet
    disconnected_during_stream,   // client_gone: during the response
};
[[nodiscard]] std::string_view name(TerminationReason reason);

// The end of a request.
// Log line, level info:
// {"event":"request","request","client_request","class","tenant","termination","status",
// "reason","ms","first_token_ms","prompt_tokens","prompt_tokens_told","completion_tokens","chunks","stream",
// "trail"}.
struct RequestRecord {
    std::string request;
    std::string client_request;  // the client's own X-Request-Id
    std::string class_name;
    std::string tenant;
    Termination termination = Termination::served;
    int status = 0;  // HTTP status of the response to the client; 0: none
    TerminationReason reason = TerminationReason::served;
    Duration total{};
    Duration first_token{};             // time to the first token; zero: none
    double prompt_tokens = 0;           // estimate
    double reported_prompt_tokens = 0;  // the engine's count; 0: not reported
    double completion_tokens = 0;
    std::int64_t chunks = 0;
    bool streamed = false;
    // The attempts in order, for example "reader-1:read:read/12ms writer-2:write:ok/340ms".
    std::string attempt_history;
};

// A change of an endpoint, or the end of a call other than an attempt.
enum class ServerAction {
    up,
    draining,
    removed,
    restarted,       // the server's start time in the list changed
    health_check,    // a health check ended; detail: its outcome
    release,         // a release call ended; detail: ok, failed, none (the engine has no such call)
    verified,        // TLS verification of the server's name succeeded again
    not_verified,    // TLS verification of the server's name failed; detail: the error
    cache_events,    // source of the cache contents; detail: told (its reports are used), guessed (estimated)
    cache_snapshot,  // the stored snapshot of its cache was not usable; detail: the reason
};
[[nodiscard]] std::string_view name(ServerAction action);

// Log line, level info, for health checks ("probe") and releases debug:
// {"event":"server","server","action","detail"}.
struct ServerRecord {
    std::string server;
    ServerAction action = ServerAction::up;
    std::string detail;  // for endpoint changes: the address, or that a snapshot no longer lists the server
};

// An update of the endpoint list that has been applied.
// Log line, level info: {"event":"endpoint_list","kind":"delta"|"snapshot"|"cached_snapshot"|"watch_lost",
// "generation","up","draining","removed"}.
struct EndpointListRecord {
    EndpointUpdateKind kind = EndpointUpdateKind::snapshot;
    std::int64_t generation = 0;  // the source's version of the list; 0: none
    // Entries of the update, by state. Each server that a snapshot removes by not listing it has a
    // ServerRecord.
    std::int64_t up = 0;
    std::int64_t draining = 0;
    std::int64_t removed = 0;
};
[[nodiscard]] std::string_view name(EndpointUpdateKind kind);

// Why a release call was sent.
enum class ReleaseReason {
    none,
    decided,                  // the router requested it
    request_over,             // the request got its final response, or its client disconnected
    prefill_may_have_ended,   // a prefill was cancelled or broke off, and may have left a KV state
    reservation_may_be_held,  // a decode server may hold a reservation that is no longer needed
    not_fetched,              // a decode server could not fetch the KV state
    decode_unanswered,        // no response from the decode server before the KV state's release was due; the
                              // attempt may never have arrived
};
[[nodiscard]] std::string_view name(ReleaseReason reason);

// A change of what a server has reserved for a request.
enum class KvReservationAction {
    reserved,           // a prefill succeeded and left a KV state
    fetched,            // the decode server has started to respond
    release_started,    // a release call was started
    release_succeeded,  // a release call succeeded
    release_failed,     // a release call failed
};
[[nodiscard]] std::string_view name(KvReservationAction action);

// A change of a KV state or of a capacity reservation.
// Log line, level info for the releases, else debug: {"event":"held","request","action","server","reason",
// "age_ms"}.
struct KvReservationRecord {
    std::string request;
    KvReservationAction action = KvReservationAction::reserved;
    std::string server;  // the server that holds it, or that is called to release it
    ReleaseReason reason = ReleaseReason::none;
    Duration age{};  // time since an attempt was last known to have reached a server
};

// What happens to an attempt that waits for a release call of its request.
enum class DeferralAction {
    deferred,  // the attempt waits, as a release call for the request has not been written yet
    resumed,   // no release call defers it any longer: the attempt begins unless a guard blocks it
    dropped,   // the request ended, or the router cancelled the attempt, before it could begin
};
[[nodiscard]] std::string_view name(DeferralAction action);

// A change of an attempt that waits for a release call of its request.
// Log line, level info: {"event":"deferred_attempt","request","action","server","ms"}.
struct DeferralRecord {
    std::string request;
    DeferralAction action = DeferralAction::deferred;
    std::string server;  // the server of the attempt, not of the release call
    Duration waited{};   // since the attempt was deferred
};

// Why an action of the router was blocked before it took effect.
enum class GuardReason {
    send_after_final_answer,
    second_attempt_in_flight,
    attempt_limit,
    send_after_deadline,
    unknown_server,
    server_not_in_service,
    earlier_attempt_may_have_run,
    refusal_of_what_may_have_run,
    no_final_answer_at_deadline,
};
[[nodiscard]] std::string_view name(GuardReason reason);

// An action that violates a rule, blocked by the core.
// Log line, level error: {"event":"guard","request","action": the reason's text}.
struct GuardRecord {
    std::string request;
    GuardReason reason = GuardReason::unknown_server;
};

using Record = std::variant<AttemptRecord, RequestRecord, ServerRecord, EndpointListRecord,
                            KvReservationRecord, DeferralRecord, GuardRecord>;

}  // namespace chalksail::observe
