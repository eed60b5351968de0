// The requests of clients that are not over: from their arrival until the final answer is given and no
// attempt of them is in flight.
//
// Owns each request's phase, its deadline and timer, and the counts and limits over all of them. Free of I/O
// and clock; not thread-safe; no errors.
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
    overdue,    // the same, and its deadline has passed
    streaming,  // the client receives, or will receive, the answer of the attempt in flight
    finished,   // the final answer is given, or the client has disconnected
};

// One request.
struct ActiveRequest {
    RequestId id;
    ClientId client;
    ParsedRequest parsed;
    std::size_t body_bytes = 0;  // as long as the body is kept
    Time arrived{};
    Time deadline{};                 // the client's, less the time that an answer needs
    std::optional<Time> migrate_at;  // a stream that still runs then is cut, for its client to resume it
    std::vector<CachedPrefix> reported_prefixes;  // by all servers, also by those not trusted

    RequestPhase phase = RequestPhase::waiting;
    std::optional<CallId> attempt;  // in flight
    std::int64_t attempts = 0;      // so far
    // When and where the first attempt was sent that is not proved not to have run.
    struct FirstRun {
        Time begun{};
        Endpoint endpoint;
    };
    std::optional<FirstRun> first_run;

    std::optional<Time> first_chunk;  // of the answer
    Time last_chunk{};
    std::int64_t chunks = 0;
    double counted_prompt_tokens = 0;  // by the prefill server; 0: not reported
    std::string last_outcome;
    std::string attempt_history;  // see observe::RequestRecord

    [[nodiscard]] bool finished() const { return phase == RequestPhase::finished; }
    [[nodiscard]] bool stream_started() const { return first_chunk.has_value(); }
    // Does its client get a stream, not one object at the end?
    [[nodiscard]] bool streams() const { return parsed.protocol_session->streams(); }
    // Prompt tokens as an engine counted them; 0: none has.
    [[nodiscard]] double reported_prompt_tokens() const;
    // Tokens of its prompt that this server reported as cached when the request arrived.
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

// Until when a stream may go on. The settings are limits of this process, not of the client.
struct StreamLimit {
    Time end{};   // of the whole answer
    Time idle{};  // without another chunk
    [[nodiscard]] Time next_check() const { return std::min(end, idle); }
    [[nodiscard]] bool reached(Time now) const { return now >= end || now >= idle; }
};
// `paused`: the response is not read because the client is slow; its engine can't be called silent then.
[[nodiscard]] StreamLimit stream_limit(const ActiveRequest& request, const config::EdgeLimits& limits,
                                       bool paused, Time now);

// When the attempt has to have ended.
[[nodiscard]] Time attempt_deadline(const ActiveRequest& request, const UpstreamCall& attempt);

class ActiveRequests {
public:
    explicit ActiveRequests(const config::EdgeLimits& limits) : limits_(limits) {}

    // Is there room for another request with so many bytes of body?
    [[nodiscard]] bool has_capacity(std::size_t body_bytes) const;
    // The number for the next request.
    [[nodiscard]] std::uint64_t next_number() { return ++last_number_; }
    ActiveRequest& add(std::unique_ptr<ActiveRequest> request);
    // nullptr: it is over.
    [[nodiscard]] ActiveRequest* find(RequestId id) const;
    // nullptr: the client has no unfinished request.
    [[nodiscard]] ActiveRequest* find(ClientId client) const;
    [[nodiscard]] bool attempt_in_flight(RequestId id) const;
    // All that have no final answer, in the order of their arrival.
    [[nodiscard]] std::vector<RequestId> unfinished() const;

    // ---- transitions ----

    // The first chunk of the answer is here.
    void start_stream(ActiveRequest& request, Time now);
    // The deadline has passed without an answer. Nothing if the request is finished.
    static void mark_overdue(ActiveRequest& request);
    // The final answer is given, or the client has disconnected.
    void finish(ActiveRequest& request);
    // Forgets a request that is finished and has no attempt in flight.
    void remove(ActiveRequest& request);

    // Frees the body: nothing more is sent of it.
    void drop_body(ActiveRequest& request);

    // ---- timers: each request has at most one ----

    void set_timer(ActiveRequest& request, Time at);
    void clear_timer(ActiveRequest& request);
    // The next request whose timer is due, and removes that timer.
    [[nodiscard]] ActiveRequest* pop_due(Time now);
    [[nodiscard]] std::optional<Time> next_timer() const;

    // ---- counts ----

    [[nodiscard]] std::size_t unfinished_count() const { return unfinished_; }
    [[nodiscard]] std::size_t streaming_count() const { return streaming_; }

private:
    // The one place where a phase changes.
    static void enter(ActiveRequest& request, RequestPhase phase);

    const config::EdgeLimits& limits_;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveRequest>> requests_;  // looked up, never walked
    std::unordered_map<std::uint64_t, RequestId> by_client_;                      // the unfinished ones
    std::set<std::pair<Time, RequestId>> timers_;
    std::uint64_t last_number_ = 0;
    std::size_t unfinished_ = 0;
    std::size_t streaming_ = 0;
    std::size_t body_bytes_ = 0;  // of all bodies that are kept
};

}  // namespace chalksail::core
