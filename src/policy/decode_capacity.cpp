#include "decode_capacity.hpp"

namespace chalksail::policy {

double DecodeCapacity::available(const Request& request, CandidateSet& candidates,
                                 const StepContext& context) {
    return context.sparse_observations ? pool_available() : servers_available(request, candidates, context);
}

double DecodeCapacity::pool_available() {
    if (!pending_tokens_) {
        pending_tokens_ = 0;
        for (const auto& [id, request] : requests_.all())
            *pending_tokens_ += request.awaits_decode_capacity() ? request.tokens() : 0;
    }
    return limits_.pool_capacity() - *pending_tokens_;
}

double DecodeCapacity::servers_available(const Request& request, CandidateSet& candidates,
                                         const StepContext& context) {
    double available = 0;
    available_by_cell_.clear();
    for (const Server* server : candidates.candidates(request, Stage::decode)) {
        if (!candidates.usable(*server, request) || !limits_.has_capacity(server->limit, context)) continue;
        const double free = server->limit.limit() - limits_.load(server->limit, context.now);
        available += free;
        available_by_cell_[server->endpoint.cell] += free;
    }
    for (const auto& [id, other] : requests_.all()) {
        if (!other.awaits_decode_capacity()) continue;
        available -= other.tokens();
        const ServerId& prefill_server = other.attempt ? other.attempt->server : *other.kv_state_server;
        if (const Server* server = endpoints_.find(prefill_server))
            available_by_cell_[server->endpoint.cell] -= other.tokens();
    }
    return available;
}

bool DecodeCapacity::cell_has_capacity(std::int64_t cell, const Request& request) const {
    const auto left = available_by_cell_.find(cell);
    return left != available_by_cell_.end() && left->second >= request.tokens();
}

void DecodeCapacity::record_sent(const Request& request, Stage stage) {
    if (!pending_tokens_) return;
    *pending_tokens_ +=
        (stage == Stage::prefill ? request.tokens() : 0) - (request.kv_state_server ? request.tokens() : 0);
}

}  // namespace chalksail::policy
