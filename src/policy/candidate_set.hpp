// Determines the servers that may receive a request now, given the endpoint list, slow start, outlier
// detection and the retry policy, and selects the best of them. The servers for each request class are
// determined once per step, because a scan of the whole fleet for each held request is too slow.
#pragma once

#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "endpoint_table.hpp"
#include "outlier_detection.hpp"
#include "request_table.hpp"
#include "retry_policy.hpp"
#include "slow_start.hpp"

namespace chalksail::policy {

class CandidateSet {
public:
    // All referenced objects must outlive the set.
    CandidateSet(const Settings& settings, const RequestTable& requests, EndpointTable& endpoints,
                 SlowStart& slow_start, const OutlierDetection& outliers, const RetryPolicy& retry_policy)
        : settings_(settings),
          requests_(requests),
          endpoints_(endpoints),
          slow_start_(slow_start),
          outliers_(outliers),
          retry_policy_(retry_policy) {}

    // Clears the candidates of the previous step.
    void begin_step(Time now);
    // Returns the servers that accepted the request's class when this step first asked for them. Requests
    // sent since then may have used up the capacity of some, so check usable() too. A warming server whose
    // budget has grown since then is included from the next step on.
    const std::vector<Server*>& candidates(const Request& request, Stage stage);
    // Returns whether the request may be sent to the server now.
    [[nodiscard]] bool usable(const Server& server, const Request& request);
    [[nodiscard]] bool any_usable(const Request& request, Stage stage);

    // Returns the usable candidate with the highest score among those for which `fits` returns true, or null
    // if there is none. Servers where this request has failed rank last. For requests that must not run
    // twice, servers with recent failures rank next to last. The lowest id wins a tie.
    template <class Fits, class Score>
    Server* best(const Request& request, Stage stage, Fits fits, Score score) {
        Server* best = nullptr;
        using Key = std::pair<Preference, decltype(score(std::declval<const Server&>()))>;
        std::optional<Key> best_key;
        for (Server* const server : candidates(request, stage)) {
            if (!fits(*server) || !usable(*server, request)) continue;
            const Key key{preference(*server, request), score(*server)};
            if (best_key && key <= *best_key) continue;
            best = server;
            best_key = key;
        }
        return best;
    }

private:
    enum class Preference { failed_here, failed_recently, none };
    [[nodiscard]] static Preference preference(const Server& server, const Request& request);
    // Returns whether the server accepts requests of this class.
    [[nodiscard]] bool accepts_class(const Server& server, std::size_t class_index);
    [[nodiscard]] bool has_slow_start_budget(const Server& server, std::size_t class_index);
    [[nodiscard]] const FleetSummary& summary() const {
        return endpoints_.summary(now_, outliers_.version());
    }

    const Settings& settings_;
    const RequestTable& requests_;
    EndpointTable& endpoints_;
    SlowStart& slow_start_;
    const OutlierDetection& outliers_;
    const RetryPolicy& retry_policy_;
    Time now_{};
    std::map<std::pair<std::size_t, Stage>, std::vector<Server*>> candidates_;  // by request class
};

}  // namespace chalksail::policy
