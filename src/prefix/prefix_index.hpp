// Index of the prompt prefixes that engines cache, built from their cache events.
//
// Blocks are identified by their text instead of the engines' own hashes (block_tree.hpp), so that engines
// with different block sizes and hashes share one tree. A block's text is derived from its token ids
// (TokenText). A block with an unknown text or parent is not stored, so the index may lack blocks that an
// engine caches, but does not contain blocks that it never reported.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "prefix/block_tree.hpp"
#include "prefix/cache_events.hpp"

namespace chalksail::prefix {

// Appends the text of a token to `out`. Returns false if the token is unknown.
using TokenText = std::function<bool(Token token, std::string& out)>;

// Drops an engine's oldest blocks above its block limit. Operations take amortized constant time per block.
// clear() takes time proportional to the engine's blocks, and find() to the prompt's blocks times the words
// of an engine bitmap. Not thread-safe.
class PrefixIndex {
public:
    struct Limits {
        std::size_t max_engines = 4096;
        std::size_t max_blocks_per_engine = 20'000;
        std::size_t max_block_bytes = 4096;  // maximum text size of one block
        std::size_t max_visits = 65'536;     // maximum number of blocks that one find() visits
    };
    explicit PrefixIndex(TokenText text) : PrefixIndex(std::move(text), Limits{}) {}
    PrefixIndex(TokenText text, Limits limits);

    // Adds an engine to a space. The engines of one space have the same model and chat template, so that they
    // render a prompt to the same text. Throws std::length_error above Limits::max_engines.
    [[nodiscard]] EngineId add(std::string_view space);
    // Removes the engine and its blocks. Its id may be reused.
    void remove(EngineId engine);
    void apply(EngineId engine, const Event& event);
    // Removes all blocks of the engine.
    void clear(EngineId engine);

    // A block as stored in snapshots. The keys identify its text, which is not stored.
    struct BlockRecord {
        EngineHash hash = 0;
        std::uint64_t parent_key = 0;
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
        std::uint16_t length = 0;  // size of the block's text in bytes
    };
    // Returns the engine's blocks, oldest first.
    [[nodiscard]] std::vector<BlockRecord> blocks_of(EngineId engine) const;
    // Adds the blocks in this order. Skips blocks whose parent is unknown.
    void restore(EngineId engine, const std::vector<BlockRecord>& blocks);

    // Returns the match of each engine of the space that caches a prefix of the text, sorted by engine id.
    [[nodiscard]] std::vector<PrefixMatch> find(std::string_view space, std::string_view text) const;

    struct Counts {
        std::uint64_t stored = 0;
        std::uint64_t removed = 0;
        std::uint64_t dropped = 0;     // blocks dropped to stay within max_blocks_per_engine
        std::uint64_t orphans = 0;     // blocks whose parent is unknown
        std::uint64_t unreadable = 0;  // blocks whose text is unknown, empty or too long
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }
    // Returns the sum of the engines' block counts.
    [[nodiscard]] std::size_t blocks() const { return blocks_; }
    // Returns the number of distinct blocks.
    [[nodiscard]] std::size_t nodes() const { return tree_.size(); }
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    using NodeId = BlockTree::NodeId;
    struct Engine {
        bool used = false;
        NodeId root = BlockTree::kNoNode;
        absl::flat_hash_map<EngineHash, NodeId> blocks;
        std::deque<EngineHash> insertion_order;  // oldest first; may contain hashes of removed blocks
    };
    void store(EngineId id, const BlockStored& event);
    [[nodiscard]] bool read_block(const BlockStored& event, std::size_t block, std::string& text) const;
    void add_block(EngineId id, EngineHash hash, NodeId node);
    void remove_block(EngineId id, EngineHash hash);
    void drop_oldest(EngineId id, EngineHash newest);
    void compact_order(Engine& engine) const;

    TokenText text_;
    Limits limits_;
    BlockTree tree_;
    std::vector<Engine> engines_;  // by EngineId
    std::size_t blocks_ = 0;
    Counts counts_;
};

}  // namespace chalksail::prefix
