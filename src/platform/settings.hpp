// Converts the platform's `settings` object, which is also the simulator's start object, to the router's
// Settings. Used by both the adapter and the gateway.
#pragma once

#include <rapidjson/document.h>

#include <chalksail/chalksail.hpp>

namespace chalksail::platform {

// Throws BadField (fields.hpp), which names the invalid member. Ignores unknown members.
[[nodiscard]] Settings read_settings(const rapidjson::Value& options);

}  // namespace chalksail::platform
