#include "engine/vocabulary.hpp"

#include <array>
#include <charconv>

#include "base/json.hpp"

namespace chalksail::engine {
namespace {

constexpr std::uint32_t kIdsMost = 1U << 24U;
constexpr std::string_view kSpace = "\xe2\x96\x81";  // U+2581

// GPT-2's table: printable bytes stand for themselves, the others for U+0100 and up, in their order.
std::array<int, 512> byte_of_character() {
    std::array<int, 512> out{};
    out.fill(-1);
    int next = 256;
    for (int b = 0; b < 256; ++b) {
        const bool itself = (b >= '!' && b <= '~') || (b >= 0xa1 && b <= 0xac) || (b >= 0xae && b <= 0xff);
        out[static_cast<std::size_t>(itself ? b : next++)] = b;
    }
    return out;
}

// False where a character is none of the table's: a token that is written as it is.
bool from_byte_level(std::string_view token, std::string& out) {
    static const std::array<int, 512> bytes = byte_of_character();
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

std::string from_pieces(std::string_view token) {
    unsigned byte = 0;
    if (token.size() == 6 && token.starts_with("<0x") && token.back() == '>' &&
        std::from_chars(token.data() + 3, token.data() + 5, byte, 16).ptr == token.data() + 5)
        return std::string(1, static_cast<char>(byte));
    std::string out;
    while (!token.empty()) {
        const bool space = token.starts_with(kSpace);
        out += space ? ' ' : token.front();
        token.remove_prefix(space ? kSpace.size() : 1);
    }
    return out;
}

bool says_byte_level(const json::Value* part) {
    return part != nullptr && json::dump(*part).find("\"ByteLevel\"") != std::string::npos;
}

}  // namespace

void Vocabulary::set(std::uint32_t token, std::string text) {
    if (text.empty()) return;
    if (token >= texts_.size()) texts_.resize(token + 1U);
    if (texts_[token].empty()) known_ += 1;
    texts_[token] = std::move(text);
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
        return tl::unexpected(std::string("tokenizer: no object 'model.vocab'"));
    const bool byte_level =
        says_byte_level(json::find(doc, "decoder")) || says_byte_level(json::find(doc, "pre_tokenizer"));
    Vocabulary out;
    for (const auto& entry : vocab->GetObject()) {
        if (!entry.value.IsUint() || entry.value.GetUint() >= kIdsMost)
            return tl::unexpected("tokenizer: the id of '" + std::string(json::text(entry.name)) +
                                  "' is none");
        const auto token = json::text(entry.name);
        std::string text;
        if (!byte_level) text = from_pieces(token);
        else if (!from_byte_level(token, text)) text = token;
        out.set(entry.value.GetUint(), std::move(text));
    }
    // Special tokens are written as they are.
    if (const auto* added = json::find(doc, "added_tokens"); added != nullptr && added->IsArray())
        for (const auto& entry : added->GetArray()) {
            const auto* id = json::find(entry, "id");
            const auto* content = json::find(entry, "content");
            if (id == nullptr || !id->IsUint() || id->GetUint() >= kIdsMost || content == nullptr ||
                !content->IsString())
                return tl::unexpected(std::string("tokenizer: an added token without id or content"));
            out.set(id->GetUint(), std::string(json::text(*content)));
        }
    if (out.known_ == 0) return tl::unexpected(std::string("tokenizer: no tokens"));
    return out;
}

std::string prompt_text(std::string_view messages, const PromptTemplate& rendered) {
    json::Document doc;
    if (!json::parse(messages, doc) || !doc.IsArray()) return {};
    std::string out = rendered.begin;
    for (const auto& m : doc.GetArray()) {
        if (!m.IsObject()) return out;
        const auto* role = json::find(m, "role");
        const auto* content = json::find(m, "content");
        if (role == nullptr || !role->IsString() || content == nullptr) return out;
        std::string text;
        if (content->IsString()) {
            text = json::text(*content);
        } else if (content->IsArray()) {
            for (const auto& part : content->GetArray()) {
                const auto* said = json::find(part, "text");
                if (said == nullptr || !said->IsString()) return out;
                text += json::text(*said);
            }
        } else {
            return out;
        }
        // Templates write tool calls in ways of their own: nothing behind them can be matched.
        if (json::find(m, "tool_calls") != nullptr) return out;
        std::string_view left = rendered.message;
        while (!left.empty()) {
            if (left.starts_with("{role}")) {
                out += json::text(*role);
                left.remove_prefix(6);
            } else if (left.starts_with("{content}")) {
                out += text;
                left.remove_prefix(9);
            } else {
                out += left.front();
                left.remove_prefix(1);
            }
        }
    }
    return out;
}

}  // namespace chalksail::engine
