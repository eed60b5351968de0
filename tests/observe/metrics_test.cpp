#include "observe/metrics.hpp"

#include <gtest/gtest.h>

namespace chalksail::observe {
namespace {

// New servers with new names come all day: what is counted by the name of one that is gone must not stay.
TEST(Metrics, CountsByServerGoWithTheServer) {
    Metrics metrics("g");
    for (const char* server : {"here", "gone"}) {
        metrics.count(AttemptRecord{"r", 0, server, true, "read", 202, true, false, Duration(1), ""});
        metrics.count(ServerRecord{server, ServerAction::up, ""});
    }
    EXPECT_NE(metrics.page().find("\"gone\""), std::string::npos);
    metrics.forget("gone");
    metrics.forget("never heard of");
    EXPECT_EQ(metrics.page().find("\"gone\""), std::string::npos);
    EXPECT_NE(metrics.page().find("\"here\""), std::string::npos);
    metrics.count(ServerRecord{"gone", ServerAction::up, ""});
    EXPECT_NE(metrics.page().find("\"gone\""), std::string::npos);
}

}  // namespace
}  // namespace chalksail::observe
