#include "config/kdl/numbers.hpp"

#include <cctype>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>

namespace chalksail::kdl {
namespace {

constexpr int kDecimal = 10;

bool is_hex_digit(char c) { return std::isxdigit(static_cast<unsigned char>(c)) != 0; }

int base_of_prefix(std::string_view text) {
    if (text.size() < 2 || text[0] != '0') return kDecimal;
    switch (text[1]) {
        case 'x': return 16;
        case 'o': return 8;
        case 'b': return 2;
        default: return kDecimal;
    }
}

// Removes each '_'. Returns nullopt if one does not follow a digit.
std::optional<std::string> without_underscores(std::string_view text) {
    std::string digits;
    for (const char c : text) {
        if (c != '_') digits += c;
        else if (digits.empty() || !is_hex_digit(digits.back())) return std::nullopt;
    }
    return digits;
}

tl::expected<Scalar, NumberError> parse_whole(const std::string& digits, int base, bool negative) {
    std::uint64_t magnitude = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, magnitude, base);
    const bool too_large = error == std::errc::result_out_of_range;
    if (stop != end || (error != std::errc{} && !too_large)) return tl::unexpected(NumberError::malformed);
    const auto max = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (too_large || magnitude > max + (negative ? 1U : 0U)) return tl::unexpected(NumberError::too_large);
    return static_cast<std::int64_t>(negative ? 0 - magnitude : magnitude);
}

tl::expected<Scalar, NumberError> parse_real(std::string digits, bool negative) {
    // KDL requires digits on both sides of the point and in the exponent.
    const auto point = digits.find('.');
    if (point != std::string::npos &&
        (point + 1 >= digits.size() || !std::isdigit(static_cast<unsigned char>(digits[point + 1]))))
        return tl::unexpected(NumberError::malformed);
    // std::from_chars does not accept a '+' in the exponent.
    const auto exponent = digits.find_first_of("eE");
    if (exponent != std::string::npos && exponent + 1 < digits.size() && digits[exponent + 1] == '+')
        digits.erase(exponent + 1, 1);
    double magnitude = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, magnitude);
    if (stop != end) return tl::unexpected(NumberError::malformed);
    if (error != std::errc{}) return tl::unexpected(NumberError::out_of_range);
    return negative ? -magnitude : magnitude;
}

}  // namespace

const char* describe(NumberError error) {
    switch (error) {
        case NumberError::malformed: break;
        case NumberError::too_large: return "is too large";
        case NumberError::out_of_range: return "is out of range";
    }
    return "is not a valid number";
}

tl::expected<Scalar, NumberError> parse_number(std::string_view text) {
    const bool negative = text.starts_with('-');
    if (negative || text.starts_with('+')) text.remove_prefix(1);
    const int base = base_of_prefix(text);
    if (base != kDecimal) text.remove_prefix(2);
    if (text.empty() || text.front() == '_') return tl::unexpected(NumberError::malformed);
    const auto digits = without_underscores(text);
    if (!digits) return tl::unexpected(NumberError::malformed);
    const bool real = base == kDecimal && digits->find_first_of(".eE") != std::string::npos;
    return real ? parse_real(*digits, negative) : parse_whole(*digits, base, negative);
}

}  // namespace chalksail::kdl
