#include "config/kdl/kdl.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>

namespace chalksail::kdl {
namespace {

constexpr char32_t kEnd = 0xffffffff;

bool is_newline(char32_t c) {
    return c == '\n' || c == '\r' || c == 0x0b || c == 0x0c || c == 0x85 || c == 0x2028 || c == 0x2029;
}
bool is_space(char32_t c) {
    return c == '\t' || c == ' ' || c == 0xa0 || c == 0x1680 || (c >= 0x2000 && c <= 0x200a) || c == 0x202f ||
           c == 0x205f || c == 0x3000;
}
// Code points that may not stand literally anywhere in a document.
bool is_forbidden(char32_t c) {
    return (c <= 0x08) || (c >= 0x0e && c <= 0x1f) || c == 0x7f || (c >= 0xd800 && c <= 0xdfff) ||
           c == 0x200e || c == 0x200f || (c >= 0x202a && c <= 0x202e) || (c >= 0x2066 && c <= 0x2069) ||
           c == 0xfeff || c > 0x10ffff;
}
bool is_identifier_char(char32_t c) {
    if (c == kEnd || is_newline(c) || is_space(c)) return false;
    if (c < 0x80)
        return std::string_view("\\/(){};[]\"#=").find(static_cast<char>(c)) == std::string_view::npos;
    return true;
}
bool is_digit(char32_t c) { return c >= '0' && c <= '9'; }

void append_utf8(std::string& out, char32_t c) {
    if (c < 0x80) {
        out += static_cast<char>(c);
    } else if (c < 0x800) {
        out += static_cast<char>(0xc0U | (c >> 6U));
        out += static_cast<char>(0x80U | (c & 0x3fU));
    } else if (c < 0x10000) {
        out += static_cast<char>(0xe0U | (c >> 12U));
        out += static_cast<char>(0x80U | ((c >> 6U) & 0x3fU));
        out += static_cast<char>(0x80U | (c & 0x3fU));
    } else {
        out += static_cast<char>(0xf0U | (c >> 18U));
        out += static_cast<char>(0x80U | ((c >> 12U) & 0x3fU));
        out += static_cast<char>(0x80U | ((c >> 6U) & 0x3fU));
        out += static_cast<char>(0x80U | (c & 0x3fU));
    }
}

// Thrown inside the reader only, and caught in parse().
struct Failure {
    Error error;
};

class Reader {
public:
    explicit Reader(std::string_view text) : text_(text) {
        if (text_.starts_with("\xef\xbb\xbf")) at_ = 3;
        load();
    }

    Document document() {
        Document out;
        out.nodes = nodes(0);
        if (c_ != kEnd) fail("'}' without a '{'");
        return out;
    }

private:
    // ---- characters ----
    [[noreturn]] void fail(std::string what) const { fail(place_, std::move(what)); }
    [[noreturn]] static void fail(Place place, std::string what) { throw Failure{{place, std::move(what)}}; }

    // Decodes the code point at at_ into c_, and its length into width_.
    void load() {
        if (at_ >= text_.size()) {
            c_ = kEnd;
            width_ = 0;
            return;
        }
        const auto byte = [&](std::size_t i) -> unsigned {
            return at_ + i < text_.size() ? static_cast<unsigned char>(text_[at_ + i]) : 0U;
        };
        const unsigned first = byte(0);
        if (first < 0x80) {
            c_ = first;
            width_ = 1;
        } else {
            width_ = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
            if (first < 0xc2 || first > 0xf4) fail("not UTF-8");
            char32_t c = first & (width_ == 2 ? 0x1fU : width_ == 3 ? 0x0fU : 0x07U);
            for (std::size_t i = 1; i < width_; ++i) {
                if ((byte(i) & 0xc0U) != 0x80U) fail("not UTF-8");
                c = (c << 6U) | (byte(i) & 0x3fU);
            }
            if ((width_ == 3 && c < 0x800) || (width_ == 4 && c < 0x10000)) fail("not UTF-8");
            c_ = c;
        }
        if (is_forbidden(c_)) fail("a character that KDL does not allow");
    }
    void next() {
        if (c_ == kEnd) return;
        if (is_newline(c_) && !(c_ == '\r' && at_ + 1 < text_.size() && text_[at_ + 1] == '\n')) {
            place_.line += 1;
            place_.column = 1;
        } else {
            place_.column += 1;
        }
        at_ += width_;
        load();
    }
    [[nodiscard]] bool looking_at(std::string_view what) const { return text_.substr(at_).starts_with(what); }
    bool take(std::string_view what) {
        if (!looking_at(what)) return false;
        for (std::size_t i = 0; i < what.size(); ++i) next();  // ASCII only
        return true;
    }
    [[nodiscard]] char32_t peek(std::size_t ahead) const {
        return at_ + ahead < text_.size() ? static_cast<unsigned char>(text_[at_ + ahead]) : kEnd;
    }

