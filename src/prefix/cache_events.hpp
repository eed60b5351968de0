// Prefix caches of engines: which engine caches which prompt prefixes, learned from the cache events that
// engines publish, so that a request can go where its prefix is cached.
//
// This header holds the codec of the events; event_stream.hpp puts the batches of one engine in order,
// prefix_index.hpp stores the blocks, report_trust.hpp judges the reports, reported_caches.hpp joins them for
// all servers of a gateway, and snapshot.hpp carries what is known over a restart. The package does no I/O,
// reads no clock, uses no randomness and starts no threads; no class is thread-safe. What is wrong with bytes
// from outside is a DecodeError.
//
// The format is vLLM's (vllm/distributed/kv_events.py): a batch is the msgpack array
// [timestamp, [event, ...], data_parallel_rank]; an event is an array that begins with its name:
//   ["BlockStored", [hash, ...], parent hash or nil, [token, ...], block size, lora id or nil, ...]
//   ["BlockRemoved", [hash, ...], ...]
//   ["AllBlocksCleared"]
// Hashes are integers or byte strings. Fields that follow are ignored; events of unknown names are skipped
// and counted.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace chalksail::prefix {

// A block as its engine names it; byte strings are hashed to this.
using EngineHash = std::uint64_t;
using Token = std::uint32_t;

struct BlockStored {
    std::vector<EngineHash> blocks;    // in order, each the parent of the next
    std::optional<EngineHash> parent;  // of the first; none: it begins a prompt
    std::vector<Token> tokens;         // block_size for each block
    std::size_t block_size = 0;        // tokens
    bool uses_adapter = false;         // computed with a LoRA adapter: other KV state for the same text
};
struct BlockRemoved {
    std::vector<EngineHash> blocks;
};
struct AllBlocksCleared {};
using Event = std::variant<BlockStored, BlockRemoved, AllBlocksCleared>;

struct Batch {
    double timestamp = 0;  // seconds since the Unix epoch, by the engine's clock
    std::vector<Event> events;
    std::size_t unknown_events = 0;  // skipped
};

// Why bytes were rejected.
struct DecodeError {
    enum class Kind {
        too_large,  // over a limit of this gateway
        malformed,  // not in the format
        damaged,    // a checksum does not match
        version,    // written by another version
    };
    Kind kind = Kind::malformed;
    std::string text;  // for the log
};

struct DecodeLimits {
    std::size_t max_bytes = 4 * 1024 * 1024;
    std::size_t max_events = 10'000;
    std::size_t max_array_length = 100'000;  // of hashes, or of tokens
};
// Decodes one batch, whole or not at all.
[[nodiscard]] tl::expected<Batch, DecodeError> decode(std::string_view payload,
                                                      const DecodeLimits& limits = {});
// The bytes that an engine would publish; for engine models and tests.
[[nodiscard]] std::string encode(const Batch& batch);

// A batch's sequence number: 8 bytes, big-endian; none for any other length.
[[nodiscard]] std::optional<std::uint64_t> decode_sequence(std::string_view bytes);
[[nodiscard]] std::string encode_sequence(std::uint64_t sequence);

}  // namespace chalksail::prefix
