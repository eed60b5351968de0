// The interface between request handling (edge.hpp) and the protocol spoken with clients and servers.
//
// A protocol only encodes and decodes: it makes no routing decisions, does no I/O and uses no clock. There
// are two implementations: vLLM's disaggregated prefill with OpenAI-style clients (vllm_protocol.hpp), and
// the users' platform (platform_protocol.hpp). The settings select one.
//
// Ownership: one Protocol for each Edge, one ProtocolSession for each request, one DecodeResponseParser for
// each decode attempt; a session must not outlive its protocol. Not thread-safe. Malformed input results in
// error responses and outcomes, never in an exception.
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

// A complete response to a client.
struct ClientResponse {
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

// The content of a prefill server's response.
struct PrefillResult {
    std::string state;                    // identifies the KV state; empty: the request's name identifies it
    double prompt_tokens = 0;             // 0: not reported
    std::optional<double> cached_tokens;  // prompt tokens found in the prefix cache
};

// The content of a server's response head, other than its status.
struct ResponseHead {
    engine::NotRun not_run = engine::NotRun::unknown;
    std::vector<double> load_report;  // values in the order of Settings::report_fields; empty: none
    std::string content_type;
};

// Reads the response of one decode attempt.
class DecodeResponseParser {
public:
    enum class State {
        incomplete,  // more of the response is expected
        complete,    // all events have arrived, before the end of the HTTP response; the rest is ignored
        malformed    // the response can't be used
    };
    struct Progress {
        State state = State::incomplete;
        std::string to_client;    // the events completed by these bytes, as forwarded to the client
        std::int64_t events = 0;  // completed events, including those that are not forwarded
        std::string detail;       // what is malformed, for the log
    };
    virtual ~DecodeResponseParser() = default;
    // Parses the next bytes of the response's body.
    [[nodiscard]] virtual Progress feed(std::string_view bytes) = 0;
    // Returns true once the response has been received to its proper end.
    [[nodiscard]] virtual bool complete() const = 0;
    // Returns the size of the incomplete event that the parser holds.
    [[nodiscard]] virtual std::size_t buffered_bytes() const { return 0; }
};

// Encodes and decodes the messages of one request, to servers and to its client.
class ProtocolSession {
public:
    virtual ~ProtocolSession() = default;

    // ---- to servers ----

    // `time_remaining` is the time until the client's deadline.
    [[nodiscard]] virtual ServerRequest prefill_request(std::int64_t attempt,
                                                        Duration time_remaining) const = 0;
    // `state` is that of PrefillResult; if empty, the decode server does the prefill itself.
    [[nodiscard]] virtual ServerRequest decode_request(std::int64_t attempt, const std::string& state,
                                                       Duration time_remaining) const = 0;
    // Updates the headers of an attempt that had to wait for its connection.
    virtual void update_time_remaining(http::Headers&, Duration) const {}
    [[nodiscard]] virtual std::unique_ptr<DecodeResponseParser> decode_parser() = 0;
    // Frees the data that only attempts need. No further attempt may be sent after this.
    virtual void free_attempt_data() = 0;

    // ---- token counts ----

    // Returns the prompt text whose blocks servers name in their cache events; empty if it is unknown.
    [[nodiscard]] virtual std::string prompt_text() const { return {}; }
    // Sets the number of prompt tokens that a server reported.
    virtual void set_prompt_tokens(double) {}
    // The counts that the decode response reported; 0: not reported.
    [[nodiscard]] virtual double reported_prompt_tokens() const { return 0; }
    [[nodiscard]] virtual double completion_tokens() const { return 0; }
    [[nodiscard]] virtual double cached_tokens() const { return 0; }

    // ---- to the client ----

