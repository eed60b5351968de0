#include "core/attempt_runner.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::core {

using engine::ExchangeEnd;

namespace {

Role role_of(const Settings& settings, const std::string& kind) {
    for (const auto& known : settings.kinds)
        if (known.name == kind) return known.role;
    return Role::mixed;
}

}  // namespace

void AttemptRunner::begin(ActiveRequest& request, const membership::EndpointConfig& server,
                          const Send& action, Time now, StepOutput& output) {
    const ProtocolSession& session = *request.parsed.protocol_session;
    const AttemptId attempt{request.attempts++};
    const bool prefill = role_of(parts_.settings.router, server.endpoint.kind) == Role::prefill;
    const Duration time_remaining = request.deadline - now;
    auto message = prefill ? session.prefill_request(attempt.value, time_remaining)
                           : session.decode_request(attempt.value, parts_.kv_states.held_state(request.id),
                                                    time_remaining);
    const double priority = parts_.settings.router.classes[request.parsed.class_index].priority_weight;
    UpstreamCall& call =
        parts_.calls.begin(CallKind::attempt, server, std::move(message), priority, now, output);
    call.request = request.id;
    call.attempt = attempt;
    call.prefill = prefill;
    if (action.timeout > Duration::zero()) call.timeout = now + action.timeout;
    request.attempt = call.id;
    set_timer(request, call);
}

void AttemptRunner::receive_stream(UpstreamCall& call, std::string_view bytes, Time now, StepOutput& output) {
    const CallId id = call.id;
    ActiveRequest& request = *parts_.requests.find(call.request);
    // Bytes within the limit are parsed first, so that the result does not depend on how the body was split.
    const std::size_t remaining = parts_.settings.limits.max_stream_bytes - call.stream_bytes;
    const bool too_large = bytes.size() > remaining;
    bytes = bytes.substr(0, remaining);
    call.stream_bytes += bytes.size();
    request.last_byte = now;
    auto progress = call.parser->feed(bytes);
    if (progress.events > 0) {
        // The client has disconnected, and the settings do not let the router cancel attempts.
        if (request.finished()) return abort(id, ExchangeEnd::cancelled, "client disconnected", now, output);
        request.last_chunk = now;
        parts_.endpoints.record_activity(call.server, now);
        request.chunks += progress.events;
        if (!request.stream_started()) start_stream(request, call, now, output);
        if (!progress.to_client.empty())
            output.emit(SendStreamBytes{request.client, std::move(progress.to_client)});
    }
    switch (progress.state) {
        case DecodeResponseParser::State::incomplete:
            if (!too_large) return;
            return abort(id, ExchangeEnd::malformed_response, "stream exceeds the size limit", now, output);
        case DecodeResponseParser::State::complete:
            output.emit(CompleteCall{id});
            return end(id, ExchangeEnd::response_received, "", now, output);
        case DecodeResponseParser::State::malformed:
            return abort(id, ExchangeEnd::malformed_response, progress.detail, now, output);
    }
}

// Handles the first event of a decode response: from now on the client gets this attempt's response.
void AttemptRunner::start_stream(ActiveRequest& request, const UpstreamCall& call, Time now,
                                 StepOutput& output) {
    parts_.requests.start_stream(request, now);
    output.notify(StreamStarted{request.id, call.attempt, {call.server}, now - call.begun});
    parts_.kv_states.mark_fetched(request.id, call.server, now, output);
    Time check = now + parts_.settings.limits.stream_idle_timeout;
    if (request.migrate_at) check = std::min(check, *request.migrate_at);
    if (!request.streams()) check = std::min(check, request.deadline);
    parts_.requests.set_timer(request, check);
    parts_.requests.free_body(request);
    if (request.streams())
        output.emit(BeginStream{request.client, request.parsed.protocol_session->stream_head()});
}

void AttemptRunner::abort(CallId id, ExchangeEnd ending, const std::string& detail, Time now,
                          StepOutput& output) {
    output.emit(AbortCall{id});
    end(id, ending, detail, now, output);
}

