// The small fleet that the virtual days are played on.
#pragma once

#include <stdexcept>
#include <string>

#include "scenario/scenario.hpp"

namespace chalksail::lab {

inline constexpr const char* kFleet = R"(
edges 2
length "30s"
list-lag "700ms"
zone "ikeja"
zone "lekki"
zone "apapa"
edge {
    class "once" { when model="once"; aim "2s"; deadline "8s"; effect "once"; worth 3; }
    class "keyed" { when model="keyed"; aim "1.5s"; deadline "6s"; effect "by-key"; group "zone"; window "5s"; }
    class "chat" { aim "1.2s"; aim-per-1000-tokens "40ms"; deadline "5s"; }
    kind "prefill" { role "prefill"; memory-tokens 220000; }
    kind "decode" { role "decode"; memory-tokens 150000; }
    rules { cold-for "8s"; }
}
engines "prefill" kind="prefill" count=4 { slots 7; queue 30; read-pace 20000; }
engines "decode" kind="decode" count=5 { slots 40; queue 20; token-interval "20ms"; read-pace 6000; }
traffic "chat" { model "chat"; share 70; system-bytes 6000; turn-bytes 1500; max-tokens 60; }
traffic "once" { model "once"; share 20; system-bytes 3000; turn-bytes 1500; max-tokens 40; }
traffic "keyed" { model "keyed"; share 10; system-bytes 3000; turn-bytes 1500; max-tokens 40; }
)";

// `more` may give `clients` too; 36 otherwise.
inline Scenario scenario(const std::string& more, std::uint64_t seed) {
    const std::string clients = more.find("clients ") == std::string::npos ? "clients 36\n" : "";
    auto out = parse_scenario(kFleet + clients + more + "\nseed " + std::to_string(seed), "day");
    if (!out) throw std::runtime_error(format(out.error().front()));
    return std::move(*out);
}

}  // namespace chalksail::lab
