#include "policy/fleet_summary.hpp"

#include <gtest/gtest.h>

#include "policy/endpoint_table.hpp"

namespace chalksail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};

Settings settings() {
    Settings out;
    out.classes.resize(1);
    out.classes[0].first_token_objective = 1s;
    out.kinds = {{"prefill", Role::prefill, 100}, {"decode", Role::decode, 100}, {"mixed", Role::mixed, 100}};
    out.slow_start_duration = 10s;
    out.slow_start_initial_capacity = 0.4;
    return out;
}

// The endpoint table, and the outlier detection that its totals depend on.
struct Fleet {
    Settings fleet_settings = settings();
    EndpointTable endpoints{fleet_settings};
    OutlierDetection outliers{fleet_settings};

    void list(const std::string& id, const std::string& kind, Time started_at = {},
              EndpointState state = EndpointState::up) {
        Endpoint endpoint;
        endpoint.id = {id};
        endpoint.kind = kind;
        endpoint.started_at = started_at;
        endpoint.state = state;
        EXPECT_EQ(endpoints.merge({EndpointUpdateKind::delta, {endpoint}}).size(), 1U);
        EXPECT_TRUE(endpoints.remove_unlisted().empty());
    }
    void eject(const std::string& id) { outliers.eject({id}, endpoints.find({id})->health, kNow); }
    const FleetSummary& summary(Time now = kNow) { return endpoints.summary(now, outliers.version()); }
};

TEST(FleetSummary, CountsOnlyServersInService) {
    Fleet fleet;
    fleet.list("r", "prefill");
    fleet.list("w", "decode");
    fleet.list("cold", "decode", kNow - 4s);
    fleet.list("ejected", "decode");
    fleet.list("drains", "decode", {}, EndpointState::draining);
    fleet.eject("ejected");
    EXPECT_EQ(fleet.summary().warm(Role::prefill), 1);
    EXPECT_EQ(fleet.summary().warm(Role::decode), 2);
    EXPECT_TRUE(fleet.summary().has_healthy_server(Role::decode));
    EXPECT_FALSE(fleet.summary().has_healthy_server(Role::mixed));
    EXPECT_TRUE(fleet.summary().has_decode_server());
    EXPECT_DOUBLE_EQ(fleet.summary().decode_memory(), 100 + 40);
}

TEST(FleetSummary, IsRecomputedAfterAChangeAndWhenServersWarmUp) {
    Fleet fleet;
    fleet.list("a", "decode");
    fleet.list("b", "decode", kNow - 4s);
    const std::uint64_t version = fleet.outliers.version();
    EXPECT_DOUBLE_EQ(fleet.summary().decode_memory(), 140);
    fleet.eject("a");
    EXPECT_DOUBLE_EQ(fleet.endpoints.summary(kNow, version).decode_memory(),
                     140);  // the version is unchanged
    EXPECT_DOUBLE_EQ(fleet.summary().decode_memory(), 40);
    EXPECT_EQ(fleet.summary().warm(Role::decode), 1);
    EXPECT_DOUBLE_EQ(fleet.summary(kNow + 6s).decode_memory(), 100);
    EXPECT_EQ(fleet.summary(kNow + 6s).warm(Role::decode), 2);
}

// A mixed server does both kinds of work.
TEST(FleetSummary, MixedServersAreHealthyForEachRole) {
    Fleet fleet;
    fleet.list("m", "mixed");
    EXPECT_TRUE(fleet.summary().has_healthy_server(Role::prefill));
    EXPECT_TRUE(fleet.summary().has_healthy_server(Role::decode));
    EXPECT_TRUE(fleet.summary().has_healthy_server(Role::mixed));
    EXPECT_EQ(fleet.summary().warm(Role::decode), 0);
}

}  // namespace
}  // namespace chalksail::policy
