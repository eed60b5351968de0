// The text that simulated engines generate: a pure function of the prompt, so that a response can be checked
// by whoever knows the request. Also their tokenizer. No I/O, no threads, no state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chalksail::lab {

// A hash of the bytes of the "messages" member as in the body: a gateway that alters them changes the
// answer.
[[nodiscard]] std::uint64_t prompt_key(std::string_view messages_json);
// The tokens of the answer to that prompt, at most `max_tokens`; between a quarter of it and all of it.
[[nodiscard]] std::size_t answer_length(std::uint64_t key, std::size_t max_tokens);
// The i-th token, as text; some hold quotes, line breaks and letters beyond ASCII.
[[nodiscard]] std::string answer_token(std::uint64_t key, std::size_t i);
[[nodiscard]] std::string answer_text(std::uint64_t key, std::size_t tokens);

// The engines' tokenizer: one token for so many bytes of the messages.
inline constexpr double kBytesPerToken = 4;
[[nodiscard]] double count_tokens(std::size_t bytes);

// A prompt in blocks of sixteen tokens, as engines cache it: the hash of all up to its end, with the tokens
// so far. What is left over at the end is in none. `text`: the messages' JSON, one after the other.
inline constexpr std::size_t kBlockTokens = 16;
inline constexpr std::size_t kBlockBytes = kBlockTokens * static_cast<std::size_t>(kBytesPerToken);
struct PrefixBlock {
    std::uint64_t hash = 0;
    double tokens = 0;
};
[[nodiscard]] std::vector<PrefixBlock> prefix_blocks(std::string_view text);

}  // namespace chalksail::lab
