// The grammar of KDL documents: nodes with arguments, properties and children.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/kdl/cursor.hpp"
#include "config/kdl/kdl.hpp"

namespace chalksail::kdl {

// Parses one text; use once. Throws SyntaxError.
class Parser {
public:
    explicit Parser(std::string_view text) : cursor_(text) {}
    [[nodiscard]] Document document();

private:
    [[nodiscard]] std::vector<Node> nodes(int depth);
    [[nodiscard]] Node node(int depth);
    void children(Node* parent, int depth);
    void entry(Node& node, bool commented_out);
    [[nodiscard]] Value value();
    [[nodiscard]] Scalar scalar();
    [[nodiscard]] Scalar keyword();
    [[nodiscard]] Scalar number();
    [[nodiscard]] std::optional<std::string> annotation();
    [[nodiscard]] bool at_number() const;
    [[nodiscard]] bool at_end_of_nodes() const;
    bool take_end_of_node();
    bool take_slashdash();

    Cursor cursor_;
};

}  // namespace chalksail::kdl
