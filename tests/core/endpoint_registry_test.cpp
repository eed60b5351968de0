// Tests the registry's endpoint list, verification and activity.
#include "core/endpoint_registry.hpp"

#include <gtest/gtest.h>

#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

constexpr Time kNow{1000s};

std::vector<observe::ServerAction> actions(const std::vector<Output>& effects) {
    std::vector<observe::ServerAction> out;
    for (const auto& effect : effects)
        if (const auto* emitted = std::get_if<EmitRecord>(&effect))
            out.push_back(std::get<observe::ServerRecord>(emitted->record).action);
    return out;
}

class EndpointRegistryTest : public ::testing::Test {
protected:
    std::set<std::string> list(std::vector<membership::EndpointConfig> endpoints,
                               EndpointUpdateKind kind = EndpointUpdateKind::snapshot) {
        return registry.apply({kind, std::move(endpoints)}, kNow, output);
    }
    EndpointRegistry registry{{}};
    StepOutput output;
};

TEST_F(EndpointRegistryTest, SnapshotsRemoveUnlistedEndpointsAndDeltasDoNot) {
    EXPECT_TRUE(list({listed("r1", "reader"), listed("r2", "reader")}).empty());
    EXPECT_TRUE(list({listed("r1", "reader")}, EndpointUpdateKind::delta).empty());
    EXPECT_TRUE(registry.is_up("r2"));
    EXPECT_EQ(list({listed("r1", "reader")}), std::set<std::string>{"r2"});
    EXPECT_FALSE(registry.is_up("r2"));
    EXPECT_EQ(actions(output.take_effects()).back(), observe::ServerAction::removed);
    EXPECT_EQ(list({listed("r1", "reader")}), std::set<std::string>{"r2"});
    EXPECT_TRUE(output.take_effects().empty());            // already removed
    EXPECT_TRUE(registry.forget_removed({"r2"}).empty());  // a call to it is in flight
    EXPECT_EQ(registry.forget_removed({}), std::vector<std::string>{"r2"});
    EXPECT_EQ(registry.find("r2"), nullptr);
}

TEST_F(EndpointRegistryTest, ARestartedEndpointIsUnavailableForQueuedAttempts) {
    auto server = listed("r1", "reader");
    EXPECT_TRUE(list({server}).empty());
    server.endpoint.started_at = kNow;
    EXPECT_EQ(list({server}), std::set<std::string>{"r1"});
    EXPECT_EQ(actions(output.take_effects()),
              (std::vector{observe::ServerAction::up, observe::ServerAction::restarted}));
    EXPECT_TRUE(list({server}).empty());
    EXPECT_TRUE(output.take_effects().empty());  // nothing has changed
}

TEST_F(EndpointRegistryTest, AnUnverifiedEndpointIsReportedAsDrainingUntilItIsVerified) {
    EXPECT_TRUE(list({listed("r1", "reader")}).empty());
    EXPECT_EQ(output.take_events().size(), 1U);
    EXPECT_TRUE(registry.mark_unverified("r1", "name mismatch", kNow, output));
    EXPECT_FALSE(registry.mark_unverified("r1", "name mismatch", kNow, output));
    const auto down = output.take_events();
    ASSERT_EQ(down.size(), 1U);
    EXPECT_EQ(std::get<EndpointUpdate>(down[0]).endpoints[0].state, EndpointState::draining);
    EXPECT_TRUE(registry.is_up("r1"));
    EXPECT_EQ(registry.unverified_count(), 1U);

    registry.mark_verified("r1", output);
    const auto up = output.take_events();
    ASSERT_EQ(up.size(), 1U);
    EXPECT_EQ(std::get<EndpointUpdate>(up[0]).endpoints[0].state, EndpointState::up);
    EXPECT_EQ(registry.unverified_count(), 0U);
}

TEST_F(EndpointRegistryTest, LastActiveConsidersOnlyEndpointsThatAreUp) {
    EXPECT_TRUE(list({listed("r1", "reader"), listed("r2", "reader"), listed("r3", "reader")}).empty());
    EXPECT_EQ(registry.last_active({})->endpoint.id.value, "r1");  // none was active: the first by name
    registry.record_activity("r2", kNow);
    registry.record_activity("r3", kNow + 1s);
    EXPECT_EQ(registry.last_active({})->endpoint.id.value, "r3");
    EXPECT_EQ(registry.last_active({"r3"})->endpoint.id.value, "r2");
    EXPECT_EQ(list({listed("r1", "reader")}), (std::set<std::string>{"r2", "r3"}));
    EXPECT_EQ(registry.last_active({})->endpoint.id.value, "r1");
    EXPECT_EQ(registry.last_active({"r1"}), nullptr);
}

}  // namespace
}  // namespace chalksail::core::testing
