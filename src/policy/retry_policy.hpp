// Which requests may be attempted again or rejected, from their class's idempotency settings and the history
// of their attempts. Pure functions of these; a prefill attempt has no effect and never restricts anything.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <set>

namespace chalksail::policy {

// The attempts of one request so far.
struct AttemptHistory {
    int sends = 0;
    std::set<ServerId> failed_at;
    std::optional<Endpoint> ran_at;  // where the first decode attempt went that may have run
    Time ran_sent_at{};              // and when it was sent
};

// Whether this end of an attempt proves that it reached a server: bytes written to one may lie there unread.
[[nodiscard]] bool proves_arrival(AttemptOutcome outcome);
// Whether the attempt may have come to a server at all.
[[nodiscard]] bool may_have_arrived(AttemptOutcome outcome);

class RetryPolicy {
public:
    RetryPolicy(int max_attempts, Duration tick) : max_attempts_(max_attempts), tick_(tick) {}

    [[nodiscard]] int attempts_left(const AttemptHistory& history) const {
        return max_attempts_ - history.sends;
    }
    // Whether another attempt is allowed at some server.
    [[nodiscard]] bool may_retry(const RequestClassSettings& request_class, const AttemptHistory& history,
                                 Time now) const;
    // Whether an attempt at this endpoint is allowed: repeats stay within the deduplication scope.
    [[nodiscard]] bool may_send_to(const Endpoint& endpoint, const RequestClassSettings& request_class,
                                   const AttemptHistory& history, Time now) const;
    // Whether the client may be told that the request was not run.
    [[nodiscard]] static bool may_reject(const RequestClassSettings& request_class,
                                         const AttemptHistory& history);

private:
    int max_attempts_;
    Duration tick_;
};

}  // namespace chalksail::policy
