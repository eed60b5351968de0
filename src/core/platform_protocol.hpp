// Implements Protocol for the users' platform with the codecs of src/platform. See protocol.hpp for
// ownership, threads and errors.
#pragma once

#include <unordered_set>

#include "core/protocol.hpp"

namespace chalksail::core {

class PlatformProtocol : public Protocol {
public:
    explicit PlatformProtocol(const config::EdgeSettings& settings) : settings_(settings) {}

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
    [[nodiscard]] ReleaseScope release_scope() const override { return ReleaseScope::request; }
    [[nodiscard]] bool half_close_cancels() const override { return true; }
    [[nodiscard]] std::optional<ServerRequest> release(const std::string& name, std::int64_t attempt,
                                                       const std::string& state,
                                                       const std::string& kind) const override;
    [[nodiscard]] bool release_unsupported(int) const override { return false; }
    [[nodiscard]] std::optional<ServerRequest> reservation_request(const std::string& name) const override;
    [[nodiscard]] Reservation reservation_state(int status) const override;
    [[nodiscard]] ServerRequest health_check_request() const override;
    [[nodiscard]] std::vector<double> health_check_load(const ResponseHead& head,
                                                        std::string_view body) const override;

private:
    class Session;
    config::EdgeSettings settings_;
    std::unordered_set<std::string> open_ids_;  // ids of the open requests, which must be unique
};

}  // namespace chalksail::core
