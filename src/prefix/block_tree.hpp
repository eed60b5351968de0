// A tree of prompt prefixes, in blocks: each node is a block of text behind its parent's, with the set of
// engines that cache it. A node's key is a hash of its text seeded with its parent's key, so a prompt is
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

// A node lives as long as an engine caches it or it has children; roots stay. Not thread-safe.
class BlockTree {
public:
    using NodeId = std::uint32_t;
    static constexpr NodeId kNoNode = 0xffffffff;

    // A node as its parent's child.
    struct Block {
        std::uint64_t parent_key = 0;
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;  // of this block alone
        std::uint16_t length = 0;  // bytes of its text
    };

    // `max_visits`: nodes that one find() may try.
    explicit BlockTree(std::size_t max_visits) : max_visits_(max_visits) {}

    // The root of a space: of the prompts that one model renders in one way. Created if needed.
    [[nodiscard]] NodeId root(std::string_view space);
    [[nodiscard]] std::uint64_t key(NodeId node) const { return nodes_[node].key; }
    // The key that a block of this text has behind `parent`.
    [[nodiscard]] std::uint64_t child_key(NodeId parent, std::string_view text) const;
    // kNoNode if there is no such block.
    [[nodiscard]] NodeId find_block(std::uint64_t block_key) const;
    // The block of that key; created behind `parent` if needed.
    NodeId get_or_add(NodeId parent, std::uint64_t block_key, std::uint16_t length, std::uint32_t tokens);
    [[nodiscard]] Block block(NodeId node) const;

    void add_engine(NodeId node, EngineId engine);
    // Removes the node too if nothing needs it any longer.
    void remove_engine(NodeId node, EngineId engine);

    // The longest match of each engine below `engine_count` that caches any prefix of the text, by number.
    [[nodiscard]] std::vector<PrefixMatch> find(std::string_view space, std::string_view text,
                                                std::size_t engine_count) const;

    // Number of blocks; roots are not counted.
    [[nodiscard]] std::size_t size() const { return by_key_.size(); }
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    class Search;
    struct Node {
        std::uint64_t key = 0;
        NodeId parent = kNoNode;
        std::uint32_t tokens = 0;  // from the beginning of the prompt to the end of this block
        std::uint32_t bytes = 0;
        std::uint32_t children = 0;
        std::uint16_t length = 0;        // bytes of its own text
        std::uint16_t child_length = 0;  // of its children's texts; 0 if they differ
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
    // Of nodes whose children have several text lengths: how many children have each.
    absl::flat_hash_map<NodeId, absl::flat_hash_map<std::uint16_t, std::uint32_t>> child_lengths_;
    EngineSetPool engine_sets_;
};

}  // namespace chalksail::prefix
