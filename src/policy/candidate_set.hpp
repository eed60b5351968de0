// The servers that may take a request now, by the endpoint list, slow start, outlier detection and the retry
// policy, and the choice of the best of them. Servers that take a class are found once a step, as each held
// request would otherwise walk over the whole fleet.
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
    // All must outlive the set.
    CandidateSet(const Settings& settings, const RequestTable& requests, EndpointTable& endpoints,
                 SlowStart& slow_start, const OutlierDetection& outliers, const RetryPolicy& retry_policy)
        : settings_(settings),
          requests_(requests),
          endpoints_(endpoints),
          slow_start_(slow_start),
          outliers_(outliers),
          retry_policy_(retry_policy) {}

    // Forgets what the last step found.
    void begin_step(Time now);
    // The servers that took the request's class when the step first needed them. What the step has sent since
    // may close some of them: check usable() too. A warming server whose budget has grown since is found at
    // the next step.
    const std::vector<Server*>& candidates(const Request& request, Stage stage);
    // Whether the request may go there now.
    [[nodiscard]] bool usable(const Server& server, const Request& request);
    [[nodiscard]] bool any_usable(const Request& request, Stage stage);

    // The usable candidate with the highest score among those for which `fits` holds; null: none. Servers
    // where the request has failed come last, and before them, if it must not run twice, those that have
    // failed lately. Of equal scores the first id wins.
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
    enum class Preference { failed_here, failed_lately, none };
    [[nodiscard]] static Preference preference(const Server& server, const Request& request);
    // Whether the server takes any request of this class.
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
