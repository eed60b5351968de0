// Builds an edge's settings on the users' platform from its configuration, with limits derived from the
// resources that the platform allows one process. Pure function; no state.
#pragma once

#include "config/settings.hpp"
#include "platform/configuration.hpp"

namespace chalksail::core {

// Throws std::invalid_argument if the router would reject the settings.
[[nodiscard]] config::EdgeSettings platform_settings(const platform::Configuration& configuration);

}  // namespace chalksail::core
