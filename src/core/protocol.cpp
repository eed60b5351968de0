#include "core/protocol.hpp"

#include "core/platform_protocol.hpp"
#include "core/vllm_protocol.hpp"

namespace chalksail::core {

std::unique_ptr<Protocol> make_protocol(const config::EdgeSettings& settings) {
    if (settings.protocol == config::ProtocolKind::platform)
        return std::make_unique<PlatformProtocol>(settings);
    return std::make_unique<VllmProtocol>(settings);
}

}  // namespace chalksail::core
