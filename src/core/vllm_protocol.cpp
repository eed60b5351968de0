#include "core/vllm_protocol.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "base/json.hpp"
#include "chat/collect.hpp"
#include "chat/request.hpp"
#include "chat/sse.hpp"
#include "engine/protocol.hpp"
#include "engine/vocabulary.hpp"

namespace chalksail::core {
namespace {

// One day. Longer timeouts of clients are reduced to it, to avoid an overflow in nanoseconds.
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;

http::Headers json_headers() {
    http::Headers out;
    out.add("Content-Type", "application/json");
    return out;
}
ClientResponse error_response(const chat::ApiError& error, http::Headers headers) {
    headers.add("Content-Type", "application/json");
    return {error.status, std::move(headers), chat::format_error(error)};
}
http::Headers request_id_headers(const std::string& name) {
    http::Headers out;
    out.add(std::string(engine::kRequestIdHeader), name);
    return out;
}

bool matches(std::string_view pattern, std::string_view text) {
    if (pattern.empty()) return true;
    if (pattern.ends_with('*')) return text.starts_with(pattern.substr(0, pattern.size() - 1));
    return pattern == text;
}
bool matches(const config::ClassRule& rule, const http::Request& request, const std::string& model) {
    if (!matches(rule.model, model) || !matches(rule.path, request.path())) return false;
    if (rule.header.empty()) return true;
    return request.headers.has(rule.header) && matches(rule.header_value, request.headers.get(rule.header));
}

}  // namespace

class VllmProtocol::Session : public ProtocolSession {
public:
    const config::EdgeSettings* settings = nullptr;
    TokenEstimate* tokens = nullptr;
    std::size_t class_index = 0;
    std::string name;
    std::string client_name;
    std::string idempotency_key;
    chat::Request chat;
    std::string body;
    std::unique_ptr<chat::Collector> collector;  // nullptr if the client requested a stream
    engine::Usage usage;

    [[nodiscard]] ServerRequest prefill_request(std::int64_t attempt, Duration) const override {
        return {"POST", std::string(engine::kChatPath), headers(attempt), engine::prefill_body(body, chat)};
    }
    [[nodiscard]] ServerRequest decode_request(std::int64_t attempt, const std::string& state,
                                               Duration) const override {
        return {"POST", std::string(engine::kChatPath), headers(attempt),
                engine::decode_body(body, chat, state)};
    }
    [[nodiscard]] std::unique_ptr<DecodeResponseParser> decode_parser() override;
    void free_attempt_data() override {
        std::string().swap(body);
        std::vector<chat::Member>().swap(chat.members);
    }

    [[nodiscard]] std::string prompt_text() const override {
        const auto messages = std::find_if(chat.members.begin(), chat.members.end(),
                                           [](const auto& m) { return m.name == "messages"; });
        if (messages == chat.members.end()) return {};
        const auto value = std::string_view(body).substr(messages->value, messages->end - messages->value);
        const config::CacheEvents& cache_events = settings->cache_events;
        return cache_events.vocabulary == config::Vocabulary::tokenizer
                   ? engine::prompt_text(value, {cache_events.prompt_begin, cache_events.prompt_message})
                   : engine::prompt_text(value);
    }
    void set_prompt_tokens(double count) override { tokens->correct(class_index, chat.prompt_bytes, count); }
    [[nodiscard]] double reported_prompt_tokens() const override { return usage.prompt_tokens; }
    [[nodiscard]] double completion_tokens() const override { return usage.completion_tokens; }

