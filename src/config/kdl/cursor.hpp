// A position in a KDL text: reads it code point by code point, counts lines and columns, and skips white
// space and comments.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "config/kdl/characters.hpp"
#include "config/kdl/kdl.hpp"

namespace chalksail::kdl {

// The exception for invalid input inside the parser. parse() catches it and returns its error.
struct SyntaxError {
    Error error;
};
[[noreturn]] void fail(SourcePosition position, std::string text);

// A copy of a cursor saves its position. Throws SyntaxError at invalid or forbidden code points. The text
// must outlive the cursor.
class Cursor {
public:
    explicit Cursor(std::string_view text);

    // The code point at this position, or kEndOfText.
    [[nodiscard]] char32_t current() const { return current_; }
    [[nodiscard]] bool at_end() const { return current_ == kEndOfText; }
    [[nodiscard]] SourcePosition position() const { return position_; }
    // The offset from the beginning of the text in bytes.
    [[nodiscard]] std::size_t offset() const { return offset_; }
    // The byte that is `ahead` bytes after this position, or kEndOfText.
    [[nodiscard]] char32_t peek(std::size_t ahead) const;
    [[nodiscard]] bool starts_with(std::string_view text) const;

    void next();
    // Skips `ascii` if the text continues with it. Returns whether it did.
    bool take(std::string_view ascii);
    // Skips one newline if the text continues with one.
    void take_newline();
    // Reads the longest run of identifier characters, which may be empty.
    [[nodiscard]] std::string take_identifier();

    // Skips white space, block comments and line continuations. Returns false if there were none.
    bool skip_node_space();
    // Skips what skip_node_space() skips, and also newlines and line comments.
    void skip_line_space();
    void skip_line_comment();

    // Throws SyntaxError with this position.
    [[noreturn]] void fail(std::string text) const { kdl::fail(position_, std::move(text)); }

private:
    void load();
    void skip_block_comment();
    void skip_line_continuation();

    std::string_view text_;
    std::size_t offset_ = 0;
    std::size_t width_ = 0;  // bytes of the current code point
    char32_t current_ = kEndOfText;
    SourcePosition position_;
};

}  // namespace chalksail::kdl
