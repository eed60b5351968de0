// What is known of one server's kept text, as bytes to be stored: a checksum, then a msgpack array of
// version, space, the next sequence awaited, the time of the last batch, and the blocks. Bytes in, values
// out; no I/O.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "prefix/index.hpp"

namespace chalksail::prefix {

inline constexpr std::uint64_t kSnapshotVersion = 1;

struct Snapshot {
    std::string space;
    std::uint64_t next = 0;  // at least 1
    double last_ts = 0;
    std::vector<Index::KeptBlock> blocks;  // oldest first
};
[[nodiscard]] std::string encode(const Snapshot& snapshot);
// Errors: damaged, of another version, more than `blocks_most` blocks, or nonsense.
[[nodiscard]] tl::expected<Snapshot, std::string> decode_snapshot(std::string_view bytes,
                                                                  std::size_t blocks_most);

}  // namespace chalksail::prefix
