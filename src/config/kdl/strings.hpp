// A parser of KDL's strings: identifier, quoted, raw and multi-line strings.
#pragma once

#include <string>

#include "config/kdl/cursor.hpp"

namespace chalksail::kdl {

// Parses the string at the cursor and moves the cursor behind it. Throws SyntaxError if there is no valid
// string; `wanted` describes the expected text in the error, such as "a value".
[[nodiscard]] std::string parse_string(Cursor& cursor, const char* wanted);

}  // namespace chalksail::kdl
