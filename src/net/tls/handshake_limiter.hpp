// Limits the TLS handshakes under way: to each server, and in total; the highest priority goes first.
// Handshakes cost a server that may have just restarted; a fleet that comes back must not be met by all of
// them at once, and this gateway's one thread must not be blocked by them.
//
// No I/O, no clock: a wait is bounded by its owner, who removes what waited too long. All operations are
// logarithmic in the number that wait. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace chalksail::net::tls {

class HandshakeLimiter {
public:
    using Id = std::uint64_t;  // the owner's, used once
    struct Limits {
        std::size_t total = 64;
        std::size_t per_server = 8;
    };
    explicit HandshakeLimiter(Limits limits) : limits_(limits) {}

    // It waits from now on, until next() returns it.
    void enter(Id id, const std::string& server, double priority);
    // One that may begin now: the highest priority, and of equals the one that came first; nothing if none
    // may. It counts as under way.
    [[nodiscard]] std::optional<Id> next();
    // It has ended, well or not, or waits no longer.
    void leave(Id id);
    // Of one that waits: does it wait for the total limit, and not for its server's?
    [[nodiscard]] bool waits_for_total_limit(Id id) const;
    // The one of the highest priority that waits for this server.
    [[nodiscard]] std::optional<Id> waiting_for(const std::string& server) const;

    [[nodiscard]] std::size_t under_way() const { return under_way_; }
    [[nodiscard]] std::size_t waiting() const { return entries_.size() - under_way_; }

private:
    using Position = std::tuple<double, std::uint64_t, Id>;  // negated priority, order of arrival, number
    struct Server {
        std::size_t under_way = 0;
        std::set<Position> waiting;
    };
    struct Entry {
        std::string server;
        Position position;
        bool begun = false;
    };
    // Keeps `heads_` in step with what this server has at its head, if it has room.
    void remove_from_heads(const Server& server);
    void add_to_heads(const std::string& name, const Server& server);

    Limits limits_;
    std::size_t under_way_ = 0;
    std::uint64_t order_ = 0;
    std::unordered_map<Id, Entry> entries_;
    std::map<std::string, Server> servers_;
    std::map<Position, std::string> heads_;  // of each server that has room
};

}  // namespace chalksail::net::tls
