// Decides which idle client connections are closed, and when. There are three lists, each ordered by idle
// time: connections that never sent a request, those that may send another, and those that were shut down and
// linger. At the connection limit an idle one is evicted for each new one, so that neither connections that
// send nothing nor clients that keep connections open can block new requests. No I/O and no clock;
// connections are represented by numbers.
#pragma once

#include <array>
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
    std::size_t connections = 1024;            // Maximum number of connections, idle or not
    Duration first{};                          // Time-out for the first request; zero: same as `idle`
    Duration idle = std::chrono::seconds(75);  // Time-out for a further request
    // Replaces `idle` while less than `pressed_share` of the connection limit is free.
    Duration pressed = std::chrono::seconds(2);
    double pressed_share = 0.25;
    Duration linger = std::chrono::milliseconds(1500);  // Time-out for the peer's close after a shutdown
    // A new connection younger than this is not evicted before reusable ones, as its first request usually
    // follows immediately.
    Duration new_grace = std::chrono::milliseconds(20);
};

class IdleConnections {
public:
    using Id = std::uint64_t;
    enum class Kind { silent, reusable, closing };
    using Unread = std::function<bool(Id)>;  // Whether the connection may have unread input

    explicit IdleConnections(IdleConnectionLimits limits) : limits_(limits) {}

    // Marks a connection as idle from `now` on.
    void add(Id id, Kind kind, Time now);
    // Removes a connection that has received input or is closed.
    void remove(Id id);
    [[nodiscard]] bool is_closing(Id id) const;
    // Returns the connection to close for a new one; nothing if none is idle.
    [[nodiscard]] std::optional<Id> choose_evicted(Time now, const Unread& unread) const;
    // Returns the connections whose time-out has expired. `connections` is the number of all, idle or not.
    [[nodiscard]] std::vector<Id> overdue(Time now, std::size_t connections, bool draining,
                                          const Unread& unread) const;

private:
    struct Entry {
        Id id = 0;
        Time since{};
    };
    using EntryList = std::list<Entry>;  // Longest idle first
    static constexpr std::size_t kKinds = 3;
    [[nodiscard]] EntryList& list_of(Kind kind) { return lists_[static_cast<std::size_t>(kind)]; }
    [[nodiscard]] const EntryList& list_of(Kind kind) const { return lists_[static_cast<std::size_t>(kind)]; }

    IdleConnectionLimits limits_;
    std::array<EntryList, kKinds> lists_;
    std::unordered_map<Id, std::pair<Kind, EntryList::iterator>> entries_;
};

}  // namespace chalksail::net
