// The active requests of clients: from their arrival until the final response is sent and no attempt is in
// flight.
//
// Owns each request's phase, deadline and timer, and the counts and limits for all requests. No I/O, no
// clock; not thread-safe; reports no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/settings.hpp"
#include "core/attempt_result.hpp"
#include "core/handles.hpp"
#include "core/protocol.hpp"
#include "core/upstream_calls.hpp"
#include "observe/record.hpp"

namespace chalksail::core {

enum class RequestPhase {
    waiting,    // the client has received nothing
    overdue,    // the client has received nothing, and the deadline has passed
    streaming,  // the client receives, or will receive, the response of the attempt in flight
    finished,   // the final response has been sent, or the client has disconnected
};

struct ActiveRequest {
    RequestId id;
    ClientId client;
    ParsedRequest parsed;
    std::size_t body_bytes = 0;  // size of the body; 0 once it has been freed
    Time arrived{};
    Time deadline{};                 // the client's deadline less the time reserved for the response
    std::optional<Time> migrate_at;  // a stream still running then is broken, for its client to resume it
    std::vector<CachedPrefix> reported_prefixes;  // by all servers, trusted or not

    RequestPhase phase = RequestPhase::waiting;
    std::optional<CallId> attempt;  // the attempt in flight
    std::int64_t attempts = 0;      // attempts begun so far
    // When and where the first attempt that may have run was sent.
    struct FirstRun {
        Time begun{};
        Endpoint endpoint;
    };
    std::optional<FirstRun> first_run;

    std::optional<Time> first_chunk;  // when the first chunk of the response was received
    Time last_chunk{};
    Time last_byte{};  // of the response; part of a chunk is progress, too
    std::int64_t chunks = 0;
    double counted_prompt_tokens = 0;  // as counted by the prefill server; 0: not reported
    std::string last_outcome;
    std::string attempt_history;  // see observe::RequestRecord

    [[nodiscard]] bool finished() const { return phase == RequestPhase::finished; }
    [[nodiscard]] bool stream_started() const { return first_chunk.has_value(); }
    // Returns true if the client gets a stream, false if it gets one response at the end.
    [[nodiscard]] bool streams() const { return parsed.protocol_session->streams(); }
    // Returns the number of prompt tokens that a server reported; 0: not reported.
    [[nodiscard]] double reported_prompt_tokens() const;
    // Returns the number of prompt tokens that the server reported as cached when the request arrived.
    [[nodiscard]] double reported_cached_tokens(const std::string& server) const;
    // Adds an attempt that has ended to the history.
    void record_attempt(const UpstreamCall& call, const AttemptResult& result, const std::string& detail,
                        Time now);
    void record_client_closed(const std::string& detail);
    [[nodiscard]] observe::RequestRecord record(const std::string& class_name,
                                                observe::Termination termination, int status,
                                                observe::TerminationReason reason, Time now) const;

private:
    friend class ActiveRequests;
    std::optional<Time> timer_;
    void append_to_history(const std::string& text);
};

// The times at which a stream is aborted. They follow from this process's settings, not from the client.
struct StreamLimit {
    Time end{};   // latest end of the whole response
    Time idle{};  // idle timeout, if no further byte is received, or no chunk is completed
    [[nodiscard]] Time next_check() const { return std::min(end, idle); }
    [[nodiscard]] bool reached(Time now) const { return now >= end || now >= idle; }
};
// `paused` is true if the response is not read because the client is slow; the idle timeout does not run
// then.
[[nodiscard]] StreamLimit stream_limit(const ActiveRequest& request, const config::EdgeLimits& limits,
                                       bool paused, Time now);

// Returns the time at which the attempt is aborted: the request's deadline, or the attempt's earlier timeout.
[[nodiscard]] Time attempt_deadline(const ActiveRequest& request, const UpstreamCall& attempt);

class ActiveRequests {
public:
    explicit ActiveRequests(const config::EdgeLimits& limits) : limits_(limits) {}

    // Returns true if the limits allow another request with a body of this size.
    [[nodiscard]] bool has_capacity(std::size_t body_bytes) const;
    // Returns the number of the next request.
    [[nodiscard]] std::uint64_t next_number() { return ++last_number_; }
    ActiveRequest& add(std::unique_ptr<ActiveRequest> request);
    // Returns nullptr if the request has been removed.
    [[nodiscard]] ActiveRequest* find(RequestId id) const;
    // Returns nullptr if the client has no unfinished request.
    [[nodiscard]] ActiveRequest* find(ClientId client) const;
    [[nodiscard]] bool attempt_in_flight(RequestId id) const;
    // Returns all requests without a final response, in order of arrival.
    [[nodiscard]] std::vector<RequestId> unfinished() const;

    // ---- transitions ----

    // Records that the first chunk of the response was received.
    void start_stream(ActiveRequest& request, Time now);
    // Records that the deadline has passed without a response. Does nothing if the request is finished.
    static void mark_overdue(ActiveRequest& request);
    // Records that the final response has been sent or the client has disconnected.
    void finish(ActiveRequest& request);
    // Removes a request that is finished and has no attempt in flight.
    void remove(ActiveRequest& request);

    // Frees the request's body. No further attempt may be sent after this.
    void free_body(ActiveRequest& request);

    // ---- timers: each request has at most one ----

    void set_timer(ActiveRequest& request, Time at);
    void clear_timer(ActiveRequest& request);
    // Removes the earliest timer that is due and returns its request; nullptr if none is due.
    [[nodiscard]] ActiveRequest* pop_due(Time now);
    [[nodiscard]] std::optional<Time> next_timer() const;

    // ---- counts ----

    [[nodiscard]] std::size_t unfinished_count() const { return unfinished_; }
    [[nodiscard]] std::size_t streaming_count() const { return streaming_; }
    // Returns the total size of the bodies that are retained.
    [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }

private:
    // Changes the phase; no other function does.
    static void set_phase(ActiveRequest& request, RequestPhase phase);

    const config::EdgeLimits& limits_;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveRequest>> requests_;  // never iterated: unordered
    std::unordered_map<std::uint64_t, RequestId> by_client_;                      // unfinished requests
    std::set<std::pair<Time, RequestId>> timers_;
    std::uint64_t last_number_ = 0;
    std::size_t unfinished_ = 0;
    std::size_t streaming_ = 0;
    std::size_t body_bytes_ = 0;  // total size of the bodies not yet freed
};

}  // namespace chalksail::core
