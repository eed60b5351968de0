// Statistics of a run, from its records in order: what the clients were served and what it cost, in total, by
// second and by server. Latencies are histograms in steps of about one percent. No I/O, no threads.
#pragma once

#include <boost/histogram.hpp>
#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "checker/record.hpp"

namespace chalksail::lab {

// A histogram of latencies: milliseconds, 0.1 to 100,000.
class Latencies {
public:
    Latencies();
    void add(double ms) { counts_(ms); }
    // 0 where there is none; the upper edge of the step that the part'th in order falls in.
    [[nodiscard]] double quantile(double part) const;
    [[nodiscard]] std::size_t count() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> counts_;
};

// Counts of requests, and their priority weights.
struct Counts {
    std::size_t requests = 0, served = 0, in_time = 0, refused = 0, failed = 0, disconnected = 0;
    double served_weight = 0;  // of served requests; late ones count with their late weight
    double total_weight = 0;   // of all requests
    [[nodiscard]] double weight_share() const { return total_weight > 0 ? served_weight / total_weight : 0; }
};

class Account {
public:
    // Weights come from the classes; seconds are counted from `begin`.
    Account(const std::vector<RequestClassSettings>& classes, Time begin);
    void add(const Record& record);

    struct Second {
        Counts counts;  // of the requests that began in it
        Latencies first_token_ms;
        std::size_t attempts = 0;
    };
    struct Server {
        std::size_t attempts = 0, done = 0, not_run = 0, errors = 0, cut = 0, left = 0;
        std::vector<std::size_t> by_second;  // attempts taken
    };
    [[nodiscard]] const Counts& all() const { return all_; }
    [[nodiscard]] const std::map<std::string, Counts>& by_class() const { return by_class_; }
    [[nodiscard]] const Latencies& first_token_ms() const { return first_token_ms_; }
    [[nodiscard]] const std::vector<Second>& seconds() const { return seconds_; }
    [[nodiscard]] const std::map<std::string, Server>& servers() const { return servers_; }
    [[nodiscard]] std::size_t attempts() const { return attempts_; }
    // Part of the attempts of which nothing reached a client: cancelled, failed, rejected, or of a request
    // that was not served.
    [[nodiscard]] double waste() const;

private:
    struct OpenRequest {
        Time at{};
        Duration first_token_objective{};
        double weight = 1, late_weight = 1;
        std::string cls;
        std::size_t attempts = 0;
        std::optional<Time> first;
    };
    void end(const std::string& request, const Record& record);
    Second& second(Time at);

    std::map<std::string, std::pair<double, double>> weights_;  // by class
    Time begin_;
    Counts all_;
    std::map<std::string, Counts> by_class_;
    Latencies first_token_ms_;
    std::vector<Second> seconds_;
    std::map<std::string, Server> servers_;
    std::size_t attempts_ = 0;
    std::size_t useful_ = 0;
    std::unordered_map<std::string, OpenRequest> open_;
};

}  // namespace chalksail::lab