    // Returns true if the client gets a stream. Otherwise it gets one response at the end,
    // collected_response().
    [[nodiscard]] virtual bool streams() const { return true; }
    [[nodiscard]] virtual ClientResponse collected_response() { return {}; }
    [[nodiscard]] virtual http::Headers stream_head() const = 0;
    [[nodiscard]] virtual std::string stream_tail() const { return {}; }
    // Returns the bytes that end a broken stream, or std::nullopt if the client's connection is closed
    // instead.
    [[nodiscard]] virtual std::optional<std::string> stream_error(int status,
                                                                  const std::string& message) const = 0;
    // Returns the response to a request that was not run and may be retried. `retry_after` is zero for no
    // hint.
    [[nodiscard]] virtual ClientResponse rejection(Duration retry_after) const = 0;
    // Returns an error response. `retryable` is true if the client can safely retry.
    [[nodiscard]] virtual ClientResponse failure(int status, const std::string& message,
                                                 bool retryable) const = 0;
    // Returns the response to a request that a server rejected as invalid (4xx).
    [[nodiscard]] virtual ClientResponse server_rejection(int status, const ResponseHead& head,
                                                          std::string body) const = 0;
};

// A client's request, decoded.
struct ParsedRequest {
    std::string name;                 // the request's id, used towards servers and in logs
    std::string client_name;          // the client's own id, if it differs
    std::size_t class_index = 0;      // in the settings' classes
    std::string tenant;               // empty: none
    std::string session;              // never empty: a request without one forms its own session
    std::string prefix;               // empty: none
    Duration deadline{};              // the client's deadline, measured from the request's arrival
    Duration output_duration_hint{};  // zero: none
    double prompt_tokens = 0;
    double shared_tokens = 0;
    double max_output = 0;        // tokens; zero: unknown
    bool retry = false;           // the client's own retry
    bool resumes_stream = false;  // continues a stream that broke
    std::unique_ptr<ProtocolSession> protocol_session;
};
// The response to a request that is not accepted, and the request's ids for the log.
struct Rejection {
    ClientResponse response;
    std::string name;
    std::string client_name;
};

class Protocol {
public:
    virtual ~Protocol() = default;

    // ---- clients ----

    // Returns the gateway's own response, or std::nullopt if the request is to be routed to the servers.
    [[nodiscard]] virtual std::optional<ClientResponse> local_response(const http::Request& request,
                                                                       bool draining) const = 0;
    enum class RejectionReason { draining, limit };
    // Rejects a request that was not started, so that a retry is safe. `number` is the request's number.
    [[nodiscard]] virtual Rejection reject(const http::Request& request, std::uint64_t number,
                                           RejectionReason reason) const = 0;
    [[nodiscard]] virtual tl::expected<ParsedRequest, Rejection> parse(http::Request& request,
                                                                       std::uint64_t number) = 0;

    // ---- responses of servers ----

    [[nodiscard]] virtual ResponseHead read_head(int status, const http::Headers& headers) const = 0;
    // Returns std::nullopt if the response is not a valid prefill response.
    [[nodiscard]] virtual std::optional<PrefillResult> parse_prefill(int status,
                                                                     std::string_view body) const = 0;
    // Returns true if a server treats a half-close of the connection by the gateway as a cancellation of the
    // attempt, and then closes the connection. The response to a cancelled attempt can then still be received
    // if it is already on its way.
    [[nodiscard]] virtual bool half_close_cancels() const { return false; }
    [[nodiscard]] virtual engine::AttemptClassification classify(
        const engine::AttemptObservation& observation, const std::string& kind) const = 0;

    // ---- other calls to servers ----

    // What a release call releases.
    enum class ReleaseScope {
        attempt,  // the KV state that one attempt left at its server
        request,  // everything reserved for the request on all servers, including what an attempt in flight
                  // uses; any server accepts the call and forwards it
    };
    [[nodiscard]] virtual ReleaseScope release_scope() const = 0;
    // Returns the call that releases what is reserved for the request of that name, or std::nullopt if
    // servers of this kind have no such call.
    [[nodiscard]] virtual std::optional<ServerRequest> release(const std::string& name, std::int64_t attempt,
                                                               const std::string& state,
                                                               const std::string& kind) const = 0;
    // Returns true if this status of a release response means that the server has no such call.
    [[nodiscard]] virtual bool release_unsupported(int status) const = 0;
    // Returns the call that reserves capacity at a decode server for the request of that name, or
    // std::nullopt if there is no such call.
    [[nodiscard]] virtual std::optional<ServerRequest> reservation_request(const std::string& name) const = 0;
    enum class Reservation { held, not_held, unknown };
    // Returns what the status of a reservation response means.
    [[nodiscard]] virtual Reservation reservation_state(int status) const = 0;
    [[nodiscard]] virtual ServerRequest health_check_request() const = 0;
    // Returns the load report in a health check's response; empty if there is none.
    [[nodiscard]] virtual std::vector<double> health_check_load(const ResponseHead& head,
                                                                std::string_view body) const = 0;
};

[[nodiscard]] std::unique_ptr<Protocol> make_protocol(const config::EdgeSettings& settings);

}  // namespace chalksail::core
