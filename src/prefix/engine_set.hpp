// Sets of engines, one for each block of the prefix tree. Most blocks are cached by a few engines, and a few
// blocks (system prompts) by nearly all. A small set therefore stores its ids inline, a larger one in a
// bitmap.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace chalksail::prefix {

// Identifies an engine in the index. Ids are dense and reused.
using EngineId = std::uint16_t;

// One bit for each engine, in words of 64.
using EngineBitmap = std::vector<std::uint64_t>;
inline constexpr std::size_t kEnginesPerWord = 64;

// A set of engine ids. Its bitmap, if any, is owned by an EngineSetPool.
struct EngineSet {
    static constexpr std::size_t kMaxInline = 3;
    static constexpr std::uint32_t kNoBitmap = 0xffffffff;
    std::array<EngineId, kMaxInline> ids{};  // valid up to `size` while the set has no bitmap
    std::uint16_t size = 0;
    std::uint32_t bitmap = kNoBitmap;  // index of the bitmap in the pool
};

// Changes sets and owns their bitmaps. Not thread-safe.
class EngineSetPool {
public:
    // Returns false if the engine was already in the set.
    bool insert(EngineSet& set, EngineId engine);
    // Returns false if the engine was not in the set.
    bool erase(EngineSet& set, EngineId engine);
    // Removes from `engines` every engine that is not in the set.
    void intersect(EngineBitmap& engines, const EngineSet& set) const;
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    void convert_to_bitmap(EngineSet& set);

    std::vector<EngineBitmap> bitmaps_;
    std::vector<std::uint32_t> free_bitmaps_;  // indexes of unused entries of bitmaps_
};

}  // namespace chalksail::prefix
