// Stores one cache snapshot per server on disk. A lost snapshot only means that the prefix index is rebuilt
// from events, so errors of the store are logged and never stop the gateway. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "observe/log.hpp"
#include "store/store.hpp"

namespace chalksail::net {

class CacheSnapshotStore {
public:
    // Throws std::runtime_error if the folder can't be used. `max_bytes` limits the size of the file.
    CacheSnapshotStore(const std::string& folder, std::size_t max_bytes, observe::Log& log);

    [[nodiscard]] std::map<std::string, std::string> all() const { return store_.all(); }
    // Stores a server's snapshot in place of its earlier one.
    void put(const std::string& server, const std::string& snapshot);
    void erase(const std::string& server);
    void flush();
    // The number of snapshots written since startup.
    [[nodiscard]] std::uint64_t written() const { return written_; }

private:
    store::Store store_;
    observe::Log& log_;
    std::uint64_t written_ = 0;
};

}  // namespace chalksail::net
