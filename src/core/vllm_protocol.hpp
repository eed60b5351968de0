// vLLM's disaggregated prefill behind an OpenAI-style front: the codecs of src/chat and src/engine put
// together.
#pragma once

#include "core/protocol.hpp"
#include "core/token_estimate.hpp"

namespace chalksail::core {

inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
inline constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";
inline constexpr std::string_view kRetryHeader = "X-Stainless-Retry-Count";  // sent by the OpenAI clients

class VllmProtocol : public Protocol {
public:
    explicit VllmProtocol(const config::EdgeSettings& settings);

    [[nodiscard]] std::optional<Answer> answer(const http::Request& request, bool draining) const override;
    [[nodiscard]] Rejection reject(const http::Request& request, std::uint64_t number,
                                   RejectionReason why) const override;
    [[nodiscard]] tl::expected<ParsedRequest, Rejection> parse(http::Request& request,
                                                               std::uint64_t number) override;
    [[nodiscard]] ResponseHead read_head(int status, const http::Headers& headers) const override;
    [[nodiscard]] std::optional<PrefillResult> parse_prefill(int status,
                                                             std::string_view body) const override;
    [[nodiscard]] engine::Judgement judge(const engine::Facts& facts, const std::string& kind) const override;
    [[nodiscard]] ReleaseScope release_covers() const override { return ReleaseScope::attempt; }
    [[nodiscard]] std::optional<ServerRequest> release(const std::string& name, std::int64_t attempt,
                                                       const std::string& state,
                                                       const std::string& kind) const override;
    [[nodiscard]] bool no_release(int status) const override;
    // Engines of this convention hold no places ahead.
    [[nodiscard]] std::optional<ServerRequest> lease(const std::string&) const override {
        return std::nullopt;
    }
    [[nodiscard]] Lease lease_answer(int) const override { return Lease::not_held; }
    [[nodiscard]] ServerRequest probe() const override;
    [[nodiscard]] std::vector<double> probe_report(const ResponseHead& head,
                                                   std::string_view body) const override;

private:
    class Request;
    [[nodiscard]] std::string name_of(std::uint64_t number) const;

    config::EdgeSettings settings_;
    TokenEstimate tokens_;
};

}  // namespace chalksail::core
