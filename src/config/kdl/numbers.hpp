// A parser of KDL's numbers: decimal, hexadecimal (0x), octal (0o) and binary (0b), with '_' between digits.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config/kdl/kdl.hpp"

namespace chalksail::kdl {

enum class NumberError {
    malformed,
    too_large,     // an integer that does not fit into std::int64_t
    out_of_range,  // a real number that does not fit into double
};
[[nodiscard]] const char* describe(NumberError error);

// Parses a number. `text` must begin with a digit, or with a sign and a digit.
[[nodiscard]] tl::expected<Scalar, NumberError> parse_number(std::string_view text);

}  // namespace chalksail::kdl