void AttemptRunner::end(CallId id, ExchangeEnd ending, const std::string& detail, Time now,
                        StepOutput& output) {
    const UpstreamCall call = parts_.calls.end(id);
    ActiveRequest& request = *parts_.requests.find(call.request);
    request.attempt.reset();
    if (ending == ExchangeEnd::unverified) mark_unverified(call.server, detail, now, output);

    const AttemptResult result = classify_attempt(*parts_.protocol, call, ending, request.stream_started());
    if (result.may_have_run(call) && !request.first_run) {
        const auto* const server = parts_.endpoints.find(call.server);
        request.first_run = {call.begun, server == nullptr ? Endpoint{} : server->endpoint};
        if (parts_.guard.must_not_rerun(request)) parts_.run_history.record(request.parsed.name);
    }
    AttemptEnded event = attempt_ended_event(request, call, result, now);
    record_engine_counts(request, call, result, now, output);
    if (result.prefill) parts_.kv_states.hold(request.id, call, result.prefill->state, now, output);
    parts_.kv_states.attempt_ended(request.id, call, result, now, output);
    record_attempt(request, call, result, detail, now, output);
    output.notify(std::move(event));
    if (!request.finished()) completion_.respond_after_attempt(request, call, result, detail, now, output);
    completion_.remove_if_complete(request, now, output);
}

AttemptEnded AttemptRunner::attempt_ended_event(const ActiveRequest& request, const UpstreamCall& call,
                                                const AttemptResult& result, Time now) const {
    AttemptEnded event;
    event.id = request.id;
    event.attempt = call.attempt;
    event.server = {call.server};
    event.outcome = result.outcome();
    event.elapsed = now - call.begun;
    // Once its stream has started, the request finishes with the attempt, whether that succeeded or not. A
    // client error also finishes it.
    event.request_finished = request.finished() || request.stream_started() || result.client_error();
    event.kv_state_missing = result.classification.kv_state_missing;
    if (result.prefill) event.cached_prompt_tokens = result.prefill->cached_tokens.value_or(0);
    else if (!call.prefill && result.ok())
        event.cached_prompt_tokens = request.parsed.protocol_session->cached_tokens();
    event.load_report = call.head.load_report;
    return event;
}

void AttemptRunner::record_engine_counts(ActiveRequest& request, const UpstreamCall& call,
                                         const AttemptResult& result, Time now, StepOutput& output) {
    ProtocolSession& session = *request.parsed.protocol_session;
    if (!result.prefill) {
        const double reported = request.reported_prompt_tokens();
        if (!call.prefill && result.ok() && reported > 0) session.set_prompt_tokens(reported);
        return;
    }
    const double counted = result.prefill->prompt_tokens;
    parts_.cache_index.record_prefill(
        call.server,
        {counted > 0 ? counted : request.parsed.prompt_tokens, request.reported_cached_tokens(call.server),
         result.prefill->cached_tokens, now - call.begun},
        output);
    if (counted <= 0) return;
    request.counted_prompt_tokens = counted;
    session.set_prompt_tokens(counted);
}

void AttemptRunner::record_attempt(ActiveRequest& request, const UpstreamCall& call,
                                   const AttemptResult& result, const std::string& detail, Time now,
                                   StepOutput& output) {
    request.record_attempt(call, result, detail, now);
    observe::AttemptRecord record;
    record.request = request.parsed.name;
    record.attempt = call.attempt.value;
    record.server = call.server;
    record.prefill = call.prefill;
    record.outcome = engine::name(result.outcome());
    record.status = call.status;
    record.sent = call.sent();
    record.started = request.stream_started() && !call.prefill;
    record.duration = now - call.begun;
    record.detail = detail;
    record.written = call.written();
    output.record(std::move(record));
}

void AttemptRunner::withdraw_queued(const std::set<std::string>& servers, Time now, StepOutput& output) {
    for (const CallId id : parts_.calls.queued_attempts(servers))
        abort(id, ExchangeEnd::withdrawn, "list", now, output);
}

void AttemptRunner::mark_unverified(const std::string& server, const std::string& detail, Time now,
                                    StepOutput& output) {
    // Attempts that still wait for a connection to this server would fail in the same way, after one
    // handshake each.
    if (parts_.endpoints.mark_unverified(server, detail, now, output)) withdraw_queued({server}, now, output);
}

void AttemptRunner::set_timer(ActiveRequest& request, const UpstreamCall& attempt) {
    Time due = attempt_deadline(request, attempt);
    // The time until a held KV state is released keeps running until the server responds. Otherwise an
    // attempt that never arrives, because its connection is not established or its server is silent, would
    // delay the release.
    const auto release = parts_.kv_states.release_due(request.id);
    if (release && attempt.status == 0) due = std::min(due, *release);
    parts_.requests.set_timer(request, due);
}

}  // namespace chalksail::core
