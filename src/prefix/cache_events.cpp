#include "prefix/cache_events.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <limits>
#include <msgpack.hpp>
#include <stdexcept>

namespace chalksail::prefix {
namespace {

constexpr std::size_t kMaxDepth = 8;        // nesting depth of arrays; the format needs 4
constexpr std::size_t kMaxMapEntries = 64;  // maps occur only in fields that are ignored
constexpr std::uint64_t kMaxBlockSize = 65'536;
constexpr std::size_t kSequenceBytes = 8;

// Thrown and caught in this file only.
struct MalformedBatch : std::runtime_error {
    using std::runtime_error::runtime_error;
};

const msgpack::object_array& as_array(const msgpack::object& object, const char* name,
                                      std::size_t min_size = 0) {
    if (object.type != msgpack::type::ARRAY) throw MalformedBatch(std::string(name) + ": not an array");
    if (object.via.array.size < min_size) throw MalformedBatch(std::string(name) + ": too few elements");
    return object.via.array;
}

EngineHash as_hash(const msgpack::object& object) {
    switch (object.type) {
        case msgpack::type::POSITIVE_INTEGER: return object.via.u64;
        case msgpack::type::NEGATIVE_INTEGER: return static_cast<EngineHash>(object.via.i64);
        case msgpack::type::BIN: return XXH3_64bits(object.via.bin.ptr, object.via.bin.size);
        case msgpack::type::STR: return XXH3_64bits(object.via.str.ptr, object.via.str.size);
        default: throw MalformedBatch("block hash: neither an integer nor a byte string");
    }
}

std::vector<EngineHash> as_hashes(const msgpack::object& object) {
    const auto& items = as_array(object, "block hashes");
    std::vector<EngineHash> hashes;
    hashes.reserve(items.size);
    for (std::uint32_t i = 0; i < items.size; ++i) hashes.push_back(as_hash(items.ptr[i]));
    return hashes;
}

std::vector<Token> as_tokens(const msgpack::object& object) {
    const auto& items = as_array(object, "token ids");
    std::vector<Token> tokens;
    tokens.reserve(items.size);
    for (std::uint32_t i = 0; i < items.size; ++i) {
        const auto& item = items.ptr[i];
        if (item.type != msgpack::type::POSITIVE_INTEGER || item.via.u64 > std::numeric_limits<Token>::max())
            throw MalformedBatch("token id: not an unsigned 32-bit integer");
        tokens.push_back(static_cast<Token>(item.via.u64));
    }
    return tokens;
}

std::size_t as_block_size(const msgpack::object& object) {
    if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 == 0 ||
        object.via.u64 > kMaxBlockSize)
        throw MalformedBatch("block size: not an integer from 1 to 65536");
    return static_cast<std::size_t>(object.via.u64);
}

BlockStored as_block_stored(const msgpack::object_array& fields) {
    if (fields.size < 5) throw MalformedBatch("BlockStored: fewer than 5 fields");
    BlockStored event;
    event.blocks = as_hashes(fields.ptr[1]);
    if (fields.ptr[2].type != msgpack::type::NIL) event.parent = as_hash(fields.ptr[2]);
    event.tokens = as_tokens(fields.ptr[3]);
    event.block_size = as_block_size(fields.ptr[4]);
    if (event.tokens.size() != event.blocks.size() * event.block_size)
        throw MalformedBatch("BlockStored: token count does not match block count times block size");
    event.uses_adapter = fields.size > 5 && fields.ptr[5].type != msgpack::type::NIL;
    return event;
}

double as_timestamp(const msgpack::object& object) {
    if (object.type != msgpack::type::FLOAT64 && object.type != msgpack::type::FLOAT32 &&
        object.type != msgpack::type::POSITIVE_INTEGER)
        throw MalformedBatch("batch: timestamp is not a number");
    return object.as<double>();
}

void append_event(const msgpack::object& object, Batch& batch) {
    const auto& fields = as_array(object, "event", 1);
    if (fields.ptr[0].type != msgpack::type::STR) throw MalformedBatch("event: name is not a string");
    const std::string_view name(fields.ptr[0].via.str.ptr, fields.ptr[0].via.str.size);
    if (name == "BlockStored") {
        batch.events.emplace_back(as_block_stored(fields));
    } else if (name == "BlockRemoved") {
        if (fields.size < 2) throw MalformedBatch("BlockRemoved: fewer than 2 fields");
        batch.events.emplace_back(BlockRemoved{as_hashes(fields.ptr[1])});
    } else if (name == "AllBlocksCleared") {
        batch.events.emplace_back(AllBlocksCleared{});
    } else {
        batch.unknown_events += 1;
    }
}

tl::unexpected<DecodeError> error(DecodeError::Kind kind, std::string text) {
    return tl::unexpected(DecodeError{kind, std::move(text)});
}

using Packer = msgpack::packer<msgpack::sbuffer>;

template <class Items>
void pack_items(Packer& packer, const Items& items) {
    packer.pack_array(static_cast<std::uint32_t>(items.size()));
    for (const auto item : items) packer.pack(item);
}

struct EventPacker {
    Packer& packer;

