// What the core tells of itself: plain values, one for each thing that ended. Logs and metrics are both made
// of them, so that the two can't disagree. No I/O.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chalksail::observe {

// One attempt's end.
struct AttemptRecord {
    std::string request;
    std::int64_t attempt = 0;
    std::string server;
    bool read = false;
    std::string_view outcome;
    int status = 0;  // of the engine's answer; 0: none
    bool sent = false;
    bool started = false;
    Duration taken{};
    std::string detail;
    bool written = false;  // its last byte was handed to the connection
};

// Who ended a request, and how. `rejected` is the client's own fault (4xx), by our checks or by an engine's.
enum class Termination { served, refused, failed, client_gone, rejected };
[[nodiscard]] std::string_view name(Termination fate);

struct RequestRecord {
    std::string request;
    std::string client_request;  // the client's own X-Request-Id
    std::string class_name;
    std::string tenant;
    Termination fate = Termination::served;
    int status = 0;
    std::string reason;  // a word for a counter: held, deadline, attempts, engine, limit, ...
    Duration total{};
    Duration first_token{};    // zero: none
    double prompt_tokens = 0;  // as estimated; with the engine's figure beside it, 0 if not told
    double reported_prompt_tokens = 0;
    double completion_tokens = 0;
    std::int64_t chunks = 0;
    bool streamed = false;
    // "reader-1:read:read/12ms writer-2:write:ok/340ms"
    std::string attempt_history;
};

// A server's entry in the list changed, or a call beside the attempts ended.
struct ServerRecord {
    std::string server;
    std::string what;  // up, draining, removed, restarted, probe, release
    std::string detail;
};

// What led to a release call.
enum class ReleaseReason {
    none,
    decided,              // by the decision module
    request_over,         // its request has its final answer, or its client is gone
    read_may_have_ended,  // a read was called off or broke, and may have left a state
    place_may_be_held,    // a writer was asked to hold a place, and none is wanted
    not_fetched,          // a writer could not fetch the state
    write_unanswered,     // a writer has said nothing in the state's time: its attempt may never have come
};
[[nodiscard]] std::string_view name(ReleaseReason reason);

// A step in the life of what a server holds for a request: a read state, or a place.
struct HeldRecord {
    std::string request;
    // held (a read ended well), fetched (its writer has begun to answer), release (one is asked for),
    // release_done, release_failed.
    std::string_view what;
    std::string server;  // where it is held, or which one is asked to release it
    ReleaseReason reason = ReleaseReason::none;
    Duration age{};  // since an attempt last proved to have reached a server
};

// Something that must not happen was about to, and was stopped here.
struct GuardRecord {
    std::string request;
    std::string what;
};

using Record = std::variant<AttemptRecord, RequestRecord, ServerRecord, HeldRecord, GuardRecord>;

}  // namespace chalksail::observe
