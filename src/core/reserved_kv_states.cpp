#include "core/reserved_kv_states.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace chalksail::core {

using engine::ExchangeEnd;
using observe::DeferralAction;
using observe::DeferralRecord;
using observe::KvReservationAction;
using observe::KvReservationRecord;
using observe::ReleaseReason;
using observe::ServerAction;
using observe::ServerRecord;

namespace {

// Releases free memory that other requests wait for, so they precede all calls that use memory.
constexpr double kReleasePriority = std::numeric_limits<double>::max();
// Rounds after the first call in which the number of servers called doubles: two, four and eight.
constexpr std::int64_t kWideningRounds = 3;
// Status codes below this one mean success.
constexpr int kFirstFailureStatus = 300;

int calls_in_round(std::int64_t round) { return round <= kWideningRounds ? 1 << round : 1; }

}  // namespace

ReservedKvStates::Entry* ReservedKvStates::find(RequestId id) {
    const auto it = entries_.find(id.value);
    return it == entries_.end() ? nullptr : &it->second;
}
const ReservedKvStates::Entry* ReservedKvStates::find(RequestId id) const {
    const auto it = entries_.find(id.value);
    return it == entries_.end() ? nullptr : &it->second;
}

void ReservedKvStates::track(RequestId id, const std::string& name) { entries_[id.value].name = name; }

void ReservedKvStates::finish(RequestId id, Time now, StepOutput& output) {
    release(id, ReleaseReason::request_over, now, output);
    entries_.erase(id.value);
}

void ReservedKvStates::hold(RequestId id, const UpstreamCall& prefill, const std::string& state, Time now,
                            StepOutput& output) {
    Entry& entry = *find(id);
    const auto* const server = endpoints_.find(prefill.server);
    entry.held = KvReservation{server == nullptr ? membership::EndpointConfig{} : *server, state,
                               prefill.attempt.value, now};
    held_count_ += 1;
    output.record(KvReservationRecord{entry.name, KvReservationAction::reserved, prefill.server,
                                      ReleaseReason::none, Duration{}});
}

void ReservedKvStates::mark_fetched(RequestId id, const std::string& decode_server, Time now,
                                    StepOutput& output) {
    Entry& entry = *find(id);
    if (entry.held) {
        output.record(KvReservationRecord{entry.name, KvReservationAction::fetched, decode_server,
                                          ReleaseReason::none, now - entry.held->since});
        entry.held.reset();
        held_count_ -= 1;
    }
    entry.pending.reset();
}

std::string ReservedKvStates::held_state(RequestId id) const {
    const Entry* const entry = find(id);
    return entry != nullptr && entry->held ? entry->held->state : std::string();
}

bool ReservedKvStates::holds_state(RequestId id) const {
    const Entry* const entry = find(id);
    return entry != nullptr && entry->held.has_value();
}

bool ReservedKvStates::holds_any(RequestId id) const {
    const Entry* const entry = find(id);
    return entry != nullptr && (entry->held || entry->pending);
}

std::optional<Time> ReservedKvStates::release_due(RequestId id) const {
    if (!holds_any(id)) return std::nullopt;
    const Entry& entry = *find(id);
    Time since = Time::max();
    if (entry.held) since = entry.held->since;
    if (entry.pending) since = std::min(since, entry.pending->since);
    return since + settings_.router.release_within;
}

void ReservedKvStates::make_pending(RequestId id, Entry& entry, ReleaseReason reason) {
    entry.pending = std::exchange(entry.held, std::nullopt);
    entry.pending->reason = reason;
    held_count_ -= 1;
    pending_.push_back(id);
}

void ReservedKvStates::attempt_ended(RequestId id, const UpstreamCall& call, const AttemptResult& result,
                                     Time now, StepOutput& output) {
    Entry& entry = *find(id);
    // The decode server could not fetch the KV state, but the prefill server may still hold it.
    const bool not_fetched =
        result.outcome() == AttemptOutcome::at_capacity && result.classification.kv_state_missing;
    if (not_fetched && entry.held) {
        if (release_covers_request()) make_pending(id, entry, ReleaseReason::not_fetched);
        else release(id, ReleaseReason::not_fetched, now, output);
    }
    // Only a response restarts the time until the release. Written bytes may remain unread at a server that
    // hangs, so an attempt that ends without a response does not prove that it arrived.
    if (result.proves_arrival(call)) {
        if (entry.held) entry.held->since = now;
        if (entry.pending) entry.pending->since = now;
    }
    if (!result.may_have_left_kv_state(call)) return;
    const auto* const server = endpoints_.find(call.server);
    if (server == nullptr) return;
    if (!release_covers_request()) {
        begin_release({}, {entry.name, call.attempt.value, "", ReleaseReason::prefill_may_have_ended, now},
                      *server, now, output);
        return;
    }
    // One call releases what any of the request's prefills may have left, so the earliest time counts.
    const Time since = entry.pending ? entry.pending->since : now;
    entry.pending = KvReservation{*server, "", call.attempt.value, since};
    pending_.push_back(id);
}

