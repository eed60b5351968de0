#include "base/units.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cmath>

namespace chalksail {
namespace {

constexpr double kDurationMostNs = 3.2e16;  // a little over a year
constexpr double kSizeMost = 1e15;          // bytes

// A number and the unit behind it.
struct Split {
    double number = 0;
    std::string_view unit;
};

std::optional<Split> split(std::string_view text) {
    Split out;
    const auto [end, why] =
        std::from_chars(text.data(), text.data() + text.size(), out.number, std::chars_format::fixed);
    if (why != std::errc{} || !std::isfinite(out.number) || out.number < 0) return std::nullopt;
    out.unit = text.substr(static_cast<std::size_t>(end - text.data()));
    return out;
}

}  // namespace

std::optional<Duration> parse_duration(std::string_view text) {
    const auto parts = split(text);
    if (!parts) return std::nullopt;
    double factor = 0;
    if (parts->unit == "us") factor = 1e3;
    else if (parts->unit == "ms") factor = 1e6;
    else if (parts->unit == "s") factor = 1e9;
    else if (parts->unit == "m") factor = 60e9;
    else if (parts->unit == "h") factor = 3600e9;
    else return std::nullopt;
    const double ns = parts->number * factor;
    if (ns > kDurationMostNs) return std::nullopt;
    return Duration(static_cast<std::int64_t>(std::llround(ns)));
}

std::optional<std::uint64_t> parse_size(std::string_view text) {
    const auto parts = split(text);
    if (!parts) return std::nullopt;
    double factor = 0;
    if (parts->unit.empty() || parts->unit == "B") factor = 1;
    else if (parts->unit == "KiB") factor = 1024;
    else if (parts->unit == "MiB") factor = 1024.0 * 1024;
    else if (parts->unit == "GiB") factor = 1024.0 * 1024 * 1024;
    else return std::nullopt;
    const double bytes = parts->number * factor;
    if (bytes > kSizeMost) return std::nullopt;
    return static_cast<std::uint64_t>(std::llround(bytes));
}

std::string format_duration(Duration duration) {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    if (us % 1'000'000 == 0) return std::to_string(us / 1'000'000) + "s";
    if (us % 1'000 == 0) return std::to_string(us / 1'000) + "ms";
    return std::to_string(us) + "us";
}

std::optional<Address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, why] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (why != std::errc{} || end != digits.data() + digits.size() || port > 65535) return std::nullopt;
    std::array<unsigned char, 16> parsed{};
    Address out;
    out.port = static_cast<std::uint16_t>(port);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        out.host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, out.host.c_str(), parsed.data()) == 1 ? std::optional(out) : std::nullopt;
    }
    out.host = host;
    return inet_pton(AF_INET, out.host.c_str(), parsed.data()) == 1 ? std::optional(out) : std::nullopt;
}

std::string format_address(const Address& address) {
    const bool is_ipv6 = address.host.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
}

}  // namespace chalksail
