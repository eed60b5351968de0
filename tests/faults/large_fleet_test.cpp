// A gateway as a real process with a list of thousands of servers: what each request costs it.
#include <ctime>

#include "faults/process_rig.hpp"

namespace chalksail::faults::testing {
namespace {

class LargeFleet : public ProcessRig {
protected:
    static constexpr int kRequests = 40;

    // One reader in two; three in ten have just started. All are reached at the two stand-ins.
    std::string fleet(int servers) const {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
        std::string out;
        for (int i = 0; i < servers; ++i) {
            const bool reads = i % 2 == 0;
            std::string one =
                platform_messages::instance("s" + std::to_string(i), reads ? "reader" : "writer",
                                            format_address(reads ? reader->address : writer->address));
            const std::string started = "\"startedAtMs\":0";
            if (i / 2 % 10 < 3)
                one.replace(one.find(started), started.size(), "\"startedAtMs\":" + std::to_string(now));
            out += (i > 0 ? "," : "") + one;
        }
        return platform_messages::list_text(out);
    }
    // The same list with each member on a line of its own, deep in.
    static std::string indented(const std::string& list) {
        std::string out;
        bool quoted = false;
        for (const char c : list) {
            out += c;
            if (c == '"') quoted = !quoted;
            if (quoted) continue;
            if (c == ',' || c == '{') out += "\n" + std::string(24, ' ');
            if (c == ':') out += ' ';
        }
        return out;
    }
    [[nodiscard]] double processor_seconds() const {
        clockid_t clock{};
        EXPECT_EQ(clock_getcpuclockid(gateway(), &clock), 0);
        timespec used{};
        EXPECT_EQ(clock_gettime(clock, &used), 0);
        return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
    }
    // Processor time of the gateway for kRequests, all served.
    double cost_with(int servers) {
        serve_reads();
        serve_writes();
        start_with(fleet(servers), "");
        EXPECT_EQ(served(1, "first"), 1) << log();
        const double before = processor_seconds();
        EXPECT_EQ(served(kRequests, "a"), kRequests) << log();
        const double out = processor_seconds() - before;
        break_down();
        return out;
    }
};

// Guards against a list that is given up for its length: thousands of servers, told in one go and indented.
TEST_F(LargeFleet, IndentedListOfTheWholeFleetIsTaken) {
    constexpr int kServers = 3200;
    serve_reads();
    serve_writes();
    const std::string list = indented(fleet(kServers));
    ASSERT_GT(list.size(), std::size_t{1024} * 1024);  // the limit that it was over
    start_with(list, "", "");
    const auto last_server_up = "\"server\":\"s" + std::to_string(kServers - 1) + "\",\"action\":\"up\"";
    EXPECT_TRUE(until([&] {
        const std::string lines = log();
        return lines.find(last_server_up) != std::string::npos ||
               lines.find("stays in force") != std::string::npos;
    }));
    EXPECT_EQ(log().find("stays in force"), std::string::npos) << log().substr(0, 1000);
    EXPECT_EQ(served(1, "a"), 1);
}

// Guards against steps that walk over all servers for each server: with thousands of them the loop then
// stands still for longer than any deadline. Processor time is measured, so that a busy machine changes
// little.
TEST_F(LargeFleet, RequestsCostNoMoreThanInProportionToTheFleet) {
    constexpr int kFew = 200;
    constexpr int kMany = 3200;
    const double few = cost_with(kFew);
    const double many = cost_with(kMany);
    EXPECT_LE(many, few * kMany / kFew) << few << " s and " << many << " s for " << kRequests << " requests";
}

}  // namespace
}  // namespace chalksail::faults::testing
