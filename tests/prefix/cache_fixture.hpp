// Builds texts and cache events for tests. A token stands for four bytes of text, and a block has four
// tokens.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "prefix/prefix_index.hpp"

namespace chalksail::prefix::testing {

constexpr std::size_t kTokens = 4;
constexpr std::size_t kBlock = 16;  // bytes

inline bool four_bytes(Token token, std::string& out) {
    if (token == 0) return false;  // token 0 has no text
    for (int i = 3; i >= 0; --i) out += static_cast<char>(token >> (8 * i));
    return true;
}
inline std::vector<Token> tokens_of(std::string_view text) {
    std::vector<Token> out;
    for (std::size_t i = 0; i + 4 <= text.size(); i += 4) {
        Token t = 0;
        for (std::size_t j = 0; j < 4; ++j) t = t << 8U | static_cast<unsigned char>(text[i + j]);
        out.push_back(t);
    }
    return out;
}
// Returns an event that stores all whole blocks of the text from byte `from` on. Engines with different salts
// use different hashes for the same block.
inline BlockStored stored(std::string_view text, EngineHash salt, std::size_t from = 0) {
    BlockStored out;
    out.block_size = kTokens;
    const auto hash = [&](std::size_t until) {
        return std::hash<std::string>{}(std::string(text.substr(0, until))) ^ salt;
    };
    const std::size_t whole = text.size() / kBlock * kBlock;
    if (from > 0) out.parent = hash(from);
    for (std::size_t at = from; at < whole; at += kBlock) out.blocks.push_back(hash(at + kBlock));
    out.tokens = tokens_of(text.substr(from, whole - from));
    return out;
}
inline std::uint32_t tokens_cached(const PrefixIndex& index, EngineId engine, std::string_view text,
                                   std::string_view space = "m") {
    for (const auto& h : index.find(space, text))
        if (h.engine == engine) return h.tokens;
    return 0;
}

}  // namespace chalksail::prefix::testing
