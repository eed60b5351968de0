#include "prefix/engine_set.hpp"

#include <algorithm>

namespace chalksail::prefix {
namespace {

std::size_t word_of(EngineId engine) { return engine / kEnginesPerWord; }
std::uint64_t bit_of(EngineId engine) { return std::uint64_t{1} << (engine % kEnginesPerWord); }

}  // namespace

void EngineSetPool::convert_to_bitmap(EngineSet& set) {
    if (free_bitmaps_.empty()) {
        set.bitmap = static_cast<std::uint32_t>(bitmaps_.size());
        bitmaps_.emplace_back();
    } else {
        set.bitmap = free_bitmaps_.back();
        free_bitmaps_.pop_back();
    }
    EngineBitmap& words = bitmaps_[set.bitmap];
    words.assign(word_of(*std::max_element(set.ids.begin(), set.ids.end())) + 1, 0);
    for (const EngineId id : set.ids) words[word_of(id)] |= bit_of(id);
}

bool EngineSetPool::insert(EngineSet& set, EngineId engine) {
    if (set.bitmap == EngineSet::kNoBitmap) {
        const auto end = set.ids.begin() + set.size;
        if (std::find(set.ids.begin(), end, engine) != end) return false;
        if (set.size < EngineSet::kMaxInline) {
            set.ids[set.size++] = engine;
            return true;
        }
        convert_to_bitmap(set);
    }
    EngineBitmap& words = bitmaps_[set.bitmap];
    if (words.size() <= word_of(engine)) words.resize(word_of(engine) + 1, 0);
    std::uint64_t& word = words[word_of(engine)];
    if ((word & bit_of(engine)) != 0) return false;
    word |= bit_of(engine);
    set.size += 1;
    return true;
}

bool EngineSetPool::erase(EngineSet& set, EngineId engine) {
    if (set.bitmap == EngineSet::kNoBitmap) {
        const auto end = set.ids.begin() + set.size;
        const auto it = std::find(set.ids.begin(), end, engine);
        if (it == end) return false;
        *it = *(end - 1);
        set.size -= 1;
        return true;
    }
    EngineBitmap& words = bitmaps_[set.bitmap];
    if (words.size() <= word_of(engine) || (words[word_of(engine)] & bit_of(engine)) == 0) return false;
    words[word_of(engine)] &= ~bit_of(engine);
    set.size -= 1;
    if (set.size > 0) return true;
    EngineBitmap().swap(words);
    free_bitmaps_.push_back(set.bitmap);
    set.bitmap = EngineSet::kNoBitmap;
    return true;
}

void EngineSetPool::intersect(EngineBitmap& engines, const EngineSet& set) const {
    if (set.bitmap != EngineSet::kNoBitmap) {
        const EngineBitmap& words = bitmaps_[set.bitmap];
        for (std::size_t i = 0; i < engines.size(); ++i) engines[i] &= i < words.size() ? words[i] : 0;
        return;
    }
    std::array<bool, EngineSet::kMaxInline> in_both{};
    for (std::size_t i = 0; i < set.size; ++i)
        in_both[i] = (engines[word_of(set.ids[i])] & bit_of(set.ids[i])) != 0;
    std::fill(engines.begin(), engines.end(), 0);
    for (std::size_t i = 0; i < set.size; ++i)
        if (in_both[i]) engines[word_of(set.ids[i])] |= bit_of(set.ids[i]);
}

std::size_t EngineSetPool::memory_bytes() const {
    std::size_t bytes = bitmaps_.capacity() * sizeof(EngineBitmap);
    for (const EngineBitmap& words : bitmaps_) bytes += words.capacity() * sizeof(std::uint64_t);
    return bytes;
}

}  // namespace chalksail::prefix
