#include "core/attempt_guard.hpp"

namespace chalksail::core {

using observe::GuardReason;

std::optional<GuardReason> AttemptGuard::check(const ActiveRequest& request, const Send& attempt,
                                               Time now) const {
    const std::string& server = attempt.server.value;
    if (request.finished()) return GuardReason::send_after_final_answer;
    if (request.attempt) return GuardReason::second_attempt_in_flight;
    if (request.attempts >= settings_.max_attempts) return GuardReason::attempt_limit;
    if (now >= request.deadline) return GuardReason::send_after_deadline;
    if (endpoints_.find(server) == nullptr) return GuardReason::unknown_server;
    if (!endpoints_.is_up(server) || endpoints_.unverified(server)) return GuardReason::server_not_in_service;
    if (!repeat_allowed(request, server, now)) return GuardReason::earlier_attempt_may_have_run;
    return std::nullopt;
}

bool AttemptGuard::may_begin(const ActiveRequest& request, const std::string& server, Time now) const {
    return !request.finished() && now < request.deadline && repeat_allowed(request, server, now);
}

bool AttemptGuard::may_reject(const ActiveRequest& request) const {
    if (request.stream_started()) return false;
    return !request.first_run || class_of(request).idempotency != Idempotency::non_idempotent;
}

bool AttemptGuard::retryable(const ActiveRequest& request) const {
    return !request.first_run || class_of(request).idempotency == Idempotency::idempotent;
}

bool AttemptGuard::repeat_allowed(const ActiveRequest& request, const std::string& server, Time now) const {
    const RequestClassSettings& settings = class_of(request);
    if (!request.first_run || settings.idempotency == Idempotency::idempotent) return true;
    if (settings.idempotency == Idempotency::non_idempotent) return false;
    if (now >= request.first_run->begun + settings.deduplication_window) return false;
    const auto* const config = endpoints_.find(server);
    if (config == nullptr) return false;
    const Endpoint& first = request.first_run->endpoint;
    switch (settings.deduplication_scope) {
        case DeduplicationScope::all: return true;
        case DeduplicationScope::zone: return config->endpoint.zone == first.zone;
        case DeduplicationScope::cell: return config->endpoint.cell == first.cell;
    }
    return false;
}

}  // namespace chalksail::core
