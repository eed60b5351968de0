// Totals and candidates that the router computes once for the whole fleet stay correct after each change of
// the fleet, and within a step.
#include <algorithm>
#include <set>

#include "fixture.hpp"
#include "policy/statistics.hpp"

namespace chalksail::testing {
namespace {

Endpoint warming_server(const Gateway& g, const std::string& id, const std::string& kind) {
    auto out = server(id, kind);
    out.started_at = g.now - 1s;
    return out;
}
// Serves requests at warm servers, so that slow start has an estimate of their capacity.
void serve_many(Gateway& g, std::uint64_t first, int count) {
    for (std::uint64_t id = first; id < first + static_cast<std::uint64_t>(count); ++id) {
        g.advance(20ms);
        g.arrive(id);
        const auto reader = g.sent_to();
        g.end(id, 0, reader, AttemptOutcome::prefilled);
        const auto writer = g.sent_to();
        g.begin_stream(id, 1, writer);
        g.end(id, 1, writer, AttemptOutcome::ok, true);
    }
}

// The budget of a warming server that the first request of a step uses is not available to the second.
TEST(CountedFleet, TwoRequestsOfOneStepDoNotShareAWarmingServersBudget) {
    Gateway g;
    g.list({warming_server(g, "r", "reader"), server("w", "writer")});
    g.step({Gateway::request(1), Gateway::request(2)});
    EXPECT_EQ(g.sent_to(), "r");
}

// The budget of a warming server depends on the warm servers. Once no warm server is left, the warming server
// gets no further request.
TEST(CountedFleet, SlowStartBudgetEndsWhenNoWarmServerIsLeft) {
    Gateway g;
    auto warm = server("warm", "reader");
    g.list({warm, server("w", "writer")});
    serve_many(g, 1, 100);
    g.list({warming_server(g, "cold", "reader")}, EndpointUpdateKind::delta);
    const auto arrive_alone = [&](std::uint64_t id) {
        auto request = Gateway::request(id);
        request.prefix.clear();  // ties go by session
        g.advance(4ms);
        g.step({request});
        return g.sent_to();
    };
    std::uint64_t id = 200;
    while (arrive_alone(++id) != "cold") ASSERT_LT(id, 300U);
    warm.state = EndpointState::draining;
    g.list({warm}, EndpointUpdateKind::delta);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(arrive_alone(++id), "");
}

// Once the list has no decode server in service, a request past its objective is rejected.
TEST(CountedFleet, DecodeServersAreCountedAgainAfterAnUpdate) {
    Gateway g;
    auto writer = server("w", "writer");
    g.list({server("r", "reader"), writer});
    writer.state = EndpointState::draining;
    g.list({writer}, EndpointUpdateKind::delta);
    auto reader = server("r", "reader");
    reader.state = EndpointState::draining;
    g.list({reader}, EndpointUpdateKind::delta);
    g.arrive(1);
    EXPECT_TRUE(g.all<Reject>().empty());
    g.advance(1001ms);  // its objective
    g.step();
    EXPECT_EQ(g.all<Reject>().size(), 1U);
}

// The prefill servers that cache a prefix are chosen from the current endpoint list.
TEST(CountedFleet, PrefixIsPrefilledAtTheServersOfTheNewList) {
    auto settings = plain_settings();
    settings.gateways = 100;
    Gateway g(settings);
    const std::string prefix = "text";
    std::vector<Endpoint> readers;
    for (int i = 0; i < 20; ++i) readers.push_back(server("r" + std::to_string(i), "reader"));
    std::sort(readers.begin(), readers.end(), [&](const auto& a, const auto& b) {
        return policy::hash_to_unit_interval(prefix, a.id.value) >
               policy::hash_to_unit_interval(prefix, b.id.value);
    });
    auto listed = readers;
    listed.push_back(server("w", "writer"));
    g.list(listed);
    serve_many(g, 1, 100);  // other prefixes, so that one arrival of this prefix is a small share
    const auto prefilled_at = [&](std::uint64_t id) {
        auto request = Gateway::request(id);
        request.prefix = prefix;
        g.advance(20ms);
        g.step({request});
        return g.sent_to();
    };
    // Two copies each time: one arrival with 20 prefill servers, then two arrivals with the remaining 10.
    EXPECT_TRUE(
        (std::set<std::string>{readers[0].id.value, readers[1].id.value}).contains(prefilled_at(201)));
    for (int i = 0; i < 10; ++i) listed[static_cast<std::size_t>(i)].state = EndpointState::removed;
    g.list({listed.begin(), listed.begin() + 10}, EndpointUpdateKind::delta);
    EXPECT_TRUE(
        (std::set<std::string>{readers[10].id.value, readers[11].id.value}).contains(prefilled_at(202)));
}

}  // namespace
}  // namespace chalksail::testing
