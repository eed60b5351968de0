// What a run's account says of records that are made by hand.
#include "checker/account.hpp"

#include <gtest/gtest.h>

#include "lab/scenarios.hpp"

namespace chalksail::lab {
namespace {

using std::chrono::milliseconds;

Record record(What what, const std::string& request, Duration at, const std::string& fate = "") {
    Record r;
    r.what = what;
    r.request = request;
    r.at = Time(at);
    r.fate = fate;
    r.server = "s";
    if (what == What::asked) {
        r.cls = "c";
        r.aim = milliseconds(500);
    }
    return r;
}

TEST(Account, WorthIsWholeInTimeAndPartAfterTheAim) {
    RequestClassSettings c;
    c.name = "c";
    c.priority_weight = 3;
    c.late_weight_factor = 0.2;
    Account a({c}, Time{});
    for (const char* id : {"intime", "late", "refused", "gone", "open"})
        a.add(record(What::asked, id, milliseconds(100)));
    a.add(record(What::taken, "intime", milliseconds(110)));
    a.add(record(What::ended, "intime", milliseconds(200), "done"));
    a.add(record(What::taken, "intime", milliseconds(210)));
    a.add(record(What::first, "intime", milliseconds(600)));
    a.add(record(What::ended, "intime", milliseconds(2900), "done"));
    a.add(record(What::answered, "intime", milliseconds(3000), "served"));
    a.add(record(What::taken, "late", milliseconds(1300)));
    a.add(record(What::ended, "late", milliseconds(1400), "not_run"));
    a.add(record(What::first, "late", milliseconds(1601)));
    a.add(record(What::answered, "late", milliseconds(1700), "served"));
    a.add(record(What::answered, "refused", milliseconds(700), "refused"));
    a.add(record(What::hung_up, "gone", milliseconds(700)));
    const auto& all = a.all();
    EXPECT_EQ(all.asked, 5U);
    EXPECT_EQ(all.served, 2U);
    EXPECT_EQ(all.in_time, 1U);
    EXPECT_EQ(all.refused, 1U);
    EXPECT_EQ(all.gone, 1U);
    EXPECT_DOUBLE_EQ(all.worth_share(), (3 + 0.6) / 15);
    EXPECT_EQ(a.by_class().at("c").asked, 5U);
    EXPECT_NEAR(a.first_token_ms().quantile(0.5), 500, 6);
    EXPECT_NEAR(a.first_token_ms().quantile(1), 1501, 16);
    EXPECT_EQ(a.attempts(), 3U);
    EXPECT_DOUBLE_EQ(a.waste(), 1.0 / 3);
    EXPECT_EQ(a.servers().at("s").not_run, 1U);
    ASSERT_EQ(a.servers().at("s").by_second.size(), 2U);
    EXPECT_EQ(a.servers().at("s").by_second[0], 2U);
    EXPECT_EQ(a.seconds().at(0).counts.served, 2U);  // both were asked in it
}

TEST(Scenario, ItsSizeCanBeChanged) {
    const auto small = scenario("", 1);
    const auto large = resized(small, 90, 7);
    EXPECT_EQ(large.engines.size(), 90U);
    EXPECT_EQ(large.edges, 7);
    EXPECT_EQ(large.clients, 360);
    EXPECT_EQ(large.engines.back().name, "decode-50");
    EXPECT_EQ(resized(small, 1, 1).engines.size(), 2U);  // one of each group
    const auto named = scenario(R"(troubles { crash at="1s" for="1s" server="decode-5"; })", 1);
    EXPECT_THROW((void)resized(named, 2, 1), std::invalid_argument);
}

}  // namespace
}  // namespace chalksail::lab
