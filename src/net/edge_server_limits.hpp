// Derives the limits of the gateway's listeners, connections and subscriptions from its settings. Pure
// functions.
#pragma once

#include "config/settings.hpp"
#include "net/cache_feed.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"

namespace chalksail::net {

[[nodiscard]] ServerLimits client_limits(const config::EdgeLimits& limits);
[[nodiscard]] ServerLimits admin_limits(const config::EdgeLimits& limits);
[[nodiscard]] PoolLimits upstream_limits(const config::EdgeSettings& settings);
[[nodiscard]] CacheFeed::Limits cache_feed_limits(const config::CacheEvents& settings);

}  // namespace chalksail::net
