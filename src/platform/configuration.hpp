// The codecs of the users' platform: its configuration file, client requests, model servers' responses and
// endpoint list as typed values.
//
// The platform's names for JSON members and headers occur only in this package, which maps them to the names
// of the public interface. No I/O, no clock, no threads. Errors are texts that name the invalid member or
// header, for the log or the client.
//
// This header declares a gateway's configuration: a JSON file and a few environment variables.
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

// Resources of this gateway's process.
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
    std::optional<EndpointListUpdate> known;  // the initial endpoint list, which may be stale
    Settings settings;
    Duration server_idle_timeout{};  // servers close connections that are idle for longer; 0: not given
};

// Values of environment variables, which override the file; empty if not set.
struct Environment {
    std::string name;
    std::string listen;
    std::string discovery;
};

// Parses the configuration file. The error names the invalid member.
[[nodiscard]] tl::expected<Configuration, std::string> parse_configuration(std::string_view text,
                                                                           const Environment& environment);

}  // namespace chalksail::platform
