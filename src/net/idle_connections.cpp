#include "net/idle_connections.hpp"

#include <utility>

namespace chalksail::net {

void IdleConnections::add(Id id, Kind kind, Time now) {
    remove(id);
    auto& list = list_of(kind);
    entries_.emplace(id, std::pair(kind, list.insert(list.end(), {id, now})));
}

void IdleConnections::remove(Id id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) return;
    const auto [kind, entry] = found->second;
    list_of(kind).erase(entry);
    entries_.erase(found);
}

bool IdleConnections::is_closing(Id id) const {
    const auto found = entries_.find(id);
    return found != entries_.end() && found->second.first == Kind::closing;
}

std::optional<IdleConnections::Id> IdleConnections::choose_evicted(Time now, const Unread& unread) const {
    const auto longest_idle = [&](Kind kind, Time before) -> std::optional<Id> {
        for (const auto& entry : list_of(kind)) {
            if (entry.since > before) return std::nullopt;
            // Input of a closing connection is discarded, so unread bytes don't matter.
            if (kind == Kind::closing || !unread(entry.id)) return entry.id;
        }
        return std::nullopt;
    };
    if (const auto id = longest_idle(Kind::closing, now)) return id;
    if (const auto id = longest_idle(Kind::silent, now - limits_.new_grace)) return id;
    if (const auto id = longest_idle(Kind::reusable, now)) return id;
    return longest_idle(Kind::silent, now);
}

std::vector<IdleConnections::Id> IdleConnections::overdue(Time now, std::size_t connections, bool draining,
                                                          const Unread& unread) const {
    const double free = static_cast<double>(limits_.connections) - static_cast<double>(connections);
    const bool pressed = free < limits_.pressed_share * static_cast<double>(limits_.connections);
    const Duration reusable = draining ? Duration{} : pressed ? limits_.pressed : limits_.idle;
    const Duration silent = draining ? Duration{} : limits_.first > Duration{} ? limits_.first : limits_.idle;
    std::vector<Id> out;
    const auto add_overdue = [&](Kind kind, Duration longest) {
        for (const auto& entry : list_of(kind)) {
            if (now - entry.since <= longest) break;
            if (kind == Kind::closing || !unread(entry.id)) out.push_back(entry.id);
        }
    };
    add_overdue(Kind::silent, silent);
    add_overdue(Kind::reusable, reusable);
    add_overdue(Kind::closing, limits_.linger);
    return out;
}

}  // namespace chalksail::net
