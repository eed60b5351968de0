#include "net/tls/handshake_limiter.hpp"

namespace chalksail::net::tls {

void HandshakeLimiter::unlist(const Server& server) {
    if (!server.waiting.empty()) first_.erase(*server.waiting.begin());
}
void HandshakeLimiter::list(const std::string& name, const Server& server) {
    if (!server.waiting.empty() && server.under_way < limits_.per_server)
        first_.emplace(*server.waiting.begin(), name);
}

void HandshakeLimiter::enter(Id id, const std::string& server, double worth) {
    const Place place{-worth, ++order_, id};
    if (!entries_.emplace(id, Entry{server, place}).second) return;
    Server& s = servers_[server];
    unlist(s);
    s.waiting.insert(place);
    list(server, s);
}

std::optional<HandshakeLimiter::Id> HandshakeLimiter::next() {
    if (under_way_ >= limits_.in_all || first_.empty()) return std::nullopt;
    const auto [place, name] = *first_.begin();
    Server& s = servers_.at(name);
    unlist(s);
    s.waiting.erase(place);
    s.under_way += 1;
    under_way_ += 1;
    list(name, s);
    const Id id = std::get<2>(place);
    entries_.at(id).begun = true;
    return id;
}

void HandshakeLimiter::leave(Id id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) return;
    const auto s = servers_.find(it->second.server);
    unlist(s->second);
    if (it->second.begun) {
        s->second.under_way -= 1;
        under_way_ -= 1;
    } else {
        s->second.waiting.erase(it->second.place);
    }
    list(s->first, s->second);
    if (s->second.under_way == 0 && s->second.waiting.empty()) servers_.erase(s);
    entries_.erase(it);
}

bool HandshakeLimiter::waits_for_all(Id id) const {
    const auto it = entries_.find(id);
    return it != entries_.end() && !it->second.begun &&
           servers_.at(it->second.server).under_way < limits_.per_server;
}

std::optional<HandshakeLimiter::Id> HandshakeLimiter::waiting_for(const std::string& server) const {
    const auto it = servers_.find(server);
    if (it == servers_.end() || it->second.waiting.empty()) return std::nullopt;
    return std::get<2>(*it->second.waiting.begin());
}

}  // namespace chalksail::net::tls
