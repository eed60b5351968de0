// The platform's `settings` object, which is also the simulator's start object, as the router's Settings. The
// adapter and the gateway share this reader.
#pragma once

#include <rapidjson/document.h>

#include <chalksail/chalksail.hpp>

namespace chalksail::platform {

// Throws BadField (fields.hpp), which names the member at fault. Unknown members are ignored.
[[nodiscard]] Settings read_settings(const rapidjson::Value& options);

}  // namespace chalksail::platform
