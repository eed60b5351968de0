// The seam between a request's life (edge.hpp) and the protocol spoken with clients and servers.
//
// A protocol encodes and decodes; it decides nothing, sends nothing and keeps no time. There are two: vLLM's
// disaggregated prefill with an OpenAI-style front (vllm_protocol.hpp), and the users' platform
// (platform_protocol.hpp). The settings choose.
//
// Ownership: one Protocol for each Edge, one ProtocolSession for each request, one DecodeResponseParser for
// each decode attempt; a session must not outlive its protocol. No I/O; not thread-safe. Malformed bytes
// become answers and outcomes, never an exception.
#pragma once

#include <chalksail/chalksail.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "config/settings.hpp"
#include "engine/outcome.hpp"
#include "http/message.hpp"

namespace chalksail::core {

// A whole response to a client.
struct Answer {
    int status = 200;
    http::Headers headers;
    std::string body;
};
// A request to a server.
struct ServerRequest {
    std::string method;
    std::string target;
    http::Headers headers;
    std::string body;
};

// What a prefill server's response says.
struct PrefillResult {
    std::string state;                    // names the KV state; empty: the request's name is enough
    double prompt_tokens = 0;             // 0: not reported
    std::optional<double> cached_tokens;  // prompt tokens found in the prefix cache
};

// What the head of a server's response says beside its status.
struct ResponseHead {
    engine::NotRun not_run = engine::NotRun::unknown;
    std::vector<double> load_report;  // as Settings::report_fields say; empty: none
    std::string content_type;
};

// Reads the response of one decode attempt.
class DecodeResponseParser {
public:
    enum class State {
        more,      // of the response is to come
        whole,     // all is here, before the response's own end; what follows is of no interest
        malformed  // it can't be used
    };
    struct Progress {
        State state = State::more;
        std::string to_client;    // the events that became whole, as the client gets them
        std::int64_t events = 0;  // that became whole, also those that the client does not get
        std::string detail;       // of what is malformed
    };
    virtual ~DecodeResponseParser() = default;
    [[nodiscard]] virtual Progress feed(std::string_view bytes) = 0;
    // Has the response come to its proper end?
    [[nodiscard]] virtual bool whole() const = 0;
};

// One request's messages, to servers and back to its client.
class ProtocolSession {
public:
    virtual ~ProtocolSession() = default;

    // ---- to servers ----

    // `time_left`: until the client's deadline.
    [[nodiscard]] virtual ServerRequest prefill_request(std::int64_t attempt, Duration time_left) const = 0;
    // `state`: as in PrefillResult; empty: the decode server does the prefill by itself.
    [[nodiscard]] virtual ServerRequest decode_request(std::int64_t attempt, const std::string& state,
                                                       Duration time_left) const = 0;
    // Updates the headers of an attempt that waited for its connection.
    virtual void update_time_left(http::Headers&, Duration) const {}
    [[nodiscard]] virtual std::unique_ptr<DecodeResponseParser> decode_parser() = 0;
    // No further attempt is sent: frees what only attempts need.
    virtual void drop_request() = 0;

    // ---- figures ----

    // The text that servers' cache events name the blocks of; empty: unknown.
    [[nodiscard]] virtual std::string prompt_text() const { return {}; }
    // A server has counted the prompt.
    virtual void set_prompt_tokens(double) {}
    // As the decode response reported them; 0: not reported.
    [[nodiscard]] virtual double reported_prompt_tokens() const { return 0; }
    [[nodiscard]] virtual double completion_tokens() const { return 0; }
    [[nodiscard]] virtual double cached_tokens() const { return 0; }

    // ---- to the client ----

