#include "net/idle_connections.hpp"

namespace chalksail::net {

void IdleConnections::add(Id id, Kind kind, Time now) {
    remove(id);
    where_.emplace(id, std::pair(kind, row(kind).insert(row(kind).end(), {id, now})));
}

void IdleConnections::remove(Id id) {
    const auto at = where_.find(id);
    if (at == where_.end()) return;
    row(at->second.first).erase(at->second.second);
    where_.erase(at);
}

bool IdleConnections::is_closing(Id id) const {
    const auto at = where_.find(id);
    return at != where_.end() && at->second.first == Kind::closing;
}

std::optional<IdleConnections::Id> IdleConnections::choose_evicted(Time now, const Unread& unread) const {
    const auto oldest = [&](Kind kind, Time before) -> std::optional<Id> {
        for (const auto& at : row(kind)) {
            if (at.since > before) return std::nullopt;
            if (kind == Kind::closing || !unread(at.id))
                return at.id;  // nothing more of one that leaves is read
        }
        return std::nullopt;
    };
    if (const auto id = oldest(Kind::closing, now)) return id;
    if (const auto id = oldest(Kind::silent, now - limits_.just_come)) return id;
    if (const auto id = oldest(Kind::kept, now)) return id;
    return oldest(Kind::silent, now);
}

std::vector<IdleConnections::Id> IdleConnections::overdue(Time now, std::size_t all, bool draining,
                                                          const Unread& unread) const {
    const double left = static_cast<double>(limits_.connections) - static_cast<double>(all);
    const bool pressed = left < limits_.pressed_share * static_cast<double>(limits_.connections);
    const Duration kept = draining ? Duration{} : pressed ? limits_.pressed : limits_.idle;
    const Duration silent = draining ? Duration{} : limits_.first > Duration{} ? limits_.first : limits_.idle;
    std::vector<Id> out;
    const auto look = [&](Kind kind, Duration longest) {
        for (const auto& at : row(kind)) {
            if (now - at.since <= longest) break;
            if (kind == Kind::closing || !unread(at.id)) out.push_back(at.id);
        }
    };
    look(Kind::silent, silent);
    look(Kind::kept, kept);
    look(Kind::closing, limits_.linger);
    return out;
}

}  // namespace chalksail::net
