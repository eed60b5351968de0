// The pool's connections to one server: their number, and the idle ones. No I/O. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <vector>

#include "net/upstream_connection.hpp"

namespace chalksail::net {

struct ServerConnections {
    std::size_t count = 0;                  // Connections in any state
    std::vector<UpstreamConnection*> idle;  // Most recently used last

    // Returns the most recently used of the connections that may be reused by now, so that the others can
    // reach their idle time-out; nullptr if there is none.
    [[nodiscard]] UpstreamConnection* find_reusable(Time now) const {
        const auto found = std::find_if(idle.rbegin(), idle.rend(),
                                        [now](const auto* one) { return one->reusable_at <= now; });
        return found == idle.rend() ? nullptr : *found;
    }
};

// Returns the connections that satisfy the predicate. The result is a copy, as the caller may change the set
// while it processes them.
template <typename Predicate>
[[nodiscard]] std::vector<UpstreamConnection*> select_if(const std::set<UpstreamConnection*>& all,
                                                         const Predicate& holds) {
    std::vector<UpstreamConnection*> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out), holds);
    return out;
}

}  // namespace chalksail::net
