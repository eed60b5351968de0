// Conversion of token ids to text, and rendering of prompts by the model's template.
#include "engine/vocabulary.hpp"

#include <gtest/gtest.h>

namespace chalksail::engine {
namespace {

std::string text(const Vocabulary& v, std::initializer_list<std::uint32_t> tokens) {
    std::string out;
    for (const auto t : tokens)
        if (!v.text(t, out)) out += "(?)";
    return out;
}

// In the byte-level alphabet a space is U+0120, a line break U+010A, and the bytes of "é" U+00C3 and U+00A9.
TEST(Vocabulary, ByteLevel) {
    const auto v = Vocabulary::parse(
        "{\"added_tokens\":[{\"id\":6,\"content\":\"<|im_end|>\"}],\"decoder\":{\"type\":\"ByteLevel\"},"
        "\"model\":{\"type\":\"BPE\",\"vocab\":{\"hello\":0,\"\xc4\xa0world\":1,\"\xc4\x8a\":2,"
        "\"caf\xc3\x83\xc2\xa9\":3,\"\xc3\x83\":4,\"\xe2\x82\xac\":5}}}");
    ASSERT_TRUE(v) << v.error();
    EXPECT_EQ(v->size(), 7U);
    EXPECT_EQ(text(*v, {0, 1, 2, 3, 6}), "hello world\ncaf\xc3\xa9<|im_end|>");
    EXPECT_EQ(text(*v, {4}), "\xc3");          // half of a character, as tokens may split characters
    EXPECT_EQ(text(*v, {5}), "\xe2\x82\xac");  // not in the byte table: its text as written
    EXPECT_EQ(text(*v, {7, 4'000'000}), "(?)(?)");
}

TEST(Vocabulary, SentencePiece) {
    const auto v = Vocabulary::parse(
        "{\"model\":{\"vocab\":{\"\xe2\x96\x81the\":3,\"<0x0A>\":4,\"<0xZZ>\":5,\"s\":6}}}");
    ASSERT_TRUE(v) << v.error();
    EXPECT_EQ(text(*v, {3, 6, 4, 5}), " thes\n<0xZZ>");
    EXPECT_EQ(text(*v, {0}), "(?)");
}

TEST(Vocabulary, InvalidFilesAreRejectedWithAnError) {
    for (const auto* bad : {"", "[]", "{}", R"({"model":{"vocab":[]}})", R"({"model":{"vocab":{}}})",
                            R"({"model":{"vocab":{"a":-1}}})", R"({"model":{"vocab":{"a":99999999}}})",
                            R"({"model":{"vocab":{"a":1}},"added_tokens":[{"id":2}]})"}) {
        const auto v = Vocabulary::parse(bad);
        ASSERT_FALSE(v) << bad;
        EXPECT_TRUE(v.error().starts_with("tokenizer: ")) << bad;
    }
}

TEST(PromptTemplate, RendersUpToTheFirstUnknownText) {
    const PromptTemplate chatml{"<s>", "<|im_start|>{role}\n{content}<|im_end|>\n"};
    EXPECT_EQ(
        prompt_text(R"([{"role":"system","content":"Be {role}."},{"role":"user","content":"Hi"}])", chatml),
        "<s><|im_start|>system\nBe {role}.<|im_end|>\n<|im_start|>user\nHi<|im_end|>\n");
    EXPECT_EQ(
        prompt_text(R"([{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}])",
                    {"", "{content};"}),
        "ab;");
    // The text after an image or a tool call is unknown.
    EXPECT_EQ(prompt_text(R"([{"role":"user","content":"a"},{"role":"user","content":[{"type":"image_url"}]},
                              {"role":"user","content":"b"}])",
                          {"", "{content};"}),
              "a;");
    EXPECT_EQ(prompt_text(R"([{"role":"assistant","content":"a","tool_calls":[{}]}])", {"", "{content};"}),
              "");
    EXPECT_EQ(prompt_text("{}", chatml), "");
    EXPECT_EQ(prompt_text("[1]", chatml), "<s>");
}

}  // namespace
}  // namespace chalksail::engine
