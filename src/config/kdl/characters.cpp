#include "config/kdl/characters.hpp"

namespace chalksail::kdl {

bool is_newline(char32_t c) {
    return c == '\n' || c == '\r' || c == 0x0b || c == 0x0c || c == 0x85 || c == 0x2028 || c == 0x2029;
}

bool is_space(char32_t c) {
    return c == '\t' || c == ' ' || c == 0xa0 || c == 0x1680 || (c >= 0x2000 && c <= 0x200a) || c == 0x202f ||
           c == 0x205f || c == 0x3000;
}

bool is_forbidden(char32_t c) {
    const bool control = c <= 0x08 || (c >= 0x0e && c <= 0x1f) || c == 0x7f;
    const bool surrogate = c >= 0xd800 && c <= 0xdfff;
    const bool direction =
        c == 0x200e || c == 0x200f || (c >= 0x202a && c <= 0x202e) || (c >= 0x2066 && c <= 0x2069);
    return control || surrogate || direction || c == 0xfeff || c > 0x10ffff;
}

bool is_identifier_char(char32_t c) {
    if (c == kEndOfText || is_newline(c) || is_space(c)) return false;
    if (c < 0x80)
        return std::string_view("\\/(){};[]\"#=").find(static_cast<char>(c)) == std::string_view::npos;
    return true;
}

bool is_digit(char32_t c) { return c >= '0' && c <= '9'; }

std::optional<CodePoint> decode_utf8(std::string_view text) {
    const auto byte = [&](std::size_t i) -> unsigned {
        return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U;
    };
    const unsigned first = byte(0);
    if (first < 0x80) return CodePoint{first, 1};
    if (first < 0xc2 || first > 0xf4) return std::nullopt;
    const std::size_t bytes = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    char32_t value = first & (0x7fU >> bytes);
    for (std::size_t i = 1; i < bytes; ++i) {
        if ((byte(i) & 0xc0U) != 0x80U) return std::nullopt;
        value = (value << 6U) | (byte(i) & 0x3fU);
    }
    const bool overlong = (bytes == 3 && value < 0x800) || (bytes == 4 && value < 0x10000);
    if (overlong) return std::nullopt;
    return CodePoint{value, bytes};
}

void append_utf8(std::string& out, char32_t c) {
    const auto append_tail = [&](unsigned shift) {
        out += static_cast<char>(0x80U | ((c >> shift) & 0x3fU));
    };
    if (c < 0x80) {
        out += static_cast<char>(c);
    } else if (c < 0x800) {
        out += static_cast<char>(0xc0U | (c >> 6U));
        append_tail(0);
    } else if (c < 0x10000) {
        out += static_cast<char>(0xe0U | (c >> 12U));
        append_tail(6);
        append_tail(0);
    } else {
        out += static_cast<char>(0xf0U | (c >> 18U));
        append_tail(12);
        append_tail(6);
        append_tail(0);
    }
}

}  // namespace chalksail::kdl
