// An edge's settings on the users' platform: what its configuration says, and limits that fit what it allows.
#pragma once

#include "config/settings.hpp"
#include "platform/configuration.hpp"

namespace chalksail::core {

// Throws std::invalid_argument if the module would refuse them.
[[nodiscard]] config::EdgeSettings platform_settings(const platform::Configuration& told);

}  // namespace chalksail::core
