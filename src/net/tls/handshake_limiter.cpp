#include "net/tls/handshake_limiter.hpp"

namespace chalksail::net::tls {

void HandshakeLimiter::remove_from_heads(const Server& server) {
    if (!server.waiting.empty()) heads_.erase(*server.waiting.begin());
}
void HandshakeLimiter::add_to_heads(const std::string& name, const Server& server) {
    if (!server.waiting.empty() && server.under_way < limits_.per_server)
        heads_.emplace(*server.waiting.begin(), name);
}

void HandshakeLimiter::enter(Id id, const std::string& server, double priority) {
    const Position position{-priority, ++order_, id};
    if (!entries_.emplace(id, Entry{server, position}).second) return;
    Server& s = servers_[server];
    remove_from_heads(s);
    s.waiting.insert(position);
    add_to_heads(server, s);
}

std::optional<HandshakeLimiter::Id> HandshakeLimiter::next() {
    if (under_way_ >= limits_.total || heads_.empty()) return std::nullopt;
    const auto [position, name] = *heads_.begin();
    Server& s = servers_.at(name);
    remove_from_heads(s);
    s.waiting.erase(position);
    s.under_way += 1;
    under_way_ += 1;
    add_to_heads(name, s);
    const Id id = std::get<2>(position);
    entries_.at(id).begun = true;
    return id;
}

void HandshakeLimiter::leave(Id id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) return;
    const auto s = servers_.find(it->second.server);
    remove_from_heads(s->second);
    if (it->second.begun) {
        s->second.under_way -= 1;
        under_way_ -= 1;
    } else {
        s->second.waiting.erase(it->second.position);
    }
    add_to_heads(s->first, s->second);
    if (s->second.under_way == 0 && s->second.waiting.empty()) servers_.erase(s);
    entries_.erase(it);
}

bool HandshakeLimiter::waits_for_total_limit(Id id) const {
    const auto it = entries_.find(id);
    return it != entries_.end() && !it->second.begun &&
           servers_.at(it->second.server).under_way < limits_.per_server;
}

std::optional<HandshakeLimiter::Id> HandshakeLimiter::first_waiting(const std::string& server) const {
    const auto it = servers_.find(server);
    if (it == servers_.end() || it->second.waiting.empty()) return std::nullopt;
    return std::get<2>(*it->second.waiting.begin());
}

}  // namespace chalksail::net::tls
