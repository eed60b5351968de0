#include "engine/vocabulary.hpp"

#include <array>
#include <charconv>
#include <optional>

namespace chalksail::engine {
namespace {

constexpr std::uint32_t kTokenIdLimit = 1U << 24U;  // bounds the table; vocabularies have some 10^5 tokens
constexpr std::string_view kSpaceMarker = "\xe2\x96\x81";  // U+2581, which represents a space

// Inverts GPT-2's byte-to-character table: printable bytes map to themselves, the others to U+0100 and up, in
// ascending order. -1 marks characters that are not in the table.
std::array<int, 512> build_byte_table() {
    std::array<int, 512> out{};
    out.fill(-1);
    int next = 256;
    for (int b = 0; b < 256; ++b) {
        const bool printable = (b >= '!' && b <= '~') || (b >= 0xa1 && b <= 0xac) || (b >= 0xae && b <= 0xff);
        out[static_cast<std::size_t>(printable ? b : next++)] = b;
    }
    return out;
}

// Appends the bytes of a byte-level token to `out`. Returns false if a character is not in the table.
bool decode_byte_level(std::string_view token, std::string& out) {
    static const std::array<int, 512> bytes = build_byte_table();
    for (std::size_t i = 0; i < token.size(); ++i) {
        unsigned c = static_cast<unsigned char>(token[i]);
        if (c >= 0x80) {
            if (c < 0xc2 || c > 0xdf || i + 1 >= token.size()) return false;
            c = (c & 0x1fU) << 6U | (static_cast<unsigned char>(token[++i]) & 0x3fU);
        }
        if (c >= bytes.size() || bytes[c] < 0) return false;
        out += static_cast<char>(bytes[c]);
    }
    return true;
}

// Returns the text of a SentencePiece token.
std::string decode_sentencepiece(std::string_view token) {
    unsigned byte = 0;
    if (token.size() == 6 && token.starts_with("<0x") && token.back() == '>' &&
        std::from_chars(token.data() + 3, token.data() + 5, byte, 16).ptr == token.data() + 5)
        return std::string(1, static_cast<char>(byte));
    std::string out;
    while (!token.empty()) {
        const bool space = token.starts_with(kSpaceMarker);
        out += space ? ' ' : token.front();
        token.remove_prefix(space ? kSpaceMarker.size() : 1);
    }
    return out;
}

// Returns true if this part of the tokenizer, or one nested in it, has the type ByteLevel.
bool is_byte_level(const json::Value* part) {
    return part != nullptr && json::dump(*part).find("\"ByteLevel\"") != std::string::npos;
}

}  // namespace

void Vocabulary::set(std::uint32_t token, std::string text) {
    if (text.empty()) return;
    if (token >= texts_.size()) texts_.resize(token + 1U);
    if (texts_[token].empty()) known_ += 1;
    texts_[token] = std::move(text);
}

bool Vocabulary::set_added_tokens(const json::Value& added) {
    for (const auto& entry : added.GetArray()) {
        const auto* id = json::find(entry, "id");
        const auto* content = json::find(entry, "content");
        if (id == nullptr || !id->IsUint() || id->GetUint() >= kTokenIdLimit) return false;
        if (content == nullptr || !content->IsString()) return false;
        set(id->GetUint(), std::string(json::text(*content)));
    }
    return true;
}

bool Vocabulary::text(std::uint32_t token, std::string& out) const {
    if (token >= texts_.size() || texts_[token].empty()) return false;
    out += texts_[token];
    return true;
}

tl::expected<Vocabulary, std::string> Vocabulary::parse(std::string_view tokenizer_json) {
    json::Document doc;
    if (!json::parse(tokenizer_json, doc) || !doc.IsObject())
        return tl::unexpected(std::string("tokenizer: not a JSON object"));
    const auto* model = json::find(doc, "model");
    const auto* vocab = model == nullptr ? nullptr : json::find(*model, "vocab");
    if (vocab == nullptr || !vocab->IsObject())
        return tl::unexpected(std::string("tokenizer: 'model.vocab' is missing or not an object"));
    const bool byte_level =
        is_byte_level(json::find(doc, "decoder")) || is_byte_level(json::find(doc, "pre_tokenizer"));
    Vocabulary out;
    for (const auto& entry : vocab->GetObject()) {
        if (!entry.value.IsUint() || entry.value.GetUint() >= kTokenIdLimit)
            return tl::unexpected("tokenizer: invalid id of token '" + std::string(json::text(entry.name)) +
                                  "'");
        const auto token = json::text(entry.name);
        std::string text;
        if (!byte_level) text = decode_sentencepiece(token);
        else if (!decode_byte_level(token, text)) text = token;  // not byte-level: its text as written
        out.set(entry.value.GetUint(), std::move(text));
    }
    // The content of special tokens is their text as written.
    const auto* added = json::find(doc, "added_tokens");
    if (added != nullptr && added->IsArray() && !out.set_added_tokens(*added))
        return tl::unexpected(
            std::string("tokenizer: an entry of 'added_tokens' has no valid id or content"));
    if (out.known_ == 0) return tl::unexpected(std::string("tokenizer: no tokens found"));
    return out;
}

namespace {

constexpr std::string_view kRolePlaceholder = "{role}";
constexpr std::string_view kContentPlaceholder = "{content}";

// Returns the text of a message's content (a string or an array of text parts); nullopt if any part is not
// text.
std::optional<std::string> content_text(const json::Value& content) {
    if (content.IsString()) return std::string(json::text(content));
    if (!content.IsArray()) return std::nullopt;
    std::string out;
    for (const auto& part : content.GetArray()) {
        const auto* text = json::find(part, "text");
        if (text == nullptr || !text->IsString()) return std::nullopt;
        out += json::text(*text);
    }
    return out;
}

void append_rendered(std::string& out, std::string_view message_template, std::string_view role,
                     std::string_view content) {
    while (!message_template.empty()) {
        if (message_template.starts_with(kRolePlaceholder)) {
            out += role;
            message_template.remove_prefix(kRolePlaceholder.size());
        } else if (message_template.starts_with(kContentPlaceholder)) {
            out += content;
            message_template.remove_prefix(kContentPlaceholder.size());
        } else {
            out += message_template.front();
            message_template.remove_prefix(1);
        }
    }
}

}  // namespace

std::string prompt_text(std::string_view messages, const PromptTemplate& prompt_template) {
    json::Document doc;
    if (!json::parse(messages, doc) || !doc.IsArray()) return {};
    std::string out = prompt_template.begin;
    for (const auto& message : doc.GetArray()) {
        if (!message.IsObject()) return out;
        const auto* role = json::find(message, "role");
        const auto* content = json::find(message, "content");
        if (role == nullptr || !role->IsString() || content == nullptr) return out;
        const auto text = content_text(*content);
        if (!text) return out;
        // Each model's template renders tool calls differently, so the text from here on is unknown.
        if (json::find(message, "tool_calls") != nullptr) return out;
        append_rendered(out, prompt_template.message, json::text(*role), *text);
    }
    return out;
}

}  // namespace chalksail::engine
