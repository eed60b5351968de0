// Implements Protocol for vLLM's disaggregated prefill behind an OpenAI-style API, with the codecs of
// src/chat and src/engine. See protocol.hpp for ownership, threads and errors.
#pragma once

#include "chat/request.hpp"
#include "core/protocol.hpp"
#include "core/token_estimate.hpp"

namespace chalksail::core {

inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
inline constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";
inline constexpr std::string_view kRetryHeader = "X-Stainless-Retry-Count";  // sent by the OpenAI clients

class VllmProtocol : public Protocol {
public:
    explicit VllmProtocol(const config::EdgeSettings& settings);

    [[nodiscard]] std::optional<ClientResponse> local_response(const http::Request& request,
                                                               bool draining) const override;
    [[nodiscard]] Rejection reject(const http::Request& request, std::uint64_t number,
                                   RejectionReason reason) const override;
    [[nodiscard]] tl::expected<ParsedRequest, Rejection> parse(http::Request& request,
                                                               std::uint64_t number) override;
    [[nodiscard]] ResponseHead read_head(int status, const http::Headers& headers) const override;
    [[nodiscard]] std::optional<PrefillResult> parse_prefill(int status,
                                                             std::string_view body) const override;
    [[nodiscard]] engine::AttemptClassification classify(const engine::AttemptObservation& observation,
                                                         const std::string& kind) const override;
    [[nodiscard]] ReleaseScope release_scope() const override { return ReleaseScope::attempt; }
    [[nodiscard]] std::optional<ServerRequest> release(const std::string& name, std::int64_t attempt,
                                                       const std::string& state,
                                                       const std::string& kind) const override;
    [[nodiscard]] bool release_unsupported(int status) const override;
    // vLLM servers have no call that reserves capacity.
    [[nodiscard]] std::optional<ServerRequest> reservation_request(const std::string&) const override {
        return std::nullopt;
    }
    [[nodiscard]] Reservation reservation_state(int) const override { return Reservation::not_held; }
    [[nodiscard]] ServerRequest health_check_request() const override;
    [[nodiscard]] std::vector<double> health_check_load(const ResponseHead& head,
                                                        std::string_view body) const override;

private:
    class Session;
    // Returns a name that is unique for each request, also across restarts.
    [[nodiscard]] std::string request_name(std::uint64_t number) const;
    // Returns the tenant of the request's API key; empty if the key is missing or unknown.
    [[nodiscard]] std::string tenant_of(const http::Request& request) const;
    // Returns the index of the first class with a matching rule; an error if there is none or the model is
    // unknown.
    [[nodiscard]] tl::expected<std::size_t, chat::ApiError> class_of(const http::Request& request,
                                                                     const std::string& model) const;
    // Returns the deadline of the class, or a shorter one that the client requests.
    [[nodiscard]] tl::expected<Duration, chat::ApiError> deadline_of(const http::Request& request,
                                                                     std::size_t class_index) const;
    [[nodiscard]] std::unique_ptr<ProtocolSession> start_session(const ParsedRequest& parsed,
                                                                 std::string idempotency_key,
                                                                 chat::Request chat, std::string body);

    config::EdgeSettings settings_;
    TokenEstimate tokens_;
};

}  // namespace chalksail::core
