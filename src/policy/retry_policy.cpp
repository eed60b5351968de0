#include "retry_policy.hpp"

namespace chalksail::policy {

bool proves_arrival(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::ok || outcome == AttemptOutcome::prefilled ||
           outcome == AttemptOutcome::at_capacity || outcome == AttemptOutcome::error;
}

bool may_have_arrived(AttemptOutcome outcome) {
    return outcome != AttemptOutcome::connect_failed && outcome != AttemptOutcome::not_sent;
}

bool RetryPolicy::may_retry(const RequestClassSettings& request_class, const AttemptHistory& history,
                            Time now) const {
    if (!history.first_run_endpoint || request_class.idempotency == Idempotency::idempotent) return true;
    return request_class.idempotency == Idempotency::idempotent_by_key &&
           now + tick_ < history.first_run_sent_at + request_class.deduplication_window;
}

bool RetryPolicy::may_send_to(const Endpoint& endpoint, const RequestClassSettings& request_class,
                              const AttemptHistory& history, Time now) const {
    if (!history.first_run_endpoint || request_class.idempotency == Idempotency::idempotent) return true;
    if (!may_retry(request_class, history, now)) return false;
    switch (request_class.deduplication_scope) {
        case DeduplicationScope::zone: return endpoint.zone == history.first_run_endpoint->zone;
        case DeduplicationScope::cell: return endpoint.cell == history.first_run_endpoint->cell;
        case DeduplicationScope::all: return true;
    }
    return true;
}

bool RetryPolicy::may_reject(const RequestClassSettings& request_class, const AttemptHistory& history) {
    if (!history.first_run_endpoint || request_class.idempotency == Idempotency::idempotent) return true;
    return request_class.idempotency == Idempotency::idempotent_by_key &&
           request_class.deduplication_scope == DeduplicationScope::all;
}

}  // namespace chalksail::policy
