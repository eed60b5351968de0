#include "attempt_recorder.hpp"

namespace chalksail::policy {

void AttemptRecorder::record_sent(Server& server, const Request& request, const Attempt& attempt) {
    const Time now = attempt.sent_at;
    server.references += 1;
    if (attempt.stage == Stage::prefill) {
        server.queued_prefill_tokens += attempt.uncached_tokens;
        server.cache.record_prefill(request, now);
    } else {
        limits_.record_sent(server.limit, request.tokens());
    }
    const double work = requests_.mean_work(request.class_index);
    if (slow_start_.is_warming_up(server.endpoint.started_at, now))
        SlowStart::record_sent_to_warming(server.warm_up, work, now);
    else slow_start_.record_sent_to_warm(server.role, work, now);
    outliers_.record_sent(server.health, now);
}

void AttemptRecorder::record_end(Server& server, const Request& request, const Attempt& attempt,
                                 const AttemptEnded& event, const StepContext& context) {
    const Time now = context.now;
    const ServerId& id = server.endpoint.id;
    server.references -= 1;
    if (attempt.stage == Stage::prefill) server.queued_prefill_tokens -= attempt.uncached_tokens;
    else limits_.record_ended(server.limit, request.tokens());
    if (proves_arrival(event.outcome)) OutlierDetection::record_answer(server.health, now);
    const bool not_run =
        event.outcome == AttemptOutcome::at_capacity || event.outcome == AttemptOutcome::connect_failed;
    if (not_run && !slow_start_.is_warming_up(server.endpoint.started_at, now))
        slow_start_.record_not_run(server.role, requests_.mean_work(request.class_index));
    switch (event.outcome) {
        case AttemptOutcome::ok: record_served(server, request, attempt, context); break;
        case AttemptOutcome::prefilled:
            outliers_.record_success(id, server.health);
            latencies_.record_prefill(server.latency, attempt, event.elapsed);
            admission_.record_prefill(request, event.elapsed);
            break;
        case AttemptOutcome::at_capacity:
            if (!event.kv_state_missing && attempt.stage == Stage::decode)
                limits_.record_at_capacity(server.limit, attempt.sent_at, context);
            break;
        case AttemptOutcome::error: outliers_.record_error(id, server.health, now); break;
        case AttemptOutcome::cancelled:
        case AttemptOutcome::timeout: record_unanswered(server, request, attempt, event, context.now); break;
        case AttemptOutcome::connect_failed:
            // When the client disconnects, the connection attempt is aborted, which is not a server failure.
            if (!request.answered) outliers_.eject(id, server.health, now);
            break;
        case AttemptOutcome::reset: outliers_.eject(id, server.health, now); break;
        case AttemptOutcome::not_sent: break;
    }
}

void AttemptRecorder::record_served(Server& server, const Request& request, const Attempt& attempt,
                                    const StepContext& context) {
    outliers_.record_success(server.endpoint.id, server.health);
    limits_.record_success(server.limit, request.tokens(), context);
    if (attempt.stream_started)
        latencies_.record_stream(server.latency, request.class_index,
                                 context.now - attempt.stream_started_at);
}

void AttemptRecorder::record_unanswered(Server& server, const Request& request, const Attempt& attempt,
                                        const AttemptEnded& event, Time now) {
    const bool timed_out = event.outcome == AttemptOutcome::timeout;
    if (attempt.stream_started || (!timed_out && !attempt.cancelled)) return;
    if (attempt.stage == Stage::prefill) admission_.record_prefill(request, event.elapsed);
    latencies_.record_unanswered(attempt, event.elapsed);
    const bool silent_since = server.health.last_answer() <= attempt.sent_at;
    if (timed_out && silent_since) outliers_.eject(server.endpoint.id, server.health, now);
}

void AttemptRecorder::record_load_report(Server& server, const std::vector<double>& report,
                                         const StepContext& context) {
    if (server.role != Role::prefill) limits_.record_report(server.limit, report, context);
}

}  // namespace chalksail::policy
