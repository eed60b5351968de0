#include "config/kdl/cursor.hpp"

namespace chalksail::kdl {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

}  // namespace

void fail(SourcePosition position, std::string text) { throw SyntaxError{{position, std::move(text)}}; }

Cursor::Cursor(std::string_view text) : text_(text) {
    if (text_.starts_with(kByteOrderMark)) offset_ = kByteOrderMark.size();
    load();
}

// Decodes the code point at offset_.
void Cursor::load() {
    if (offset_ >= text_.size()) {
        current_ = kEndOfText;
        width_ = 0;
        return;
    }
    const auto decoded = decode_utf8(text_.substr(offset_));
    if (!decoded) fail("invalid UTF-8");
    if (is_forbidden(decoded->value)) fail("a character that is not allowed in KDL documents");
    current_ = decoded->value;
    width_ = decoded->bytes;
}

char32_t Cursor::peek(std::size_t ahead) const {
    return offset_ + ahead < text_.size() ? static_cast<unsigned char>(text_[offset_ + ahead]) : kEndOfText;
}

bool Cursor::starts_with(std::string_view text) const { return text_.substr(offset_).starts_with(text); }

void Cursor::next() {
    if (at_end()) return;
    const bool first_of_crlf = current_ == '\r' && peek(1) == '\n';
    if (is_newline(current_) && !first_of_crlf) {
        position_.line += 1;
        position_.column = 1;
    } else {
        position_.column += 1;
    }
    offset_ += width_;
    load();
}

bool Cursor::take(std::string_view ascii) {
    if (!starts_with(ascii)) return false;
    for (std::size_t i = 0; i < ascii.size(); ++i) next();
    return true;
}

void Cursor::take_newline() {
    if (current_ == '\r') {
        next();
        if (current_ == '\n') next();
    } else if (is_newline(current_)) {
        next();
    }
}

std::string Cursor::take_identifier() {
    std::string identifier;
    while (is_identifier_char(current_)) {
        append_utf8(identifier, current_);
        next();
    }
    return identifier;
}

void Cursor::skip_block_comment() {
    const SourcePosition begin = position_;
    int depth = 0;
    do {
        if (at_end()) kdl::fail(begin, "unterminated block comment");
        if (take("/*")) ++depth;
        else if (take("*/")) --depth;
        else next();
    } while (depth > 0);
}

void Cursor::skip_line_comment() {
    while (!at_end() && !is_newline(current_)) next();
}

void Cursor::skip_line_continuation() {
    next();  // the backslash
    for (;;) {
        if (is_space(current_)) next();
        else if (starts_with("/*")) skip_block_comment();
        else break;
    }
    if (starts_with("//")) skip_line_comment();
    if (!at_end() && !is_newline(current_)) fail("expected the end of the line after '\\'");
    take_newline();
}

bool Cursor::skip_node_space() {
    const std::size_t begin = offset_;
    for (;;) {
        if (is_space(current_)) next();
        else if (starts_with("/*")) skip_block_comment();
        else if (current_ == '\\') skip_line_continuation();
        else return offset_ != begin;
    }
}

void Cursor::skip_line_space() {
    for (;;) {
        if (is_newline(current_)) next();
        else if (starts_with("//")) skip_line_comment();
        else if (!skip_node_space()) return;
    }
}

}  // namespace chalksail::kdl
