// Maps an engine's token ids to text, from the model's tokenizer.json (Hugging Face tokenizers). Supports
// byte-level BPE as in GPT-2 (Llama 3, Qwen, ...), where each character represents a byte, and SentencePiece,
// where U+2581 represents a space and <0xNN> a byte. No I/O, no threads; immutable once parsed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/json.hpp"

namespace chalksail::engine {

// The text of each token of one model.
class Vocabulary {
public:
    // Parses a tokenizer.json. Ids must be below 2^24; a later entry for an id replaces an earlier one. The
    // error describes the problem: not JSON, no model.vocab, an invalid id.
    [[nodiscard]] static tl::expected<Vocabulary, std::string> parse(std::string_view tokenizer_json);
    // Appends the token's text to `out`; returns false if the token is unknown.
    bool text(std::uint32_t token, std::string& out) const;
    // Returns the number of tokens that have a text.
    [[nodiscard]] std::size_t size() const { return known_; }

private:
    void set(std::uint32_t token, std::string text);
    // Adds the tokenizer's "added_tokens". Returns false if one has no valid id or content.
    bool set_added_tokens(const json::Value& added);

    std::vector<std::string> texts_;  // by id; empty: unknown
    std::size_t known_ = 0;
};

// A simplified form of the model's chat template.
struct PromptTemplate {
    std::string begin;    // the text before the first message
    std::string message;  // one message, with {role} and {content}
};
// Renders the prompt up to the first message whose content is not text or that has tool calls, as the text
// after that is unknown. `messages` is the JSON array from the body; the result is empty for any other text.
[[nodiscard]] std::string prompt_text(std::string_view messages, const PromptTemplate& prompt_template);

}  // namespace chalksail::engine
