#include "decode_capacity.hpp"

namespace chalksail::policy {

double DecodeCapacity::available(const Request& request, CandidateSet& candidates,
                                 const StepContext& context) {
    return context.sparse_observations ? pool_available() : servers_available(request, candidates, context);
}

double DecodeCapacity::pool_available() {
    if (!awaited_tokens_) {
        awaited_tokens_ = 0;
        for (const auto& [id, request] : requests_.all())
            *awaited_tokens_ += request.awaits_decode_capacity() ? request.tokens() : 0;
    }
    return limits_.pool_capacity() - *awaited_tokens_;
}

double DecodeCapacity::servers_available(const Request& request, CandidateSet& candidates,
                                         const StepContext& context) {
    double available = 0;
    cell_tokens_.clear();
    for (const Server* server : candidates.candidates(request, Stage::decode)) {
        if (!candidates.usable(*server, request) || !limits_.has_capacity(server->limit, context)) continue;
        const double free = server->limit.limit() - limits_.load(server->limit, context.now);
        available += free;
        cell_tokens_[server->endpoint.cell] += free;
    }
    for (const auto& [id, other] : requests_.all()) {
        if (!other.awaits_decode_capacity()) continue;
        available -= other.tokens();
        const ServerId& prefill_server = other.attempt ? other.attempt->server : *other.state_at;
        if (const Server* server = endpoints_.find(prefill_server))
            cell_tokens_[server->endpoint.cell] -= other.tokens();
    }
    return available;
}

bool DecodeCapacity::cell_has_capacity(std::int64_t cell, const Request& request) const {
    const auto left = cell_tokens_.find(cell);
    return left != cell_tokens_.end() && left->second >= request.tokens();
}

void DecodeCapacity::record_sent(const Request& request, Stage stage) {
    if (!awaited_tokens_) return;
    *awaited_tokens_ +=
        (stage == Stage::prefill ? request.tokens() : 0) - (request.state_at ? request.tokens() : 0);
}

}  // namespace chalksail::policy