    // ---- space ----
    void block_comment() {
        const Place begin = place_;
        int depth = 0;
        do {
            if (c_ == kEnd) fail(begin, "comment without an end");
            if (take("/*")) ++depth;
            else if (take("*/")) --depth;
            else next();
        } while (depth > 0);
    }
    void line_comment() {
        while (c_ != kEnd && !is_newline(c_)) next();
    }
    // Spaces, block comments and continued lines. Says whether there was anything.
    bool node_space() {
        const std::size_t begin = at_;
        for (;;) {
            if (is_space(c_)) {
                next();
            } else if (looking_at("/*")) {
                block_comment();
            } else if (c_ == '\\') {
                next();
                while (is_space(c_) || looking_at("/*")) is_space(c_) ? next() : block_comment();
                if (looking_at("//")) line_comment();
                if (c_ != kEnd && !is_newline(c_)) fail("after '\\' the line must end");
                take_newline();
            } else {
                return at_ != begin;
            }
        }
    }
    void take_newline() {
        if (c_ == '\r') {
            next();
            if (c_ == '\n') next();
        } else if (is_newline(c_)) {
            next();
        }
    }
    void line_space() {
        for (;;) {
            if (is_newline(c_)) next();
            else if (looking_at("//")) line_comment();
            else if (!node_space()) return;
        }
    }

    // ---- nodes ----
    std::vector<Node> nodes(int depth) {
        if (depth > kMaxDepth) fail("nested too deeply");
        std::vector<Node> out;
        for (;;) {
            line_space();
            while (c_ == ';') {
                next();
                line_space();
            }
            if (c_ == kEnd || c_ == '}') return out;
            bool dropped = false;
            if (take("/-")) {
                dropped = true;
                line_space();
                if (c_ == kEnd || c_ == '}') fail("'/-' with nothing to leave out");
            }
            Node n = node(depth);
            if (!dropped) out.push_back(std::move(n));
        }
    }

    Node node(int depth) {
        Node out;
        out.place = place_;
        out.type = annotation();
        if (is_digit(c_) || ((c_ == '+' || c_ == '-') && is_digit(peek(1))))
            fail("a node's name can't be a number");
        out.name = string("a node's name");
        bool children_seen = false;
        for (;;) {
            const bool spaced = node_space();
            if (c_ == kEnd || c_ == '}') return out;
            if (is_newline(c_) || c_ == ';') {
                next();
                return out;
            }
            if (looking_at("//")) {
                line_comment();
                return out;
            }
            bool dropped = false;
            if (take("/-")) {
                dropped = true;
                line_space();
            }
            if (c_ == '{') {
                if (children_seen && !dropped) fail("a second block of children");
                next();
                const std::size_t begin = at_;
                auto inner = nodes(depth + 1);
                if (c_ != '}') fail("'}' wanted");
                if (!dropped) {
                    children_seen = true;
                    out.children = std::move(inner);
                    out.children_begin = begin;
                    out.children_end = at_;
                }
                next();
                continue;
            }
            if (children_seen) fail("after its children a node must end");
            if (!spaced && !dropped) fail("space wanted before the next value");
            entry(out, dropped);
        }
    }

    void entry(Node& out, bool dropped) {
        const Place place = place_;
        const bool annotated = c_ == '(';
        Value v = value();
        const bool text = std::holds_alternative<std::string>(v.scalar);
        if (text && !annotated) {
            // A property's "=" may have space around it.
            const Reader before = *this;
            node_space();
            if (c_ == '=') {
                next();
                node_space();
                Property p{std::get<std::string>(v.scalar), value(), place};
                if (dropped) return;
                std::erase_if(out.properties, [&](const Property& old) { return old.name == p.name; });
                out.properties.push_back(std::move(p));
                return;
            }
            *this = before;
        }
        if (!dropped) out.arguments.push_back(std::move(v));
    }

    std::optional<std::string> annotation() {
        if (c_ != '(') return std::nullopt;
        next();
        node_space();
        std::string name = string("a type's name");
        node_space();
        if (c_ != ')') fail("')' wanted");
        next();
        node_space();
        return name;
    }

