// Sets of engines, one for each block of the prefix tree. Most blocks are cached by a few engines and a few
// blocks (system prompts) by nearly all, so a small set stores ids in place and a larger one a bitmap.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace chalksail::prefix {

// An engine's number in the index; numbers are dense and reused.
using EngineId = std::uint16_t;

// One bit for each engine, in words of 64.
using EngineBitmap = std::vector<std::uint64_t>;
inline constexpr std::size_t kEnginesPerWord = 64;

// A set whose bitmap, if it has one, is owned by an EngineSetPool.
struct EngineSet {
    static constexpr std::size_t kMaxInline = 3;
    static constexpr std::uint32_t kNoBitmap = 0xffffffff;
    std::array<EngineId, kMaxInline> ids{};  // the first `size` of them, while there is no bitmap
    std::uint16_t size = 0;
    std::uint32_t bitmap = kNoBitmap;  // its place in the pool
};

// Owns the bitmaps of the sets it changes. Not thread-safe.
class EngineSetPool {
public:
    // False if the engine was in the set.
    bool insert(EngineSet& set, EngineId engine);
    // False if the engine was not in the set.
    bool erase(EngineSet& set, EngineId engine);
    // Removes from `engines` all that are not in the set.
    void intersect(EngineBitmap& engines, const EngineSet& set) const;
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    void convert_to_bitmap(EngineSet& set);

    std::vector<EngineBitmap> bitmaps_;
    std::vector<std::uint32_t> free_;  // places in bitmaps_
};

}  // namespace chalksail::prefix
