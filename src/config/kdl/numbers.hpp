// KDL's numbers: decimal, hexadecimal (0x), octal (0o) and binary (0b), with '_' between digits.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config/kdl/kdl.hpp"

namespace chalksail::kdl {

enum class NumberError {
    malformed,
    too_large,     // a whole number that std::int64_t does not hold
    out_of_range,  // a real number that double does not hold
};
[[nodiscard]] const char* describe(NumberError error);

// `text`: one that begins with a digit, or with a sign and a digit.
[[nodiscard]] tl::expected<Scalar, NumberError> parse_number(std::string_view text);

}  // namespace chalksail::kdl