    [[nodiscard]] bool streams() const override { return chat.stream; }
    [[nodiscard]] ClientResponse collected_response() override {
        auto headers = json_headers();
        headers.add(std::string(engine::kRequestIdHeader), name);
        return {200, std::move(headers), collector->finish()};
    }
    [[nodiscard]] http::Headers stream_head() const override {
        http::Headers out;
        out.add("Content-Type", "text/event-stream; charset=utf-8");
        out.add("Cache-Control", "no-cache");
        out.add(std::string(engine::kRequestIdHeader), name);
        return out;
    }
    [[nodiscard]] std::string stream_tail() const override { return chat::format_event(chat::kDone); }
    [[nodiscard]] std::optional<std::string> stream_error(int status,
                                                          const std::string& message) const override {
        return chat::format_event(chat::format_error({status, message, "server_error", "", "failed"}));
    }
    [[nodiscard]] ClientResponse rejection(Duration retry_after) const override {
        http::Headers headers;
        const auto ms = std::max<std::int64_t>(
            1, std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count());
        headers.add("Retry-After", std::to_string(std::max<std::int64_t>(1, (ms + 999) / 1000)));
        headers.add("Retry-After-Ms", std::to_string(ms));
        headers.add("X-Should-Retry", "true");
        headers.add(std::string(engine::kRequestIdHeader), name);
        return error_response(
            {503,
             "no capacity to complete the request before its deadline; it was not run and can be retried",
             "server_error", "", "refused"},
            std::move(headers));
    }
    [[nodiscard]] ClientResponse failure(int status, const std::string& message,
                                         bool retryable) const override {
        auto headers = request_id_headers(name);
        // OpenAI clients retry automatically after any 5xx status. The header prevents this for a request
        // that may have run and must not run twice.
        if (!retryable) headers.add("X-Should-Retry", "false");
        return error_response({status, message, "server_error", "", "failed"}, std::move(headers));
    }
    [[nodiscard]] ClientResponse server_rejection(int status, const ResponseHead& head,
                                                  std::string server_body) const override {
        http::Headers headers;
        headers.add("Content-Type", head.content_type.empty() ? "application/json" : head.content_type);
        headers.add(std::string(engine::kRequestIdHeader), name);
        return {status, std::move(headers), std::move(server_body)};
    }

private:
    [[nodiscard]] http::Headers headers(std::int64_t attempt) const {
        http::Headers out;
        out.add("Content-Type", "application/json");
        out.add(std::string(engine::kRequestIdHeader), name);
        out.add(std::string(engine::kAttemptHeader), std::to_string(attempt));
        if (!client_name.empty()) out.add("X-Client-Request-Id", client_name);
        if (!idempotency_key.empty()) out.add(std::string(kIdempotencyHeader), idempotency_key);
        if (settings->load_source == config::LoadSource::headers)
            out.add("endpoint-load-metrics-format", "TEXT");
        return out;
    }
};

namespace {

template <class Session>
class ChatStreamParser : public DecodeResponseParser {
public:
    ChatStreamParser(Session& session, std::size_t event_bytes) : session_(session), reader_(event_bytes) {}

