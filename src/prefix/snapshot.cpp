#include "prefix/snapshot.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>
#include <limits>
#include <msgpack.hpp>

namespace chalksail::prefix {
namespace {

constexpr std::uint32_t kFields = 5;       // of a block
constexpr std::size_t kBlockBytes = 64;    // at most, of one
constexpr std::size_t kHeadBytes = 4'096;  // of the rest

}  // namespace

std::string encode(const Snapshot& s) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> p(buffer);
    p.pack_array(5);
    p.pack(kSnapshotVersion);
    p.pack(s.space);
    p.pack(s.next);
    p.pack(s.last_ts);
    p.pack_array(static_cast<std::uint32_t>(s.blocks.size() * kFields));
    for (const auto& b : s.blocks) {
        p.pack(b.hash);
        p.pack(b.parent);
        p.pack(b.key);
        p.pack(b.tokens);
        p.pack(b.length);
    }
    return encode_sequence(XXH3_64bits(buffer.data(), buffer.size())) +
           std::string(buffer.data(), buffer.size());
}

tl::expected<Snapshot, std::string> decode_snapshot(std::string_view bytes, std::size_t blocks_most) {
    const auto bad = [](const char* why) { return tl::unexpected(std::string("snapshot: ") + why); };
    if (bytes.size() < 8 || bytes.size() > kHeadBytes + blocks_most * kBlockBytes)
        return bad("of a wrong size");
    const auto sum = decode_sequence(bytes.substr(0, 8));
    bytes.remove_prefix(8);
    if (*sum != XXH3_64bits(bytes.data(), bytes.size())) return bad("damaged");
    try {
        std::size_t used = 0;
        const std::size_t most = std::max<std::size_t>(blocks_most * kFields, 5);
        const msgpack::unpack_limit bounds(most, 0, kHeadBytes, 0, 0, 3);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, bounds);
        const auto& o = handle.get();
        if (used != bytes.size() || o.type != msgpack::type::ARRAY || o.via.array.size != 5)
            return bad("not one of ours");
        const auto* top = o.via.array.ptr;
        if (top[0].as<std::uint64_t>() != kSnapshotVersion) return bad("of another version");
        Snapshot out;
        out.space = top[1].as<std::string>();
        out.next = top[2].as<std::uint64_t>();
        out.last_ts = top[3].as<double>();
        if (out.next == 0 || !std::isfinite(out.last_ts)) return bad("nothing was known then");
        if (top[4].type != msgpack::type::ARRAY || top[4].via.array.size % kFields != 0)
            return bad("its blocks are cut short");
        const auto& all = top[4].via.array;
        for (std::uint32_t i = 0; i < all.size; i += kFields) {
            Index::KeptBlock b;
            b.hash = all.ptr[i].as<std::uint64_t>();
            b.parent = all.ptr[i + 1].as<std::uint64_t>();
            b.key = all.ptr[i + 2].as<std::uint64_t>();
            b.tokens = all.ptr[i + 3].as<std::uint32_t>();
            b.length = all.ptr[i + 4].as<std::uint16_t>();
            out.blocks.push_back(b);
        }
        return out;
    } catch (const std::exception& error) {  // the library's: no msgpack, over a limit, or of another type
        return bad(error.what());
    }
}

}  // namespace chalksail::prefix
