// What a run's account says of records that are made by hand.
#include "checker/account.hpp"

#include <gtest/gtest.h>

#include "lab/scenarios.hpp"

namespace chalksail::lab {
namespace {

using std::chrono::milliseconds;

Record record(RecordKind what, const std::string& request, Duration at, const std::string& termination = "") {
    Record r;
    r.kind = what;
    r.request = request;
    r.at = Time(at);
    r.termination = termination;
    r.server = "s";
    if (what == RecordKind::requested) {
        r.cls = "c";
        r.first_token_objective = milliseconds(500);
    }
    return r;
}

TEST(Account, WeightIsFullInTimeAndReducedAfterTheObjective) {
    RequestClassSettings c;
    c.name = "c";
    c.priority_weight = 3;
    c.late_weight_factor = 0.2;
    Account a({c}, Time{});
    for (const char* id : {"intime", "late", "refused", "gone", "open"})
        a.add(record(RecordKind::requested, id, milliseconds(100)));
    a.add(record(RecordKind::taken, "intime", milliseconds(110)));
    a.add(record(RecordKind::ended, "intime", milliseconds(200), "done"));
    a.add(record(RecordKind::taken, "intime", milliseconds(210)));
    a.add(record(RecordKind::first, "intime", milliseconds(600)));
    a.add(record(RecordKind::ended, "intime", milliseconds(2900), "done"));
    a.add(record(RecordKind::answered, "intime", milliseconds(3000), "served"));
    a.add(record(RecordKind::taken, "late", milliseconds(1300)));
    a.add(record(RecordKind::ended, "late", milliseconds(1400), "not_run"));
    a.add(record(RecordKind::first, "late", milliseconds(1601)));
    a.add(record(RecordKind::answered, "late", milliseconds(1700), "served"));
    a.add(record(RecordKind::answered, "refused", milliseconds(700), "refused"));
    a.add(record(RecordKind::client_disconnected, "gone", milliseconds(700)));
    const auto& all = a.all();
    EXPECT_EQ(all.requests, 5U);
    EXPECT_EQ(all.served, 2U);
    EXPECT_EQ(all.in_time, 1U);
    EXPECT_EQ(all.refused, 1U);
    EXPECT_EQ(all.disconnected, 1U);
    EXPECT_DOUBLE_EQ(all.weight_share(), (3 + 0.6) / 15);
    EXPECT_EQ(a.by_class().at("c").requests, 5U);
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
