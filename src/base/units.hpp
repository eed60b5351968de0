// Durations, sizes and addresses as people write them ("250ms", "8MiB", "[::1]:80"). No I/O, no threads, no
// state. Malformed text gives nullopt.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chalksail {

// "250us", "250ms", "1.5s", "2m", "1h"; nullopt for other text, negative times or ones over a year.
[[nodiscard]] std::optional<Duration> parse_duration(std::string_view text);
// "512", "512B", "64KiB", "8MiB", "1GiB"; nullopt for other text.
[[nodiscard]] std::optional<std::uint64_t> parse_size(std::string_view text);
// The shortest of the forms above that is exact to a microsecond.
[[nodiscard]] std::string format_duration(Duration duration);

// An IP address and a port; parse_address() makes sure that the text is well formed.
struct Address {
    std::string host;  // IPv4 or IPv6 literal, no brackets
    std::uint16_t port = 0;
    // The linter takes the comparison that the compiler writes for a null pointer.
    friend auto operator<=>(const Address&, const Address&) = default;  // NOLINT(modernize-use-nullptr)
};
// "127.0.0.1:80", "[::1]:80"; nullopt for host names or other text.
[[nodiscard]] std::optional<Address> parse_address(std::string_view text);
// The form that parse_address() reads.
[[nodiscard]] std::string format_address(const Address& address);

}  // namespace chalksail
