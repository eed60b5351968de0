// The text of an engine's token ids, from its model's tokenizer.json (Hugging Face tokenizers): byte-level
// BPE as of GPT-2 (Llama 3, Qwen, ...), where each character stands for a byte, and SentencePiece's way,
// where U+2581 stands for a space and <0xNN> for a byte. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace chalksail::engine {

class Vocabulary {
public:
    // Errors: not JSON, no model.vocab, ids that are none. Entries of later ids win; ids up to 16 million.
    [[nodiscard]] static tl::expected<Vocabulary, std::string> parse(std::string_view tokenizer_json);
    // Appends the token's text; false: not known.
    bool text(std::uint32_t token, std::string& out) const;
    [[nodiscard]] std::size_t size() const { return known_; }

private:
    void set(std::uint32_t token, std::string text);
    std::vector<std::string> texts_;  // by id; empty: not known
    std::size_t known_ = 0;
};

// How the model's template renders a conversation, for all that begins alike: what stands before it, and one
// message, with {role} and {content}.
struct PromptTemplate {
    std::string begin;
    std::string message;
};
// The text of a prompt, as far as it can be said: up to the first message whose content is not text.
// `messages`: the array as it stands in the body; empty for anything else.
[[nodiscard]] std::string prompt_text(std::string_view messages, const PromptTemplate& rendered);

}  // namespace chalksail::engine
