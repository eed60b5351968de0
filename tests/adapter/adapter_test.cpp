#include <gtest/gtest.h>

#include <sstream>

#include "host.hpp"

namespace chalksail::wire {
namespace {

constexpr const char* kStart =
    R"({"verb":"start","who":"gateway_0","init_seed":7,"options":{"az":"a","classes":[{"aim_ns":1000000000,"deadline_ns":4000000000,"effect":"repeatable","gain":1.0,"group":"all","late_worth":0.2,"name":"c","streamed":true,"window_ns":0}],"discovery":"push","extra":{"aim_us_per_1000_prompt_tokens":[1000.0],"duty_by_kind":["read","write"],"early_pairing":false,"far_price":0.0,"read_in_place":false,"release_within_ns":300000000,"resume":false,"token_aim_ns":[60000000],"tokens_by_kind":[100000,100000]},"fleet_size":1,"limits":{"cancel":true,"dial_timeout_ns":250000000,"max_retry_after_ns":500000000,"probes":true,"retry_after":true,"second_copies":false,"send_cap":4},"me":0,"report":{"fields":[],"how":"silent"},"rules":{"answer_slack_ns":16000000,"cold_from":0.3,"cold_ns":9000000000,"fall_multiple":3.0,"fall_ns":2000000000,"stop_sending_within_ns":250000000},"skus":["r","w"],"tenants":[],"tick_ns":4000000,"unheard_of":{"x":1}}})";
constexpr const char* kBegin = R"({"verb":"begin_batch","now_ns":8000000000})";
constexpr const char* kEnd = R"({"verb":"over_to_you"})";
constexpr const char* kList =
    R"({"verb":"backends_changed","who":"gateway_0","scope":"warm_copy","index":1,"nodes_list":[{"server":"10.0.0.1:1","zone":"a","sku":"r","cell":0,"state":"up","capacity_hint":1},{"server":"10.0.0.2:1","zone":"a","sku":"w","cell":0,"state":"up","capacity_hint":1}]})";
constexpr const char* kIncoming =
    R"({"verb":"incoming","who":"gateway_0","ticket":5,"type":"c","conversation":"s","time_left_ns":4000000000,"prompt_len":100,"shared_len":0,"max_out":10})";

struct Result {
    int code;
    std::string out;
    std::string errors;
};
Result run(std::initializer_list<std::string> lines) {
    std::stringstream in;
    std::stringstream out;
    std::stringstream errors;
    for (const auto& line : lines) in << line << '\n';
    const int code = serve(in, out, errors);
    return {code, out.str(), errors.str()};
}

TEST(Adapter, EmptyBatchGetsAnEmptyReply) {
    const auto r = run({kBegin, kEnd});
    EXPECT_EQ(r.code, 0);
    EXPECT_EQ(r.out, "{\"verb\":\"eor\"}\n");
}

TEST(Adapter, SendsARequestToThePrefillServer) {
    const auto r = run({kBegin, kStart, kList, kIncoming, kEnd});
    EXPECT_EQ(r.code, 0) << r.errors;
    EXPECT_NE(r.out.find(R"({"verb":"relay","who":"gateway_0","ticket":5)"), std::string::npos) << r.out;
    EXPECT_NE(r.out.find(R"("server":"10.0.0.1:1")"), std::string::npos) << r.out;
}

TEST(Adapter, RestartWithinABatchResetsTheInstance) {
    const auto r =
        run({kBegin, kStart, kList, R"({"verb":"killed","who":"gateway_0"})", kStart, kIncoming, kEnd});
    EXPECT_EQ(r.code, 0) << r.errors;
    EXPECT_EQ(r.out.find("relay"), std::string::npos) << r.out;
}

TEST(Adapter, MalformedLinesAreRejectedNamingLineAndField) {
    const std::pair<std::string, std::string> cases[] = {
        {"{", "not JSON"},
        {"[]", "object"},
        {R"({"verb":"sing","who":"gateway_0"})", "verb"},
        {R"({"verb":"hangup","who":"gateway_0"})", "ticket"},
        {R"({"verb":"hangup","who":"gateway_0","ticket":"x"})", "ticket"},
        {R"({"verb":"hangup","who":"nobody","ticket":1})", "who"},
        {R"({"verb":"reply","who":"gateway_0","ticket":1,"shot":0,"server":"a:1","how":55})", "how"},
        {R"({"verb":"due","who":"gateway_0"})", "name"},
    };
    for (const auto& [line, field] : cases) {
        const auto r = run({kBegin, kStart, line, kEnd});
        EXPECT_EQ(r.code, 1) << line;
        EXPECT_TRUE(r.out.empty()) << line;
        EXPECT_NE(r.errors.find("line 3"), std::string::npos) << r.errors;
        EXPECT_NE(r.errors.find(field), std::string::npos) << r.errors;
    }
}

}  // namespace
}  // namespace chalksail::wire
