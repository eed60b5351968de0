// The network between gateways and engines, as TCP shows it to those who use it: a connection is dialled in
// one round trip, its bytes arrive in their order, those of different connections in any order. What is
// written while the way is cut is sent again with TCP's doubling pauses and arrives after the cut; a
// connection can be reset, and then both ends learn of it; or go silent (half-open), and then neither does.
// It says when something arrives; whoever owns the clock carries it. No I/O; draws only from its own stream.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sim/random.hpp"

namespace chalksail::lab::sim {

struct NetworkSpec {
    Duration same_zone = std::chrono::microseconds(500);  // one way
    Duration other_zone = std::chrono::microseconds(500);
    Duration jitter{};            // up to so much more for each message, evenly drawn
    double bytes_per_second = 0;  // of one connection, each way; 0: no limit
    double lost = 0;              // part of the messages that are sent again once, after the first pause
};

using Connection = std::uint64_t;
enum class Way { to_engine, to_gateway };

class Network {
public:
    // Zones by number, one for each gateway and each engine.
    Network(NetworkSpec spec, std::vector<std::size_t> gateway_zones, std::vector<std::size_t> engine_zones,
            Stream stream);

    // A new connection, and when it stands for the one who dialled. Nullopt: no answer within
    // `timeout`.
    struct Dialled {
        Connection connection = 0;
        Time stands{};
    };
    [[nodiscard]] std::optional<Dialled> dial(std::size_t gateway, std::size_t engine, Time now,
                                              Duration timeout);
    // When what is written now arrives; nothing: never.
    [[nodiscard]] std::optional<Time> arrival(Connection connection, Way way, Time now, std::size_t bytes);
    void close(Connection connection) { open_.erase(connection); }
    [[nodiscard]] bool is_open(Connection connection) const { return open_.contains(connection); }
    // One way between these two, as it is drawn for a message outside any connection.
    [[nodiscard]] Duration delay(std::size_t gateway, std::size_t engine);

    // ---- faults ----
    // Until then nothing passes, either way: between marked gateways and marked engines or, where the marked
    // are a place that is cut off, between whoever is in it and whoever is not, engines among themselves too.
    struct Cut {
        std::vector<bool> gateways;
        std::vector<bool> engines;
        Time until{};
        bool off = false;
    };
    void cut(Cut cut) { cuts_.push_back(std::move(cut)); }
    [[nodiscard]] bool blocked(std::size_t gateway, std::size_t engine, Time now) const {
        return blocked_until(gateway, engine, now) > now;
    }
    [[nodiscard]] bool apart(std::size_t engine, std::size_t other, Time now) const;
    // Nothing more passes on it, and neither end is notified.
    void silence(Connection connection);
    // All that are open to this engine.
    [[nodiscard]] std::vector<Connection> connections_of(std::size_t engine) const;

private:
    struct Open {
        std::size_t gateway = 0;
        std::size_t engine = 0;
        bool silent = false;
        Time last[2] = {};   // arrival of the last message, by way
        Time again[2] = {};  // when what waits in a cut is sent again
        Time free[2] = {};   // when the sender's line is free again
    };
    [[nodiscard]] Time blocked_until(std::size_t gateway, std::size_t engine, Time now) const;

    NetworkSpec spec_;
    std::vector<std::size_t> gateway_zones_;
    std::vector<std::size_t> engine_zones_;
    Stream stream_;
    std::vector<Cut> cuts_;
    std::unordered_map<Connection, Open> open_;
    Connection last_ = 0;
};

}  // namespace chalksail::lab::sim
