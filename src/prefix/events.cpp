#include "prefix/events.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <limits>
#include <msgpack.hpp>
#include <stdexcept>

namespace chalksail::prefix {
namespace {

constexpr std::size_t kDepth = 8;

struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

const msgpack::object_array& array(const msgpack::object& o, const char* what, std::size_t least = 0) {
    if (o.type != msgpack::type::ARRAY) throw Bad(std::string(what) + ": not an array");
    if (o.via.array.size < least) throw Bad(std::string(what) + ": too short");
    return o.via.array;
}

EngineHash hash(const msgpack::object& o) {
    switch (o.type) {
        case msgpack::type::POSITIVE_INTEGER: return o.via.u64;
        case msgpack::type::NEGATIVE_INTEGER: return static_cast<EngineHash>(o.via.i64);
        case msgpack::type::BIN: return XXH3_64bits(o.via.bin.ptr, o.via.bin.size);
        case msgpack::type::STR: return XXH3_64bits(o.via.str.ptr, o.via.str.size);
        default: throw Bad("block hash: neither a whole number nor bytes");
    }
}
std::vector<EngineHash> hashes(const msgpack::object& o) {
    const auto& all = array(o, "block hashes");
    std::vector<EngineHash> out;
    out.reserve(all.size);
    for (std::uint32_t i = 0; i < all.size; ++i) out.push_back(hash(all.ptr[i]));
    return out;
}

BlockStored stored(const msgpack::object_array& e) {
    if (e.size < 5) throw Bad("BlockStored: too short");
    BlockStored out;
    out.blocks = hashes(e.ptr[1]);
    if (e.ptr[2].type != msgpack::type::NIL) out.parent = hash(e.ptr[2]);
    const auto& tokens = array(e.ptr[3], "token ids");
    out.tokens.reserve(tokens.size);
    for (std::uint32_t i = 0; i < tokens.size; ++i) {
        const auto& t = tokens.ptr[i];
        if (t.type != msgpack::type::POSITIVE_INTEGER || t.via.u64 > std::numeric_limits<Token>::max())
            throw Bad("token id: not a whole number of 32 bits");
        out.tokens.push_back(static_cast<Token>(t.via.u64));
    }
    if (e.ptr[4].type != msgpack::type::POSITIVE_INTEGER || e.ptr[4].via.u64 == 0 ||
        e.ptr[4].via.u64 > 65'536)
        throw Bad("block size: not from 1 to 65536");
    out.block_size = static_cast<std::size_t>(e.ptr[4].via.u64);
    if (out.tokens.size() != out.blocks.size() * out.block_size)
        throw Bad("BlockStored: tokens do not fill its blocks");
    out.adapted = e.size > 5 && e.ptr[5].type != msgpack::type::NIL;
    return out;
}

}  // namespace

tl::expected<Batch, std::string> decode(std::string_view payload, const DecodeLimits& limits) {
    if (payload.size() > limits.bytes) return tl::unexpected(std::string("batch: too large"));
    try {
        std::size_t used = 0;
        const msgpack::unpack_limit bounds(std::max(limits.array, limits.events), 64, limits.bytes,
                                           limits.bytes, 0, kDepth);
        const auto handle = msgpack::unpack(payload.data(), payload.size(), used, nullptr, nullptr, bounds);
        if (used != payload.size()) return tl::unexpected(std::string("batch: bytes after its end"));
        const auto& top = array(handle.get(), "batch", 2);
        Batch out;
        const auto& ts = top.ptr[0];
        if (ts.type != msgpack::type::FLOAT64 && ts.type != msgpack::type::FLOAT32 &&
            ts.type != msgpack::type::POSITIVE_INTEGER)
            throw Bad("batch: no time");
        out.ts = ts.as<double>();
        const auto& events = array(top.ptr[1], "events");
        if (events.size > limits.events) throw Bad("events: too many");
        for (std::uint32_t i = 0; i < events.size; ++i) {
            const auto& e = array(events.ptr[i], "event", 1);
            if (e.ptr[0].type != msgpack::type::STR) throw Bad("event: no name");
            const std::string_view name(e.ptr[0].via.str.ptr, e.ptr[0].via.str.size);
            if (name == "BlockStored") out.events.emplace_back(stored(e));
            else if (name == "BlockRemoved" && e.size >= 2)
                out.events.emplace_back(BlockRemoved{hashes(e.ptr[1])});
            else if (name == "BlockRemoved") throw Bad("BlockRemoved: too short");
            else if (name == "AllBlocksCleared") out.events.emplace_back(AllBlocksCleared{});
            else out.unknown += 1;
        }
        return out;
    } catch (const Bad& bad) {
        return tl::unexpected(std::string(bad.what()));
    } catch (const std::exception& error) {  // the library's: no msgpack, or over a limit
        return tl::unexpected(std::string("batch: ") + error.what());
    }
}

std::string encode(const Batch& batch) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> p(buffer);
    const auto whole = [&](const auto& all) {
        p.pack_array(static_cast<std::uint32_t>(all.size()));
        for (const auto x : all) p.pack(x);
    };
    p.pack_array(3);
    p.pack(batch.ts);
    p.pack_array(static_cast<std::uint32_t>(batch.events.size()));
    for (const auto& event : batch.events) {
        if (const auto* s = std::get_if<BlockStored>(&event)) {
            p.pack_array(6);
            p.pack("BlockStored");
            whole(s->blocks);
            if (s->parent) p.pack(*s->parent);
            else p.pack_nil();
            whole(s->tokens);
            p.pack(s->block_size);
            if (s->adapted) p.pack(1);
            else p.pack_nil();
        } else if (const auto* r = std::get_if<BlockRemoved>(&event)) {
            p.pack_array(2);
            p.pack("BlockRemoved");
            whole(r->blocks);
        } else {
            p.pack_array(1);
            p.pack("AllBlocksCleared");
        }
    }
    p.pack_nil();
    return {buffer.data(), buffer.size()};
}

std::optional<std::uint64_t> decode_sequence(std::string_view bytes) {
    if (bytes.size() != 8) return std::nullopt;
    std::uint64_t out = 0;
    for (const char c : bytes) out = out << 8U | static_cast<unsigned char>(c);
    return out;
}
std::string encode_sequence(std::uint64_t sequence) {
    std::string out(8, '\0');
    for (std::size_t i = 0; i < 8; ++i) out[i] = static_cast<char>(sequence >> (56 - 8 * i));
    return out;
}

}  // namespace chalksail::prefix
