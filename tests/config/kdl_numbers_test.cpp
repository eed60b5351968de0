// Tests the parser of KDL numbers: parsed values, and the error for malformed and out-of-range numbers.
#include <gtest/gtest.h>

#include "config/kdl/numbers.hpp"

namespace chalksail::kdl {
namespace {

TEST(KdlNumbers, MalformedAndOutOfRangeNumbersHaveDifferentErrors) {
    for (const char* text : {"1.", "0x", "0xg", "0b12", "1e", "1.5.2", "1._5", "+", "1._", "0x_1"}) {
        const auto number = parse_number(text);
        ASSERT_FALSE(number) << text;
        EXPECT_EQ(number.error(), NumberError::malformed) << text;
    }
    for (const char* text : {"9223372036854775808", "-9223372036854775809", "0xffffffffffffffffff"})
        EXPECT_EQ(parse_number(text).error(), NumberError::too_large) << text;
    EXPECT_EQ(parse_number("1e999").error(), NumberError::out_of_range);
}

TEST(KdlNumbers, LargestAndSmallestIntegersAreParsed) {
    EXPECT_EQ(std::get<std::int64_t>(parse_number("-9223372036854775808").value()), INT64_MIN);
    EXPECT_EQ(std::get<std::int64_t>(parse_number("9223372036854775807").value()), INT64_MAX);
    EXPECT_EQ(std::get<std::int64_t>(parse_number("0xff_ff").value()), 65'535);
    EXPECT_EQ(std::get<double>(parse_number("2E+3").value()), 2000);
}

}  // namespace
}  // namespace chalksail::kdl
