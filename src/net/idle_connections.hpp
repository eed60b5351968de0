// Which idle client connections are closed, and when. They stand in order of how long they have been idle:
// those that never sent a request, those that may send another, and those that have had their last answer. At
// the limit one of them is evicted for a new one: a crowd that connects and says nothing, or clients that
// keep connections for good, must not keep out a request. Free of I/O and clock; connections are numbers.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chalksail::net {

struct IdleConnectionLimits {
    std::size_t connections = 1024;  // in all, at rest or not
    Duration first{};                // of one that never asked; zero: as one that may ask again
    Duration idle = std::chrono::seconds(75);
    Duration pressed = std::chrono::seconds(2);  // the same where few places are left ...
    double pressed_share = 0.25;                 // ... fewer than this part
    Duration linger = std::chrono::milliseconds(1500);
    Duration just_come = std::chrono::milliseconds(20);  // a request follows its connection at once
};

class IdleConnections {
public:
    using Id = std::uint64_t;
    enum class Kind { silent, kept, closing };
    using Unread = std::function<bool(Id)>;  // something of it has come that nobody has looked at

    explicit IdleConnections(IdleConnectionLimits limits) : limits_(limits) {}

    // It is idle from now on.
    void add(Id id, Kind kind, Time now);
    void remove(Id id);  // it has a request in hand, or is gone
    [[nodiscard]] bool is_closing(Id id) const;
    // Which one is closed for a new one; nothing: all are in use.
    [[nodiscard]] std::optional<Id> choose_evicted(Time now, const Unread& unread) const;
    // Those whose time is over. `all`: connections, idle or not.
    [[nodiscard]] std::vector<Id> overdue(Time now, std::size_t all, bool draining,
                                          const Unread& unread) const;

private:
    struct At {
        Id id = 0;
        Time since{};
    };
    using Row = std::list<At>;
    [[nodiscard]] Row& row(Kind kind) { return rows_[static_cast<std::size_t>(kind)]; }
    [[nodiscard]] const Row& row(Kind kind) const { return rows_[static_cast<std::size_t>(kind)]; }

    IdleConnectionLimits limits_;
    Row rows_[3];
    std::unordered_map<Id, std::pair<Kind, Row::iterator>> where_;
};

}  // namespace chalksail::net
