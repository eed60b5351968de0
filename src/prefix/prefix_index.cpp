#include "prefix/prefix_index.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace chalksail::prefix {
namespace {

// Entries above twice the block limit that an insertion order may have before it is compacted. Without this
// slack a small limit would cause a compaction at every event.
constexpr std::size_t kOrderSlack = 64;

}  // namespace

PrefixIndex::PrefixIndex(TokenText text, Limits limits)
    : text_(std::move(text)), limits_(limits), tree_(limits.max_visits) {
    limits_.max_engines = std::min<std::size_t>(limits_.max_engines, std::numeric_limits<EngineId>::max());
    limits_.max_block_bytes =
        std::min<std::size_t>(limits_.max_block_bytes, std::numeric_limits<std::uint16_t>::max());
}

EngineId PrefixIndex::add(std::string_view space) {
    auto it = std::find_if(engines_.begin(), engines_.end(), [](const Engine& e) { return !e.used; });
    if (it == engines_.end()) {
        if (engines_.size() >= limits_.max_engines) throw std::length_error("prefix index: too many engines");
        it = engines_.emplace(engines_.end());
    }
    it->used = true;
    it->root = tree_.root(space);
    return static_cast<EngineId>(it - engines_.begin());
}

void PrefixIndex::remove(EngineId engine) {
    clear(engine);
    engines_[engine] = {};
}

void PrefixIndex::clear(EngineId id) {
    Engine& engine = engines_[id];
    for (const auto& [hash, node] : engine.blocks) tree_.remove_engine(node, id);
    blocks_ -= engine.blocks.size();
    engine.blocks.clear();
    engine.insertion_order.clear();
}

void PrefixIndex::apply(EngineId engine, const Event& event) {
    if (const auto* stored = std::get_if<BlockStored>(&event)) return store(engine, *stored);
    if (const auto* removed = std::get_if<BlockRemoved>(&event)) {
        for (const auto hash : removed->blocks) remove_block(engine, hash);
        return;
    }
    clear(engine);
}

void PrefixIndex::store(EngineId id, const BlockStored& event) {
    // A LoRA adapter changes the KV state of the same text, so such blocks must not match a prompt.
    if (event.uses_adapter || event.block_size == 0 ||
        event.tokens.size() < event.blocks.size() * event.block_size)
        return;
    Engine& engine = engines_[id];
    NodeId parent = engine.root;
    if (event.parent) {
        const auto it = engine.blocks.find(*event.parent);
        if (it == engine.blocks.end()) {
            counts_.orphans += event.blocks.size();
            return;
        }
        parent = it->second;
    }
    std::string text;
    for (std::size_t i = 0; i < event.blocks.size(); ++i) {
        if (!read_block(event, i, text)) {
            counts_.unreadable += event.blocks.size() - i;
            return;
        }
        parent =
            tree_.get_or_add(parent, tree_.child_key(parent, text), static_cast<std::uint16_t>(text.size()),
                             static_cast<std::uint32_t>(event.block_size));
        add_block(id, event.blocks[i], parent);
    }
    if (engine.insertion_order.size() > 2 * limits_.max_blocks_per_engine + kOrderSlack)
        compact_order(engine);
}

// Writes the text of one block of the event to `text`. Returns false if it is unknown, empty or too long.
bool PrefixIndex::read_block(const BlockStored& event, std::size_t block, std::string& text) const {
    text.clear();
    for (std::size_t i = 0; i < event.block_size; ++i) {
        if (!text_(event.tokens[block * event.block_size + i], text)) return false;
        if (text.size() > limits_.max_block_bytes) return false;
    }
    return !text.empty();
}

void PrefixIndex::add_block(EngineId id, EngineHash hash, NodeId node) {
    Engine& engine = engines_[id];
    const auto [it, inserted] = engine.blocks.try_emplace(hash, node);
    if (inserted) {
        tree_.add_engine(node, id);
        blocks_ += 1;
        counts_.stored += 1;
        engine.insertion_order.push_back(hash);
    } else if (it->second != node) {
        // The engine used one hash for two texts. The later one replaces the earlier one.
        const NodeId previous = it->second;
        it->second = node;
        tree_.add_engine(node, id);
        tree_.remove_engine(previous, id);
    }
    drop_oldest(id, hash);
}

// Drops the engine's oldest blocks until it is within its block limit. Never drops `newest`.
void PrefixIndex::drop_oldest(EngineId id, EngineHash newest) {
    Engine& engine = engines_[id];
    while (engine.blocks.size() > limits_.max_blocks_per_engine && engine.insertion_order.front() != newest) {
        const auto oldest = engine.insertion_order.front();
        engine.insertion_order.pop_front();
        if (!engine.blocks.contains(oldest)) continue;
        remove_block(id, oldest);
        counts_.dropped += 1;
    }
}

// Removes the entries of removed blocks and duplicate entries from the insertion order.
void PrefixIndex::compact_order(Engine& engine) const {
    std::deque<EngineHash> order;
    absl::flat_hash_set<EngineHash> seen;
    for (const auto hash : engine.insertion_order)
        if (engine.blocks.contains(hash) && seen.insert(hash).second) order.push_back(hash);
    engine.insertion_order.swap(order);
}

std::vector<PrefixIndex::BlockRecord> PrefixIndex::blocks_of(EngineId id) const {
    const Engine& engine = engines_[id];
    std::vector<BlockRecord> records;
    records.reserve(engine.blocks.size());
    absl::flat_hash_set<EngineHash> seen;
    for (const auto hash : engine.insertion_order) {
        const auto it = engine.blocks.find(hash);
        if (it == engine.blocks.end() || !seen.insert(hash).second) continue;
        const auto block = tree_.block(it->second);
        records.push_back({hash, block.parent_key, block.key, block.tokens, block.length});
    }
    return records;
}

void PrefixIndex::restore(EngineId id, const std::vector<BlockRecord>& blocks) {
    const NodeId root = engines_[id].root;
    const std::uint64_t root_key = tree_.key(root);
    for (const auto& block : blocks) {
        const NodeId parent = block.parent_key == root_key ? root : tree_.find_block(block.parent_key);
        if (parent == BlockTree::kNoNode) {
            counts_.orphans += 1;
            continue;
        }
        if (block.length == 0 || block.key == root_key) continue;
        add_block(id, block.hash, tree_.get_or_add(parent, block.key, block.length, block.tokens));
    }
}

void PrefixIndex::remove_block(EngineId id, EngineHash hash) {
    Engine& engine = engines_[id];
    const auto it = engine.blocks.find(hash);
    if (it == engine.blocks.end()) return;
    const NodeId node = it->second;
    engine.blocks.erase(it);
    blocks_ -= 1;
    counts_.removed += 1;
    tree_.remove_engine(node, id);
}

std::vector<PrefixMatch> PrefixIndex::find(std::string_view space, std::string_view text) const {
    return tree_.find(space, text, engines_.size());
}

std::size_t PrefixIndex::memory_bytes() const {
    std::size_t bytes = tree_.memory_bytes();
    for (const Engine& engine : engines_)
        bytes += sizeof(Engine) + engine.insertion_order.size() * sizeof(EngineHash) +
                 engine.blocks.capacity() * (sizeof(std::pair<EngineHash, NodeId>) + 1);
    return bytes;
}

}  // namespace chalksail::prefix
