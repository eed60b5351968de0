// What the platform tells a gateway at its start: a JSON file, and a few of its members again as variables.
// No I/O.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "base/units.hpp"
#include "platform/endpoint_list.hpp"

namespace chalksail::platform {

struct Limits {
    double cores = 1;
    std::int64_t memory_mb = 64;
    std::int64_t sockets = 256;
};

struct Configuration {
    std::string name;
    Address listen;
    Address discovery;
    std::uint64_t seed = 0;
    Limits limits;
    std::optional<EndpointListUpdate> known;  // the list may be old
    Settings settings;
    Duration server_idle{};  // a server closes a connection not used for so long
};

// Variables of the environment; empty where one is not set. One that is set wins over the file.
struct Environment {
    std::string name;
    std::string listen;
    std::string discovery;
};

// The error names the member at fault.
[[nodiscard]] tl::expected<Configuration, std::string> parse_configuration(std::string_view text,
                                                                           const Environment& environment);

}  // namespace chalksail::platform
