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
};

// Who ended a request, and how. `rejected` is the client's own fault (4xx), by our checks or by an engine's.
enum class Fate { served, refused, failed, client_gone, rejected };
[[nodiscard]] std::string_view name(Fate fate);

struct RequestRecord {
    std::string request;
    std::string client_request;  // the client's own X-Request-Id
    std::string class_name;
    std::string tenant;
    Fate fate = Fate::served;
    int status = 0;
    std::string reason;  // a word for a counter: held, deadline, attempts, engine, limit, ...
    Duration total{};
    Duration first_token{};    // zero: none
    double prompt_tokens = 0;  // as estimated; with the engine's figure beside it, 0 if not told
    double prompt_tokens_told = 0;
    double completion_tokens = 0;
    std::int64_t chunks = 0;
    bool streamed = false;
    // "reader-1:read:read/12ms writer-2:write:ok/340ms"
    std::string trail;
};

// A server's entry in the list changed, or a call beside the attempts ended.
struct ServerRecord {
    std::string server;
    std::string what;  // up, draining, removed, restarted, probe, release
    std::string detail;
};

// Something that must not happen was about to, and was stopped here.
struct GuardRecord {
    std::string request;
    std::string what;
};

using Record = std::variant<AttemptRecord, RequestRecord, ServerRecord, GuardRecord>;

}  // namespace chalksail::observe