    Progress feed(std::string_view bytes) override {
        Progress out;
        for (const auto& data : reader_.feed(bytes)) {
            const auto chunk = engine::read_chunk(data);
            if (chunk.usage) session_.usage = *chunk.usage;
            switch (chunk.kind) {
                case engine::ChunkKind::done:
                    done_ = true;
                    out.state = State::complete;
                    return out;
                case engine::ChunkKind::error:
                    return malformed(std::move(out), "the server sent an error event");
                case engine::ChunkKind::broken:
                    return malformed(std::move(out), "invalid event in the stream");
                case engine::ChunkKind::chunk:
                case engine::ChunkKind::usage_only: break;
            }
            out.events += 1;
            if (session_.collector != nullptr) {
                if (!session_.collector->add(data))
                    return malformed(std::move(out), "response too large, or invalid event in the stream");
                continue;
            }
            // The server's token count is always requested, to correct the estimate. It is forwarded only if
            // the client requested it, too.
            if (chunk.kind == engine::ChunkKind::usage_only && !session_.chat.include_usage) continue;
            out.to_client += chat::format_event(data);
        }
        if (reader_.overflowed()) return malformed(std::move(out), "event too large");
        return out;
    }
    [[nodiscard]] bool complete() const override { return done_; }

private:
    static Progress malformed(Progress out, const char* detail) {
        out.state = State::malformed;
        out.detail = detail;
        return out;
    }
    Session& session_;
    chat::SseReader reader_;
    bool done_ = false;
};

}  // namespace

std::unique_ptr<DecodeResponseParser> VllmProtocol::Session::decode_parser() {
    return std::make_unique<ChatStreamParser<Session>>(*this, settings->limits.event_bytes);
}

VllmProtocol::VllmProtocol(const config::EdgeSettings& settings)
    : settings_(settings), tokens_(settings.router.classes.size(), settings.tokens_per_byte) {}

std::string VllmProtocol::request_name(std::uint64_t number) const {
    return settings_.name + "-" + std::to_string(settings_.seed) + "-" + std::to_string(number);
}

// ================= clients =================

std::optional<ClientResponse> VllmProtocol::local_response(const http::Request& request, bool) const {
    const auto path = request.path();
    if (path == engine::kChatPath) {
        if (request.method == "POST") return std::nullopt;
        http::Headers allow;
        allow.add("Allow", "POST");
        return error_response({405, "use POST", "invalid_request_error", "", "method_not_allowed"},
                              std::move(allow));
    }
    if (path == "/v1/models" && request.method == "GET") {
        std::string list;
        for (const auto& model : settings_.models) {
            if (!list.empty()) list += ',';
            list += json::ObjectWriter()
                        .text("id", model)
                        .text("object", "model")
                        .integer("created", 0)
                        .text("owned_by", "chalksail")
                        .done();
        }
        return ClientResponse{200, json_headers(), R"({"object":"list","data":[)" + list + "]}"};
    }
    return error_response({404, "no such path", "invalid_request_error", "", "not_found"}, {});
}

Rejection VllmProtocol::reject(const http::Request& request, std::uint64_t number,
                               RejectionReason reason) const {
    const auto name = request_name(number);
    auto headers = request_id_headers(name);
    headers.add("Retry-After", "1");
    headers.add("X-Should-Retry", "true");
    const bool draining = reason == RejectionReason::draining;
    if (draining) headers.add("Connection", "close");
    return {error_response({503, draining ? "the gateway is shutting down" : "too many open requests",
                            "server_error", "", "refused"},
                           std::move(headers)),
            name, std::string(request.headers.get(engine::kRequestIdHeader))};
}

tl::expected<ParsedRequest, Rejection> VllmProtocol::parse(http::Request& request, std::uint64_t number) {
    ParsedRequest out;
    out.name = request_name(number);
    out.client_name = request.headers.get(engine::kRequestIdHeader);
    const auto reject = [&](const chat::ApiError& error) {
        return tl::unexpected(
            Rejection{error_response(error, request_id_headers(out.name)), out.name, out.client_name});
    };
    out.tenant = tenant_of(request);
    if (settings_.require_key && out.tenant.empty())
        return reject({401, "unknown or missing API key", "authentication_error", "", "invalid_api_key"});
    auto chat = chat::parse_request(request.body);
    if (!chat) return reject(chat.error());
    const auto class_index = class_of(request, chat->model);
    if (!class_index) return reject(class_index.error());
    out.class_index = *class_index;
    std::string idempotency_key{request.headers.get(kIdempotencyHeader)};
    const RequestClassSettings& settings = settings_.router.classes[out.class_index];
    if (settings.idempotency == Idempotency::idempotent_by_key && idempotency_key.empty())
        return reject({400, "requests of class '" + settings.name + "' need the header Idempotency-Key",
                       "invalid_request_error", "Idempotency-Key", "missing_key"});
    const auto deadline = deadline_of(request, out.class_index);
    if (!deadline) return reject(deadline.error());
    out.deadline = *deadline;

    out.session = request.headers.get(settings_.session_header);
    if (out.session.empty()) out.session = chat->session;
    // The tenant's name keeps sessions of different tenants apart.
    out.session = out.session.empty() ? out.name : out.tenant + "/" + out.session;
    const auto retries = request.headers.get(kRetryHeader);
    out.retry = !retries.empty() && retries != "0";
    out.prefix = chat->prefix;
    out.prompt_tokens = std::ceil(tokens_.tokens(out.class_index, chat->prompt_bytes));
    out.shared_tokens = std::floor(tokens_.tokens(out.class_index, chat->prefix_bytes));
    out.max_output = chat->max_output;
    out.protocol_session =
        start_session(out, std::move(idempotency_key), std::move(*chat), std::move(request.body));
    return out;
}

std::string VllmProtocol::tenant_of(const http::Request& request) const {
    constexpr std::string_view kScheme = "bearer ";
    std::string_view key = request.headers.get("authorization");
    if (key.size() > kScheme.size() && http::same_name(key.substr(0, kScheme.size()), kScheme))
        key.remove_prefix(kScheme.size());
    std::string tenant;
    for (const auto& known : settings_.tenants)
        if (std::find(known.keys.begin(), known.keys.end(), key) != known.keys.end()) tenant = known.name;
    return tenant;
}

tl::expected<std::size_t, chat::ApiError> VllmProtocol::class_of(const http::Request& request,
                                                                 const std::string& model) const {
    const auto& models = settings_.models;
    if (!models.empty() && std::find(models.begin(), models.end(), model) == models.end())
        return tl::unexpected(chat::ApiError{404, "the model '" + model + "' does not exist",
                                             "invalid_request_error", "model", "model_not_found"});
    const auto& classes = settings_.classes;
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const auto& candidate) {
        const auto& rules = candidate.rules;
        return rules.empty() || std::any_of(rules.begin(), rules.end(),
                                            [&](const auto& rule) { return matches(rule, request, model); });
    });
    if (found == classes.end())
        return tl::unexpected(chat::ApiError{404, "no class of request fits this model, path and headers",
                                             "invalid_request_error", "model", "no_class"});
    return static_cast<std::size_t>(found - classes.begin());
}

