// Cache snapshots of servers on disk, one for each. Without a snapshot the index only has to be built anew,
// so an error of the store is logged and never stops the gateway. One thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "observe/log.hpp"
#include "store/store.hpp"

namespace chalksail::net {

class CacheSnapshotStore {
public:
    // Throws std::runtime_error where the folder can't be used. `max_bytes`: of the file.
    CacheSnapshotStore(const std::string& folder, std::size_t max_bytes, observe::Log& log);

    [[nodiscard]] std::map<std::string, std::string> all() const { return store_.all(); }
    // Replaces the server's earlier one.
    void put(const std::string& server, const std::string& snapshot);
    void erase(const std::string& server);
    void flush();
    // Snapshots written since the start.
    [[nodiscard]] std::uint64_t written() const { return written_; }

private:
    store::Store store_;
    observe::Log& log_;
    std::uint64_t written_ = 0;
};

}  // namespace chalksail::net
