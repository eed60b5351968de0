// Fuzzes the core: the input bytes select actions of clients, engines, endpoint list and clock, in any order.
// For any sequence, each request has at most one final response, nothing is sent to a client after it, no
// action of the router is blocked by a guard, and no state is left at the end.
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>

#include "chat/sse.hpp"
#include "core/edge.hpp"

namespace {

using namespace chalksail;
using namespace chalksail::core;

void require(bool condition) {
    if (!condition) std::abort();
}

const config::EdgeSettings& settings() {
    static const auto parsed = config::parse_settings(R"(
        name "e"
        seed 1
        class "once" { when model="o"; aim "1s"; deadline "4s"; effect "once"; }
        class "keyed" { when model="k"; aim "1s"; deadline "4s"; effect "by-key"; group "cell"; }
        class "chat" { aim "1s"; deadline "4s"; }
        kind "r" { role "prefill"; memory-tokens 20000; }
        kind "w" { role "decode"; memory-tokens 10000; not-run-status 503; }
        kind "m" { role "mixed"; memory-tokens 10000; release #false; }
        limits { open-requests 20; stream-idle "3s"; event "2KiB"; answer "4KiB"; }
    )",
                                                      "f");
    return *parsed;
}

class ScriptedEdge {
public:
    explicit ScriptedEdge(std::string_view script) : script_(script), edge_(settings()) {}

    void run() {
        while (!script_.empty()) {
            act(next());
        }
        // All clients disconnect, then all calls fail; no state may be left after that.
        std::vector<Input> end;
        for (const auto& [client, open] : clients_)
            if (open) end.push_back(ClientClosed{{client}});
        apply(std::move(end));
        for (int i = 0; i < 50; ++i) {
            now_ += std::chrono::seconds(1);
            std::vector<Input> failures;
            for (const auto& [id, call] : calls_)
                failures.push_back(CallFailed{{id}, engine::ExchangeEnd::connection_closed, ""});
            calls_.clear();
            apply(std::move(failures));
        }
        const auto g = edge_.gauges();
        require(g.open_requests == 0 && g.started_streams == 0 && g.kv_states_held == 0 &&
                g.tracked_by_router == 0 && g.calls == calls_.size());  // a health check may be in flight
    }

private:
    std::uint8_t next() {
        if (script_.empty()) return 0;
        const auto out = static_cast<std::uint8_t>(script_.front());
        script_.remove_prefix(1);
        return out;
    }
    std::uint64_t some_call() {
        if (calls_.empty()) return next();
        auto it = calls_.begin();
        std::advance(it, next() % calls_.size());
        return it->first;
    }
    std::uint64_t some_client() { return next() % 8U + 1; }

