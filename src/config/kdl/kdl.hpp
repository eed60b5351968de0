// A parser of the KDL 2 document language (https://kdl.dev/spec). It returns a tree of nodes with their
// positions, or the first error with line and column. The result owns its data and does not refer to the
// text. The parser does no I/O, starts no threads and throws no exceptions for invalid input.
//
// Its parts: characters.hpp (code points), cursor.hpp (position, white space, comments), strings.hpp,
// numbers.hpp, parser.hpp (nodes and values).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace chalksail::kdl {

// The maximum nesting of children, which bounds the parser's recursion.
inline constexpr int kMaxDepth = 64;

// A position in a text. Lines and columns count from 1, columns in code points.
struct SourcePosition {
    std::size_t line = 1;
    std::size_t column = 1;
};

struct Error {
    SourcePosition position;
    std::string text;  // without the position
};

struct Null {
    friend bool operator==(Null, Null) = default;
};
// A number without a fraction or an exponent is std::int64_t, and an error if it is out of range. All other
// numbers are double.
using Scalar = std::variant<Null, bool, std::int64_t, double, std::string>;

// An argument, or the value of a property.
struct Value {
    Scalar scalar;
    std::optional<std::string> type;  // type annotation, as in (ms)250
    SourcePosition position;
};

struct Property {
    std::string name;
    Value value;
    SourcePosition position;
};

// `name argument... property=value... { children }`
struct Node {
    std::string name;
    std::optional<std::string> type;
    std::vector<Value> arguments;
    std::vector<Property> properties;  // unique names: the last property of a name wins, as KDL specifies
    std::vector<Node> children;
    SourcePosition position;
    // The range between the braces of the children, as byte offsets into the text; empty if there are none.
    std::size_t children_begin = 0;
    std::size_t children_end = 0;
};

struct Document {
    std::vector<Node> nodes;
};

// Parses a document in UTF-8.
[[nodiscard]] tl::expected<Document, Error> parse(std::string_view text);

// Returns the text as a quoted KDL string with escapes.
[[nodiscard]] std::string quote(std::string_view text);

}  // namespace chalksail::kdl
