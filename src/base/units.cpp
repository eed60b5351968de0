#include "base/units.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cmath>

namespace chalksail {
namespace {

constexpr double kMaxDurationNs = 3.2e16;  // slightly over a year
constexpr double kMaxSizeBytes = 1e15;

// A number and the unit that follows it.
struct Quantity {
    double number = 0;
    std::string_view unit;
};

std::optional<Quantity> parse_quantity(std::string_view text) {
    Quantity out;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), out.number, std::chars_format::fixed);
    if (error != std::errc{} || !std::isfinite(out.number) || out.number < 0) return std::nullopt;
    out.unit = text.substr(static_cast<std::size_t>(end - text.data()));
    return out;
}

}  // namespace

std::optional<Duration> parse_duration(std::string_view text) {
    const auto quantity = parse_quantity(text);
    if (!quantity) return std::nullopt;
    double factor = 0;
    if (quantity->unit == "us") factor = 1e3;
    else if (quantity->unit == "ms") factor = 1e6;
    else if (quantity->unit == "s") factor = 1e9;
    else if (quantity->unit == "m") factor = 60e9;
    else if (quantity->unit == "h") factor = 3600e9;
    else return std::nullopt;
    const double ns = quantity->number * factor;
    if (ns > kMaxDurationNs) return std::nullopt;
    return Duration(static_cast<std::int64_t>(std::llround(ns)));
}

std::optional<std::uint64_t> parse_size(std::string_view text) {
    const auto quantity = parse_quantity(text);
    if (!quantity) return std::nullopt;
    double factor = 0;
    if (quantity->unit.empty() || quantity->unit == "B") factor = 1;
    else if (quantity->unit == "KiB") factor = 1024;
    else if (quantity->unit == "MiB") factor = 1024.0 * 1024;
    else if (quantity->unit == "GiB") factor = 1024.0 * 1024 * 1024;
    else return std::nullopt;
    const double bytes = quantity->number * factor;
    if (bytes > kMaxSizeBytes) return std::nullopt;
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
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || port > 65535) return std::nullopt;
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
