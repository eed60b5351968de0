#include "core/edge.hpp"

#include <algorithm>
#include <utility>

#include "core/client_response.hpp"

namespace chalksail::core {

using engine::ExchangeEnd;
using observe::GuardReason;
using observe::GuardRecord;
using observe::ReleaseReason;
using observe::Termination;
using observe::TerminationReason;

namespace {

// Maximum router steps within one step of the core, against endless loops; two or three are typical.
constexpr int kMaxRouterRounds = 64;

observe::EndpointListRecord make_list_record(const membership::EndpointList& list) {
    observe::EndpointListRecord record;
    record.kind = list.kind;
    record.generation = list.generation;
    for (const auto& config : list.endpoints) {
        switch (config.endpoint.state) {
            case EndpointState::up: record.up += 1; break;
            case EndpointState::draining: record.draining += 1; break;
            case EndpointState::removed: record.removed += 1; break;
        }
    }
    return record;
}

}  // namespace

Edge::Edge(const config::EdgeSettings& settings, std::shared_ptr<const engine::Vocabulary> vocabulary)
    : Edge(settings, make_router_policy(settings), std::move(vocabulary)) {}

Edge::Edge(const config::EdgeSettings& settings, std::unique_ptr<RoutingPolicy> routing_policy,
           std::shared_ptr<const engine::Vocabulary> vocabulary)
    : parts_(settings, std::move(vocabulary)),
      router_(std::move(routing_policy)),
      intake_(parts_),
      completion_(parts_),
      attempts_(parts_, completion_) {}
Edge::~Edge() = default;

std::vector<Output> Edge::step(Time now, std::vector<Input> inputs) {
    // If the clock jumps back, the core's time stands still until the clock has caught up.
    now_ = std::max(now_, now);
    // Sent and written bytes are processed before all other inputs, whatever their order. Otherwise an
    // endpoint list, a disconnect or a timeout in the same step could classify an attempt as unsent, and so
    // as proved not to have run.
    for (const auto& input : inputs) {
        if (const auto* sent = std::get_if<CallSent>(&input)) on(*sent);
        if (const auto* written = std::get_if<CallWritten>(&input)) on(*written);
    }
    for (auto& input : inputs) std::visit([this](auto& typed) { on(typed); }, input);
    run_timers();
    run_router();
    parts_.kv_states.release_pending([this](RequestId id) { return parts_.requests.attempt_in_flight(id); },
                                     now_, output_);
    begin_verifications();
    return output_.take_effects();
}

std::optional<Time> Edge::next_wake() const {
    std::optional<Time> next;
    const auto consider = [&](std::optional<Time> at) {
        if (at) next = next ? std::min(*next, *at) : at;
    };
    if (output_.has_events()) consider(now_);
    consider(parts_.requests.next_timer());
    consider(parts_.calls.next_timer());
    consider(router_.next_timer());
    consider(parts_.endpoints.next_verification());
    consider(parts_.cache_index.next_timer());
    return next;
}

bool Edge::may_begin(Time now, CallId id, http::Headers& headers) const {
    const UpstreamCall* const call = parts_.calls.find(id);
    if (call == nullptr) return false;
    if (call->kind != CallKind::attempt) return true;
    const ActiveRequest& request = *parts_.requests.find(call->request);
    if (!parts_.guard.may_begin(request, call->server, now)) return false;
    request.parsed.protocol_session->update_time_remaining(headers, request.deadline - now);
    return true;
}

Gauges Edge::gauges() const {
    return {parts_.requests.unfinished_count(),
            parts_.requests.streaming_count(),
            parts_.calls.count(),
            parts_.kv_states.held_count(),
            parts_.requests.body_bytes(),
            parts_.calls.buffered_bytes(),
            router_.tracked_requests(),
            parts_.endpoints.unverified_count(),
            parts_.cache_index.counts()};
}

std::vector<membership::EndpointConfig> Edge::endpoints() const {
    std::vector<membership::EndpointConfig> out;
    for (const auto& [id, config] : parts_.endpoints.all()) out.push_back(config);
    return out;
}

// ---- clients ----

void Edge::on(const ClientClosed& input) {
    ActiveRequest* const request = parts_.requests.find(input.client);
    if (request == nullptr) return;
    output_.notify(ClientDisconnected{request->id});
    request->record_client_closed(input.detail);
    completion_.finish(*request, Termination::client_gone, 0,
                       request->stream_started() ? TerminationReason::disconnected_during_stream
                       : request->attempt        ? TerminationReason::disconnected_during_attempt
                                                 : TerminationReason::disconnected_before_attempt,
                       now_, output_);
    if (!request->attempt) return completion_.remove_if_complete(*request, now_, output_);
    const UpstreamCall& attempt = *parts_.calls.find(*request->attempt);
    // The router cancels attempts whose stream has not started, but never a started stream, so that is
    // aborted here. So is an attempt that cannot have arrived yet, because it is queued or its server reads
    // slowly: it must not begin for a client that has disconnected.
    if (request->stream_started() || !may_have_arrived(*parts_.protocol, attempt))
        return attempts_.abort(attempt.id, ExchangeEnd::cancelled, "client disconnected", now_, output_);
    // An attempt that the router does not cancel runs to its end. The timer also covers the KV state held for
    // the request, whose release does not wait for that end.
    attempts_.set_timer(*request, attempt);
}

// Responds to all open requests, so that no connection is closed without a response when the gateway exits.
void Edge::on(const DrainExpired&) {
    for (const RequestId id : parts_.requests.unfinished()) {
        ActiveRequest& request = *parts_.requests.find(id);
        output_.notify(ClientDisconnected{id});
        completion_.fail(request, kServiceUnavailable, TerminationReason::drain_expired,
                         "the gateway is shutting down", now_, output_);
        if (request.attempt)
            attempts_.abort(*request.attempt, ExchangeEnd::cancelled, "drain", now_, output_);
        else completion_.remove_if_complete(request, now_, output_);
    }
}

void Edge::on(const ClientBacklog& input) {
    ActiveRequest* const request = parts_.requests.find(input.client);
    if (request == nullptr || !request->attempt) return;
    UpstreamCall& attempt = *parts_.calls.find(*request->attempt);
    if (attempt.paused == input.full) return;
    attempt.paused = input.full;
    request->last_chunk = request->last_byte = now_;
    output_.emit(SetCallPaused{attempt.id, input.full});
}

// ---- calls ----

void Edge::on(const CallSent& input) {
    if (UpstreamCall* const call = parts_.calls.find(input.call)) call->advance(SendPhase::sending);
}

void Edge::on(const CallWritten& input) {
    UpstreamCall* const call = parts_.calls.find(input.call);
    if (call == nullptr) return;
    call->advance(SendPhase::written);
    if (call->kind == CallKind::release) resume_deferred(call->request);
}

void Edge::on(CallHead& input) {
    UpstreamCall* const call = parts_.calls.find(input.call);
    if (call == nullptr) return;
    call->advance(SendPhase::sending);
    parts_.endpoints.record_activity(call->server, now_);
    call->status = input.status;
    call->head = parts_.protocol->read_head(input.status, input.headers);
    if (call->kind == CallKind::attempt && !call->prefill && input.status == 200)
        call->parser = parts_.requests.find(call->request)->parsed.protocol_session->decode_parser();
}

void Edge::on(CallBody& input) {
    UpstreamCall* const call = parts_.calls.find(input.call);
    if (call == nullptr) return;
    if (call->parser != nullptr) {
        attempts_.receive_stream(*call, input.bytes, now_, output_);
    } else if (call->body.size() + input.bytes.size() <= parts_.settings.limits.response_bytes) {
        call->body += input.bytes;
    } else {
        output_.emit(AbortCall{call->id});
        end_call(call->id, ExchangeEnd::malformed_response, "response body too large");
    }
    limit_buffered_responses(input.call);
}

// Bounds the memory used by many servers that each send part of a response and then stop.
void Edge::limit_buffered_responses(CallId changed) {
    if (UpstreamCall* const call = parts_.calls.find(changed)) parts_.calls.update_buffered_bytes(*call);
    while (parts_.calls.buffered_bytes() > parts_.settings.limits.all_responses_bytes) {
        const auto largest = parts_.calls.largest_buffer();
        if (!largest) return;
        output_.emit(AbortCall{*largest});
        end_call(*largest, ExchangeEnd::malformed_response, "too much of all servers' responses is buffered");
    }
}

void Edge::on(const CallFailed& input) {
    const UpstreamCall* const call = parts_.calls.find(input.call);
    if (call != nullptr && call->half_closed) end_call(input.call, ExchangeEnd::cancelled, "cancelled");
    else end_call(input.call, input.ending, input.detail);
}

void Edge::end_call(CallId id, ExchangeEnd ending, const std::string& detail) {
    const UpstreamCall* const known = parts_.calls.find(id);
    if (known == nullptr) return;
    if (known->kind == CallKind::attempt) return attempts_.end(id, ending, detail, now_, output_);
    const UpstreamCall call = parts_.calls.end(id);
    if (ending == ExchangeEnd::unverified) attempts_.mark_unverified(call.server, detail, now_, output_);
    switch (call.kind) {
        case CallKind::attempt: return;
        case CallKind::health_check: return end_health_check(call, ending);
        case CallKind::reservation: return end_reservation(call, ending);
        case CallKind::verify: return end_verification(call, ending);
        case CallKind::release:
            parts_.kv_states.release_ended(call, ending, now_, output_);
            return resume_deferred(call.request);
    }
}

void Edge::end_reservation(const UpstreamCall& call, ExchangeEnd ending) {
    using Reservation = Protocol::Reservation;
    const Reservation reservation = ending == ExchangeEnd::response_received
                                        ? parts_.protocol->reservation_state(call.status)
                                        : Reservation::unknown;
    const ActiveRequest* const request = parts_.requests.find(call.request);
    if (request == nullptr) return;
    if (reservation != Reservation::unknown)
        output_.notify(ReservationResult{request->id, {call.server}, reservation == Reservation::held});
    if (reservation != Reservation::not_held && call.sent() && !request->stream_started())
        parts_.kv_states.reservation_ended(call, now_);
}

void Edge::end_health_check(const UpstreamCall& call, ExchangeEnd ending) {
    const AttemptOutcome outcome = classify_health_check(call, ending);
    output_.record(observe::ServerRecord{call.server, observe::ServerAction::health_check,
                                         std::string(engine::name(outcome))});
    output_.notify(HealthCheckEnded{
        {call.server}, outcome, now_ - call.begun, parts_.protocol->health_check_load(call.head, call.body)});
}

void Edge::end_verification(const UpstreamCall& call, ExchangeEnd ending) {
    if (ending == ExchangeEnd::response_received) parts_.endpoints.mark_verified(call.server, output_);
    else if (ending != ExchangeEnd::unverified) parts_.endpoints.verification_inconclusive(call.server, now_);
}

// ---- endpoints ----

void Edge::on(const membership::EndpointList& input) {
    output_.record(make_list_record(input));
    const auto unavailable = parts_.endpoints.apply(input, now_, output_);
    parts_.cache_index.update_subscriptions(parts_.endpoints.all(), now_, output_);
    attempts_.withdraw_queued(unavailable, now_, output_);
    // An endpoint with a call in flight stays until that has ended; KV states have a copy of theirs.
    for (const auto& server : parts_.endpoints.forget_removed(parts_.calls.servers_in_use())) {
        parts_.kv_states.forget_server(server);
        output_.emit(ForgetEndpoint{server});
    }
}

void Edge::begin_verifications() {
    for (const auto& server : parts_.endpoints.due_verifications(now_)) {
        UpstreamCall& call = parts_.calls.begin(CallKind::verify, server, {}, 0, now_, output_);
        parts_.calls.set_timer(call, now_ + parts_.settings.limits.release_timeout);
    }
}

// ---- actions of the routing policy ----

void Edge::run_router() {
    for (int round = 0; output_.has_events() && round < kMaxRouterRounds; ++round) {
        const auto events = output_.take_events();
        for (const auto& action : router_.step(now_, events))
            std::visit([this](const auto& typed) { apply(typed); }, action);
    }
}

void Edge::apply(const Send& action) {
    ActiveRequest* const request = parts_.requests.find(action.id);
    if (request == nullptr) return;
    // A release call that is still queued must not be dropped in favour of the next attempt: the KV state
    // would never be released. The attempt is deferred instead.
    if (!request->finished() && parts_.kv_states.defers_attempts(request->id)) {
        parts_.kv_states.defer(request->id, action, now_, output_);
        return parts_.requests.set_timer(*request, request->deadline);
    }
    const auto reason = parts_.guard.check(*request, action, now_);
    if (!reason)
        return attempts_.begin(*request, *parts_.endpoints.find(action.server.value), action, now_, output_);
    const AttemptId attempt{request->attempts++};
    output_.record(GuardRecord{request->parsed.name, *reason});
    if (request->attempt) return;
    output_.notify(AttemptEnded{request->id,
                                attempt,
                                action.server,
                                AttemptOutcome::not_sent,
                                {},
                                request->finished(),
                                false,
                                0,
                                {}});
}

// Called whenever a release call has been written or has ended: only take_ready_attempt() decides whether
// another call still defers the attempt.
void Edge::resume_deferred(RequestId id) {
    if (const auto action = parts_.kv_states.take_ready_attempt(id, now_, output_)) apply(*action);
}

void Edge::apply(const Reject& action) {
    ActiveRequest* const request = parts_.requests.find(action.id);
    if (request == nullptr || request->finished()) return;
    if (!parts_.guard.may_reject(*request)) {
        output_.record(GuardRecord{request->parsed.name, GuardReason::refusal_of_what_may_have_run});
        completion_.fail(*request, kBadGateway, TerminationReason::attempts_failed,
                         "the request failed and may have run", now_, output_);
        return completion_.remove_if_complete(*request, now_, output_);
    }
    auto response = request->parsed.protocol_session->rejection(action.retry_after);
    const int status = response.status;
    send_response(request->client, std::move(response), output_);
    completion_.finish(
        *request, Termination::refused, status,
        request->attempts == 0 ? TerminationReason::not_attempted : TerminationReason::attempts_failed, now_,
        output_);
    completion_.remove_if_complete(*request, now_, output_);
}

void Edge::apply(const Fail& action) {
    ActiveRequest* const request = parts_.requests.find(action.id);
    if (request == nullptr || request->finished()) return;
    if (now_ >= request->deadline) {
        completion_.fail(*request, kGatewayTimeout, TerminationReason::deadline,
                         "no response before the deadline", now_, output_);
    } else {
        const std::string& outcome = request->last_outcome;
        completion_.fail(
            *request, kBadGateway, TerminationReason::attempts_failed,
            "no server completed the request" + (outcome.empty() ? "" : " (last outcome: " + outcome + ")"),
            now_, output_);
    }
    completion_.remove_if_complete(*request, now_, output_);
}

// A prefill may complete at the moment of its cancellation. If the connection were closed at once, the
// response would be lost on its way, and the prompt would be processed again, or its request rejected,
// although the prefill was done. For a client that has disconnected, the KV state's release would overtake
// the end of the prefill. The connection is therefore half-closed where the protocol allows it.
void Edge::apply(const CancelAttempt& action) {
    ActiveRequest* const request = parts_.requests.find(action.id);
    if (request == nullptr || request->stream_started()) return;
    if (parts_.kv_states.has_deferred(request->id)) return completion_.drop_deferred(*request, now_, output_);
    if (!request->attempt) return;
    UpstreamCall& call = *parts_.calls.find(*request->attempt);
    if (call.attempt != action.attempt) return;
    const bool await_response = call.prefill && call.written();
    if (!await_response || !parts_.protocol->half_close_cancels())
        return attempts_.abort(call.id, ExchangeEnd::cancelled, "cancelled", now_, output_);
    if (std::exchange(call.half_closed, true)) return;
    output_.emit(HalfCloseCall{call.id});
    parts_.calls.set_timer(call, now_ + parts_.settings.limits.cancel_wait);
}

void Edge::apply(const ReleaseKvState& action) {
    ActiveRequest* const request = parts_.requests.find(action.id);
    if (request == nullptr) return;
    if (!request->attempt)
        return parts_.kv_states.release(request->id, ReleaseReason::decided, now_, output_);
    // With an attempt in flight, the KV state belongs to that attempt. Only a protocol whose releases cover
    // the whole request can release it without disturbing the attempt.
    if (!parts_.kv_states.holds_any(request->id) || !parts_.kv_states.release_covers_request()) return;
    parts_.kv_states.release_during_attempt(request->id, ReleaseReason::decided, now_, output_);
    attempts_.set_timer(*request, *parts_.calls.find(*request->attempt));
}

// Breaks the client's stream. The client requests the rest of it, which other servers prefill and decode.
void Edge::apply(const MigrateStream& action) {
    ActiveRequest* const request = parts_.requests.find(action.id);
    if (request == nullptr || request->phase != RequestPhase::streaming) return;
    if (!request->attempt || !parts_.settings.router.stream_resumption_enabled) return;
    const CallId id = *request->attempt;
    output_.emit(AbortCall{id});
    output_.emit(AbortStream{request->client});
    completion_.finish(*request, Termination::failed, 0, TerminationReason::stream_migrated, now_, output_);
    attempts_.end(id, ExchangeEnd::cancelled, "moved", now_, output_);
}

void Edge::apply(const Reserve& action) {
    const ActiveRequest* const request = parts_.requests.find(action.id);
    if (request == nullptr || request->finished() || !parts_.endpoints.is_up(action.server.value)) return;
    auto message = parts_.protocol->reservation_request(request->parsed.name);
    if (!message || !parts_.settings.router.early_reservation_enabled) return;
    UpstreamCall& call =
        parts_.calls.begin(CallKind::reservation, *parts_.endpoints.find(action.server.value),
                           std::move(*message), 0, now_, output_);
    call.request = request->id;
    parts_.calls.set_timer(call, std::max(request->deadline, now_ + parts_.settings.limits.release_timeout));
}

void Edge::apply(const HealthCheck& action) {
    const std::string& name = action.server.value;
    const auto* const server = parts_.endpoints.find(name);
    if (server == nullptr || parts_.endpoints.unverified(name))
        return output_.notify(HealthCheckEnded{action.server, AttemptOutcome::not_sent, {}, {}});
    UpstreamCall& call = parts_.calls.begin(CallKind::health_check, *server,
                                            parts_.protocol->health_check_request(), 0, now_, output_);
    parts_.calls.set_timer(call, now_ + parts_.settings.limits.release_timeout);
}

// ---- timers ----

void Edge::run_timers() {
    router_.run_timers(now_, output_);
    while (const auto id = parts_.calls.pop_due(now_)) expire_call(*id);
    parts_.cache_index.run_timers(now_, output_);
    while (ActiveRequest* const request = parts_.requests.pop_due(now_)) on_timer(*request);
}

void Edge::expire_call(CallId id) {
    output_.emit(AbortCall{id});
    // Attempts have a call timer only after their cancellation (limits.cancel_wait).
    if (parts_.calls.find(id)->kind == CallKind::attempt) end_call(id, ExchangeEnd::cancelled, "cancelled");
    else end_call(id, ExchangeEnd::timed_out, "");
}

void Edge::on_timer(ActiveRequest& request) {
    if (request.stream_started()) check_stream(request);
    else if (request.attempt) check_attempt(request);
    else check_deadline(request);
}

// The timer is not reset at each chunk: the limits are checked when the idle timeout may have expired.
void Edge::check_stream(ActiveRequest& request) {
    const UpstreamCall& attempt = *parts_.calls.find(*request.attempt);
    const StreamLimit limit = stream_limit(request, parts_.settings.limits, attempt.paused, now_);
    if (!limit.reached(now_)) return parts_.requests.set_timer(request, limit.next_check());
    attempts_.abort(attempt.id, ExchangeEnd::timed_out,
                    now_ >= limit.end ? "stream duration limit reached" : "stream idle timeout", now_,
                    output_);
}

void Edge::check_attempt(ActiveRequest& request) {
    const UpstreamCall& attempt = *parts_.calls.find(*request.attempt);
    if (now_ < attempt_deadline(request, attempt)) return check_unanswered_attempt(request, attempt);
    const bool timeout = now_ < request.deadline;  // the timeout that the router set for this attempt
    if (timeout) {
        parts_.requests.set_timer(request, request.deadline);
    } else {
        parts_.requests.set_timer(request, now_ + deadline_grace());
        ActiveRequests::mark_overdue(request);
    }
    attempts_.abort(attempt.id, ExchangeEnd::timed_out, timeout ? "time-out" : "deadline", now_, output_);
}

// The release of a held KV state may become due while an attempt is in flight.
void Edge::check_unanswered_attempt(ActiveRequest& request, const UpstreamCall& attempt) {
    const auto release = parts_.kv_states.release_due(request.id);
    if (attempt.status != 0 || !release || now_ < *release) return attempts_.set_timer(request, attempt);
    parts_.requests.set_timer(request, attempt_deadline(request, attempt));
    if (parts_.kv_states.holds_state(request.id) && !may_have_arrived(*parts_.protocol, attempt))
        return attempts_.abort(attempt.id, ExchangeEnd::cancelled,
                               "no connection before the KV state's release", now_, output_);
    if (!parts_.kv_states.release_covers_request()) return;
    parts_.kv_states.release_during_attempt(request.id, ReleaseReason::decode_unanswered, now_, output_);
    attempts_.set_timer(request, attempt);
}

// No attempt is in flight. At the deadline the router is notified and gets one chance to respond.
void Edge::check_deadline(ActiveRequest& request) {
    if (now_ < request.deadline) return parts_.requests.set_timer(request, request.deadline);
    if (parts_.kv_states.has_deferred(request.id)) {
        parts_.requests.set_timer(request, now_ + deadline_grace());
        return completion_.drop_deferred(request, now_, output_);
    }
    if (request.phase != RequestPhase::overdue) {
        ActiveRequests::mark_overdue(request);
        parts_.requests.set_timer(request, now_ + deadline_grace());
        return output_.notify(TimerFired{{0}});
    }
    output_.record(GuardRecord{request.parsed.name, GuardReason::no_final_answer_at_deadline});
    output_.notify(ClientDisconnected{request.id});
    completion_.fail(request, kGatewayTimeout, TerminationReason::deadline, "no response before the deadline",
                     now_, output_);
    completion_.remove_if_complete(request, now_, output_);
}

}  // namespace chalksail::core
