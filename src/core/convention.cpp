#include "core/convention.hpp"

#include "core/platform_convention.hpp"
#include "core/vllm_convention.hpp"

namespace chalksail::core {

std::unique_ptr<Convention> make_convention(const config::EdgeSettings& settings) {
    if (settings.speaks == config::Speaks::platform) return std::make_unique<PlatformConvention>(settings);
    return std::make_unique<VllmConvention>(settings);
}

}  // namespace chalksail::core
