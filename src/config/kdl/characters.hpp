// The classes of code points that KDL 2 distinguishes, and UTF-8.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chalksail::kdl {

// Marks the end of the text. Not a valid code point.
inline constexpr char32_t kEndOfText = 0xffffffff;

[[nodiscard]] bool is_newline(char32_t c);
// Returns whether `c` is white space other than a newline.
[[nodiscard]] bool is_space(char32_t c);
// Returns whether `c` must not occur literally anywhere in a document.
[[nodiscard]] bool is_forbidden(char32_t c);
[[nodiscard]] bool is_identifier_char(char32_t c);
[[nodiscard]] bool is_digit(char32_t c);

struct CodePoint {
    char32_t value = 0;
    std::size_t bytes = 0;  // length of its UTF-8 encoding
};
// Decodes the first code point of a non-empty text. Returns nullopt if its encoding is invalid.
[[nodiscard]] std::optional<CodePoint> decode_utf8(std::string_view text);
void append_utf8(std::string& out, char32_t c);

}  // namespace chalksail::kdl
