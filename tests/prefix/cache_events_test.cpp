// Tests the decoding of vLLM's event batches and the error for each kind of malformed batch.
#include "prefix/cache_events.hpp"

#include <gtest/gtest.h>

namespace chalksail::prefix {
namespace {

using namespace std::string_literals;

TEST(CacheEvents, RoundTrip) {
    Batch batch;
    batch.timestamp = 12.5;
    batch.events.emplace_back(BlockStored{{1, 0xfedcba9876543210}, 7, {1, 2, 3, 4}, 2, false});
    batch.events.emplace_back(BlockStored{{3}, std::nullopt, {9}, 1, true});
    batch.events.emplace_back(BlockRemoved{{1}});
    batch.events.emplace_back(AllBlocksCleared{});
    const auto out = decode(encode(batch));
    ASSERT_TRUE(out) << out.error().text;
    EXPECT_EQ(out->timestamp, 12.5);
    ASSERT_EQ(out->events.size(), 4U);
    const auto& s = std::get<BlockStored>(out->events[0]);
    EXPECT_EQ(s.blocks, (std::vector<EngineHash>{1, 0xfedcba9876543210}));
    EXPECT_EQ(s.parent, 7U);
    EXPECT_EQ(s.tokens, (std::vector<Token>{1, 2, 3, 4}));
    EXPECT_TRUE(std::get<BlockStored>(out->events[1]).uses_adapter);
    EXPECT_FALSE(std::get<BlockStored>(out->events[1]).parent);
    EXPECT_EQ(std::get<BlockRemoved>(out->events[2]).blocks, std::vector<EngineHash>{1});
}

// Bytes as vLLM's encoder writes them, with array-like structs, byte-string hashes and fields of later
// versions.
TEST(CacheEvents, DecodesOutputOfVllmEncoder) {
    const std::string bytes =
        "\x93\xcb\x40\x29\x00\x00\x00\x00\x00\x00"  // [12.5,
        "\x92"                                      // [
        "\x97\xab"
        "BlockStored"
        "\x91\xc4\x02"
        "ab"
        "\xc0"  //  ["BlockStored", [b"ab"], nil,
        "\x92\x05\x06\x02\xc0\xa3"
        "GPU"  //   [5, 6], 2, nil, "GPU"],
        "\x92\xa9"
        "Surprises\x01"  //  ["Surprises", 1]
        "\x00"s;         // ], 0]
    const auto out = decode(bytes);
    ASSERT_TRUE(out) << out.error().text;
    ASSERT_EQ(out->events.size(), 1U);
    EXPECT_EQ(out->unknown_events, 1U);
    EXPECT_EQ(std::get<BlockStored>(out->events[0]).tokens, (std::vector<Token>{5, 6}));
}

TEST(CacheEvents, RejectsMalformedBatches) {
    const std::pair<std::string, std::string> all[] = {
        {"", "batch"},
        {"\xc1", "batch"},      // byte that msgpack never uses
        {"\x93\x01", "batch"},  // truncated
        {"\x01", "batch: not an array"},
        {"\x92\x01\x90\x00"s, "trailing bytes after its end"},
        {"\x92\xa1x\x90", "timestamp is not a number"},
        {"\x92\x01\x91\x90", "event: too few elements"},
        {"\x92\x01\x91\x91\x01", "event: name is not a string"},
        {"\x92\x01\x91\x92\xac"
         "BlockRemoved\x91\xcb\x40\x29\x00\x00\x00\x00\x00\x00"s,
         "block hash"},
        {"\x92\x01\x91\x91\xac"
         "BlockRemoved",
         "BlockRemoved: fewer than 2 fields"},
        {"\x92\x01\x91\x95\xab"
         "BlockStored\x91\x01\xc0\x91\x05\x00"s,
         "block size"},
        {"\x92\x01\x91\x95\xab"
         "BlockStored\x91\x01\xc0\x91\x05\x02",
         "token count does not match"},
        {"\x92\x01\x91\x95\xab"
         "BlockStored\x91\x01\xc0\x91\xff\x01",
         "token id"},
        {"\xdd\xff\xff\xff\xff", "batch"},             // array header that declares 4 billion elements
        {std::string(100, '\x91') + '\x90', "batch"},  // nested too deeply
    };
    for (const auto& [bytes, message] : all) {
        const auto out = decode(bytes);
        ASSERT_FALSE(out) << message;
        EXPECT_NE(out.error().text.find(message), std::string::npos)
            << out.error().text << " for " << message;
        EXPECT_EQ(out.error().kind, DecodeError::Kind::malformed) << message;
    }
    DecodeLimits limits;
    limits.max_bytes = 10;
    EXPECT_EQ(decode(encode({1, {BlockRemoved{{1, 2, 3}}}, 0}), limits).error().kind,
              DecodeError::Kind::too_large);
    limits = {};
    limits.max_events = 1;
    EXPECT_EQ(decode(encode({1, {AllBlocksCleared{}, AllBlocksCleared{}}, 0}), limits).error().kind,
              DecodeError::Kind::too_large);
}

TEST(CacheEvents, SequenceNumberRoundTrip) {
    EXPECT_EQ(decode_sequence(encode_sequence(0x0102030405060708)), 0x0102030405060708U);
    EXPECT_EQ(encode_sequence(1), "\0\0\0\0\0\0\0\1"s);
    EXPECT_FALSE(decode_sequence("short"));
}

}  // namespace
}  // namespace chalksail::prefix
