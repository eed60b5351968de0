// Parses and formats durations, sizes and addresses in human-readable notation ("250ms", "8MiB",
// "[::1]:80"). No I/O, no threads, no state. Malformed text gives nullopt.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chalksail {

// Parses "250us", "250ms", "1.5s", "2m", "1h"; nullopt for other text, and for durations that are
// negative or over a year.
[[nodiscard]] std::optional<Duration> parse_duration(std::string_view text);
// Parses "512", "512B", "64KiB", "8MiB", "1GiB" as bytes; nullopt for other text.
[[nodiscard]] std::optional<std::uint64_t> parse_size(std::string_view text);
// Formats the duration in the shortest form of parse_duration() that is exact to a microsecond.
[[nodiscard]] std::string format_duration(Duration duration);

// An IP address and a port, as validated by parse_address().
struct Address {
    std::string host;  // IPv4 or IPv6 literal, no brackets
    std::uint16_t port = 0;
    // The linter mistakes the compiler-generated comparison for a null pointer constant.
    friend auto operator<=>(const Address&, const Address&) = default;  // NOLINT(modernize-use-nullptr)
};
// Parses "127.0.0.1:80", "[::1]:80"; nullopt for host names or other text.
[[nodiscard]] std::optional<Address> parse_address(std::string_view text);
// Formats the address so that parse_address() can read it.
[[nodiscard]] std::string format_address(const Address& address);

}  // namespace chalksail
