// The seam between a request's life (edge.hpp) and how clients and servers are spoken with. A convention
// reads and writes; it decides nothing, sends nothing and keeps no time. Two are known: vLLM's disaggregated
// prefill with an OpenAI-style front (vllm_protocol.hpp), and the users' platform
// (platform_protocol.hpp). The settings say which.
//
// One Protocol for each Edge, one ProtocolSession for each request, one DecodeResponseParser for each attempt
// at a writer. No I/O; bad bytes become answers and outcomes, never an exception.
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

struct Answer {  // a whole one, to a client
    int status = 200;
    http::Headers headers;
    std::string body;
};
struct ServerRequest {
    std::string method;
    std::string target;
    http::Headers headers;
    std::string body;
};

// What a read's answer tells.
struct PrefillResult {
    std::string state;         // where it waits, for the writer; empty where the request's name is enough
    double prompt_tokens = 0;  // 0: not told
    std::optional<double> cached_tokens;  // found kept
};

// What the head of a server's answer tells beside its status.
struct ResponseHead {
    engine::NotRun not_run = engine::NotRun::unknown;
    std::vector<double> report;
    std::string content_type;
};

// Reads one writer's answer.
class DecodeResponseParser {
public:
    enum class State { more, whole, spoilt };
    struct Progress {
        State state = State::more;
        std::string to_client;    // of the events that became whole, as the client gets them
        std::int64_t events = 0;  // that became whole, also such as the client does not get
        std::string detail;       // of what is spoilt
    };
    virtual ~DecodeResponseParser() = default;
    // `whole`: all is here before the answer's own end; what follows is of no interest.
    [[nodiscard]] virtual Progress feed(std::string_view bytes) = 0;
    // Does what has come make sense to its end?
    [[nodiscard]] virtual bool whole() const = 0;
};

// One request's messages, towards servers and back to its client.
class ProtocolSession {
public:
    virtual ~ProtocolSession() = default;

    // `left`: until the client's time ends.
    [[nodiscard]] virtual ServerRequest read(std::int64_t attempt, Duration left) const = 0;
    // `state`: as the read told; empty: the writer reads by itself.
    [[nodiscard]] virtual ServerRequest write(std::int64_t attempt, const std::string& state,
                                              Duration left) const = 0;
    // Brings the headers of a read or write that waited for its connection up to date.
    virtual void update_time_left(http::Headers&, Duration) const {}
    [[nodiscard]] virtual std::unique_ptr<DecodeResponseParser> decode_parser() = 0;
    // Nothing more is sent for it: what only sending needs can go.
    virtual void drop_request() = 0;

    // The text that names its blocks in servers' cache events; empty: not known.
    [[nodiscard]] virtual std::string prompt_text() const { return {}; }
    // A server has counted its prompt.
    virtual void set_prompt_tokens(double) {}
    // As its answer told; 0: not.
    [[nodiscard]] virtual double reported_prompt_tokens() const { return 0; }
    [[nodiscard]] virtual double completion_tokens() const { return 0; }
    [[nodiscard]] virtual double cached_tokens() const { return 0; }

    // Does its client get a stream? Else one answer at the end: collected().
    [[nodiscard]] virtual bool streams() const { return true; }
    [[nodiscard]] virtual Answer collected() { return {}; }
    [[nodiscard]] virtual http::Headers stream_head() const = 0;
    [[nodiscard]] virtual std::string stream_tail() const { return {}; }
    // What ends a stream that broke; nothing: the client's connection is cut.
    [[nodiscard]] virtual std::optional<std::string> stream_error(int status,
                                                                  const std::string& message) const = 0;
    [[nodiscard]] virtual Answer refusal(Duration retry_after) const = 0;
    // `retryable`: its client may ask again without harm.
    [[nodiscard]] virtual Answer failure(int status, const std::string& message, bool retryable) const = 0;
    // A server's verdict on the request itself.
    [[nodiscard]] virtual Answer verdict(int status, const ResponseHead& head, std::string body) const = 0;
};

// What a client's request is to the module.
struct ParsedRequest {
    std::string name;         // towards servers, and in logs
    std::string client_name;  // the client's own, where that is another
    std::size_t cls = 0;      // index into the settings' classes
    std::string tenant;       // empty: none
    std::string session;      // never empty: a request without one is a session of its own
    std::string prefix;       // empty: none
    Duration deadline{};      // the client's, from arrival
    Duration length_hint{};   // zero: none
    double prompt_tokens = 0;
    double shared_tokens = 0;
    double max_output = 0;
    bool retry = false;  // the client says that it has tried before
    bool again = false;  // ... and wants the rest of a stream that broke
    std::unique_ptr<ProtocolSession> protocol_session;
};
struct Rejection {
    Answer answer;
    std::string name;
    std::string client_name;
};

class Protocol {
public:
    virtual ~Protocol() = default;

    // Answers what is no request for the servers; nothing: it is one.
    [[nodiscard]] virtual std::optional<Answer> answer(const http::Request& request, bool draining) const = 0;
    enum class RejectionReason { draining, limit };
    // Nothing has been done for it: harmless to try again.
    [[nodiscard]] virtual Rejection reject(const http::Request& request, std::uint64_t number,
                                           RejectionReason why) const = 0;
    [[nodiscard]] virtual tl::expected<ParsedRequest, Rejection> parse(http::Request& request,
                                                                       std::uint64_t number) = 0;

    [[nodiscard]] virtual ResponseHead read_head(int status, const http::Headers& headers) const = 0;
    // Nothing if it is no read's answer.
    [[nodiscard]] virtual std::optional<PrefillResult> parse_prefill(int status,
                                                                     std::string_view body) const = 0;
    // Does a server take the end of this side's sending for the end of the attempt, and close behind it? Then
    // an attempt can be called off with its answer, if that is on its way, still heard.
    [[nodiscard]] virtual bool half_close_cancels() const { return false; }
    [[nodiscard]] virtual engine::Judgement judge(const engine::Facts& facts,
                                                  const std::string& kind) const = 0;

    // What a release call covers. `attempt`: the state that this one left, at its own server. `request`: all
    // that is held for the request, and any server passes it on: so never while an attempt of it is out.
    enum class ReleaseScope { attempt, request };
    [[nodiscard]] virtual ReleaseScope release_covers() const = 0;
    // Releases what is held for the request of that name; nothing: servers of this kind can't.
    [[nodiscard]] virtual std::optional<ServerRequest> release(const std::string& name, std::int64_t attempt,
                                                               const std::string& state,
                                                               const std::string& kind) const = 0;
    // Does this answer to it say that the server has no such call?
    [[nodiscard]] virtual bool no_release(int status) const = 0;
    // Asks a writer to hold a place for the request of that name; nothing: there is no such call.
    [[nodiscard]] virtual std::optional<ServerRequest> lease(const std::string& name) const = 0;
    enum class Lease { held, not_held, not_known };
    [[nodiscard]] virtual Lease lease_answer(int status) const = 0;
    [[nodiscard]] virtual ServerRequest probe() const = 0;
    [[nodiscard]] virtual std::vector<double> probe_report(const ResponseHead& head,
                                                           std::string_view body) const = 0;
};

[[nodiscard]] std::unique_ptr<Protocol> make_protocol(const config::EdgeSettings& settings);

}  // namespace chalksail::core
