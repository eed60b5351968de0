#include "net/cache_snapshot_store.hpp"

#include <stdexcept>

namespace chalksail::net {
namespace {

template <typename Operation>
void run_logging_errors(observe::Log& log, const Operation& operation) {
    try {
        operation();
    } catch (const std::runtime_error& error) {
        log.error("cache_snapshots", error.what());
    }
}

}  // namespace

CacheSnapshotStore::CacheSnapshotStore(const std::string& folder, std::size_t max_bytes, observe::Log& log)
    : store_(folder, max_bytes), log_(log) {
    if (store_.set_aside())
        log_.warn("cache_snapshots", "unusable snapshot file was renamed and replaced by an empty one");
}

void CacheSnapshotStore::put(const std::string& server, const std::string& snapshot) {
    run_logging_errors(log_, [&] {
        store_.put(server, snapshot);
        written_ += 1;
    });
}

void CacheSnapshotStore::erase(const std::string& server) {
    run_logging_errors(log_, [&] { store_.erase(server); });
}

void CacheSnapshotStore::flush() {
    run_logging_errors(log_, [&] { store_.flush(); });
}

}  // namespace chalksail::net
