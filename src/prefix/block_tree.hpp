// A prefix tree of prompts. Each node is a block of text that follows its parent's block, and stores the set
// of engines that cache it. A node's key is a hash of its text seeded with its parent's key, so a prompt is
// looked up by its text alone, block by block, without a tokenizer. The text itself is not stored.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "prefix/engine_set.hpp"

namespace chalksail::prefix {

// The longest prefix of a text that an engine caches.
struct PrefixMatch {
    EngineId engine = 0;
    std::uint32_t tokens = 0;
    std::uint32_t bytes = 0;
};

// Removes a node when no engine caches it and it has no children. Roots are never removed. Not thread-safe.
class BlockTree {
public:
    using NodeId = std::uint32_t;
    static constexpr NodeId kNoNode = 0xffffffff;

    // A node and the key of its parent.
    struct Block {
        std::uint64_t parent_key = 0;
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;  // number of tokens in this block, without its ancestors
        std::uint16_t length = 0;  // size of the block's text in bytes
    };

    // `max_visits` is the maximum number of nodes that one find() visits.
    explicit BlockTree(std::size_t max_visits) : max_visits_(max_visits) {}

    // Returns the root of a space, which holds the prompts of one model and one chat template. Creates it if
    // it does not exist.
    [[nodiscard]] NodeId root(std::string_view space);
    [[nodiscard]] std::uint64_t key(NodeId node) const { return nodes_[node].key; }
    // Returns the key of the child of `parent` that has this text.
    [[nodiscard]] std::uint64_t child_key(NodeId parent, std::string_view text) const;
    // Returns kNoNode if there is no such block.
    [[nodiscard]] NodeId find_block(std::uint64_t block_key) const;
    // Returns the block with this key. Adds it as a child of `parent` if it does not exist.
    NodeId get_or_add(NodeId parent, std::uint64_t block_key, std::uint16_t length, std::uint32_t tokens);
    [[nodiscard]] Block block(NodeId node) const;

    void add_engine(NodeId node, EngineId engine);
    // Also removes the node if no other engine caches it and it has no children.
    void remove_engine(NodeId node, EngineId engine);

    // Returns the longest match of each engine that caches a prefix of the text, for the engines with ids
    // below `engine_count`, sorted by id.
    [[nodiscard]] std::vector<PrefixMatch> find(std::string_view space, std::string_view text,
                                                std::size_t engine_count) const;

    // Returns the number of blocks, without the roots.
    [[nodiscard]] std::size_t size() const { return by_key_.size(); }
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    class Search;
    struct Node {
        std::uint64_t key = 0;
        NodeId parent = kNoNode;
        std::uint32_t tokens = 0;  // tokens from the start of the prompt to the end of this block
        std::uint32_t bytes = 0;   // text bytes from the start of the prompt to the end of this block
        std::uint32_t children = 0;
        std::uint16_t length = 0;        // size of this block's text in bytes
        std::uint16_t child_length = 0;  // text size of every child; 0 if the sizes differ
        EngineSet engines;
    };
    [[nodiscard]] NodeId allocate();
    void add_child_length(NodeId parent, std::uint16_t length);
    void remove_child_length(NodeId parent, std::uint16_t length);
    void remove_unused(NodeId node);

    std::size_t max_visits_;
    std::vector<Node> nodes_;
    std::vector<NodeId> free_nodes_;
    absl::flat_hash_map<std::uint64_t, NodeId> by_key_;
    std::map<std::string, NodeId, std::less<>> roots_;  // by space
    // For nodes whose children differ in text length: the number of children of each length.
    absl::flat_hash_map<NodeId, absl::flat_hash_map<std::uint16_t, std::uint32_t>> child_lengths_;
    EngineSetPool engine_sets_;
};

}  // namespace chalksail::prefix
