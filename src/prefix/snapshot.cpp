#include "prefix/snapshot.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>
#include <limits>
#include <msgpack.hpp>

namespace chalksail::prefix {
namespace {

using Kind = DecodeError::Kind;

constexpr std::uint32_t kSnapshotFields = 5;
constexpr std::uint32_t kBlockFields = 5;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kMaxBlockBytes = 64;      // upper bound for one encoded block
constexpr std::size_t kMaxHeaderBytes = 4'096;  // upper bound for all fields except the blocks
constexpr std::size_t kMaxDepth = 3;            // nesting depth of arrays

tl::unexpected<DecodeError> error(Kind kind, const char* reason) {
    return tl::unexpected(DecodeError{kind, std::string("snapshot: ") + reason});
}

PrefixIndex::BlockRecord as_block(const msgpack::object* fields) {
    PrefixIndex::BlockRecord block;
    block.hash = fields[0].as<std::uint64_t>();
    block.parent_key = fields[1].as<std::uint64_t>();
    block.key = fields[2].as<std::uint64_t>();
    block.tokens = fields[3].as<std::uint32_t>();
    block.length = fields[4].as<std::uint16_t>();
    return block;
}

// Throws msgpack exceptions for fields of a wrong type.
tl::expected<Snapshot, DecodeError> as_snapshot(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != kSnapshotFields)
        return error(Kind::malformed, "not an array of 5 fields");
    const auto* fields = object.via.array.ptr;
    if (fields[0].as<std::uint64_t>() != kSnapshotVersion)
        return error(Kind::version, "unsupported format version");
    Snapshot snapshot;
    snapshot.space = fields[1].as<std::string>();
    snapshot.next_sequence = fields[2].as<std::uint64_t>();
    snapshot.last_timestamp = fields[3].as<double>();
    if (snapshot.next_sequence == 0 || !std::isfinite(snapshot.last_timestamp))
        return error(Kind::malformed, "next sequence is 0 or last timestamp is not finite");
    if (fields[4].type != msgpack::type::ARRAY || fields[4].via.array.size % kBlockFields != 0)
        return error(Kind::malformed, "block list is not an array of 5 fields per block");
    const auto& blocks = fields[4].via.array;
    for (std::uint32_t i = 0; i < blocks.size; i += kBlockFields)
        snapshot.blocks.push_back(as_block(blocks.ptr + i));
    return snapshot;
}

}  // namespace

std::string encode(const Snapshot& snapshot) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(kSnapshotFields);
    packer.pack(kSnapshotVersion);
    packer.pack(snapshot.space);
    packer.pack(snapshot.next_sequence);
    packer.pack(snapshot.last_timestamp);
    packer.pack_array(static_cast<std::uint32_t>(snapshot.blocks.size() * kBlockFields));
    for (const auto& block : snapshot.blocks) {
        packer.pack(block.hash);
        packer.pack(block.parent_key);
        packer.pack(block.key);
        packer.pack(block.tokens);
        packer.pack(block.length);
    }
    return encode_sequence(XXH3_64bits(buffer.data(), buffer.size())) +
           std::string(buffer.data(), buffer.size());
}

tl::expected<Snapshot, DecodeError> decode_snapshot(std::string_view bytes, std::size_t max_blocks) {
    if (bytes.size() < kChecksumBytes) return error(Kind::malformed, "shorter than its checksum");
    if (bytes.size() > kMaxHeaderBytes + max_blocks * kMaxBlockBytes)
        return error(Kind::too_large, "exceeds the size limit");
    const auto checksum = decode_sequence(bytes.substr(0, kChecksumBytes));
    bytes.remove_prefix(kChecksumBytes);
    if (*checksum != XXH3_64bits(bytes.data(), bytes.size()))
        return error(Kind::damaged, "checksum mismatch");
    try {
        std::size_t used = 0;
        const auto max_array = std::max<std::size_t>(max_blocks * kBlockFields, kSnapshotFields);
        const msgpack::unpack_limit bounds(max_array, 0, kMaxHeaderBytes, 0, 0, kMaxDepth);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, bounds);
        if (used != bytes.size()) return error(Kind::malformed, "trailing bytes after its end");
        return as_snapshot(handle.get());
    } catch (const std::exception& exception) {
        // Thrown by msgpack for an invalid encoding, an exceeded limit or a field of a wrong type.
        return error(Kind::malformed, exception.what());
    }
}

}  // namespace chalksail::prefix