    Value value() {
        Value out;
        out.place = place_;
        out.type = annotation();
        if (c_ == '#' && peek(1) != '"' && peek(1) != '#') {
            out.scalar = keyword();
        } else if (is_digit(c_) || ((c_ == '+' || c_ == '-') && is_digit(peek(1)))) {
            out.scalar = number();
        } else {
            out.scalar = string("a value");
        }
        if (c_ != kEnd && !is_space(c_) && !is_newline(c_) &&
            std::u32string_view(U";{}=\\/").find(c_) == std::u32string_view::npos)
            fail("space wanted after a value");
        return out;
    }

    Scalar keyword() {
        const Place place = place_;
        next();
        std::string word;
        while (is_identifier_char(c_)) {
            append_utf8(word, c_);
            next();
        }
        if (word == "true") return true;
        if (word == "false") return false;
        if (word == "null") return Null{};
        if (word == "inf") return std::numeric_limits<double>::infinity();
        if (word == "-inf") return -std::numeric_limits<double>::infinity();
        if (word == "nan") return std::numeric_limits<double>::quiet_NaN();
        fail(place, "unknown keyword '#" + word + "'");
    }

    Scalar number() {
        const Place place = place_;
        std::string raw;
        while (is_identifier_char(c_)) {
            append_utf8(raw, c_);
            next();
        }
        const auto bad = [&]() -> Scalar { fail(place, "'" + raw + "' is no number"); };
        std::string digits;
        std::size_t i = 0;
        bool negative = false;
        if (raw[0] == '+' || raw[0] == '-') {
            negative = raw[0] == '-';
            i = 1;
        }
        int base = 10;
        if (raw.size() > i + 1 && raw[i] == '0') {
            if (raw[i + 1] == 'x') base = 16;
            if (raw[i + 1] == 'o') base = 8;
            if (raw[i + 1] == 'b') base = 2;
            if (base != 10) i += 2;
        }
        if (i >= raw.size() || raw[i] == '_') return bad();
        for (; i < raw.size(); ++i) {
            if (raw[i] != '_') {
                digits += raw[i];
            } else if (digits.empty() || !std::isxdigit(static_cast<unsigned char>(digits.back()))) {
                return bad();
            }
        }
        const bool real = base == 10 && digits.find_first_of(".eE") != std::string::npos;
        const char* const end = digits.data() + digits.size();
        if (!real) {
            std::uint64_t whole = 0;
            const auto [stop, why] = std::from_chars(digits.data(), end, whole, base);
            if (stop != end || (why != std::errc{} && why != std::errc::result_out_of_range)) return bad();
            const auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
            if (why == std::errc::result_out_of_range || whole > most + (negative ? 1U : 0U))
                fail(place, "'" + raw + "' is too large");
            return negative ? static_cast<std::int64_t>(0 - whole) : static_cast<std::int64_t>(whole);
        }
        // KDL asks for digits on both sides of the point, and in the exponent.
        const auto point = digits.find('.');
        if (point != std::string::npos &&
            (point + 1 >= digits.size() || !std::isdigit(static_cast<unsigned char>(digits[point + 1]))))
            return bad();
        if (const auto e = digits.find_first_of("eE");
            e != std::string::npos && e + 1 < digits.size() && digits[e + 1] == '+')
            digits.erase(e + 1, 1);
        double out = 0;
        const auto [stop, why] = std::from_chars(digits.data(), digits.data() + digits.size(), out);
        if (stop != digits.data() + digits.size()) return bad();
        if (why != std::errc{}) fail(place, "'" + raw + "' is out of range");
        return negative ? -out : out;
    }

    // ---- strings ----
    std::string string(const char* what) {
        const Place place = place_;
        if (c_ == '#') return raw_string();
        if (c_ == '"') return looking_at("\"\"\"") ? multi_line(0) : quoted();
        std::string out;
        while (is_identifier_char(c_)) {
            append_utf8(out, c_);
            next();
        }
        if (out.empty()) fail(place, std::string(what) + " wanted");
        const std::size_t sign = out[0] == '+' || out[0] == '-' ? 1 : 0;
        if (out.size() > sign && out[sign] == '.' && out.size() > sign + 1 &&
            is_digit(static_cast<unsigned char>(out[sign + 1])))
            fail(place, "'" + out + "' looks like a number: put it in quotes");
        for (const char* word : {"true", "false", "null", "inf", "-inf", "nan"})
            if (out == word) fail(place, "'" + out + "' needs a '#' before it, or quotes");
        return out;
    }

