// The clock of the network layer.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstdint>

namespace chalksail::net {

// A monotonic clock, in nanoseconds: the one that libuv's timers run by.
[[nodiscard]] inline Time uv_now_time() { return Time(Duration(static_cast<std::int64_t>(uv_hrtime()))); }

}  // namespace chalksail::net
