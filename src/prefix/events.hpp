// The cache events that engines publish, as vLLM defines them (vllm/distributed/kv_events.py): a batch is the
// msgpack array [ts, [event, ...], data_parallel_rank]; an event is an array that begins with its name:
//   ["BlockStored", [hash, ...], parent hash or nil, [token, ...], block size, lora id or nil, ...]
//   ["BlockRemoved", [hash, ...], ...]
//   ["AllBlocksCleared"]
// Hashes are integers or byte strings. Fields that follow are not looked at; kinds that are not known are
// passed over and counted. Bytes in, values out; no I/O. Sizes are bounded by Limits; anything else is an
// error that says what is wrong, and nothing of that batch is taken.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace chalksail::prefix {

using EngineHash = std::uint64_t;  // of a block, as one engine names it; byte strings are hashed to this
using Token = std::uint32_t;

struct BlockStored {
    std::vector<EngineHash> blocks;  // in order, each the parent of the next
    std::optional<EngineHash> parent;
    std::vector<Token> tokens;  // block_size for each block
    std::size_t block_size = 0;
    bool adapted = false;  // read with an adapter: other contents under the same text
};
struct BlockRemoved {
    std::vector<EngineHash> blocks;
};
struct AllBlocksCleared {};
using Event = std::variant<BlockStored, BlockRemoved, AllBlocksCleared>;

struct Batch {
    double ts = 0;  // seconds since 1970 by the engine's clock
    std::vector<Event> events;
    std::size_t unknown = 0;
};
struct DecodeLimits {
    std::size_t bytes = 4 * 1024 * 1024;
    std::size_t events = 10'000;
    std::size_t array = 100'000;  // of hashes, or of tokens
};
[[nodiscard]] tl::expected<Batch, std::string> decode(std::string_view payload,
                                                      const DecodeLimits& limits = {});
// The same bytes that an engine would send: for stand-ins and tests.
[[nodiscard]] std::string encode(const Batch& batch);

// The 8 bytes, big-endian, that go before a payload; nothing for another length.
[[nodiscard]] std::optional<std::uint64_t> decode_sequence(std::string_view bytes);
[[nodiscard]] std::string encode_sequence(std::uint64_t sequence);

}  // namespace chalksail::prefix
