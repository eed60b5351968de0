// A reader of the KDL 2 document language (https://kdl.dev/spec). It takes a whole text and gives a tree of
// nodes, each with the place where it stands, or the first error with line and column. It owns what it
// returns; it keeps no reference to the text. No I/O, no threads, no exceptions for bad input. Limits:
// nesting to kMaxDepth.
//
// Not accepted, by choice: code points that KDL 2 forbids in documents (bidirectional controls, lone
// surrogates).
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

inline constexpr int kMaxDepth = 64;

// Where something stands: line and column from 1, columns counted in code points.
struct Place {
    std::size_t line = 1;
    std::size_t column = 1;
};

struct Error {
    Place place;
    std::string text;
};

struct Null {
    friend bool operator==(Null, Null) = default;
};
// Whole numbers that fit are std::int64_t; all other numbers are double.
using Scalar = std::variant<Null, bool, std::int64_t, double, std::string>;

struct Value {
    Scalar scalar;
    std::optional<std::string> type;  // the annotation, as in (ms)250
    Place place;
};

struct Property {
    std::string name;
    Value value;
    Place place;
};

struct Node {
    std::string name;
    std::optional<std::string> type;
    std::vector<Value> arguments;
    std::vector<Property> properties;  // the last of a name wins, as KDL says; earlier ones are dropped
    std::vector<Node> children;
    Place place;
    // The bytes between the braces of the children, as offsets into the text; equal if there are none.
    std::size_t children_begin = 0;
    std::size_t children_end = 0;
};

struct Document {
    std::vector<Node> nodes;
};

// Reads a whole document in UTF-8.
[[nodiscard]] tl::expected<Document, Error> parse(std::string_view text);

// A string as a KDL quoted string, with escapes.
[[nodiscard]] std::string quote(std::string_view text);

}  // namespace chalksail::kdl
