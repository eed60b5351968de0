// Codec of the cache events that engines publish. This package tracks from these events which engine caches
// which prompt prefixes, so that a request can be routed to a server that has its prefix cached.
//
// event_stream.hpp puts the batches of one engine in order, prefix_index.hpp stores the blocks,
// report_trust.hpp rates the accuracy of a server's reports, reported_caches.hpp combines them for all
// servers of a gateway, and snapshot.hpp stores the state of one server across a restart. The package does no
// I/O, reads no clock, uses no randomness and starts no threads; no class is thread-safe. Invalid input bytes
// are reported as a DecodeError.
//
// The format is vLLM's (vllm/distributed/kv_events.py): a batch is the msgpack array
// [timestamp, [event, ...], data_parallel_rank]; an event is an array that begins with its name:
//   ["BlockStored", [hash, ...], parent hash or nil, [token, ...], block size, lora id or nil, ...]
//   ["BlockRemoved", [hash, ...], ...]
//   ["AllBlocksCleared"]
// Hashes are integers or byte strings. Additional fields are ignored; events with unknown names are skipped
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

// The engine's own hash of a block. Byte-string hashes are reduced to 64 bits.
using EngineHash = std::uint64_t;
using Token = std::uint32_t;

struct BlockStored {
    std::vector<EngineHash> blocks;    // in order, each the parent of the next
    std::optional<EngineHash> parent;  // parent of the first block; nullopt at the start of a prompt
    std::vector<Token> tokens;         // block_size tokens for each block
    std::size_t block_size = 0;        // tokens in one block
    bool uses_adapter = false;  // computed with a LoRA adapter, which changes the KV state of the same text
};
struct BlockRemoved {
    std::vector<EngineHash> blocks;
};
struct AllBlocksCleared {};
using Event = std::variant<BlockStored, BlockRemoved, AllBlocksCleared>;

struct Batch {
    double timestamp = 0;  // seconds since the Unix epoch on the engine's clock
    std::vector<Event> events;
    std::size_t unknown_events = 0;  // number of events skipped because their name is unknown
};

// The reason why input bytes were rejected.
struct DecodeError {
    enum class Kind {
        too_large,  // exceeds a limit of this gateway
        malformed,  // does not follow the format
        damaged,    // the checksum does not match
        version,    // written in another format version
    };
    Kind kind = Kind::malformed;
    std::string text;  // description for the log
};

struct DecodeLimits {
    std::size_t max_bytes = 4 * 1024 * 1024;
    std::size_t max_events = 10'000;
    std::size_t max_array_length = 100'000;  // maximum number of hashes or tokens in one array
};
// Decodes one batch. Returns an error if any part of it is invalid.
[[nodiscard]] tl::expected<Batch, DecodeError> decode(std::string_view payload,
                                                      const DecodeLimits& limits = {});
// Encodes a batch as an engine publishes it. Used by engine models and tests.
[[nodiscard]] std::string encode(const Batch& batch);

// Decodes a batch's sequence number, 8 bytes in big-endian order. Returns nullopt for any other length.
[[nodiscard]] std::optional<std::uint64_t> decode_sequence(std::string_view bytes);
[[nodiscard]] std::string encode_sequence(std::uint64_t sequence);

}  // namespace chalksail::prefix
