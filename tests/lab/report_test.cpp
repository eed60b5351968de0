// The report's page shows the account's figures, marks the troubles, and escapes what people wrote.
#include "report/report.hpp"

#include <gtest/gtest.h>

#include "lab/scenarios.hpp"
#include "simulation/simulation.hpp"

namespace chalksail::lab {
namespace {

std::size_t count(const std::string& text, const std::string& what) {
    std::size_t out = 0;
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++out;
    return out;
}

TEST(Report, ShowsTheDay) {
    auto s = scenario(R"(name "a <b> day"
        troubles { crash at="1s" for="2s" server="decode-2"; give_up at="0s" for="6s" part=0.1; })",
                      3);
    s.length = std::chrono::seconds(6);
    Simulation day(s);
    Account account(s.edge.router.classes, day.begin());
    day.watch([&](const Record& r) { account.add(r); });
    auto rule_report = day.run();
    const auto page = html_report(s, account, rule_report, true);
    EXPECT_EQ(count(page, "<b>"), 0U);
    EXPECT_GT(count(page, "a &lt;b&gt; day"), 0U);
    EXPECT_EQ(count(page, "Simulated"), 1U);
    EXPECT_EQ(count(page, "The five rules were kept."), 1U);
    EXPECT_EQ(count(page, "class=\"trouble\""), 2U * 4);  // in each plot
    EXPECT_EQ(count(page, "<tr><td>decode-2</td>"), 1U);
    const auto& all = account.all();
    EXPECT_EQ(count(page, "<tr><td>all</td><td>" + std::to_string(all.requests) + "</td><td>" +
                              std::to_string(all.served) + "</td>"),
              1U);
    EXPECT_EQ(count(page, "{{"), 0U);
    EXPECT_EQ(count(page, "nan"), 0U);

    rule_report.breaches.push_back({2, Time{}, "c1", "s", "a breach"});
    const auto broken = html_report(s, account, rule_report, false);
    EXPECT_EQ(count(broken, "a breach"), 1U);
    EXPECT_EQ(count(broken, "The five rules were kept."), 0U);
    EXPECT_EQ(count(broken, "Simulated"), 0U);
}

}  // namespace
}  // namespace chalksail::lab
