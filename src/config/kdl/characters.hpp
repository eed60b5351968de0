// The classes of code points that KDL 2 distinguishes, and UTF-8.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chalksail::kdl {

// Stands behind the last code point of a text; no code point itself.
inline constexpr char32_t kEndOfText = 0xffffffff;

[[nodiscard]] bool is_newline(char32_t c);
// White space within a line.
[[nodiscard]] bool is_space(char32_t c);
// May not occur literally anywhere in a document.
[[nodiscard]] bool is_forbidden(char32_t c);
[[nodiscard]] bool is_identifier_char(char32_t c);
[[nodiscard]] bool is_digit(char32_t c);

struct CodePoint {
    char32_t value = 0;
    std::size_t bytes = 0;  // of its encoding
};
// The first code point of a text that is not empty; none if its encoding is invalid.
[[nodiscard]] std::optional<CodePoint> decode_utf8(std::string_view text);
void append_utf8(std::string& out, char32_t c);

}  // namespace chalksail::kdl
