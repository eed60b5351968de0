#include "observe/metrics.hpp"

#include <gtest/gtest.h>

#include "observe/log.hpp"

namespace chalksail::observe {
namespace {

// Servers are replaced continuously, each under a new name. Time series of removed servers must not
// accumulate.
TEST(Metrics, SeriesOfARemovedServerAreDropped) {
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

TEST(Metrics, EndpointListsAreCountedByKindAndLoggedWithTheirGeneration) {
    Metrics metrics("g");
    EndpointListRecord record;
    record.kind = EndpointUpdateKind::delta;
    record.generation = 17;
    record.removed = 2;
    metrics.count(record);
    EXPECT_NE(metrics.page().find(R"(chalksail_endpoint_lists_total{gateway="g",kind="delta"} 1)"),
              std::string::npos);
    EXPECT_EQ(format_json(record),
              R"({"event":"endpoint_list","kind":"delta","generation":17,"up":0,"draining":0,"removed":2})");
}

TEST(Metrics, DeferredAttemptsAreCountedByChangeAndLoggedWithTheirServer) {
    Metrics metrics("g");
    const DeferralRecord record{"q1", DeferralAction::resumed, "w1", std::chrono::milliseconds(80)};
    metrics.count(record);
    EXPECT_NE(metrics.page().find(R"(chalksail_deferred_attempts_total{gateway="g",what="resumed"} 1)"),
              std::string::npos);
    EXPECT_EQ(format_json(record),
              R"({"event":"deferred_attempt","request":"q1","action":"resumed","server":"w1","ms":80.0})");
}

}  // namespace
}  // namespace chalksail::observe
