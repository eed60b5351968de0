// The text of an engine's token ids, from its model's tokenizer.json (Hugging Face tokenizers): byte-level
// BPE as of GPT-2 (Llama 3, Qwen, ...), where each character stands for a byte, and SentencePiece, where
// U+2581 stands for a space and <0xNN> for a byte. No I/O, no threads; immutable once parsed.
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
    // The error says what is wrong: not JSON, no model.vocab, an invalid id. A later entry of an id replaces
    // an earlier one; ids below 2^24.
    [[nodiscard]] static tl::expected<Vocabulary, std::string> parse(std::string_view tokenizer_json);
    // Appends the token's text; false if it is unknown.
    bool text(std::uint32_t token, std::string& out) const;
    // Number of tokens with a text.
    [[nodiscard]] std::size_t size() const { return known_; }

private:
    void set(std::uint32_t token, std::string text);
    // The tokenizer's "added_tokens". False if one has no valid id or content.
    bool set_added_tokens(const json::Value& added);

    std::vector<std::string> texts_;  // by id; empty: unknown
    std::size_t known_ = 0;
};

// How the model's chat template renders the beginning of a conversation.
struct PromptTemplate {
    std::string begin;    // the text before the first message
    std::string message;  // one message, with {role} and {content}
};
// The text of a prompt as far as it is known: up to the first message whose content is not text, or that has
// tool calls. `messages`: the array as it is in the body; the result is empty for anything else.
[[nodiscard]] std::string prompt_text(std::string_view messages, const PromptTemplate& rendered);

}  // namespace chalksail::engine
