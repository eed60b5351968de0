#include "config/kdl/parser.hpp"

#include <limits>
#include <utility>

#include "config/kdl/numbers.hpp"
#include "config/kdl/strings.hpp"

namespace chalksail::kdl {

Document Parser::document() {
    Document document;
    document.nodes = nodes(0);
    if (!cursor_.at_end()) cursor_.fail("'}' without a matching '{'");
    return document;
}

std::vector<Node> Parser::nodes(int depth) {
    if (depth > kMaxDepth) cursor_.fail("nested too deeply");
    std::vector<Node> nodes;
    for (;;) {
        cursor_.skip_line_space();
        while (cursor_.take(";")) cursor_.skip_line_space();
        if (at_end_of_nodes()) return nodes;
        const bool commented_out = take_slashdash();
        if (commented_out && at_end_of_nodes()) cursor_.fail("expected a node to comment out after '/-'");
        Node parsed = node(depth);
        if (!commented_out) nodes.push_back(std::move(parsed));
    }
}

Node Parser::node(int depth) {
    Node node;
    node.position = cursor_.position();
    node.type = annotation();
    if (at_number()) cursor_.fail("a node name must not be a number");
    node.name = parse_string(cursor_, "a node name");
    bool has_children = false;
    for (;;) {
        const bool spaced = cursor_.skip_node_space();
        if (take_end_of_node()) return node;
        const bool commented_out = take_slashdash();
        if (cursor_.current() == '{') {
            if (has_children && !commented_out)
                cursor_.fail("a node must not have a second block of children");
            children(commented_out ? nullptr : &node, depth);
            has_children = has_children || !commented_out;
            continue;
        }
        if (has_children) cursor_.fail("expected the end of the node after its children");
        if (!spaced && !commented_out) cursor_.fail("expected white space before the next value");
        entry(node, commented_out);
    }
}

// Parses a block of children. `parent` is nullptr for a block that is commented out.
void Parser::children(Node* parent, int depth) {
    cursor_.next();  // '{'
    const std::size_t begin = cursor_.offset();
    auto inner = nodes(depth + 1);
    if (cursor_.current() != '}') cursor_.fail("expected '}'");
    if (parent != nullptr) {
        parent->children = std::move(inner);
        parent->children_begin = begin;
        parent->children_end = cursor_.offset();
    }
    cursor_.next();
}

// Parses an argument or a property.
void Parser::entry(Node& node, bool commented_out) {
    const SourcePosition position = cursor_.position();
    const bool annotated = cursor_.current() == '(';
    Value first = value();
    const bool may_be_name = !annotated && std::holds_alternative<std::string>(first.scalar);
    const Cursor behind_first = cursor_;
    if (may_be_name) cursor_.skip_node_space();  // white space is allowed around '='
    if (!may_be_name || cursor_.current() != '=') {
        cursor_ = behind_first;
        if (!commented_out) node.arguments.push_back(std::move(first));
        return;
    }
    cursor_.next();
    cursor_.skip_node_space();
    Property property{std::get<std::string>(first.scalar), value(), position};
    if (commented_out) return;
    std::erase_if(node.properties, [&](const Property& old) { return old.name == property.name; });
    node.properties.push_back(std::move(property));
}

std::optional<std::string> Parser::annotation() {
    if (!cursor_.take("(")) return std::nullopt;
    cursor_.skip_node_space();
    std::string type = parse_string(cursor_, "a type name");
    cursor_.skip_node_space();
    if (!cursor_.take(")")) cursor_.fail("expected ')'");
    cursor_.skip_node_space();
    return type;
}

Value Parser::value() {
    Value value;
    value.position = cursor_.position();
    value.type = annotation();
    value.scalar = scalar();
    const char32_t c = cursor_.current();
    const bool delimited = cursor_.at_end() || is_space(c) || is_newline(c) ||
                           std::u32string_view(U";{}=\\/").find(c) != std::u32string_view::npos;
    if (!delimited) cursor_.fail("expected white space after a value");
    return value;
}

Scalar Parser::scalar() {
    const bool raw_string = cursor_.peek(1) == '"' || cursor_.peek(1) == '#';
    if (cursor_.current() == '#' && !raw_string) return keyword();
    if (at_number()) return number();
    return parse_string(cursor_, "a value");
}

Scalar Parser::keyword() {
    const SourcePosition position = cursor_.position();
    cursor_.next();  // '#'
    const std::string word = cursor_.take_identifier();
    if (word == "true") return true;
    if (word == "false") return false;
    if (word == "null") return Null{};
    if (word == "inf") return std::numeric_limits<double>::infinity();
    if (word == "-inf") return -std::numeric_limits<double>::infinity();
    if (word == "nan") return std::numeric_limits<double>::quiet_NaN();
    fail(position, "unknown keyword '#" + word + "'");
}

Scalar Parser::number() {
    const SourcePosition position = cursor_.position();
    const std::string text = cursor_.take_identifier();
    auto number = parse_number(text);
    if (!number) fail(position, "'" + text + "' " + describe(number.error()));
    return std::move(*number);
}

bool Parser::at_number() const {
    const char32_t c = cursor_.current();
    return is_digit(c) || ((c == '+' || c == '-') && is_digit(cursor_.peek(1)));
}

bool Parser::at_end_of_nodes() const { return cursor_.at_end() || cursor_.current() == '}'; }

// A '}' also ends a node, but is not skipped, because it closes the parent's block of children.
bool Parser::take_end_of_node() {
    if (at_end_of_nodes()) return true;
    if (is_newline(cursor_.current()) || cursor_.current() == ';') {
        cursor_.next();
        return true;
    }
    if (!cursor_.starts_with("//")) return false;
    cursor_.skip_line_comment();
    return true;
}

// Skips "/-", which comments out the next node, entry or block of children.
bool Parser::take_slashdash() {
    if (!cursor_.take("/-")) return false;
    cursor_.skip_line_space();
    return true;
}

}  // namespace chalksail::kdl
