// Runs a real gateway process with a list of thousands of servers and measures the cost of a request.
#include <ctime>

#include "faults/process_rig.hpp"

namespace chalksail::faults::testing {
namespace {

class LargeFleet : public ProcessRig {
protected:
    static constexpr int kRequests = 40;

    // Every second server is a reader; three in ten have just started. Readers share one stand-in's address,
    // writers another's.
    std::string fleet_list(int servers) const {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
        std::string out;
        for (int i = 0; i < servers; ++i) {
            const bool is_reader = i % 2 == 0;
            std::string entry =
                platform_messages::instance("s" + std::to_string(i), is_reader ? "reader" : "writer",
                                            format_address(is_reader ? reader->address : writer->address));
            const std::string started = "\"startedAtMs\":0";
            if (i / 2 % 10 < 3)
                entry.replace(entry.find(started), started.size(), "\"startedAtMs\":" + std::to_string(now));
            out += (i > 0 ? "," : "") + entry;
        }
        return platform_messages::list_text(out);
    }
    // Returns the list with each member on its own, deeply indented line.
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
    // Returns the gateway's processor time, in seconds, for kRequests requests that are all served.
    double processor_seconds_with(int servers) {
        start_reader();
        start_writer();
        start_with_list(fleet_list(servers), "");
        EXPECT_EQ(count_served(1, "first"), 1) << log();
        const double before = processor_seconds();
        EXPECT_EQ(count_served(kRequests, "a"), kRequests) << log();
        const double used = processor_seconds() - before;
        stop_all();
        return used;
    }
};

// Guards against rejecting the list for its size: thousands of servers in one indented object exceeded the
// former limit of 1 MiB.
TEST_F(LargeFleet, IndentedListOfAllServersIsAccepted) {
    constexpr int kServers = 3200;
    start_reader();
    start_writer();
    const std::string list = indented(fleet_list(kServers));
    ASSERT_GT(list.size(), std::size_t{1024} * 1024);  // the former size limit of one object
    start_with_list(list, "", "");
    const auto last_server_up = "\"server\":\"s" + std::to_string(kServers - 1) + "\",\"action\":\"up\"";
    EXPECT_TRUE(until([&] {
        const std::string lines = log();
        return lines.find(last_server_up) != std::string::npos ||
               lines.find("stays in force") != std::string::npos;
    }));
    EXPECT_EQ(log().find("stays in force"), std::string::npos) << log().substr(0, 1000);
    EXPECT_EQ(count_served(1, "a"), 1);
}

// Guards against work that is quadratic in the number of servers: with thousands of servers the event loop
// would be blocked for longer than any deadline. Measures processor time, which depends little on the load of
// the machine.
TEST_F(LargeFleet, CostOfARequestGrowsAtMostLinearlyWithTheFleet) {
    constexpr int kFew = 200;
    constexpr int kMany = 3200;
    const double few = processor_seconds_with(kFew);
    const double many = processor_seconds_with(kMany);
    EXPECT_LE(many, few * kMany / kFew) << few << " s and " << many << " s for " << kRequests << " requests";
}

}  // namespace
}  // namespace chalksail::faults::testing
