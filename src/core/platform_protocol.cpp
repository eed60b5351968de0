#include "core/platform_protocol.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "platform/answer.hpp"
#include "platform/request.hpp"

namespace chalksail::core {
namespace {

ClientResponse error_response(int status, std::string_view message) {
    ClientResponse out;
    out.status = status;
    out.headers.add("Content-Type", "application/json");
    out.body = platform::format_error(message);
    return out;
}

class PlatformStreamParser : public DecodeResponseParser {
public:
    explicit PlatformStreamParser(std::shared_ptr<platform::EventReader> reader)
        : reader_(std::move(reader)) {}
    Progress feed(std::string_view bytes) override {
        auto events = reader_->feed(bytes);
        Progress out;
        out.to_client = std::move(events.bytes);
        out.events = events.count;
        // The stream is complete only at the end of the HTTP response: it may still be malformed after
        // [DONE].
        if (reader_->malformed()) {
            out.state = State::malformed;
            out.detail = "malformed or oversized event";
        }
        return out;
    }
    [[nodiscard]] bool complete() const override { return reader_->done(); }
    [[nodiscard]] std::size_t buffered_bytes() const override { return reader_->buffered_bytes(); }

private:
    std::shared_ptr<platform::EventReader> reader_;
};

}  // namespace

class PlatformProtocol::Session : public ProtocolSession {
public:
    Session(PlatformProtocol& owner, std::string id, std::string idempotency_key, http::Request request)
        : owner_(owner),
          id_(std::move(id)),
          idempotency_key_(std::move(idempotency_key)),
          method_(std::move(request.method)),
          target_(std::move(request.target)),
          body_(std::move(request.body)) {
        owner_.open_ids_.insert(id_);
    }
    ~Session() override { owner_.open_ids_.erase(id_); }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    // Prefill and decode servers get the same request: its id identifies the KV state.
    [[nodiscard]] ServerRequest prefill_request(std::int64_t, Duration time_remaining) const override {
        return server_request(time_remaining);
    }
    [[nodiscard]] ServerRequest decode_request(std::int64_t, const std::string&,
                                               Duration time_remaining) const override {
        return server_request(time_remaining);
    }
    [[nodiscard]] std::unique_ptr<DecodeResponseParser> decode_parser() override {
        auto reader = std::make_shared<platform::EventReader>(owner_.settings_.limits.event_bytes);
        reader_ = reader;
        return std::make_unique<PlatformStreamParser>(std::move(reader));
    }
    void update_time_remaining(http::Headers& headers, Duration time_remaining) const override {
        headers.set(platform::kTimeRemainingHeader, platform::format_time_remaining(time_remaining));
    }
    void free_attempt_data() override { std::string().swap(body_); }

    [[nodiscard]] double reported_prompt_tokens() const override {
        return reader_ ? reader_->prompt_tokens() : 0;
    }
    [[nodiscard]] double completion_tokens() const override {
        return reader_ ? reader_->completion_tokens() : 0;
    }
    [[nodiscard]] double cached_tokens() const override { return reader_ ? reader_->cached_tokens() : 0; }

    [[nodiscard]] http::Headers stream_head() const override {
        http::Headers out;
        out.add("Content-Type", "text/event-stream");
        return out;
    }
    [[nodiscard]] std::optional<std::string> stream_error(int, const std::string&) const override {
        return std::nullopt;
    }
    [[nodiscard]] ClientResponse rejection(Duration retry_after) const override {
        auto out =
            error_response(503, "no capacity to complete the request before its deadline; it was not run");
        if (retry_after > Duration::zero())
            out.headers.add("Retry-After", platform::format_retry_after(retry_after));
        return out;
    }
    [[nodiscard]] ClientResponse failure(int status, const std::string& message, bool) const override {
        return error_response(status, message);
    }
    [[nodiscard]] ClientResponse server_rejection(int status, const ResponseHead&,
                                                  std::string) const override {
        return error_response(status, "the model server rejected the request");
    }

private:
    [[nodiscard]] ServerRequest server_request(Duration time_remaining) const {
        ServerRequest out{method_, target_, {}, body_};
        out.headers.add("Content-Type", "application/json");
        out.headers.add(std::string(platform::kIdHeader), id_);
        out.headers.add(std::string(platform::kTimeRemainingHeader),
                        platform::format_time_remaining(time_remaining));
        // Servers deduplicate repeated attempts by this key.
        if (!idempotency_key_.empty())
            out.headers.add(std::string(platform::kIdempotencyHeader), idempotency_key_);
        return out;
    }