    void escape(std::string& out) {
        next();  // the backslash
        if (is_space(c_) || is_newline(c_)) {
            while (is_space(c_) || is_newline(c_)) next();
            return;
        }
        const Place place = place_;
        const char32_t c = c_;
        next();
        switch (c) {
            case 'n': out += '\n'; return;
            case 'r': out += '\r'; return;
            case 't': out += '\t'; return;
            case 'b': out += '\b'; return;
            case 'f': out += '\f'; return;
            case 's': out += ' '; return;
            case '\\':
            case '"': out += static_cast<char>(c); return;
            case 'u': break;
            default: fail(place, "unknown escape");
        }
        if (c_ != '{') fail("'{' wanted after \\u");
        next();
        char32_t point = 0;
        int count = 0;
        for (; c_ < 0x80 && std::isxdigit(static_cast<int>(c_)) != 0 && count < 6; ++count) {
            const char32_t digit = is_digit(c_) ? c_ - '0' : (c_ | 0x20U) - 'a' + 10;
            point = point * 16 + digit;
            next();
        }
        if (count == 0 || c_ != '}') fail("\\u{...} wants one to six hexadecimal digits");
        next();
        if (point > 0x10ffff || (point >= 0xd800 && point <= 0xdfff)) fail(place, "\\u{...} is no character");
        append_utf8(out, point);
    }

    std::string quoted() {
        const Place begin = place_;
        next();
        std::string out;
        while (c_ != '"') {
            if (c_ == kEnd) fail(begin, "string without an end");
            if (is_newline(c_)) fail("a line ends inside a string (\"\"\" starts one of several lines)");
            if (c_ == '\\') {
                escape(out);
            } else {
                append_utf8(out, c_);
                next();
            }
        }
        next();
        return out;
    }

    std::string raw_string() {
        const Place begin = place_;
        std::size_t hashes = 0;
        while (c_ == '#') {
            ++hashes;
            next();
        }
        if (c_ != '"') fail(begin, "'\"' wanted after '#'");
        if (looking_at("\"\"\"")) return multi_line(hashes);
        const std::string close = "\"" + std::string(hashes, '#');
        next();
        std::string out;
        while (!looking_at(close)) {
            if (c_ == kEnd) fail(begin, "string without an end");
            if (is_newline(c_)) fail("a line ends inside a string (\"\"\" starts one of several lines)");
            append_utf8(out, c_);
            next();
        }
        take(close);
        return out;
    }

    // """ strings: the white space before the closing quotes is taken from every line.
    std::string multi_line(std::size_t hashes) {
        const Place begin = place_;
        take("\"\"\"");
        if (!is_newline(c_)) fail("after \"\"\" a new line must begin");
        take_newline();
        const std::string close = "\"\"\"" + std::string(hashes, '#');
        struct Line {
            std::string text;    // escapes resolved; the indent still on it
            std::string indent;  // literal white space at its beginning
            bool blank = true;   // nothing but literal white space
            Place place;
        };
        std::vector<Line> lines(1);
        lines.back().place = place_;
        for (;;) {
            if (c_ == kEnd) fail(begin, "string without an end");
            Line& line = lines.back();
            if (looking_at(close)) {
                take(close);
                break;
            }
            if (is_newline(c_)) {
                take_newline();
                lines.emplace_back().place = place_;
            } else if (c_ == '\\' && hashes == 0) {
                line.blank = false;
                escape(line.text);
            } else {
                if (!is_space(c_)) line.blank = false;
                if (line.blank) append_utf8(line.indent, c_);
                append_utf8(line.text, c_);
                next();
            }
        }
        if (!lines.back().blank)
            fail(lines.back().place, "the closing \"\"\" must stand on a line of its own");
        const std::string indent = lines.back().indent;
        lines.pop_back();
        std::string out;
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (i > 0) out += '\n';
            if (lines[i].blank) continue;
            if (!lines[i].indent.starts_with(indent))
                fail(lines[i].place, "this line is indented less than the closing \"\"\"");
            out += lines[i].text.substr(indent.size());
        }
        return out;
    }

    std::string_view text_;
    std::size_t at_ = 0;
    std::size_t width_ = 0;
    char32_t c_ = kEnd;
    Place place_;
};

}  // namespace

tl::expected<Document, Error> parse(std::string_view text) {
    try {
        return Reader(text).document();
    } catch (const Failure& failure) {
        return tl::unexpected(failure.error);
    }
}

std::string quote(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') (out += '\\') += c;
        else if (c == '\n') out += "\\n";
        else if (c == '\r') out += "\\r";
        else if (c == '\t') out += "\\t";
        else if (byte < 0x20 || byte == 0x7f) {
            const char* const hex = "0123456789abcdef";
            out += "\\u{";
            out += hex[byte >> 4U];
            out += hex[byte & 15U];
            out += '}';
        } else out += c;
    }
    return out + "\"";
}

}  // namespace chalksail::kdl
