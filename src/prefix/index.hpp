// Which engine holds which beginnings of text, from what the engines say of their blocks.
//
// Blocks are kept by their text, not by the engines' own hashes: a block's key is a hash of its text with its
// parent's key, so that engines that cut and hash differently can share one tree, and a prompt is looked up
// without a tokenizer. The text of a block comes from its token ids (TokenText). What can't be put into text,
// or hangs on a parent that is not known, is left out: the index may know less than is held, never guesses.
//
// Bounded: so many blocks of each engine; past that its oldest are dropped. All operations but forget() and
// held() are constant a block; held() is the prompt's blocks times the words of a set of engines. No I/O, no
// clock, no randomness. Not thread-safe.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "prefix/events.hpp"

namespace chalksail::prefix {

// Appends the text of a token; false: not known.
using TokenText = std::function<bool(Token token, std::string& out)>;

class Index {
public:
    using Engine = std::uint16_t;
    struct Limits {
        std::size_t engines = 4096;
        std::size_t blocks_each = 20'000;  // of one engine
        std::size_t block_bytes = 4096;    // of the text of one block
        std::size_t visits = 65'536;       // nodes looked at for one text
    };
    explicit Index(TokenText text) : Index(std::move(text), Limits{}) {}
    Index(TokenText text, Limits limits);

    // Engines of one space understand each other's text the same way: one model, one way of rendering
    // prompts. Throws std::length_error over Limits::engines.
    [[nodiscard]] Engine add(std::string_view space);
    void remove(Engine engine);  // its number is used again
    void apply(Engine engine, const Event& event);
    void forget(Engine engine);

    // A block without its text, for snapshots: its own key and its parent's are enough to be found again.
    struct KeptBlock {
        EngineHash hash = 0;
        std::uint64_t parent = 0;
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
        std::uint16_t length = 0;
    };
    [[nodiscard]] std::vector<KeptBlock> blocks_of(Engine engine) const;  // oldest first
    // Those whose parent is known, in this order.
    void restore(Engine engine, const std::vector<KeptBlock>& blocks);

    struct Held {
        Engine engine = 0;
        std::uint32_t tokens = 0;  // of the longest beginning that it holds
        std::uint32_t bytes = 0;
    };
    // All engines of the space that hold any beginning of this text, by their number.
    [[nodiscard]] std::vector<Held> held(std::string_view space, std::string_view text) const;

    struct Counts {
        std::uint64_t stored = 0, removed = 0, dropped = 0;
        std::uint64_t orphans = 0;     // blocks whose parent is not known
        std::uint64_t unreadable = 0;  // blocks whose text is not known, or too long
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t blocks() const { return held_blocks_; }  // over all engines
    [[nodiscard]] std::size_t nodes() const { return by_key_.size(); }
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    using NodeId = std::uint32_t;
    static constexpr NodeId kNone = 0xffffffff;
    static constexpr std::size_t kInline = 3;
    // A set of engines: a few by number, more as bits.
    struct Holders {
        std::array<Engine, kInline> few{};
        std::uint16_t count = 0;
        std::uint32_t bits = kNone;  // place in bits_, once there are more than a few
    };
    struct Node {
        std::uint64_t key = 0;
        NodeId parent = kNone;
        std::uint32_t tokens = 0;  // from the beginning to its end
        std::uint32_t bytes = 0;
        std::uint32_t children = 0;
        std::uint16_t length = 0;        // bytes of its own text
        std::uint16_t child_length = 0;  // of its children, where they all have the same
        Holders holders;
    };
    struct Slot {
        bool used = false;
        NodeId root = kNone;
        absl::flat_hash_map<EngineHash, NodeId> blocks;
        std::deque<EngineHash> order;  // oldest first; may name blocks that are gone
    };
    [[nodiscard]] static std::uint64_t key_of(std::uint64_t parent, std::string_view text);
    void store(Engine engine, const BlockStored& event);
    void remove_block(Engine engine, EngineHash hash);
    [[nodiscard]] NodeId make_node();
    NodeId enter(NodeId parent, std::uint64_t key, std::uint16_t length, std::uint32_t tokens);
    void hold(Engine engine, EngineHash hash, NodeId node);
    void child_added(NodeId parent, std::uint16_t length);
    void child_gone(NodeId parent, std::uint16_t length);
    void leave(NodeId node, Engine engine);
    void release(NodeId node);
    bool insert(Holders& holders, Engine engine);
    bool erase(Holders& holders, Engine engine);
    [[nodiscard]] std::size_t words() const { return (slots_.size() + 63) / 64; }
    void keep(const Holders& holders, std::vector<std::uint64_t>& alive) const;
    TokenText text_;
    Limits limits_;
    std::vector<Slot> slots_;
    std::vector<Node> nodes_;
    std::vector<NodeId> free_nodes_;
    absl::flat_hash_map<std::uint64_t, NodeId> by_key_;
    std::map<std::string, NodeId, std::less<>> roots_;  // by space; a node without text, never let go
    // Lengths of children where a node has more than one, and how many have each.
    absl::flat_hash_map<NodeId, absl::flat_hash_map<std::uint16_t, std::uint32_t>> mixed_;
    std::vector<std::vector<std::uint64_t>> bits_;
    std::vector<std::uint32_t> free_bits_;
    std::size_t held_blocks_ = 0;
    Counts counts_;
};

}  // namespace chalksail::prefix
