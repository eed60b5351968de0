// The pool's connections to one server: how many there are, and which are idle. No I/O; one thread.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <vector>

#include "net/upstream_connection.hpp"

namespace chalksail::net {

struct ServerConnections {
    std::size_t count = 0;                  // in any state
    std::vector<UpstreamConnection*> idle;  // the one used last stands last

    // The one used last of those idle since then or longer, or else the one used last: the others may be
    // closed for want of use. There must be an idle one.
    [[nodiscard]] UpstreamConnection* preferred(Time idle_since) const {
        const auto found = std::find_if(idle.rbegin(), idle.rend(),
                                        [&](const auto* one) { return one->since <= idle_since; });
        return found == idle.rend() ? idle.back() : *found;
    }
};

// Those for which the predicate holds. A copy, as what is done with them may change the set.
template <typename Predicate>
[[nodiscard]] std::vector<UpstreamConnection*> select(const std::set<UpstreamConnection*>& all,
                                                      const Predicate& holds) {
    std::vector<UpstreamConnection*> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out), holds);
    return out;
}

}  // namespace chalksail::net
