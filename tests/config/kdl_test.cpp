// Tests the KDL 2 parser: corner cases of the grammar, and the positions of errors.
#include "config/kdl/kdl.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>

namespace chalksail::kdl {
namespace {

Document good(std::string_view text) {
    auto out = parse(text);
    EXPECT_TRUE(out) << text << ": " << (out ? "" : out.error().text);
    return out ? *out : Document{};
}
Scalar value(const std::string& text) {
    const auto d = good("n " + text);
    if (d.nodes.size() != 1 || d.nodes[0].arguments.size() != 1) {
        ADD_FAILURE() << text;
        return Null{};
    }
    return d.nodes[0].arguments[0].scalar;
}
std::string fails(std::string_view text) {
    auto out = parse(text);
    EXPECT_FALSE(out) << text;
    return out ? ""
               : std::to_string(out.error().position.line) + ":" +
                     std::to_string(out.error().position.column) + " " + out.error().text;
}

TEST(Kdl, NodesArgumentsPropertiesChildren) {
    const auto d = good("a 1 x=2 \"three\" y = #true { b; c { d } }; e");
    ASSERT_EQ(d.nodes.size(), 2U);
    const Node& a = d.nodes[0];
    EXPECT_EQ(a.arguments.size(), 2U);
    EXPECT_EQ(std::get<std::int64_t>(a.properties[0].value.scalar), 2);
    EXPECT_EQ(a.properties[1].name, "y");
    EXPECT_EQ(std::get<bool>(a.properties[1].value.scalar), true);
    ASSERT_EQ(a.children.size(), 2U);
    EXPECT_EQ(a.children[1].children[0].name, "d");
    EXPECT_EQ(d.nodes[1].name, "e");
}

TEST(Kdl, Numbers) {
    EXPECT_EQ(std::get<std::int64_t>(value("1_000")), 1000);
    EXPECT_EQ(std::get<std::int64_t>(value("-0xFf")), -255);
    EXPECT_EQ(std::get<std::int64_t>(value("0o17")), 15);
    EXPECT_EQ(std::get<std::int64_t>(value("+0b1_01")), 5);
    EXPECT_EQ(std::get<double>(value("-1.5e+2")), -150);
    EXPECT_EQ(std::get<std::int64_t>(value("-9223372036854775808")), INT64_MIN);
    EXPECT_TRUE(std::isnan(std::get<double>(value("#nan"))));
    EXPECT_EQ(std::get<double>(value("#-inf")), -INFINITY);
    for (const char* bad :
         {"1.", "1__x", "0x", "0xg", "1e", "1.5.2", "99999999999999999999", "1e999", "_1x\" "})
        fails(std::string("n ") + bad);
}

TEST(Kdl, Strings) {
    EXPECT_EQ(std::get<std::string>(value(R"("a\n\t\"\\\s\u{1F600}b")")),
              "a\n\t\"\\ \xF0\x9F\x98\x80"
              "b");
    EXPECT_EQ(std::get<std::string>(value("\"a\\   \n   b\"")), "ab");
    EXPECT_EQ(std::get<std::string>(value(R"(#"a\n"b"#)")), "a\\n\"b");
    EXPECT_EQ(std::get<std::string>(value("##\"x\"#y\"##")), "x\"#y");
    EXPECT_EQ(std::get<std::string>(value("bare-word")), "bare-word");
    EXPECT_EQ(std::get<std::string>(value("\"\"\"\n    one\n      two\n\n    \"\"\"")), "one\n  two\n");
    EXPECT_EQ(std::get<std::string>(value("#\"\"\"\n  a\\n\"b\n  \"\"\"#")), "a\\n\"b");
}

TEST(Kdl, CommentsAndSlashdash) {
    const auto d = good(
        "/* a /* nested */ */ n /-1 2 /-x=3 /-{ gone } { kept } // end\n/-m 1 { x }\nlast \\ // goes on\n 5");
    ASSERT_EQ(d.nodes.size(), 2U);
    EXPECT_EQ(d.nodes[0].arguments.size(), 1U);
    EXPECT_TRUE(d.nodes[0].properties.empty());
    EXPECT_EQ(d.nodes[0].children[0].name, "kept");
    EXPECT_EQ(std::get<std::int64_t>(d.nodes[1].arguments[0].scalar), 5);
}

TEST(Kdl, TypesAndLastPropertyWins) {
    const auto d = good("(t)n (u8)1 a=1 a=(f)2.5");
    EXPECT_EQ(d.nodes[0].type, "t");
    EXPECT_EQ(d.nodes[0].arguments[0].type, "u8");
    ASSERT_EQ(d.nodes[0].properties.size(), 1U);
    EXPECT_EQ(d.nodes[0].properties[0].value.type, "f");
}

TEST(Kdl, ErrorsHaveAPosition) {
    EXPECT_EQ(fails("a\nb {\n  c \"x\n}").substr(0, 4), "3:7 ");
    EXPECT_EQ(fails("n true").substr(0, 4), "1:3 ");
    EXPECT_EQ(fails("é }").substr(0, 4), "1:3 ");  // columns count characters, not bytes
    for (const char* bad :
         {"}", "a {", "n \"open", "n #\"open\"", "/* open", "n \"\\q\"", "n #maybe", "n a=", "n 1 { } 2",
          "n\"x\" \"y\"z", "1a", "n \"\\u{110000}\"", "n \"\\u{d800}\"", "\xff", "n \xc0\x80",
          "n \"\"\"x\n\"\"\"", "n \"\"\"\n a\n  \"\"\"", "(n", "n /-"})
        fails(bad);
    std::string deep;
    for (int i = 0; i < 100; ++i) deep += "a {";
    EXPECT_NE(fails(deep).find("deep"), std::string::npos);
}

TEST(Kdl, QuotedTextRoundTrips) {
    EXPECT_TRUE(rc::check("quote then parse", [](const std::vector<unsigned char>& raw) {
        std::string text;
        for (const auto c : raw) text += static_cast<char>(c % 0x7f);
        for (auto& c : text)
            if (c == 0 || (c < 0x20 && c != '\n' && c != '\t')) c = ' ';
        const auto d = parse("n " + quote(text));
        RC_ASSERT(d.has_value());
        RC_ASSERT(std::get<std::string>(d->nodes.at(0).arguments.at(0).scalar) == text);
    }));
}

TEST(Kdl, NodesHaveTheTextRangeOfTheirChildren) {
    const std::string text = "a { b 1; c }";
    const auto d = good(text);
    EXPECT_EQ(text.substr(d.nodes[0].children_begin, d.nodes[0].children_end - d.nodes[0].children_begin),
              " b 1; c ");
}

}  // namespace
}  // namespace chalksail::kdl
