// Which idle client connections are closed, and when. They are listed in order of how long they have been
// idle: those that never sent a request, those that may send another, and those that were shut down and
// linger. At the limit one of them is evicted for a new one: neither many that connect and send nothing, nor
// clients that hold connections for good, may keep a request out. Free of I/O and clock; connections are
// numbers.
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
    std::size_t connections = 1024;  // in all, idle or not
    Duration first{};                // of one that never sent a request; zero: as one that may send another
    Duration idle = std::chrono::seconds(75);
    Duration pressed = std::chrono::seconds(2);  // the same where few places are left ...
    double pressed_share = 0.25;                 // ... fewer than this share
    Duration linger = std::chrono::milliseconds(1500);
    Duration new_grace = std::chrono::milliseconds(20);  // a request follows its connection at once
};

class IdleConnections {
public:
    using Id = std::uint64_t;
    enum class Kind { silent, reusable, closing };
    using Unread = std::function<bool(Id)>;  // has something come that was not read yet?

    explicit IdleConnections(IdleConnectionLimits limits) : limits_(limits) {}

    // It is idle from now on.
    void add(Id id, Kind kind, Time now);
    void remove(Id id);  // it has a request in hand, or is closed
    [[nodiscard]] bool is_closing(Id id) const;
    // Which one is closed for a new one; nothing: all are in use.
    [[nodiscard]] std::optional<Id> choose_evicted(Time now, const Unread& unread) const;
    // Those whose time is over. `all`: connections, idle or not.
    [[nodiscard]] std::vector<Id> overdue(Time now, std::size_t all, bool draining,
                                          const Unread& unread) const;

private:
    struct Entry {
        Id id = 0;
        Time since{};
    };
    using EntryList = std::list<Entry>;  // longest idle first
    static constexpr std::size_t kKinds = 3;
    [[nodiscard]] EntryList& list_of(Kind kind) { return lists_[static_cast<std::size_t>(kind)]; }
    [[nodiscard]] const EntryList& list_of(Kind kind) const { return lists_[static_cast<std::size_t>(kind)]; }

    IdleConnectionLimits limits_;
    std::array<EntryList, kKinds> lists_;
    std::unordered_map<Id, std::pair<Kind, EntryList::iterator>> entries_;
};

}  // namespace chalksail::net
