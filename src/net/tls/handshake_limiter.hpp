// Which handshakes go on, and which wait: so many at once to each server, so many in all, the most worthy
// first. Handshakes are work on a server that may have just come back; a rejoining fleet must not be met by
// all of them at once, and this gateway's one thread must not stand still for them.
//
// No I/O, no clock: a wait is bounded by its owner, who takes out what waited too long. All operations are
// logarithmic in what waits. Not thread-safe.
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
        std::size_t in_all = 64;
        std::size_t per_server = 8;
    };
    explicit HandshakeLimiter(Limits limits) : limits_(limits) {}

    // Wants to begin. Waits until next() names it.
    void enter(Id id, const std::string& server, double worth);
    // One that may begin now, the most worthy first and of equals the one that came first; nothing if none
    // may. What it names counts as under way.
    [[nodiscard]] std::optional<Id> next();
    // It has ended, well or not, or waits no longer.
    void leave(Id id);
    // Of one that waits: does it wait for this gateway's own limit, and not for its server's?
    [[nodiscard]] bool waits_for_all(Id id) const;
    // The most worthy that waits for this server.
    [[nodiscard]] std::optional<Id> waiting_for(const std::string& server) const;

    [[nodiscard]] std::size_t under_way() const { return under_way_; }
    [[nodiscard]] std::size_t waiting() const { return entries_.size() - under_way_; }

private:
    using Place = std::tuple<double, std::uint64_t, Id>;  // worth below zero, order of coming, number
    struct Server {
        std::size_t under_way = 0;
        std::set<Place> waiting;
    };
    struct Entry {
        std::string server;
        Place place;
        bool begun = false;
    };
    // Keeps `first_` in step with what this server has at its head, if it has room.
    void unlist(const Server& server);
    void list(const std::string& name, const Server& server);

    Limits limits_;
    std::size_t under_way_ = 0;
    std::uint64_t order_ = 0;
    std::unordered_map<Id, Entry> entries_;
    std::map<std::string, Server> servers_;
    std::map<Place, std::string> first_;  // of each server that has room
};

}  // namespace chalksail::net::tls
