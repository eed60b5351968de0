#include "prefix/index.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <limits>
#include <stdexcept>

namespace chalksail::prefix {

Index::Index(TokenText text, Limits limits) : text_(std::move(text)), limits_(limits) {
    limits_.engines = std::min<std::size_t>(limits_.engines, std::numeric_limits<Engine>::max());
    limits_.block_bytes =
        std::min<std::size_t>(limits_.block_bytes, std::numeric_limits<std::uint16_t>::max());
}

std::uint64_t Index::key_of(std::uint64_t parent, std::string_view text) {
    return XXH3_64bits_withSeed(text.data(), text.size(), parent);
}

Index::Engine Index::add(std::string_view space) {
    auto it = std::find_if(slots_.begin(), slots_.end(), [](const Slot& s) { return !s.used; });
    if (it == slots_.end()) {
        if (slots_.size() >= limits_.engines) throw std::length_error("prefix index: too many engines");
        it = slots_.emplace(slots_.end());
    }
    it->used = true;
    const auto [root, fresh] = roots_.try_emplace(std::string(space), kNone);
    if (fresh) {
        root->second = make_node();
        nodes_[root->second].key = XXH3_64bits(space.data(), space.size());
    }
    it->root = root->second;
    return static_cast<Engine>(it - slots_.begin());
}

void Index::remove(Engine engine) {
    forget(engine);
    slots_[engine] = {};
}

void Index::forget(Engine engine) {
    Slot& s = slots_[engine];
    for (const auto& [hash, node] : s.blocks) leave(node, engine);
    held_blocks_ -= s.blocks.size();
    s.blocks.clear();
    s.order.clear();
}

void Index::apply(Engine engine, const Event& event) {
    if (const auto* stored = std::get_if<BlockStored>(&event)) return store(engine, *stored);
    if (const auto* removed = std::get_if<BlockRemoved>(&event)) {
        for (const auto hash : removed->blocks) remove_block(engine, hash);
        return;
    }
    forget(engine);
}

void Index::store(Engine engine, const BlockStored& e) {
    // The same text read with an adapter is other contents: nothing that a prompt can be matched with.
    if (e.adapted || e.block_size == 0 || e.tokens.size() < e.blocks.size() * e.block_size) return;
    Slot& s = slots_[engine];
    NodeId parent = s.root;
    if (e.parent) {
        const auto it = s.blocks.find(*e.parent);
        if (it == s.blocks.end()) {
            counts_.orphans += e.blocks.size();
            return;
        }
        parent = it->second;
    }
    std::string text;
    for (std::size_t i = 0; i < e.blocks.size(); ++i) {
        text.clear();
        bool readable = true;
        for (std::size_t t = 0; readable && t < e.block_size; ++t)
            readable = text_(e.tokens[i * e.block_size + t], text) && text.size() <= limits_.block_bytes;
        if (!readable || text.empty()) {
            counts_.unreadable += e.blocks.size() - i;
            return;
        }
        const NodeId node =
            enter(parent, key_of(nodes_[parent].key, text), static_cast<std::uint16_t>(text.size()),
                  static_cast<std::uint32_t>(e.block_size));
        hold(engine, e.blocks[i], node);
        parent = node;
    }
    // The queue names blocks that were removed since; it is swept before it outgrows what it stands for.
    if (s.order.size() > 2 * limits_.blocks_each + 64) {
        std::deque<EngineHash> rest;
        absl::flat_hash_map<EngineHash, bool> seen;
        for (const auto hash : s.order)
            if (s.blocks.contains(hash) && seen.emplace(hash, true).second) rest.push_back(hash);
        s.order.swap(rest);
    }
}

// The engine has this block; its oldest go if it has too many.
void Index::hold(Engine engine, EngineHash hash, NodeId node) {
    Slot& s = slots_[engine];
    const auto [it, fresh] = s.blocks.try_emplace(hash, node);
    if (!fresh && it->second != node) {
        // Guards against one hash for two texts: the later one counts, and the former is let go.
        const NodeId old = it->second;
        it->second = node;
        insert(nodes_[node].holders, engine);
        leave(old, engine);
    } else if (fresh) {
        insert(nodes_[node].holders, engine);
        held_blocks_ += 1;
        counts_.stored += 1;
        s.order.push_back(hash);
    }
    while (s.blocks.size() > limits_.blocks_each && s.order.front() != hash) {
        const auto oldest = s.order.front();
        s.order.pop_front();
        if (!s.blocks.contains(oldest)) continue;
        remove_block(engine, oldest);
        counts_.dropped += 1;
    }
}

std::vector<Index::KeptBlock> Index::blocks_of(Engine engine) const {
    const Slot& s = slots_[engine];
    std::vector<KeptBlock> out;
    out.reserve(s.blocks.size());
    absl::flat_hash_map<EngineHash, bool> seen;
    for (const auto hash : s.order) {
        const auto it = s.blocks.find(hash);
        if (it == s.blocks.end() || !seen.emplace(hash, true).second) continue;
        const Node& n = nodes_[it->second];
        out.push_back({hash, nodes_[n.parent].key, n.key, n.tokens - nodes_[n.parent].tokens, n.length});
    }
    return out;
}

void Index::restore(Engine engine, const std::vector<KeptBlock>& blocks) {
    const NodeId root = slots_[engine].root;
    for (const auto& b : blocks) {
        NodeId parent = root;
        if (b.parent != nodes_[root].key) {
            const auto it = by_key_.find(b.parent);
            if (it == by_key_.end()) {
                counts_.orphans += 1;
                continue;
            }
            parent = it->second;
        }
        if (b.length == 0 || b.key == nodes_[root].key) continue;
        hold(engine, b.hash, enter(parent, b.key, b.length, b.tokens));
    }
}

void Index::remove_block(Engine engine, EngineHash hash) {
    Slot& s = slots_[engine];
    const auto it = s.blocks.find(hash);
    if (it == s.blocks.end()) return;
    const NodeId node = it->second;
    s.blocks.erase(it);
    held_blocks_ -= 1;
    counts_.removed += 1;
    leave(node, engine);
}

Index::NodeId Index::make_node() {
    if (free_nodes_.empty()) {
        nodes_.emplace_back();
        return static_cast<NodeId>(nodes_.size() - 1);
    }
    const NodeId id = free_nodes_.back();
    free_nodes_.pop_back();
    nodes_[id] = {};
    return id;
}

Index::NodeId Index::enter(NodeId parent, std::uint64_t key, std::uint16_t length, std::uint32_t tokens) {
    const auto known = by_key_.find(key);
    if (known != by_key_.end()) return known->second;
    const NodeId id = make_node();
    by_key_.emplace(key, id);
    Node& n = nodes_[id];
    n.key = key;
    n.parent = parent;
    n.length = length;
    n.tokens = tokens + nodes_[parent].tokens;
    n.bytes = length + nodes_[parent].bytes;
    child_added(parent, n.length);
    return id;
}

void Index::child_added(NodeId parent, std::uint16_t length) {
    Node& p = nodes_[parent];
    if (p.children == 0) {
        p.child_length = length;
    } else if (p.child_length != length) {
        auto& all = mixed_[parent];
        if (p.child_length != 0) all[p.child_length] = p.children;
        p.child_length = 0;  // more than one
        all[length] += 1;
    }
    p.children += 1;
}

void Index::child_gone(NodeId parent, std::uint16_t length) {
    Node& p = nodes_[parent];
    p.children -= 1;
    if (p.child_length == 0) {
        const auto all = mixed_.find(parent);
        const auto it = all->second.find(length);
        if (--it->second == 0) all->second.erase(it);
        if (p.children == 0) mixed_.erase(all);
    }
    release(parent);
}

void Index::leave(NodeId node, Engine engine) {
    if (!erase(nodes_[node].holders, engine)) return;
    release(node);
}

// A node goes with its last holder and its last child; a root stays.
void Index::release(NodeId id) {
    Node& n = nodes_[id];
    if (n.parent == kNone || n.holders.count > 0 || n.children > 0) return;
    const NodeId parent = n.parent;
    const std::uint16_t length = n.length;
    by_key_.erase(n.key);
    n.parent = kNone;
    free_nodes_.push_back(id);
    child_gone(parent, length);
}

bool Index::insert(Holders& h, Engine engine) {
    if (h.bits == kNone) {
        const auto end = h.few.begin() + h.count;
        if (std::find(h.few.begin(), end, engine) != end) return false;
        if (h.count < kInline) {
            h.few[h.count++] = engine;
            return true;
        }
        std::uint32_t place = 0;
        if (free_bits_.empty()) {
            place = static_cast<std::uint32_t>(bits_.size());
            bits_.emplace_back();
        } else {
            place = free_bits_.back();
            free_bits_.pop_back();
        }
        auto& words = bits_[place];
        words.assign(this->words(), 0);
        for (const auto e : h.few) words[e / 64U] |= std::uint64_t{1} << (e % 64U);
        h.bits = place;
    }
    auto& words = bits_[h.bits];
    if (words.size() <= engine / 64U) words.resize(engine / 64U + 1U, 0);
    auto& word = words[engine / 64U];
    const std::uint64_t bit = std::uint64_t{1} << (engine % 64U);
    if ((word & bit) != 0) return false;
    word |= bit;
    h.count += 1;
    return true;
}

bool Index::erase(Holders& h, Engine engine) {
    if (h.bits == kNone) {
        const auto end = h.few.begin() + h.count;
        const auto it = std::find(h.few.begin(), end, engine);
        if (it == end) return false;
        *it = *(end - 1);
        h.count -= 1;
        return true;
    }
    auto& words = bits_[h.bits];
    const std::uint64_t bit = std::uint64_t{1} << (engine % 64U);
    if (words.size() <= engine / 64U || (words[engine / 64U] & bit) == 0) return false;
    words[engine / 64U] &= ~bit;
    h.count -= 1;
    if (h.count > 0) return true;
    std::vector<std::uint64_t>().swap(words);
    free_bits_.push_back(h.bits);
    h.bits = kNone;
    return true;
}

// Of `alive` only those that are in `holders` stay.
void Index::keep(const Holders& h, std::vector<std::uint64_t>& alive) const {
    if (h.bits != kNone) {
        const auto& words = bits_[h.bits];
        for (std::size_t i = 0; i < alive.size(); ++i) alive[i] &= i < words.size() ? words[i] : 0;
        return;
    }
    std::array<bool, kInline> in{};
    for (std::size_t i = 0; i < h.count; ++i) in[i] = (alive[h.few[i] / 64U] >> (h.few[i] % 64U) & 1U) != 0;
    std::fill(alive.begin(), alive.end(), 0);
    for (std::size_t i = 0; i < h.count; ++i)
        if (in[i]) alive[h.few[i] / 64U] |= std::uint64_t{1} << (h.few[i] % 64U);
}

std::vector<Index::Held> Index::held(std::string_view space, std::string_view text) const {
    const auto root = roots_.find(space);
    if (root == roots_.end()) return {};
    // A step along the text for each block; more than one branch only where blocks of several lengths fit.
    struct Branch {
        NodeId node = kNone;
        std::string_view rest;
        std::vector<std::uint64_t> alive;  // engines that hold all of it so far
    };
    std::vector<Branch> open;
    open.push_back({root->second, text, std::vector<std::uint64_t>(words(), ~std::uint64_t{0})});
    std::vector<NodeId> best(words() * 64, kNone);
    std::vector<std::uint64_t> still;
    for (std::size_t visits = 0; !open.empty() && visits < limits_.visits;) {
        Branch branch = std::move(open.back());
        open.pop_back();
        const Node& at = nodes_[branch.node];
        const auto look = [&](std::uint16_t length) {
            ++visits;
            if (length > branch.rest.size()) return;
            const auto it = by_key_.find(key_of(at.key, branch.rest.substr(0, length)));
            if (it == by_key_.end()) return;
            still = branch.alive;
            keep(nodes_[it->second].holders, still);
            bool any = false;
            for (std::size_t w = 0; w < still.size(); ++w)
                for (auto word = still[w]; word != 0; word &= word - 1) {
                    auto& b = best[w * 64 + static_cast<std::size_t>(std::countr_zero(word))];
                    if (b == kNone || nodes_[b].tokens < nodes_[it->second].tokens) b = it->second;
                    any = true;
                }
            if (any) open.push_back({it->second, branch.rest.substr(length), still});
        };
        if (at.children == 0) continue;
        if (at.child_length != 0) {
            look(at.child_length);
            continue;
        }
        for (const auto& [length, count] : mixed_.at(branch.node)) look(length);
    }
    std::vector<Held> out;
    for (std::size_t i = 0; i < best.size(); ++i)
        if (best[i] != kNone)
            out.push_back({static_cast<Engine>(i), nodes_[best[i]].tokens, nodes_[best[i]].bytes});
    return out;
}

std::size_t Index::memory_bytes() const {
    const auto of_map = [](const auto& m, std::size_t entry) { return m.capacity() * (entry + 1); };
    std::size_t out = nodes_.capacity() * sizeof(Node) + free_nodes_.capacity() * sizeof(NodeId) +
                      of_map(by_key_, sizeof(std::pair<std::uint64_t, NodeId>)) +
                      bits_.capacity() * sizeof(bits_.front());
    for (const auto& b : bits_) out += b.capacity() * sizeof(std::uint64_t);
    for (const auto& s : slots_)
        out += sizeof(Slot) + of_map(s.blocks, sizeof(std::pair<EngineHash, NodeId>)) +
               s.order.size() * sizeof(EngineHash);
    for (const auto& [node, all] : mixed_)
        out += sizeof(all) + of_map(all, sizeof(std::pair<std::uint16_t, std::uint32_t>)) + sizeof(node);
    return out;
}

}  // namespace chalksail::prefix
