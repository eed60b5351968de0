#include "prompt_cache.hpp"

#include <algorithm>

namespace chalksail::policy {

double PromptCache::uncached_tokens(const ServerId& server, const Request& request) const {
    const double prompt = request.arrival.prompt_tokens;
    if (reported_) return std::max(0.0, prompt - reported_tokens(server, request));
    const double prefix = request.arrival.prefix.empty() ? 0 : estimated_tokens(request.prefix_key);
    const double cached = std::max(prefix, estimated_tokens(request.session_key));
    return std::max(0.0, prompt - cached);
}

double PromptCache::session_tokens(const ServerId& server, const Request& request) const {
    return reported_ ? reported_tokens(server, request) : estimated_tokens(request.session_key);
}

double PromptCache::reported_tokens(const ServerId& server, const Request& request) {
    const auto& reports = request.arrival.cached_prefixes;
    const auto it =
        std::lower_bound(reports.begin(), reports.end(), server,
                         [](const CachedPrefix& report, const ServerId& id) { return report.server < id; });
    return it != reports.end() && it->server == server ? it->tokens : 0;
}

double PromptCache::estimated_tokens(const std::string& key) const {
    const auto it = texts_.find(key);
    return it == texts_.end() ? 0 : it->second.tokens;
}

void PromptCache::record_prefill(const Request& request, Time now) {
    const RequestArrived& arrival = request.arrival;
    if (!arrival.prefix.empty()) texts_[request.prefix_key] = {arrival.shared_tokens, now};
    texts_[request.session_key] = {arrival.prompt_tokens, now};
    if (texts_.size() > kMaxTrackedTexts) drop_oldest();
}

void PromptCache::drop_oldest() {
    texts_.erase(std::min_element(texts_.begin(), texts_.end(), [](const auto& a, const auto& b) {
        return a.second.used_at < b.second.used_at;
    }));
}

void PromptCache::restart() {
    texts_.clear();
    reported_ = false;
}

}  // namespace chalksail::policy