tl::expected<Duration, chat::ApiError> VllmProtocol::deadline_of(const http::Request& request,
                                                                 std::size_t class_index) const {
    const Duration deadline = settings_.router.classes[class_index].deadline;
    const auto text = request.headers.get(kTimeoutHeader);
    if (!settings_.classes[class_index].deadline_header || text.empty()) return deadline;
    std::int64_t wanted_ms = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), wanted_ms);
    if (error != std::errc{} || end != text.data() + text.size() || wanted_ms < 1)
        return tl::unexpected(chat::ApiError{400, "X-Request-Timeout-Ms must be a whole number of at least 1",
                                             "invalid_request_error", "X-Request-Timeout-Ms", ""});
    return std::min(deadline, Duration(std::chrono::milliseconds(std::min(wanted_ms, kMaxTimeoutMs))));
}

std::unique_ptr<ProtocolSession> VllmProtocol::start_session(const ParsedRequest& parsed,
                                                             std::string idempotency_key, chat::Request chat,
                                                             std::string body) {
    auto session = std::make_unique<Session>();
    session->settings = &settings_;
    session->tokens = &tokens_;
    session->class_index = parsed.class_index;
    session->name = parsed.name;
    session->client_name = parsed.client_name;
    session->idempotency_key = std::move(idempotency_key);
    session->chat = std::move(chat);
    session->body = std::move(body);
    if (!session->chat.stream)
        session->collector = std::make_unique<chat::Collector>(settings_.limits.response_bytes);
    return session;
}

// ================= servers =================

ResponseHead VllmProtocol::read_head(int, const http::Headers& headers) const {
    ResponseHead out;
    out.not_run = engine::parse_not_run(headers.get(engine::kNotRunHeader));
    out.content_type = headers.get("content-type");
    if (settings_.load_source == config::LoadSource::headers)
        out.load_report = engine::parse_load_header(headers.get(engine::kLoadHeader)).report();
    return out;
}

std::optional<PrefillResult> VllmProtocol::parse_prefill(int status, std::string_view body) const {
    if (status != 200) return std::nullopt;
    auto response = engine::parse_prefill_response(body);
    if (!response) return std::nullopt;
    return PrefillResult{std::move(response->kv_params), response->prompt_tokens, response->cached_tokens};
}

engine::AttemptClassification VllmProtocol::classify(const engine::AttemptObservation& observed,
                                                     const std::string& kind) const {
    engine::AttemptObservation observation = observed;
    if (const auto* known = settings_.kind(kind))
        observation.not_run_status = std::find(known->not_run_statuses.begin(), known->not_run_statuses.end(),
                                               observation.status) != known->not_run_statuses.end();
    return engine::classify(observation);
}

std::optional<ServerRequest> VllmProtocol::release(const std::string& name, std::int64_t attempt,
                                                   const std::string& state, const std::string& kind) const {
    if (const auto* known = settings_.kind(kind); known != nullptr && !known->release) return std::nullopt;
    auto headers = json_headers();
    headers.add(std::string(engine::kRequestIdHeader), name);
    headers.add(std::string(engine::kAttemptHeader), std::to_string(attempt));
    return ServerRequest{"POST", std::string(engine::kReleasePath), std::move(headers),
                         engine::release_body(name, state)};
}
bool VllmProtocol::release_unsupported(int status) const {
    return status == 404 || status == 405 || status == 501;
}

ServerRequest VllmProtocol::health_check_request() const {
    return {"GET", settings_.load_source == config::LoadSource::metrics ? "/metrics" : "/health", {}, ""};
}
std::vector<double> VllmProtocol::health_check_load(const ResponseHead& head, std::string_view body) const {
    return settings_.load_source == config::LoadSource::metrics ? engine::parse_metrics_page(body).report()
                                                                : head.load_report;
}

}  // namespace chalksail::core
