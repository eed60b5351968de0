#include "config/kdl/strings.hpp"

#include <cctype>
#include <vector>

namespace chalksail::kdl {
namespace {

constexpr std::string_view kMultiLineQuote = "\"\"\"";
constexpr int kMaxEscapeDigits = 6;

// Parses \u{...}, starting after the 'u'. `begin` is the position of the 'u', for errors.
char32_t unicode_escape(Cursor& cursor, SourcePosition begin) {
    if (cursor.current() != '{') cursor.fail("expected '{' after \\u");
    cursor.next();
    char32_t code_point = 0;
    int count = 0;
    for (; count < kMaxEscapeDigits; ++count) {
        const char32_t c = cursor.current();
        if (c >= 0x80 || std::isxdigit(static_cast<int>(c)) == 0) break;
        const char32_t digit = is_digit(c) ? c - '0' : (c | 0x20U) - 'a' + 10;
        code_point = code_point * 16 + digit;
        cursor.next();
    }
    if (count == 0 || cursor.current() != '}')
        cursor.fail("\\u{...} must have one to six hexadecimal digits");
    cursor.next();
    const bool surrogate = code_point >= 0xd800 && code_point <= 0xdfff;
    if (code_point > 0x10ffff || surrogate) fail(begin, "\\u{...} is not a valid code point");
    return code_point;
}

// Parses an escape, starting at its backslash, and appends the decoded text. A backslash before white space
// skips all of that white space.
void escape(Cursor& cursor, std::string& out) {
    cursor.next();  // the backslash
    if (is_space(cursor.current()) || is_newline(cursor.current())) {
        while (is_space(cursor.current()) || is_newline(cursor.current())) cursor.next();
        return;
    }
    const SourcePosition begin = cursor.position();
    const char32_t c = cursor.current();
    cursor.next();
    switch (c) {
        case 'n': out += '\n'; return;
        case 'r': out += '\r'; return;
        case 't': out += '\t'; return;
        case 'b': out += '\b'; return;
        case 'f': out += '\f'; return;
        case 's': out += ' '; return;
        case '\\':
        case '"': out += static_cast<char>(c); return;
        case 'u': append_utf8(out, unicode_escape(cursor, begin)); return;
        default: fail(begin, "unknown escape sequence");
    }
}

// Throws SyntaxError at the end of the text or line, where a single-line string must not continue.
void expect_string_char(const Cursor& cursor, SourcePosition begin) {
    if (cursor.at_end()) fail(begin, "unterminated string");
    if (is_newline(cursor.current()))
        cursor.fail("newline in a single-line string (\"\"\" begins a multi-line string)");
}

std::string quoted_string(Cursor& cursor) {
    const SourcePosition begin = cursor.position();
    cursor.next();
    std::string out;
    while (cursor.current() != '"') {
        expect_string_char(cursor, begin);
        if (cursor.current() == '\\') {
            escape(cursor, out);
        } else {
            append_utf8(out, cursor.current());
            cursor.next();
        }
    }
    cursor.next();
    return out;
}

// One line of a multi-line string.
struct Line {
    std::string text;    // with its indentation and with escapes decoded
    std::string indent;  // literal white space at the beginning
    bool blank = true;   // contains only literal white space
    SourcePosition position;
};

// Reads the lines up to the closing quotes and moves the cursor behind the quotes.
std::vector<Line> read_lines(Cursor& cursor, SourcePosition begin, std::size_t hashes) {
    const std::string close = std::string(kMultiLineQuote) + std::string(hashes, '#');
    std::vector<Line> lines(1);
    lines.back().position = cursor.position();
    while (!cursor.take(close)) {
        if (cursor.at_end()) fail(begin, "unterminated string");
        Line& line = lines.back();
        if (is_newline(cursor.current())) {
            cursor.take_newline();
            lines.emplace_back().position = cursor.position();
        } else if (cursor.current() == '\\' && hashes == 0) {
            line.blank = false;
            escape(cursor, line.text);
        } else {
            if (!is_space(cursor.current())) line.blank = false;
            if (line.blank) append_utf8(line.indent, cursor.current());
            append_utf8(line.text, cursor.current());
            cursor.next();
        }
    }
    return lines;
}

// Parses a multi-line string. Removes the white space before the closing quotes from every line.
std::string multi_line_string(Cursor& cursor, std::size_t hashes) {
    const SourcePosition begin = cursor.position();
    cursor.take(kMultiLineQuote);
    if (!is_newline(cursor.current())) cursor.fail("expected a newline after the opening \"\"\"");
    cursor.take_newline();
    std::vector<Line> lines = read_lines(cursor, begin, hashes);
    const Line last = std::move(lines.back());
    lines.pop_back();
    if (!last.blank) fail(last.position, "the closing \"\"\" must be on a line of its own");
    std::string out;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (i > 0) out += '\n';
        if (lines[i].blank) continue;
        if (!lines[i].indent.starts_with(last.indent))
            fail(lines[i].position, "this line is indented less than the closing \"\"\"");
        out += lines[i].text.substr(last.indent.size());
    }
    return out;
}

std::string raw_string(Cursor& cursor) {
    const SourcePosition begin = cursor.position();
    std::size_t hashes = 0;
    while (cursor.current() == '#') {
        ++hashes;
        cursor.next();
    }
    if (cursor.current() != '"') fail(begin, "expected '\"' after '#'");
    if (cursor.starts_with(kMultiLineQuote)) return multi_line_string(cursor, hashes);
    const std::string close = "\"" + std::string(hashes, '#');
    cursor.next();
    std::string out;
    while (!cursor.take(close)) {
        expect_string_char(cursor, begin);
        append_utf8(out, cursor.current());
        cursor.next();
    }
    return out;
}

// Returns whether the identifier is one such as ".5" or "-.5", which KDL does not allow.
bool resembles_number(const std::string& identifier) {
    const std::size_t sign = identifier[0] == '+' || identifier[0] == '-' ? 1 : 0;
    return identifier.size() > sign + 1 && identifier[sign] == '.' &&
           is_digit(static_cast<unsigned char>(identifier[sign + 1]));
}

std::string identifier_string(Cursor& cursor, const char* wanted) {
    const SourcePosition begin = cursor.position();
    std::string identifier = cursor.take_identifier();
    if (identifier.empty()) fail(begin, "expected " + std::string(wanted));
    if (resembles_number(identifier))
        fail(begin, "'" + identifier + "' looks like a number: put it in quotes");
    for (const char* keyword : {"true", "false", "null", "inf", "-inf", "nan"})
        if (identifier == keyword)
            fail(begin, "'" + identifier + "' must have a '#' before it or be in quotes");
    return identifier;
}

}  // namespace

std::string parse_string(Cursor& cursor, const char* wanted) {
    if (cursor.current() == '#') return raw_string(cursor);
    if (cursor.starts_with(kMultiLineQuote)) return multi_line_string(cursor, 0);
    if (cursor.current() == '"') return quoted_string(cursor);
    return identifier_string(cursor, wanted);
}

}  // namespace chalksail::kdl
