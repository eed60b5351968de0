#include "model/text.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace chalksail::lab {
namespace {

std::uint64_t mix(std::uint64_t key, std::uint64_t i) {
    const std::array<std::uint64_t, 2> both = {key, i};
    return XXH3_64bits(both.data(), sizeof both);
}

}  // namespace

std::uint64_t prompt_key(std::string_view messages_json) {
    return XXH3_64bits(messages_json.data(), messages_json.size());
}

std::size_t answer_length(std::uint64_t key, std::size_t max_tokens) {
    if (max_tokens <= 1) return max_tokens;
    const std::size_t least = std::max<std::size_t>(1, max_tokens / 4);
    return least + mix(key, 0xa11) % (max_tokens - least + 1);
}

std::string answer_token(std::uint64_t key, std::size_t i) {
    static const std::array<const char*, 16> words = {
        " jollof", " rice", " with",  " plantain", " is",    " ready",  " \"now\"", " \\o/",
        "\nand",   " ẹ̀bà",  " soup,", " 3",        " data:", "\n\nTwo", " usage",   " \"usage\":{"};
    const std::uint64_t h = mix(key, i);
    return words[h % words.size()] + std::to_string(h >> 56U);
}

std::string answer_text(std::uint64_t key, std::size_t tokens) {
    std::string out;
    for (std::size_t i = 0; i < tokens; ++i) out += answer_token(key, i);
    return out;
}

double count_tokens(std::size_t bytes) {
    return std::max(1.0, std::ceil(static_cast<double>(bytes) / kBytesPerToken));
}

std::vector<PrefixBlock> prefix_blocks(std::string_view text) {
    std::vector<PrefixBlock> out;
    out.reserve(text.size() / kBlockBytes);
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + kBlockBytes <= text.size(); at += kBlockBytes) {
        hash = mix(hash, XXH3_64bits(text.data() + at, kBlockBytes));
        out.push_back({hash, static_cast<double>((at / kBlockBytes + 1) * kBlockTokens)});
    }
    return out;
}

}  // namespace chalksail::lab
