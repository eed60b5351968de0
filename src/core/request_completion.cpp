#include "core/request_completion.hpp"

#include "core/client_response.hpp"

namespace chalksail::core {

using engine::ExchangeEnd;
using observe::Termination;
using observe::TerminationReason;

void RequestCompletion::fail(ActiveRequest& request, int status, TerminationReason reason,
                             const std::string& message, Time now, StepOutput& output) {
    send_failure(request, status, message, parts_.guard.retryable(request), output);
    finish(request, Termination::failed, status, reason, now, output);
}

void RequestCompletion::finish(ActiveRequest& request, Termination termination, int status,
                               TerminationReason reason, Time now, StepOutput& output) {
    parts_.requests.finish(request);
    const std::string& class_name = parts_.settings.router.classes[request.parsed.class_index].name;
    output.record(request.record(class_name, termination, status, reason, now));
    parts_.requests.free_body(request);
}

void RequestCompletion::remove_if_complete(ActiveRequest& request, Time now, StepOutput& output) {
    if (!request.finished() || request.attempt) return;
    if (parts_.kv_states.has_deferred(request.id)) drop_deferred(request, now, output);
    parts_.kv_states.finish(request.id, now, output);
    parts_.requests.remove(request);
}

void RequestCompletion::drop_deferred(ActiveRequest& request, Time now, StepOutput& output) {
    const Send action = parts_.kv_states.drop_deferred(request.id, now, output);
    const AttemptId attempt{request.attempts++};
    output.notify(AttemptEnded{
        request.id, attempt, action.server, AttemptOutcome::not_sent, {}, request.finished(), false, 0, {}});
}

void RequestCompletion::respond_after_attempt(ActiveRequest& request, const UpstreamCall& call,
                                              const AttemptResult& result, const std::string& detail,
                                              Time now, StepOutput& output) {
    if (result.client_error()) {
        const ProtocolSession& session = *request.parsed.protocol_session;
        send_response(request.client, session.server_rejection(call.status, call.head, call.body), output);
        finish(request, Termination::rejected, call.status, TerminationReason::rejected_by_engine, now,
               output);
    } else if (result.ok()) {
        complete_response(request, output);
        finish(request, Termination::served, kOk, TerminationReason::served, now, output);
    } else if (request.stream_started()) {
        const bool timed_out = result.ending == ExchangeEnd::timed_out;
        fail(request, timed_out ? kGatewayTimeout : kBadGateway,
             timed_out ? TerminationReason::stream_timeout : TerminationReason::broken_stream,
             "the response was interrupted: " + (detail.empty() ? request.last_outcome : detail), now,
             output);
    }
}

}  // namespace chalksail::core
