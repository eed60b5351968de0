// The users' platform: its configuration file, client requests, model servers' responses and endpoint list as
// typed messages.
//
// The platform's own words (its JSON members and headers) end here; beyond the package they have the names of
// the public interface. Bytes in, values out: no I/O, no clock, no threads. What is wrong with the input is a
// text that names the member or header at fault, for the log or the client.
//
// This header: what a gateway is given at its start, a JSON file and a few environment variables.
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
    std::optional<EndpointListUpdate> known;  // a list from before, which may be stale
    Settings settings;
    Duration server_idle_timeout{};  // servers close a connection that was idle for so long; 0: not given
};

// Environment variables; empty where one is not set. One that is set wins over the file.
struct Environment {
    std::string name;
    std::string listen;
    std::string discovery;
};

// The error names the member at fault.
[[nodiscard]] tl::expected<Configuration, std::string> parse_configuration(std::string_view text,
                                                                           const Environment& environment);

}  // namespace chalksail::platform