void ReservedKvStates::release_ended(const UpstreamCall& call, ExchangeEnd ending, Time now,
                                     StepOutput& output) {
    const auto in_flight = release_calls_.extract(call.id);
    assert(!in_flight.empty());
    const ReleaseCall& release = in_flight.mapped();
    const bool answered = ending == ExchangeEnd::response_received;
    const bool unsupported = answered && protocol_.release_unsupported(call.status);
    const bool done = answered && call.status < kFirstFailureStatus;
    if (unsupported) servers_without_release_.insert(call.server);
    const char* const result = done ? "ok" : unsupported ? "none" : "failed";
    output.record(ServerRecord{call.server, ServerAction::release, result});
    output.record(KvReservationRecord{
        release.name, done ? KvReservationAction::release_succeeded : KvReservationAction::release_failed,
        call.server, release.reason, now - release.held_since});
    release.progress->done = release.progress->done || done;
    // If any server accepts the call, others are called at once: the time limit for the release keeps running
    // while a server is silent.
    const bool repeat = release_covers_request() && !release.progress->done && release.starts_next_round;
    if (!repeat) return;
    Entry* const entry = find(call.request);
    if (entry == nullptr || !entry->held)
        return begin_next_round(call.request, release, call.server, now, output);
    // If a later prefill has left a KV state, repeating the call now would release that, too. The release
    // stays pending instead, and is made together with that state's, unless a decode attempt fetches it
    // before.
    const auto* const server = endpoints_.find(call.server);
    if (server != nullptr && !entry->pending)
        entry->pending =
            KvReservation{*server, release.state, release.attempt, entry->held->since, release.reason};
    pending_.push_back(call.request);
}

// Each round calls more servers than the one before, as several servers may be silent, for example if a zone
// is cut off.
void ReservedKvStates::begin_next_round(RequestId id, ReleaseCall release, const std::string& failed_at,
                                        Time now, StepOutput& output) {
    ReleaseProgress& progress = *release.progress;
    if (progress.rounds >= settings_.limits.release_attempts) return;
    progress.rounds += 1;
    std::optional<CallId> leading;
    for (int i = 0; i < calls_in_round(progress.rounds); ++i) {
        const membership::EndpointConfig* next = endpoints_.last_active(progress.called);
        if (next == nullptr && !leading) {  // all servers have been called: start over
            progress.called = {failed_at};
            next = endpoints_.last_active(progress.called);
        }
        if (next == nullptr) break;
        release.starts_next_round = !leading;
        const auto call = begin_release(id, release, *next, now, output);
        if (release.starts_next_round) leading = call;
    }
    if (!leading) return;
    if (Entry* const entry = find(id)) entry->last_release = leading;
}

void ReservedKvStates::reservation_ended(const UpstreamCall& call, Time now) {
    Entry& entry = *find(call.request);
    const auto* const server = endpoints_.find(call.server);
    if (server != nullptr && !entry.pending)
        entry.pending =
            KvReservation{*server, "", call.attempt.value, now, ReleaseReason::reservation_may_be_held};
    pending_.push_back(call.request);
}

void ReservedKvStates::release(RequestId id, ReleaseReason reason, Time now, StepOutput& output) {
    if (!holds_any(id)) return;
    Entry& entry = *find(id);
    if (!entry.held) reason = entry.pending->reason;
    const KvReservation reservation = entry.held ? std::move(*entry.held) : std::move(*entry.pending);
    if (entry.held) held_count_ -= 1;
    entry.held.reset();
    entry.pending.reset();
    release_entry(id, entry, reservation, reason, now, output);
}