    PlatformProtocol& owner_;
    std::string id_;
    std::string idempotency_key_;  // of the client's request; empty: none
    std::string method_;
    std::string target_;
    std::string body_;
    std::shared_ptr<const platform::EventReader> reader_;  // of the last decode response
};

// ================= clients =================

std::optional<ClientResponse> PlatformProtocol::local_response(const http::Request& request,
                                                               bool draining) const {
    const auto path = request.path();
    if (path == platform::kReadyPath)
        return draining ? error_response(503, "draining") : ClientResponse{200, {}, "ready\n"};
    if (path != platform::kChatPath) return error_response(404, "no such path");
    if (request.method != "POST") return error_response(405, "use POST");
    return std::nullopt;
}

Rejection PlatformProtocol::reject(const http::Request& request, std::uint64_t,
                                   RejectionReason reason) const {
    const bool draining = reason == RejectionReason::draining;
    Rejection out{error_response(503, draining ? "the gateway is shutting down" : "too many open requests"),
                  std::string(request.headers.get(platform::kIdHeader).substr(0, platform::kMaxNameBytes)),
                  {}};
    if (draining) out.response.headers.add("Connection", "close");
    else if (settings_.router.max_retry_after > Duration::zero())
        out.response.headers.add("Retry-After",
                                 platform::format_retry_after(settings_.router.max_retry_after / 2));
    return out;
}

tl::expected<ParsedRequest, Rejection> PlatformProtocol::parse(http::Request& request, std::uint64_t) {
    const auto reject = [&](int status, std::string_view message) {
        return tl::unexpected(Rejection{error_response(status, message), {}, {}});
    };
    auto decoded = platform::read_request(request);
    if (!decoded) return reject(400, decoded.error());
    const auto& classes = settings_.router.classes;
    const auto request_class = std::find_if(classes.begin(), classes.end(),
                                            [&](const auto& c) { return c.name == decoded->class_name; });
    if (request_class == classes.end()) return reject(400, "X-Service-Class: unknown class");
    // Servers could not distinguish two open requests with the same id.
    if (open_ids_.contains(decoded->id))
        return reject(409, "X-Correlation-Id: a request with this id is still open");
    ParsedRequest out;
    out.name = decoded->id;
    out.class_index = static_cast<std::size_t>(request_class - classes.begin());
    out.tenant = std::move(decoded->tenant);
    out.session = decoded->session.empty() ? decoded->id : std::move(decoded->session);
    out.prefix = std::move(decoded->prefix);
    out.deadline = decoded->time_remaining;
    out.prompt_tokens = decoded->prompt_tokens;
    out.shared_tokens = decoded->shared_tokens;
    out.max_output = decoded->max_output;
    out.retry = decoded->retry;
    out.resumes_stream = decoded->resumes_stream;
    out.protocol_session = std::make_unique<Session>(*this, std::move(decoded->id),
                                                     std::move(decoded->idempotency_key), std::move(request));
    return out;
}

// ================= servers =================

ResponseHead PlatformProtocol::read_head(int status, const http::Headers& headers) const {
    ResponseHead out;
    if (headers.get(platform::kNotRunHeader) == "1")
        out.not_run = status == 410 ? engine::NotRun::kv_state_missing : engine::NotRun::at_capacity;
    return out;
}

std::optional<PrefillResult> PlatformProtocol::parse_prefill(int status, std::string_view body) const {
    if (status != 202) return std::nullopt;
    return PrefillResult{{}, 0, platform::parse_cached_tokens(body)};
}

engine::AttemptClassification PlatformProtocol::classify(const engine::AttemptObservation& observed,
                                                         const std::string&) const {
    platform::AttemptObservation observation;
    switch (observed.ending) {
        case engine::ExchangeEnd::response_received:
            observation.ending = platform::ExchangeEnd::response_received;
            break;
        case engine::ExchangeEnd::no_resources:
        case engine::ExchangeEnd::expired:
            // A local failure says nothing about the server, so an attempt without a byte sent counts as
            // never made.
            if (!observed.sent) return {AttemptOutcome::not_sent, false, false};
            observation.ending = platform::ExchangeEnd::connection_closed;
            break;
        case engine::ExchangeEnd::dial_failed:
        case engine::ExchangeEnd::unverified:
        case engine::ExchangeEnd::withdrawn: observation.ending = platform::ExchangeEnd::no_connection; break;
        case engine::ExchangeEnd::connection_closed:
            observation.ending = platform::ExchangeEnd::connection_closed;
            break;
        case engine::ExchangeEnd::malformed_response:
            observation.ending = platform::ExchangeEnd::malformed_response;
            break;
        case engine::ExchangeEnd::timed_out: observation.ending = platform::ExchangeEnd::timed_out; break;
        case engine::ExchangeEnd::cancelled: observation.ending = platform::ExchangeEnd::cancelled; break;
    }
    observation.written = observed.written;
    observation.prefill = observed.prefill;
    observation.started = observed.started;
    observation.complete = observed.complete;
    observation.status = observed.status;
    observation.not_run = observed.not_run != engine::NotRun::unknown;
    const auto classification = platform::classify(observation);
    return {classification.outcome, classification.kv_state_missing, false};
}

std::optional<ServerRequest> PlatformProtocol::release(const std::string& name, std::int64_t,
                                                       const std::string&, const std::string&) const {
    return ServerRequest{"DELETE", platform::lease_target(name), {}, ""};
}
std::optional<ServerRequest> PlatformProtocol::reservation_request(const std::string& name) const {
    return ServerRequest{"POST", platform::lease_target(name), {}, ""};
}
Protocol::Reservation PlatformProtocol::reservation_state(int status) const {
    if (status == 200) return Reservation::held;
    return status == 204 ? Reservation::unknown : Reservation::not_held;
}

ServerRequest PlatformProtocol::health_check_request() const {
    return {"GET", std::string(platform::kHealthPath), {}, ""};
}
std::vector<double> PlatformProtocol::health_check_load(const ResponseHead&, std::string_view) const {
    return {};
}

}  // namespace chalksail::core