    // Does its client get a stream? Else one answer at the end: collected().
    [[nodiscard]] virtual bool streams() const { return true; }
    [[nodiscard]] virtual Answer collected() { return {}; }
    [[nodiscard]] virtual http::Headers stream_head() const = 0;
    [[nodiscard]] virtual std::string stream_tail() const { return {}; }
    // Ends a stream that broke; nothing: the client's connection is closed.
    [[nodiscard]] virtual std::optional<std::string> stream_error(int status,
                                                                  const std::string& message) const = 0;
    // The request was not run and may be retried. `retry_after`: zero: no hint.
    [[nodiscard]] virtual Answer rejection(Duration retry_after) const = 0;
    // `retryable`: its client may retry without harm.
    [[nodiscard]] virtual Answer failure(int status, const std::string& message, bool retryable) const = 0;
    // A server found the request itself at fault (4xx).
    [[nodiscard]] virtual Answer server_rejection(int status, const ResponseHead& head,
                                                  std::string body) const = 0;
};

// A client's request, decoded.
struct ParsedRequest {
    std::string name;                 // towards servers, and in logs
    std::string client_name;          // the client's own, where that is another
    std::size_t class_index = 0;      // in the settings' classes
    std::string tenant;               // empty: none
    std::string session;              // never empty: a request without one is a session of its own
    std::string prefix;               // empty: none
    Duration deadline{};              // the client's, from arrival
    Duration output_duration_hint{};  // zero: none
    double prompt_tokens = 0;
    double shared_tokens = 0;
    double max_output = 0;        // tokens; zero: unknown
    bool retry = false;           // the client's own retry
    bool resumes_stream = false;  // continues a stream that broke
    std::unique_ptr<ProtocolSession> protocol_session;
};
// The answer to what is not taken, and its names for the log.
struct Rejection {
    Answer answer;
    std::string name;
    std::string client_name;
};

class Protocol {
public:
    virtual ~Protocol() = default;

    // ---- clients ----

    // Answers what is no request for the servers; nothing: it is one.
    [[nodiscard]] virtual std::optional<Answer> answer(const http::Request& request, bool draining) const = 0;
    enum class RejectionReason { draining, limit };
    // Rejects a request of which nothing has been done: harmless to retry. `number`: of the request.
    [[nodiscard]] virtual Rejection reject(const http::Request& request, std::uint64_t number,
                                           RejectionReason reason) const = 0;
    [[nodiscard]] virtual tl::expected<ParsedRequest, Rejection> parse(http::Request& request,
                                                                       std::uint64_t number) = 0;

    // ---- responses of servers ----

    [[nodiscard]] virtual ResponseHead read_head(int status, const http::Headers& headers) const = 0;
    // Nothing: it is no response to a prefill.
    [[nodiscard]] virtual std::optional<PrefillResult> parse_prefill(int status,
                                                                     std::string_view body) const = 0;
    // Does a server take the end of this side's sending for the cancellation of the attempt, and close after
    // it? Then an attempt can be cancelled with its response, if that is on its way, still received.
    [[nodiscard]] virtual bool half_close_cancels() const { return false; }
    [[nodiscard]] virtual engine::Judgement judge(const engine::Facts& facts,
                                                  const std::string& kind) const = 0;

    // ---- other calls to servers ----

    // What a release call covers.
    enum class ReleaseScope {
        attempt,  // the KV state that this attempt left, at its own server
        request,  // all that is held for the request, and any server forwards it: takes from an attempt in
                  // flight, too
    };
    [[nodiscard]] virtual ReleaseScope release_covers() const = 0;
    // Releases what is held for the request of that name; nothing: servers of this kind have no such call.
    [[nodiscard]] virtual std::optional<ServerRequest> release(const std::string& name, std::int64_t attempt,
                                                               const std::string& state,
                                                               const std::string& kind) const = 0;
    // Does this status of a release's response say that the server has no such call?
    [[nodiscard]] virtual bool lacks_release_call(int status) const = 0;
    // Reserves capacity at a decode server for the request of that name; nothing: there is no such call.
    [[nodiscard]] virtual std::optional<ServerRequest> reservation_request(const std::string& name) const = 0;
    enum class Reservation { held, not_held, unknown };
    // What the status of its response says.
    [[nodiscard]] virtual Reservation reservation_state(int status) const = 0;
    [[nodiscard]] virtual ServerRequest health_check_request() const = 0;
    // The load report in a health check's response; empty: none.
    [[nodiscard]] virtual std::vector<double> health_check_load(const ResponseHead& head,
                                                                std::string_view body) const = 0;
};

[[nodiscard]] std::unique_ptr<Protocol> make_protocol(const config::EdgeSettings& settings);

}  // namespace chalksail::core
