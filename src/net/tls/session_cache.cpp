#include "net/tls/session_cache.hpp"

#include <algorithm>

namespace chalksail::net::tls {

void SessionDeleter::operator()(SSL_SESSION* session) const { SSL_SESSION_free(session); }

void SessionCache::remove_name(const std::string& name) {
    const auto it = names_.find(name);
    order_.erase(it->second.position);
    names_.erase(it);
}

void SessionCache::put(const std::string& name, Session session, std::int64_t unix_now,
                       std::int64_t expires_at) {
    if (SSL_SESSION_is_resumable(session.get()) == 0) return;
    auto it = names_.find(name);
    if (it == names_.end()) {
        if (names_.size() >= limits_.max_names) remove_name(order_.front());
        order_.push_back(name);
        it = names_.emplace(name, Name{{}, std::prev(order_.end())}).first;
    } else {
        order_.splice(order_.end(), order_, it->second.position);
    }
    auto& entries = it->second.entries;
    entries.push_back({std::move(session), std::min(unix_now + limits_.lifetime_seconds, expires_at)});
    if (entries.size() > limits_.max_per_name) entries.pop_front();
}

Session SessionCache::take(const std::string& name, std::int64_t unix_now) {
    const auto it = names_.find(name);
    if (it == names_.end()) return nullptr;
    auto& entries = it->second.entries;
    // A resumed handshake does not check whether the server's certificate has expired.
    std::erase_if(entries, [&](const Entry& entry) { return entry.expires_at <= unix_now; });
    if (entries.empty()) {
        remove_name(name);
        return nullptr;
    }
    order_.splice(order_.end(), order_, it->second.position);
    if (SSL_SESSION_get_protocol_version(entries.back().session.get()) < TLS1_3_VERSION) {
        SSL_SESSION_up_ref(entries.back().session.get());
        return Session(entries.back().session.get());
    }
    Session out = std::move(entries.back().session);
    entries.pop_back();
    if (entries.empty()) remove_name(name);
    return out;
}

void SessionCache::clear() {
    names_.clear();
    order_.clear();
}

std::size_t SessionCache::size() const {
    std::size_t out = 0;
    for (const auto& [name, all] : names_) out += all.entries.size();
    return out;
}

}  // namespace chalksail::net::tls
