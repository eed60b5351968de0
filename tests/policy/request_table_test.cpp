// The times of a request, as the router derives them from its arrival.
#include "policy/request_table.hpp"

#include "policy/fixture.hpp"

namespace chalksail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};

RequestArrived arrival(Duration elapsed) {
    RequestArrived out;
    out.id = {1};
    out.class_name = "talk";  // its first token is due within 1 s
    out.time_remaining = 2s;
    out.elapsed = elapsed;
    return out;
}

// Guards against a request that is timed from the response before it on its connection (review/7).
TEST(RequestTable, ObjectiveCountsFromTheRequestsLastByte) {
    const Settings settings = testing::plain_settings();
    RequestTable table(settings);
    const Request& request = table.add(arrival(600ms), 0, {}, kNow);
    EXPECT_EQ(request.arrived_at, kNow - 600ms);
    EXPECT_EQ(request.added_at, kNow);
    EXPECT_EQ(request.deadline, kNow + 2s);
    EXPECT_EQ(request.objective, kNow + 400ms);
    // The wait does not make a prefill look longer than it was.
    EXPECT_DOUBLE_EQ(request.share_of_objective(500ms), 0.5);
}

TEST(RequestTable, ObjectiveMayHavePassedWhenTheRequestIsAdded) {
    const Settings settings = testing::plain_settings();
    RequestTable table(settings);
    const Request& request = table.add(arrival(3s), 0, {}, kNow);
    EXPECT_EQ(request.objective, kNow - 2s);
    EXPECT_DOUBLE_EQ(request.share_of_objective(500ms), 0.5);
}

TEST(RequestTable, ObjectiveIsNoLaterThanTheDeadline) {
    const Settings settings = testing::plain_settings();
    RequestTable table(settings);
    RequestArrived hurried = arrival(0s);
    hurried.time_remaining = 300ms;
    EXPECT_EQ(table.add(hurried, 0, {}, kNow).objective, kNow + 300ms);
}

}  // namespace
}  // namespace chalksail::policy
