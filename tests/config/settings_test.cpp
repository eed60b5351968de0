// Tests the settings' schema: defaults, rejected settings, and the positions and suggestions of problems.
#include "config/settings.hpp"

#include <gtest/gtest.h>

namespace chalksail::config {
namespace {

constexpr const char* kMinimal = R"(
class "chat" { aim "1s"; deadline "4s"; }
kind "r" { role "prefill"; }
)";

std::string problems(const std::string& text) {
    const auto out = parse_settings(text, "edge.kdl");
    std::string all;
    if (!out)
        for (const auto& p : out.error()) all += format(p) + "\n";
    return all;
}

TEST(Settings, MinimalFileHasDefaults) {
    const auto out = parse_settings(kMinimal, "f");
    ASSERT_TRUE(out);
    EXPECT_EQ(out->router.max_attempts, 4);
    EXPECT_EQ(out->listen.host, "127.0.0.1");
    EXPECT_EQ(out->limits.body_bytes, 8U * 1024 * 1024);
}

TEST(Settings, UnknownNamesAreRejectedWithPositionAndSuggestion) {
    const auto reported =
        problems(std::string(kMinimal) + "limits {\n  dial-queu 5\n}\nsever \"x\" kind=\"r\"\n");
    EXPECT_NE(
        reported.find("edge.kdl:5:3: unknown setting 'dial-queu' in 'limits'; did you mean 'dial-queue'?"),
        std::string::npos)
        << reported;
    EXPECT_NE(reported.find("edge.kdl:7:1: unknown setting 'sever' in the settings; did you mean 'server'?"),
              std::string::npos)
        << reported;
}

TEST(Settings, AllProblemsAreReportedAtOnce) {
    const auto reported = problems(R"(
class "chat" { aim "5s"; deadline "4s"; effect "twice"; when is="x"; }
class "chat" { deadline "4s"; }
kind "r" { role "reader"; }
server "a" kind="q" address="nowhere:80"
server "a" kind="r" address="127.0.0.1:80" color="red"
tick 4
rules { tick "fast"; max-attempts 0; }
)");
    for (const char* wanted :
         {"'aim' must be above 0 and at most 'deadline'", "'effect' must be one of: repeatable by-key once",
          "'when' must have", "'is' requires", "needs 'aim'", "class 'chat' is given twice",
          "'role' must be one of", "unknown kind 'q'", "needs address=", "server 'a' is given twice",
          "has no property 'color'", "unknown setting 'tick'", "a duration such as", "from 1 to 16"})
        EXPECT_NE(reported.find(wanted), std::string::npos) << wanted << " in\n" << reported;
}

TEST(Settings, EmptyFileReportsMissingRequiredSettings) {
    const auto reported = problems("");
    EXPECT_NE(reported.find("need a 'class'"), std::string::npos);
    EXPECT_NE(reported.find("need a 'kind'"), std::string::npos);
}

TEST(Settings, UnitsAreValidated) {
    EXPECT_EQ(parse_duration("1.5s"), std::chrono::milliseconds(1500));
    EXPECT_EQ(parse_duration("250us"), std::chrono::microseconds(250));
    for (const char* bad : {"", "5", "s", "-1s", "1e3s", "nans", "infs", "99999999h", "5 s"})
        EXPECT_FALSE(parse_duration(bad)) << bad;
    EXPECT_EQ(parse_size("2KiB"), 2048U);
    for (const char* bad : {"", "KiB", "-1", "5kb", "1e30"}) EXPECT_FALSE(parse_size(bad)) << bad;
    EXPECT_TRUE(parse_address("[::1]:80"));
    for (const char* bad :
         {"", "localhost:80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:70000", "[::1]", ":80", "1.2.3:80"})
        EXPECT_FALSE(parse_address(bad)) << bad;
}

}  // namespace
}  // namespace chalksail::config
