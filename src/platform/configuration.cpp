#include "platform/configuration.hpp"

#include <charconv>

#include "base/json.hpp"
#include "platform/fields.hpp"
#include "platform/settings.hpp"

namespace chalksail::platform {
namespace {

Address address(const Json& o, const char* field, const std::string& told) {
    const auto text = told.empty() ? optional<std::string>(o, field) : told;
    if (text.empty()) reject(field, "missing");
    const auto out = parse_address(text);
    if (!out) reject(field, "IP:PORT wanted");
    return *out;
}

std::uint64_t seed(const Json& o) {
    const auto text = optional<std::string>(o, "seed");
    std::uint64_t out = 0;
    const auto [end, why] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
    if (text.empty() || why != std::errc{} || end != text.data() + text.size())
        reject("seed", "up to 16 hexadecimal digits wanted");
    return out;
}

Limits limits(const Json& o) {
    Limits out;
    if (find(o, "limits") == nullptr) return out;
    const Json& l = object(o, "limits");
    if (find(l, "cores") != nullptr) out.cores = required<double>(l, "cores");
    if (find(l, "memory_mb") != nullptr)
        out.memory_mb = static_cast<std::int64_t>(required<double>(l, "memory_mb"));
    if (find(l, "sockets") != nullptr) out.sockets = required<std::int64_t>(l, "sockets");
    if (out.cores <= 0) reject("cores", "more than 0 wanted");
    if (out.memory_mb < 16) reject("memory_mb", "at least 16 wanted");
    if (out.sockets < 64) reject("sockets", "at least 64 wanted");
    return out;
}

}  // namespace

tl::expected<Configuration, std::string> parse_configuration(std::string_view text,
                                                             const Environment& environment) {
    json::Document o;
    if (!json::parse(text, o) || !o.IsObject()) return tl::unexpected(std::string("one JSON object wanted"));
    try {
        Configuration out;
        out.name = environment.name.empty() ? optional<std::string>(o, "name") : environment.name;
        if (out.name.empty()) reject("name", "missing");
        out.listen = address(o, "listen", environment.listen);
        out.discovery = address(o, "discovery", environment.discovery);
        out.seed = seed(o);
        out.limits = limits(o);
        const Json& settings = object(o, "settings");
        out.settings = read_settings(settings);
        const Json& allowed = object(settings, "limits");
        out.server_idle = optional<Duration>(allowed, "conn_idle_ns");
        if (const Json* known = find(o, "known")) {
            auto list = read_endpoint_list(*known);
            if (!list) throw BadField("known: " + list.error());
            out.known = std::move(*list);
        }
        return out;
    } catch (const BadField& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

}  // namespace chalksail::platform
