#include "observe/record.hpp"

namespace chalksail::observe {

std::string_view name(Termination termination) {
    switch (termination) {
        case Termination::served: return "served";
        case Termination::refused: return "refused";
        case Termination::failed: return "failed";
        case Termination::client_gone: return "client_gone";
        case Termination::rejected: return "rejected";
    }
    return "unknown";
}

std::string_view name(TerminationReason reason) {
    switch (reason) {
        case TerminationReason::draining: return "draining";
        case TerminationReason::over_limit: return "limit";
        case TerminationReason::invalid_request: return "invalid";
        case TerminationReason::may_have_run_before: return "may_have_run";
        case TerminationReason::rejected_by_engine: return "engine";
        case TerminationReason::not_attempted: return "held";
        case TerminationReason::attempts_failed: return "attempts";
        case TerminationReason::deadline: return "deadline";
        case TerminationReason::drain_expired: return "drain";
        case TerminationReason::stream_migrated: return "moved";
        case TerminationReason::broken_stream: return "broken_stream";
        case TerminationReason::stream_timeout: return "stream_time";
        case TerminationReason::served: return "served";
        case TerminationReason::disconnected_before_attempt: return "hung_up_held";
        case TerminationReason::disconnected_during_attempt: return "hung_up_attempt";
        case TerminationReason::disconnected_during_stream: return "hung_up_streaming";
    }
    return "unknown";
}

std::string_view name(ServerAction action) {
    switch (action) {
        case ServerAction::up: return "up";
        case ServerAction::draining: return "draining";
        case ServerAction::removed: return "removed";
        case ServerAction::restarted: return "restarted";
        case ServerAction::health_check: return "probe";
        case ServerAction::release: return "release";
        case ServerAction::verified: return "verified";
        case ServerAction::not_verified: return "not_verified";
        case ServerAction::cache_events: return "cache_events";
        case ServerAction::cache_snapshot: return "cache_snapshot";
    }
    return "unknown";
}

std::string_view name(EndpointUpdateKind kind) {
    switch (kind) {
        case EndpointUpdateKind::delta: return "delta";
        case EndpointUpdateKind::snapshot: return "snapshot";
        case EndpointUpdateKind::cached_snapshot: return "cached_snapshot";
        case EndpointUpdateKind::watch_lost: return "watch_lost";
    }
    return "unknown";
}

std::string_view name(ReleaseReason reason) {
    switch (reason) {
        case ReleaseReason::none: return "";
        case ReleaseReason::decided: return "decided";
        case ReleaseReason::request_over: return "request_over";
        case ReleaseReason::prefill_may_have_ended: return "read_may_have_ended";
        case ReleaseReason::reservation_may_be_held: return "place_may_be_held";
        case ReleaseReason::not_fetched: return "not_fetched";
        case ReleaseReason::decode_unanswered: return "write_unanswered";
    }
    return "unknown";
}

std::string_view name(KvReservationAction action) {
    switch (action) {
        case KvReservationAction::reserved: return "held";
        case KvReservationAction::fetched: return "fetched";
        case KvReservationAction::release_started: return "release";
        case KvReservationAction::release_succeeded: return "release_done";
        case KvReservationAction::release_failed: return "release_failed";
    }
    return "unknown";
}

std::string_view name(DeferralAction action) {
    switch (action) {
        case DeferralAction::deferred: return "deferred";
        case DeferralAction::resumed: return "resumed";
        case DeferralAction::dropped: return "dropped";
    }
    return "unknown";
}

std::string_view name(GuardReason reason) {
    switch (reason) {
        case GuardReason::send_after_final_answer: return "send after the final answer";
        case GuardReason::second_attempt_in_flight: return "second attempt while one is out";
        case GuardReason::attempt_limit: return "over the attempt limit";
        case GuardReason::send_after_deadline: return "send after the deadline";
        case GuardReason::unknown_server: return "unknown server";
        case GuardReason::server_not_in_service: return "server not in service";
        case GuardReason::earlier_attempt_may_have_run: return "an earlier attempt may have run";
        case GuardReason::refusal_of_what_may_have_run: return "refusal of what may have run";
        case GuardReason::no_final_answer_at_deadline: return "no final answer at the deadline";
    }
    return "unknown";
}

}  // namespace chalksail::observe