    void act(std::uint8_t action) {
        switch (action % 12) {
            case 0: {
                const std::uint64_t client = some_client();
                if (clients_[client]) return;  // a connection has at most one request in flight
                http::Request r;
                r.method = "POST";
                r.target = "/v1/chat/completions";
                r.headers.add("Idempotency-Key", "k");
                const char* const models[] = {"o", "k", "c"};
                r.body = std::string(R"({"model":")") + models[next() % 3] +
                         R"(","messages":[{"role":"user","content":"hi"}],"stream":)" +
                         (next() % 2 ? "true" : "false") + "}";
                clients_[client] = true;
                streaming_[client] = false;
                return apply({ClientRequest{{client}, std::move(r)}});
            }
            case 1: {
                const std::uint64_t client = some_client();
                clients_[client] = false;
                return apply({ClientClosed{{client}}});
            }
            case 2: return apply({ClientBacklog{{some_client()}, next() % 2 == 0}});
            case 3: return apply({CallSent{{some_call()}}});
            case 4: {
                const int statuses[] = {200, 200, 200, 400, 500, 503, 429, 204};
                http::Headers headers;
                if (const auto not_run = next() % 4; not_run == 1) headers.add("X-Engine-Not-Run", "full");
                else if (not_run == 2) headers.add("X-Engine-Not-Run", "no-state");
                return apply({CallHead{{some_call()}, statuses[next() % 8], headers}});
            }
            case 5: {
                static const std::string bodies[] = {
                    R"({"kv_transfer_params":{"a":1},"usage":{"prompt_tokens":5}})",
                    chat::format_event(R"({"choices":[{"index":0,"delta":{"content":"x"}}]})"),
                    "data: [DONE]\n\n",
                    chat::format_event(R"({"error":{}})"),
                    chat::format_event(R"({"choices":[],"usage":{"prompt_tokens":1e9}})"),
                    "data: {",
                    "\n\n",
                    std::string(3000, 'x')};
                return apply({CallBody{{some_call()}, bodies[next() % 8]}});
            }
            case 6: {
                const auto call = some_call();
                calls_.erase(call);
                return apply({CallDone{{call}}});
            }
            case 7: {
                const engine::ExchangeEnd endings[] = {
                    engine::ExchangeEnd::dial_failed, engine::ExchangeEnd::no_resources,
                    engine::ExchangeEnd::connection_closed, engine::ExchangeEnd::malformed_response};
                const auto call = some_call();
                calls_.erase(call);
                return apply({CallFailed{{call}, endings[next() % 4], "f"}});
            }
            case 8: {
                membership::EndpointList list;
                list.kind = next() % 3 == 0 ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta;
                for (int n = next() % 4; n >= 0; --n) {
                    membership::EndpointConfig s;
                    const auto which = next() % 6;
                    s.endpoint.id = {"s" + std::to_string(which)};
                    s.endpoint.kind = which < 2 ? "r" : which < 5 ? "w" : "m";
                    s.endpoint.zone = which % 2 ? "a" : "b";
                    s.endpoint.cell = which % 3;
                    s.endpoint.state = static_cast<EndpointState>(next() % 3);
                    s.endpoint.started_at = next() % 4 == 0 ? now_ : Time{};
                    s.address = {"127.0.0.1", 1};
                    list.endpoints.push_back(std::move(s));
                }
                return apply({std::move(list)});
            }
            case 9: now_ += std::chrono::milliseconds(next()); return apply({});
            case 10: now_ += std::chrono::milliseconds(20 * next()); return apply({});
            case 11: {  // a healthy server: the call succeeds
                const auto call = some_call();
                if (!calls_.contains(call)) return;
                const bool prefill = calls_[call];
                calls_.erase(call);
                return apply({CallSent{{call}}, CallHead{{call}, 200, {}},
                              CallBody{{call},
                                       prefill ? R"({"kv_transfer_params":{}})"
                                               : chat::format_event(
                                                     R"({"choices":[{"index":0,"delta":{"content":"x"}}]})") +
                                                     "data: [DONE]\n\n"},
                              CallDone{{call}}});
            }
        }
    }

    void apply(std::vector<Input> inputs) {
        for (const auto& o : edge_.step(now_, std::move(inputs))) {
            if (const auto* call = std::get_if<Call>(&o)) {
                calls_[call->call.value] = call->body.find("do_remote_decode\":true") != std::string::npos;
            } else if (const auto* abort = std::get_if<AbortCall>(&o)) {
                calls_.erase(abort->call.value);
            } else if (const auto* completed = std::get_if<CompleteCall>(&o)) {
                calls_.erase(completed->call.value);
            } else if (const auto* reply = std::get_if<SendResponse>(&o)) {
                require(clients_[reply->client.value] && !streaming_[reply->client.value]);
                clients_[reply->client.value] = false;
            } else if (const auto* begin = std::get_if<BeginStream>(&o)) {
                require(clients_[begin->client.value] && !streaming_[begin->client.value]);
                streaming_[begin->client.value] = true;
            } else if (const auto* bytes = std::get_if<SendStreamBytes>(&o)) {
                require(clients_[bytes->client.value] && streaming_[bytes->client.value]);
            } else if (const auto* end = std::get_if<EndStream>(&o)) {
                require(clients_[end->client.value] && streaming_[end->client.value]);
                clients_[end->client.value] = false;
            } else if (const auto* emitted = std::get_if<EmitRecord>(&o)) {
                require(!std::holds_alternative<observe::GuardRecord>(emitted->record));
            }
        }
    }

    std::string_view script_;
    Edge edge_;
    Time now_{std::chrono::seconds(100)};
    std::map<std::uint64_t, bool> clients_;  // true: its request is open
    std::map<std::uint64_t, bool> streaming_;
    std::map<std::uint64_t, bool> calls_;  // true: prefill
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    ScriptedEdge({reinterpret_cast<const char*>(data), size}).run();
    return 0;
}
