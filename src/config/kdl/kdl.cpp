#include "config/kdl/kdl.hpp"

#include "config/kdl/parser.hpp"

namespace chalksail::kdl {

tl::expected<Document, Error> parse(std::string_view text) {
    try {
        return Parser(text).document();
    } catch (const SyntaxError& syntax_error) {
        return tl::unexpected(syntax_error.error);
    }
}

std::string quote(std::string_view text) {
    constexpr std::string_view kHexDigits = "0123456789abcdef";
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') (out += '\\') += c;
        else if (c == '\n') out += "\\n";
        else if (c == '\r') out += "\\r";
        else if (c == '\t') out += "\\t";
        else if (byte < 0x20 || byte == 0x7f) {
            out += "\\u{";
            out += kHexDigits[byte >> 4U];
            out += kHexDigits[byte & 15U];
            out += '}';
        } else out += c;
    }
    return out + "\"";
}

}  // namespace chalksail::kdl