    void operator()(const BlockStored& event) const {
        packer.pack_array(6);
        packer.pack("BlockStored");
        pack_items(packer, event.blocks);
        if (event.parent) packer.pack(*event.parent);
        else packer.pack_nil();
        pack_items(packer, event.tokens);
        packer.pack(event.block_size);
        if (event.uses_adapter) packer.pack(1);
        else packer.pack_nil();
    }
    void operator()(const BlockRemoved& event) const {
        packer.pack_array(2);
        packer.pack("BlockRemoved");
        pack_items(packer, event.blocks);
    }
    void operator()(const AllBlocksCleared&) const {
        packer.pack_array(1);
        packer.pack("AllBlocksCleared");
    }
};

}  // namespace

tl::expected<Batch, DecodeError> decode(std::string_view payload, const DecodeLimits& limits) {
    using Kind = DecodeError::Kind;
    if (payload.size() > limits.max_bytes) return error(Kind::too_large, "batch: exceeds the size limit");
    try {
        std::size_t used = 0;
        const msgpack::unpack_limit bounds(std::max(limits.max_array_length, limits.max_events),
                                           kMaxMapEntries, limits.max_bytes, limits.max_bytes, 0, kMaxDepth);
        const auto handle = msgpack::unpack(payload.data(), payload.size(), used, nullptr, nullptr, bounds);
        if (used != payload.size()) return error(Kind::malformed, "batch: trailing bytes after its end");
        const auto& fields = as_array(handle.get(), "batch", 2);
        Batch batch;
        batch.timestamp = as_timestamp(fields.ptr[0]);
        const auto& events = as_array(fields.ptr[1], "events");
        if (events.size > limits.max_events)
            return error(Kind::too_large, "events: exceed the limit of events in one batch");
        for (std::uint32_t i = 0; i < events.size; ++i) append_event(events.ptr[i], batch);
        return batch;
    } catch (const MalformedBatch& malformed) {
        return error(Kind::malformed, malformed.what());
    } catch (const std::exception& exception) {
        // Thrown by msgpack for an invalid encoding or an exceeded limit.
        return error(Kind::malformed, std::string("batch: ") + exception.what());
    }
}

std::string encode(const Batch& batch) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(3);
    packer.pack(batch.timestamp);
    packer.pack_array(static_cast<std::uint32_t>(batch.events.size()));
    for (const auto& event : batch.events) std::visit(EventPacker{packer}, event);
    packer.pack_nil();
    return {buffer.data(), buffer.size()};
}

std::optional<std::uint64_t> decode_sequence(std::string_view bytes) {
    if (bytes.size() != kSequenceBytes) return std::nullopt;
    std::uint64_t sequence = 0;
    for (const char c : bytes) sequence = sequence << 8U | static_cast<unsigned char>(c);
    return sequence;
}

std::string encode_sequence(std::uint64_t sequence) {
    std::string bytes(kSequenceBytes, '\0');
    for (std::size_t i = 0; i < kSequenceBytes; ++i) bytes[i] = static_cast<char>(sequence >> (56 - 8 * i));
    return bytes;
}

}  // namespace chalksail::prefix
