// Limits the concurrent TLS handshakes, for each server and in total. The highest priority is served first.
// Handshakes are expensive for a server that may have just restarted: when a fleet comes back, they must
// neither start all at once nor block this gateway's single thread.
//
// No I/O and no clock: the owner bounds the waiting time by removing entries. All operations are logarithmic
// in the number of waiting entries. Not thread-safe.
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
    using Id = std::uint64_t;  // Chosen by the owner, never reused
    struct Limits {
        std::size_t total = 64;
        std::size_t per_server = 8;
    };
    explicit HandshakeLimiter(Limits limits) : limits_(limits) {}

    // Adds a handshake that waits until next() returns it.
    void enter(Id id, const std::string& server, double priority);
    // Returns the handshake that may begin now, and counts it as under way; nothing if there is none. The
    // highest priority is first, and among equals the one that was added first.
    [[nodiscard]] std::optional<Id> next();
    // Removes a handshake that has succeeded, failed or been abandoned.
    void leave(Id id);
    // Whether a handshake waits because of the total limit and not because of its server's limit.
    [[nodiscard]] bool waits_for_total_limit(Id id) const;
    // Returns the server's waiting handshake with the highest priority.
    [[nodiscard]] std::optional<Id> first_waiting(const std::string& server) const;

    [[nodiscard]] std::size_t under_way() const { return under_way_; }
    [[nodiscard]] std::size_t waiting() const { return entries_.size() - under_way_; }

private:
    using Position = std::tuple<double, std::uint64_t, Id>;  // Negated priority, order of arrival, ID
    struct Server {
        std::size_t under_way = 0;
        std::set<Position> waiting;
    };
    struct Entry {
        std::string server;
        Position position;
        bool begun = false;
    };
    // Keep `heads_` consistent with the server's first waiting handshake. Called before and after a change.
    void remove_from_heads(const Server& server);
    void add_to_heads(const std::string& name, const Server& server);

    Limits limits_;
    std::size_t under_way_ = 0;
    std::uint64_t order_ = 0;
    std::unordered_map<Id, Entry> entries_;
    std::map<std::string, Server> servers_;
    // The first waiting handshake of each server below its limit, with the server's name.
    std::map<Position, std::string> heads_;
};

}  // namespace chalksail::net::tls
