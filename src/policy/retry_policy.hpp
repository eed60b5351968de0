// Decides which requests may be retried or rejected, from their class's idempotency settings and the history
// of their attempts. Depends on nothing else. Prefill attempts have no side effects and never restrict
// retries.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <set>

namespace chalksail::policy {

// The previous attempts of one request.
struct AttemptHistory {
    int sends = 0;
    std::set<ServerId> failed_at;
    std::optional<Endpoint> first_run_endpoint;  // endpoint of the first decode attempt that may have run
    Time first_run_sent_at{};                    // time at which that attempt was sent
};

// Returns whether the outcome proves that the attempt reached its server. Written bytes alone prove nothing,
// as the server may not have read them.
[[nodiscard]] bool proves_arrival(AttemptOutcome outcome);
// Returns whether the attempt may have reached its server.
[[nodiscard]] bool may_have_arrived(AttemptOutcome outcome);

class RetryPolicy {
public:
    RetryPolicy(int max_attempts, Duration tick) : max_attempts_(max_attempts), tick_(tick) {}

    [[nodiscard]] int attempts_left(const AttemptHistory& history) const {
        return max_attempts_ - history.sends;
    }
    // Returns whether another attempt is allowed at any server.
    [[nodiscard]] bool may_retry(const RequestClassSettings& request_class, const AttemptHistory& history,
                                 Time now) const;
    // Returns whether an attempt at this endpoint is allowed: retries stay within the deduplication scope.
    [[nodiscard]] bool may_send_to(const Endpoint& endpoint, const RequestClassSettings& request_class,
                                   const AttemptHistory& history, Time now) const;
    // Returns whether the client may receive the response that the request was not run.
    [[nodiscard]] static bool may_reject(const RequestClassSettings& request_class,
                                         const AttemptHistory& history);

private:
    int max_attempts_;
    Duration tick_;
};

}  // namespace chalksail::policy
