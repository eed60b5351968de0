// The clock of the network layer.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstdint>

namespace chalksail::net {

// Returns the current time of the monotonic clock that libuv's timers use, in nanoseconds.
[[nodiscard]] inline Time uv_now_time() { return Time(Duration(static_cast<std::int64_t>(uv_hrtime()))); }

}  // namespace chalksail::net
