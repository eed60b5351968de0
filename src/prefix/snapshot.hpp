// Storage format of the recorded state of one server's prefix cache: a checksum of 8 bytes (XXH3 of the rest,
// big-endian), then the msgpack array [version, space, next sequence, timestamp of the last batch, blocks],
// where `blocks` is one flat array with five fields for each block.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "prefix/cache_events.hpp"
#include "prefix/prefix_index.hpp"

namespace chalksail::prefix {

inline constexpr std::uint64_t kSnapshotVersion = 1;

struct Snapshot {
    std::string space;
    std::uint64_t next_sequence = 0;  // at least 1
    double last_timestamp = 0;
    std::vector<PrefixIndex::BlockRecord> blocks;  // oldest first
};
[[nodiscard]] std::string encode(const Snapshot& snapshot);
// Decodes a snapshot. Rejects one that is damaged, inconsistent, of another version, or has more than
// `max_blocks` blocks.
[[nodiscard]] tl::expected<Snapshot, DecodeError> decode_snapshot(std::string_view bytes,
                                                                  std::size_t max_blocks);

}  // namespace chalksail::prefix
