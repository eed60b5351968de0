// Which engine caches which prompt prefixes, from the cache events of all engines.
//
// Blocks are stored by their text, not by the engines' own hashes (block_tree.hpp), so that engines with
// other block sizes and hashes share one tree. A block's text comes from its token ids (TokenText). A block
// whose text is unknown, or whose parent is unknown, is left out: the index may know less than an engine
// caches, but never guesses.
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

// Appends the text of a token; false if it is unknown.
using TokenText = std::function<bool(Token token, std::string& out)>;

// Bounded: beyond its limit of blocks, the oldest of an engine are dropped. All operations are constant for a
// block, but for clear() and find(): find() takes the blocks of the prompt times the words of an engine
// bitmap. Not thread-safe.
class PrefixIndex {
public:
    struct Limits {
        std::size_t max_engines = 4096;
        std::size_t max_blocks_per_engine = 20'000;
        std::size_t max_block_bytes = 4096;  // of the text of one block
        std::size_t max_visits = 65'536;     // blocks tried for one text
    };
    explicit PrefixIndex(TokenText text) : PrefixIndex(std::move(text), Limits{}) {}
    PrefixIndex(TokenText text, Limits limits);

    // Engines of one space have the same text for the same prompt: one model, one way of rendering prompts.
    // Throws std::length_error above Limits::max_engines.
    [[nodiscard]] EngineId add(std::string_view space);
    // Its number is used again.
    void remove(EngineId engine);
    void apply(EngineId engine, const Event& event);
    // Removes all blocks of the engine.
    void clear(EngineId engine);

    // A block as snapshots hold it: without its text, which the keys stand for.
    struct BlockRecord {
        EngineHash hash = 0;
        std::uint64_t parent_key = 0;
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
        std::uint16_t length = 0;  // bytes of its text
    };
    // Oldest first.
    [[nodiscard]] std::vector<BlockRecord> blocks_of(EngineId engine) const;
    // Adds the blocks whose parent is known, in this order.
    void restore(EngineId engine, const std::vector<BlockRecord>& blocks);

    // All engines of the space that cache any prefix of this text, by number.
    [[nodiscard]] std::vector<PrefixMatch> find(std::string_view space, std::string_view text) const;

    struct Counts {
        std::uint64_t stored = 0;
        std::uint64_t removed = 0;
        std::uint64_t dropped = 0;     // over max_blocks_per_engine
        std::uint64_t orphans = 0;     // blocks whose parent is unknown
        std::uint64_t unreadable = 0;  // blocks whose text is unknown, or too long
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }
    // Blocks of all engines together.
    [[nodiscard]] std::size_t blocks() const { return blocks_; }
    // Different blocks.
    [[nodiscard]] std::size_t nodes() const { return tree_.size(); }
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    using NodeId = BlockTree::NodeId;
    struct Engine {
        bool used = false;
        NodeId root = BlockTree::kNoNode;
        absl::flat_hash_map<EngineHash, NodeId> blocks;
        std::deque<EngineHash> insertion_order;  // oldest first; may name blocks that were removed since
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
