// The simulator's start object, which is also the platform's `settings`, as the module's Settings. One reader
// for the adapter and the edge. No I/O.
#pragma once

#include <rapidjson/document.h>

#include <chalksail/chalksail.hpp>

namespace chalksail::platform {

// Throws BadField (fields.hpp), which names the member at fault. Unknown members are passed over.
[[nodiscard]] Settings read_settings(const rapidjson::Value& options);

}  // namespace chalksail::platform