// Servers do not release a KV state that an attempt waits for. If the attempt has arrived, the release does
// not affect it; if not, the state is released. Only the server's response shows which is the case, so the
// release is repeated until then: the server may fail together with the attempt.
void ReservedKvStates::release_during_attempt(RequestId id, ReleaseReason reason, Time now,
                                              StepOutput& output) {
    assert(release_covers_request());
    Entry& entry = *find(id);
    if (entry.held) {
        output.notify(KvStateReleased{id});
        make_pending(id, entry, reason);
    }
    release_entry(id, entry, *entry.pending, entry.pending->reason, now, output);
    entry.pending->since = now;
}

void ReservedKvStates::release_entry(RequestId id, Entry& entry, const KvReservation& reservation,
                                     ReleaseReason reason, Time now, StepOutput& output) {
    const auto call =
        begin_release(id, {entry.name, reservation.attempt, reservation.state, reason, reservation.since},
                      reservation.server, now, output);
    if (call) entry.last_release = call;
}

void ReservedKvStates::release_pending(const std::function<bool(RequestId)>& attempt_in_flight, Time now,
                                       StepOutput& output) {
    std::vector<RequestId> waiting;
    for (const RequestId id : std::exchange(pending_, {})) {
        const Entry* const entry = find(id);
        if (entry == nullptr || !entry->pending) continue;
        // A held KV state and a pending release are released together.
        if (attempt_in_flight(id) || entry->held) waiting.push_back(id);
        else release(id, entry->pending->reason, now, output);
    }
    pending_ = std::move(waiting);
}

std::optional<CallId> ReservedKvStates::begin_release(RequestId id, ReleaseCall release,
                                                      const membership::EndpointConfig& holder, Time now,
                                                      StepOutput& output) {
    if (release.progress == nullptr) release.progress = std::make_shared<ReleaseProgress>();
    // The most recently active server is the most likely to be running and reachable.
    const membership::EndpointConfig* const preferred =
        release_covers_request() ? endpoints_.last_active(release.progress->called) : nullptr;
    const membership::EndpointConfig& to = preferred != nullptr ? *preferred : holder;
    const std::string& server = to.endpoint.id.value;
    auto request = protocol_.release(release.name, release.attempt, release.state, to.endpoint.kind);
    if (!request || servers_without_release_.contains(server)) {
        // The KV state remains until the server's own timeout; the record logs and counts this.
        output.record(ServerRecord{server, ServerAction::release, "none"});
        return std::nullopt;
    }
    release.progress->called.insert(server);
    output.record(KvReservationRecord{release.name, KvReservationAction::release_started, server,
                                      release.reason, now - release.held_since});
    UpstreamCall& call =
        calls_.begin(CallKind::release, to, std::move(*request), kReleasePriority, now, output);
    call.request = id;
    calls_.set_timer(call, now + release_timeout());
    release_calls_.emplace(call.id, std::move(release));
    return call.id;
}

Duration ReservedKvStates::release_timeout() const {
    const auto& limits = settings_.limits;
    return limits.release_retry > Duration::zero() ? limits.release_retry : limits.release_timeout;
}

bool ReservedKvStates::defers_attempts(RequestId id) const {
    const Entry* const entry = find(id);
    if (entry == nullptr || !entry->last_release || !release_covers_request()) return false;
    const UpstreamCall* const call = calls_.find(*entry->last_release);
    return call != nullptr && !call->written();
}

void ReservedKvStates::defer(RequestId id, const Send& attempt, Time now, StepOutput& output) {
    Entry& entry = *find(id);
    entry.deferred = DeferredAttempt{attempt, now};
    output.record(DeferralRecord{entry.name, DeferralAction::deferred, attempt.server.value, Duration{}});
}

bool ReservedKvStates::has_deferred(RequestId id) const {
    const Entry* const entry = find(id);
    return entry != nullptr && entry->deferred.has_value();
}

std::optional<Send> ReservedKvStates::take_ready_attempt(RequestId id, Time now, StepOutput& output) {
    if (!has_deferred(id) || defers_attempts(id)) return std::nullopt;
    return take_deferred(*find(id), DeferralAction::resumed, now, output);
}

Send ReservedKvStates::drop_deferred(RequestId id, Time now, StepOutput& output) {
    assert(has_deferred(id));
    return take_deferred(*find(id), DeferralAction::dropped, now, output);
}

Send ReservedKvStates::take_deferred(Entry& entry, DeferralAction action, Time now, StepOutput& output) {
    DeferredAttempt taken = *std::exchange(entry.deferred, std::nullopt);
    output.record(DeferralRecord{entry.name, action, taken.attempt.server.value, now - taken.since});
    return std::move(taken.attempt);
}

}  // namespace chalksail::core
