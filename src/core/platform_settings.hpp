// An edge's settings on the users' platform: those of its configuration, and limits derived from what the
// platform allows one process. Pure function; no state.
#pragma once

#include "config/settings.hpp"
#include "platform/configuration.hpp"

namespace chalksail::core {

// Throws std::invalid_argument if the router would refuse them.
[[nodiscard]] config::EdgeSettings platform_settings(const platform::Configuration& configuration);

}  // namespace chalksail::core
