#include "platform/configuration.hpp"

#include <charconv>

#include "base/json.hpp"
#include "platform/fields.hpp"
#include "platform/settings.hpp"

namespace chalksail::platform {
namespace {

constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMinSockets = 64;

Address read_address(const Json& configuration, const char* field, const std::string& variable) {
    const auto text = variable.empty() ? optional<std::string>(configuration, field) : variable;
    if (text.empty()) reject(field, "missing");
    const auto address = parse_address(text);
    if (!address) reject(field, "must be IP:PORT");
    return *address;
}

std::uint64_t read_seed(const Json& configuration) {
    const auto text = optional<std::string>(configuration, "seed");
    std::uint64_t seed = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, seed, 16);
    if (text.empty() || error != std::errc{} || stop != end)
        reject("seed", "must be 1 to 16 hexadecimal digits");
    return seed;
}

Limits read_limits(const Json& configuration) {
    Limits limits;
    if (find(configuration, "limits") == nullptr) return limits;
    const Json& given = object(configuration, "limits");
    if (find(given, "cores") != nullptr) limits.cores = required<double>(given, "cores");
    if (find(given, "memory_mb") != nullptr)
        limits.memory_mb = static_cast<std::int64_t>(required<double>(given, "memory_mb"));
    if (find(given, "sockets") != nullptr) limits.sockets = required<std::int64_t>(given, "sockets");
    if (limits.cores <= 0) reject("cores", "must be greater than 0");
    if (limits.memory_mb < kMinMemoryMb) reject("memory_mb", "must be at least 16");
    if (limits.sockets < kMinSockets) reject("sockets", "must be at least 64");
    return limits;
}

std::optional<EndpointListUpdate> read_known_endpoints(const Json& configuration) {
    const Json* known = find(configuration, "known");
    if (known == nullptr) return std::nullopt;
    auto list = read_endpoint_list(*known);
    if (!list) throw BadField("known: " + list.error());
    return std::move(*list);
}

}  // namespace

tl::expected<Configuration, std::string> parse_configuration(std::string_view text,
                                                             const Environment& environment) {
    json::Document document;
    if (!json::parse(text, document) || !document.IsObject())
        return tl::unexpected(std::string("the configuration must be one JSON object"));
    try {
        Configuration configuration;
        configuration.name =
            environment.name.empty() ? optional<std::string>(document, "name") : environment.name;
        if (configuration.name.empty()) reject("name", "missing");
        configuration.listen = read_address(document, "listen", environment.listen);
        configuration.discovery = read_address(document, "discovery", environment.discovery);
        configuration.seed = read_seed(document);
        configuration.limits = read_limits(document);
        const Json& settings = object(document, "settings");
        configuration.settings = read_settings(settings);
        configuration.server_idle_timeout = optional<Duration>(object(settings, "limits"), "conn_idle_ns");
        configuration.known = read_known_endpoints(document);
        return configuration;
    } catch (const BadField& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

}  // namespace chalksail::platform
