#include "prefix/block_tree.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <bit>
#include <utility>

namespace chalksail::prefix {

BlockTree::NodeId BlockTree::root(std::string_view space) {
    const auto [it, inserted] = roots_.try_emplace(std::string(space), kNoNode);
    if (inserted) {
        it->second = allocate();
        nodes_[it->second].key = XXH3_64bits(space.data(), space.size());
    }
    return it->second;
}

std::uint64_t BlockTree::child_key(NodeId parent, std::string_view text) const {
    return XXH3_64bits_withSeed(text.data(), text.size(), nodes_[parent].key);
}

BlockTree::NodeId BlockTree::find_block(std::uint64_t block_key) const {
    const auto it = by_key_.find(block_key);
    return it == by_key_.end() ? kNoNode : it->second;
}

BlockTree::NodeId BlockTree::get_or_add(NodeId parent, std::uint64_t block_key, std::uint16_t length,
                                        std::uint32_t tokens) {
    if (const NodeId known = find_block(block_key); known != kNoNode) return known;
    const NodeId id = allocate();
    by_key_.emplace(block_key, id);
    Node& node = nodes_[id];
    node.key = block_key;
    node.parent = parent;
    node.length = length;
    node.tokens = tokens + nodes_[parent].tokens;
    node.bytes = length + nodes_[parent].bytes;
    add_child_length(parent, length);
    return id;
}

BlockTree::Block BlockTree::block(NodeId id) const {
    const Node& node = nodes_[id];
    const Node& parent = nodes_[node.parent];
    return {parent.key, node.key, node.tokens - parent.tokens, node.length};
}

void BlockTree::add_engine(NodeId node, EngineId engine) {
    engine_sets_.insert(nodes_[node].engines, engine);
}

void BlockTree::remove_engine(NodeId node, EngineId engine) {
    if (engine_sets_.erase(nodes_[node].engines, engine)) remove_unused(node);
}

BlockTree::NodeId BlockTree::allocate() {
    if (free_nodes_.empty()) {
        nodes_.emplace_back();
        return static_cast<NodeId>(nodes_.size() - 1);
    }
    const NodeId id = free_nodes_.back();
    free_nodes_.pop_back();
    nodes_[id] = {};
    return id;
}

void BlockTree::add_child_length(NodeId parent, std::uint16_t length) {
    Node& node = nodes_[parent];
    if (node.children == 0) {
        node.child_length = length;
    } else if (node.child_length != length) {
        auto& counts = child_lengths_[parent];
        if (node.child_length != 0) counts[node.child_length] = node.children;
        node.child_length = 0;
        counts[length] += 1;
    }
    node.children += 1;
}

void BlockTree::remove_child_length(NodeId parent, std::uint16_t length) {
    Node& node = nodes_[parent];
    node.children -= 1;
    if (node.child_length != 0) return;
    const auto counts = child_lengths_.find(parent);
    const auto count = counts->second.find(length);
    if (--count->second == 0) counts->second.erase(count);
    if (node.children == 0) child_lengths_.erase(counts);
}

// Removes the node if no engine caches it and it has no children; then does the same for its ancestors.
void BlockTree::remove_unused(NodeId id) {
    for (;;) {
        Node& node = nodes_[id];
        const bool is_root = node.parent == kNoNode;
        if (is_root || node.engines.size > 0 || node.children > 0) return;
        const NodeId parent = std::exchange(node.parent, kNoNode);
        by_key_.erase(node.key);
        free_nodes_.push_back(id);
        remove_child_length(parent, node.length);
        id = parent;
    }
}

// Walks down the tree along a text, one block per step, and tracks the engines that cache every block so far.
// The walk branches only where child blocks of several lengths match the text.
class BlockTree::Search {
public:
    Search(const BlockTree& tree, std::size_t engine_count)
        : tree_(tree),
          words_((engine_count + kEnginesPerWord - 1) / kEnginesPerWord),
          longest_(words_ * kEnginesPerWord, kNoNode) {}

    std::vector<PrefixMatch> run(NodeId root, std::string_view text) {
        pending_branches_.push_back({root, text, EngineBitmap(words_, ~std::uint64_t{0})});
        while (!pending_branches_.empty() && visits_ < tree_.max_visits_) {
            const Branch branch = std::move(pending_branches_.back());
            pending_branches_.pop_back();
            visit_children(branch);
        }
        return matches();
    }

private:
    struct Branch {
        NodeId node = kNoNode;
        std::string_view remaining;
        EngineBitmap engines;
    };

    void visit_children(const Branch& branch) {
        const Node& node = tree_.nodes_[branch.node];
        if (node.children == 0) return;
        if (node.child_length != 0) return visit_child(branch, node.child_length);
        for (const auto& [length, count] : tree_.child_lengths_.at(branch.node)) visit_child(branch, length);
    }

    void visit_child(const Branch& branch, std::uint16_t length) {
        ++visits_;
        if (length > branch.remaining.size()) return;
        const auto text = branch.remaining.substr(0, length);
        const NodeId child = tree_.find_block(tree_.child_key(branch.node, text));
        if (child == kNoNode) return;
        engines_ = branch.engines;
        tree_.engine_sets_.intersect(engines_, tree_.nodes_[child].engines);
        if (record_matches(child))
            pending_branches_.push_back({child, branch.remaining.substr(length), engines_});
    }

    // Records `node` as a match of every engine in engines_. Returns false if engines_ is empty.
    bool record_matches(NodeId node) {
        bool any = false;
        for (std::size_t i = 0; i < engines_.size(); ++i)
            for (auto word = engines_[i]; word != 0; word &= word - 1) {
                const auto engine = i * kEnginesPerWord + static_cast<std::size_t>(std::countr_zero(word));
                NodeId& longest = longest_[engine];
                if (longest == kNoNode || tree_.nodes_[longest].tokens < tree_.nodes_[node].tokens)
                    longest = node;
                any = true;
            }
        return any;
    }

    [[nodiscard]] std::vector<PrefixMatch> matches() const {
        std::vector<PrefixMatch> found;
        for (std::size_t engine = 0; engine < longest_.size(); ++engine) {
            if (longest_[engine] == kNoNode) continue;
            const Node& node = tree_.nodes_[longest_[engine]];
            found.push_back({static_cast<EngineId>(engine), node.tokens, node.bytes});
        }
        return found;
    }

    const BlockTree& tree_;
    std::size_t words_;
    std::vector<NodeId> longest_;  // by engine id: the last node of the engine's longest match
    std::vector<Branch> pending_branches_;
    // The engines that match up to the visited child. A member so that its memory is reused.
    EngineBitmap engines_;
    std::size_t visits_ = 0;
};

std::vector<PrefixMatch> BlockTree::find(std::string_view space, std::string_view text,
                                         std::size_t engine_count) const {
    const auto root = roots_.find(space);
    if (root == roots_.end()) return {};
    return Search(*this, engine_count).run(root->second, text);
}

std::size_t BlockTree::memory_bytes() const {
    const auto map_bytes = [](const auto& map, std::size_t entry) { return map.capacity() * (entry + 1); };
    std::size_t bytes = nodes_.capacity() * sizeof(Node) + free_nodes_.capacity() * sizeof(NodeId) +
                        map_bytes(by_key_, sizeof(std::pair<std::uint64_t, NodeId>)) +
                        engine_sets_.memory_bytes();
    for (const auto& [node, counts] : child_lengths_)
        bytes += sizeof(counts) + map_bytes(counts, sizeof(std::pair<std::uint16_t, std::uint32_t>)) +
                 sizeof(node);
    return bytes;
}

}  // namespace chalksail::prefix
