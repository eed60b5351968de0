// What the edge keeps of one request and of one exchange with a server. For its own files only.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/edge.hpp"

namespace chalksail::core {

// One request, from its arrival until its answer is given and none of its attempts is out.
struct Edge::ActiveRequest {
    RequestId id;
    ClientId client;
    ParsedRequest in;
    std::size_t body_bytes = 0;  // as long as it is kept
    Time arrived{};
    Time deadline{};                   // the module's: the client's less the slack that an answer needs
    double counted_prompt_tokens = 0;  // by the read

    std::optional<CallId> call;  // the attempt that is out
    std::int64_t attempts = 0;
    bool may_have_run = false;  // some writer attempt is not proved not to have run
    Time first_run_begun{};     // when the first such attempt was sent, and where
    Endpoint first_run_at;
    struct Held {
        membership::EndpointConfig
            server;         // kept here: once off the list, nothing else tells how it is spoken to
        std::string state;  // as the read told it
        std::int64_t attempt = 0;
        Time since{};  // from when on no attempt has been known to be with a server
        observe::ReleaseReason reason =
            observe::ReleaseReason::read_may_have_ended;  // of a release that is pending
    };
    std::optional<Held> held;  // the state that waits at a reader
    // A read that was called off or broke may have ended well at that moment, and a place may be held:
    // something of this request may be at some server. A call that is one for the whole request releases it
    // once no attempt is out.
    std::optional<Held> pending_release;
    std::optional<CallId> release;  // the last such call, if it may still be under way
    std::optional<Send> deferred;   // an attempt put off until that call is out

    bool started = false;   // the client gets, or will get, this attempt's answer
    bool answered = false;  // final answer given, or the client is gone
    bool overdue = false;   // its deadline came while nothing was out
    Time moves_at{};  // a stream still running then is cut, for its client to ask for the rest; zero: never
    Time first_chunk{};
    Time last_chunk{};
    std::int64_t chunks = 0;
    Time due{};
    std::vector<CachedPrefix> reported_prefixes;  // by all servers, also by those not trusted
    std::string last_outcome;
    std::string attempt_history;

    // Of its prompt, as this server reported them cached when the request arrived.
    [[nodiscard]] double reported_tokens(const std::string& server) const {
        for (const auto& cached : reported_prefixes)
            if (cached.server.value == server) return cached.tokens;
        return 0;
    }
    [[nodiscard]] double reported_prompt_tokens() const {
        const double told = in.protocol_session->reported_prompt_tokens();
        return told > 0 ? told : counted_prompt_tokens;
    }
};

// One exchange with a server.
struct Edge::UpstreamCall {
    CallId id;
    CallKind kind = CallKind::attempt;
    RequestId request;
    AttemptId attempt;
    std::string server;
    std::string server_kind;
    Time begun{};
    Time timeout{};  // the module's own for this attempt; zero: none
    bool read = false;
    bool sent = false;
    bool written = false;
    bool paused = false;
    bool called_off = false;  // its sending has ended; its answer may be on the way
    int status = 0;
    ResponseHead head;
    std::string body;  // of a read, a probe or an error; bounded
    std::unique_ptr<DecodeResponseParser> answer;
    std::optional<ReleaseAttempt> release;
};

// How an attempt ended, and what that proves.
struct Edge::AttemptResult {
    engine::Ending ending = engine::Ending::answered;
    engine::Judgement judged;
    std::optional<PrefillResult> prefill_answer;  // of a read that ended well
};

}  // namespace chalksail::core
