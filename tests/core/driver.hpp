// Drives an edge core by hand in virtual time; the test determines the responses of the servers.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "chat/sse.hpp"
#include "core/edge.hpp"

namespace chalksail::core::testing {

using namespace std::chrono_literals;

inline config::EdgeSettings settings(const std::string& more = "") {
    const std::string text = R"(
        name "e"
        seed 1
        class "once" { when model="once"; aim "1s"; deadline "4s"; effect "once"; }
        class "keyed" { when model="keyed"; aim "1s"; deadline "4s"; effect "by-key"; group "zone"; }
        class "chat" { aim "1s"; deadline "4s"; deadline-header #true; }
        kind "reader" { role "prefill"; memory-tokens 200000; }
        kind "writer" { role "decode"; memory-tokens 100000; }
        limits { open-requests 50; stream-idle "5s"; }
    )" + more;
    auto out = config::parse_settings(text, "test");
    if (!out) throw std::runtime_error(format(out.error().front()));
    return std::move(*out);
}

inline membership::EndpointConfig listed(const std::string& name, const std::string& kind,
                                         EndpointState state = EndpointState::up) {
    membership::EndpointConfig s;
    s.endpoint.id = {name};
    s.endpoint.kind = kind;
    s.endpoint.zone = "north";
    s.endpoint.state = state;
    s.address = {"127.0.0.1", 9};
    return s;
}

inline constexpr const char* kPrefillResponse =
    R"({"id":"x","usage":{"prompt_tokens":40,"completion_tokens":1},"kv_transfer_params":{"remote_engine_id":"r","remote_block_ids":[1,2]}})";
inline std::string chunk(const std::string& text) {
    return chat::format_event(
        R"({"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")" + text +
        R"("}}]})");
}
inline constexpr const char* kUsage =
    R"({"id":"x","choices":[],"usage":{"prompt_tokens":40,"completion_tokens":2}})";

class Driver {
public:
    explicit Driver(const config::EdgeSettings& s = settings(),
                    std::shared_ptr<const engine::Vocabulary> vocabulary = nullptr)
        : edge(s, std::move(vocabulary)) {}

    void step(std::vector<Input> inputs) {
        for (auto& o : edge.step(now, std::move(inputs))) {
            if (auto* call = std::get_if<Call>(&o)) calls.push_back(*call);
            else if (auto* abort = std::get_if<AbortCall>(&o)) aborted.push_back(abort->call);
            else if (auto* response = std::get_if<SendResponse>(&o)) responses.push_back(*response);
            else if (auto* bytes = std::get_if<SendStreamBytes>(&o)) streamed += bytes->bytes;
            else if (std::get_if<BeginStream>(&o) != nullptr) streams_begun += 1;
            else if (std::get_if<EndStream>(&o) != nullptr) streams_ended += 1;
            else if (std::get_if<AbortStream>(&o) != nullptr) streams_aborted += 1;
            else if (auto* pause = std::get_if<SetCallPaused>(&o)) pauses.push_back(*pause);
            else if (auto* endpoint = std::get_if<ForgetEndpoint>(&o)) forgotten.push_back(endpoint->server);
            else if (auto* emitted = std::get_if<EmitRecord>(&o)) {
                if (auto* r = std::get_if<observe::RequestRecord>(&emitted->record)) requests.push_back(*r);
                if (auto* a = std::get_if<observe::AttemptRecord>(&emitted->record)) attempts.push_back(*a);
                if (auto* g = std::get_if<observe::GuardRecord>(&emitted->record)) guards.push_back(*g);
                if (auto* s = std::get_if<observe::ServerRecord>(&emitted->record)) servers.push_back(*s);
                if (auto* w = std::get_if<observe::DeferralRecord>(&emitted->record)) deferrals.push_back(*w);
            }
        }
    }
    // Advances the time, stepping the core whenever one of its timers is due.
    void advance_time(Duration d) {
        const Time until = now + d;
        for (auto wake = edge.next_wake(); wake && *wake <= until; wake = edge.next_wake()) {
            now = std::max(now + Duration(1), *wake);
            step({});
        }
        now = std::max(now, until);
        step({});
    }
    void list(std::vector<membership::EndpointConfig> servers_listed,
              EndpointUpdateKind scope = EndpointUpdateKind::snapshot) {
        step({membership::EndpointList{scope, std::move(servers_listed)}});
    }
    void list_default_servers() {
        list(
            {listed("r1", "reader"), listed("r2", "reader"), listed("w1", "writer"), listed("w2", "writer")});
    }

    void send_request(const std::string& model = "m", const std::string& more = R"(,"stream":true)",
                      http::Headers headers = {}, std::uint64_t client = 1) {
        http::Request r;
        r.method = "POST";
        r.target = "/v1/chat/completions";
        r.headers = std::move(headers);
        r.body = R"({"model":")" + model +
                 R"(","messages":[{"role":"user","content":"Is the jollof ready?"}],"max_tokens":20)" + more +
                 "}";
        step({ClientRequest{{client}, std::move(r)}});
    }
    // Returns the calls of all attempts so far.
    [[nodiscard]] std::vector<Call> sent() const {
        std::vector<Call> out;
        for (const auto& c : calls)
            if (c.kind == CallKind::attempt) out.push_back(c);
        return out;
    }
    [[nodiscard]] std::vector<Call> releases() const {
        std::vector<Call> out;
        for (const auto& c : calls)
            if (c.kind == CallKind::release) out.push_back(c);
        return out;
    }
    void complete_prefill(CallId call) {
        now += 20ms;
        step({CallSent{call}, CallHead{call, 200, {}}, CallBody{call, kPrefillResponse}, CallDone{call}});
    }
    void head(CallId call, int status = 200, http::Headers headers = {}) {
        step({CallSent{call}, CallHead{call, status, std::move(headers)}});
    }
    void body(CallId call, const std::string& bytes) { step({CallBody{call, bytes}}); }
    // Sends a request and completes its prefill. Returns the call of the decode attempt that follows.
    CallId advance_to_decode(const std::string& model = "m", const std::string& more = R"(,"stream":true)",
                             http::Headers headers = {}) {
        send_request(model, more, std::move(headers));
        EXPECT_EQ(sent().size(), 1U);
        complete_prefill(sent().back().call);
        EXPECT_EQ(sent().size(), 2U);
        return sent().back().call;
    }
    [[nodiscard]] bool was_aborted(CallId call) const {
        return std::find(aborted.begin(), aborted.end(), call) != aborted.end();
    }

    Time now{1000s};
    Edge edge;
    std::vector<Call> calls;
    std::vector<CallId> aborted;
    std::vector<SendResponse> responses;
    std::vector<SetCallPaused> pauses;
    std::vector<observe::RequestRecord> requests;
    std::vector<observe::AttemptRecord> attempts;
    std::vector<observe::GuardRecord> guards;
    std::vector<observe::ServerRecord> servers;
    std::vector<observe::DeferralRecord> deferrals;
    std::vector<std::string> forgotten;
    std::string streamed;
    int streams_begun = 0;
    int streams_ended = 0;
    int streams_aborted = 0;
};

// Checks that no request, stream or KV state is left, and that no guard has triggered.
inline void expect_no_open_work(const Driver& d) {
    const auto g = d.edge.gauges();
    EXPECT_EQ(g.open_requests, 0U);
    EXPECT_EQ(g.started_streams, 0U);
    EXPECT_EQ(g.kv_states_held, 0U);
    EXPECT_EQ(g.tracked_by_router, 0U);
    EXPECT_TRUE(d.guards.empty());
}

}  // namespace chalksail::core::testing
