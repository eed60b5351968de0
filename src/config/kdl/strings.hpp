// KDL's strings: identifiers, quoted, raw, and of several lines.
#pragma once

#include <string>

#include "config/kdl/cursor.hpp"

namespace chalksail::kdl {

// Parses the string at the cursor and moves behind it. `wanted` names what it stands for, in the error for
// anything else. Throws SyntaxError.
[[nodiscard]] std::string parse_string(Cursor& cursor, const char* wanted);

}  // namespace chalksail::kdl
