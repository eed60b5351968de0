#include "core/request_intake.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/client_response.hpp"

namespace chalksail::core {

using observe::Termination;
using observe::TerminationReason;

void RequestIntake::receive(ClientRequest& input, Time now, StepOutput& output) {
    if (auto response = parts_.protocol->local_response(input.request, draining_))
        return send_response(input.client, std::move(*response), output);
    using Reason = Protocol::RejectionReason;
    const std::uint64_t number = parts_.requests.next_number();
    if (draining_)
        return reject(input.client, parts_.protocol->reject(input.request, number, Reason::draining),
                      Termination::refused, TerminationReason::draining, output);
    const std::size_t body_bytes = input.request.body.size();
    if (!parts_.requests.has_capacity(body_bytes))
        return reject(input.client, parts_.protocol->reject(input.request, number, Reason::limit),
                      Termination::refused, TerminationReason::over_limit, output);
    auto parsed = parts_.protocol->parse(input.request, number);
    if (!parsed)
        return reject(input.client, std::move(parsed.error()), Termination::rejected,
                      TerminationReason::invalid_request, output);
    // Its client may have disconnected and sent it again, or taken a failure for one that may be repeated.
    if (parts_.run_history.contains(parsed->name) && !parsed->resumes_stream)
        return reject_rerun(input.client, *parsed, output);
    const Time received_at = std::min(now, input.received_at.value_or(now));
    start_request({input.client, number, body_bytes, received_at}, std::move(*parsed), now, output);
}

void RequestIntake::reject(ClientId client, Rejection rejection, Termination termination,
                           TerminationReason reason, StepOutput& output) {
    observe::RequestRecord record;
    record.request = std::move(rejection.name);
    record.client_request = std::move(rejection.client_name);
    record.termination = termination;
    record.status = rejection.response.status;
    record.reason = reason;
    output.record(std::move(record));
    send_response(client, std::move(rejection.response), output);
}

void RequestIntake::reject_rerun(ClientId client, const ParsedRequest& parsed, StepOutput& output) {
    auto response = parsed.protocol_session->failure(
        kConflict, "a request with this id may already have run; it was not run again", false);
    reject(client, {std::move(response), parsed.name, parsed.client_name}, Termination::rejected,
           TerminationReason::may_have_run_before, output);
}

Time RequestIntake::deadline(const ParsedRequest& parsed, Time received_at, Time now) const {
    const Settings& settings = parts_.settings.router;
    const Duration time_budget = std::max(settings.tick, parsed.deadline - settings.answer_slack);
    return std::min(received_at + time_budget, std::max(response_deadline_, now + settings.tick));
}

void RequestIntake::start_request(const Arrival& arrival, ParsedRequest parsed, Time now,
                                  StepOutput& output) {
    auto request = std::make_unique<ActiveRequest>();
    request->id = {arrival.number};
    request->client = arrival.client;
    request->parsed = std::move(parsed);
    request->body_bytes = arrival.body_bytes;
    request->arrived = arrival.received_at;
    request->deadline = deadline(request->parsed, arrival.received_at, now);
    if (request->deadline <= now) return reject_expired(*request, now, output);
    // The shutdown would otherwise cut the stream off.
    if (response_deadline_ != Time::max() && parts_.settings.router.stream_resumption_enabled)
        request->migrate_at = response_deadline_;
    if (parts_.cache_index.enabled())
        request->reported_prefixes =
            parts_.cache_index.cached_prefixes(request->parsed.protocol_session->prompt_text());

    ActiveRequest& added = parts_.requests.add(std::move(request));
    parts_.kv_states.track(added.id, added.parsed.name);
    output.notify(make_arrival_event(added, now));
    parts_.requests.set_timer(added, added.deadline);
}

void RequestIntake::reject_expired(ActiveRequest& request, Time now, StepOutput& output) {
    auto response = request.parsed.protocol_session->rejection({});
    output.record(request.record(parts_.settings.router.classes[request.parsed.class_index].name,
                                 Termination::refused, response.status, TerminationReason::not_attempted,
                                 now));
    send_response(request.client, std::move(response), output);
}

RequestArrived RequestIntake::make_arrival_event(const ActiveRequest& request, Time now) const {
    const ParsedRequest& parsed = request.parsed;
    RequestArrived arrived;
    arrived.id = request.id;
    arrived.class_name = parts_.settings.router.classes[parsed.class_index].name;
    arrived.tenant = parsed.tenant;
    arrived.session = parsed.session;
    arrived.prefix = parsed.prefix;
    arrived.time_remaining = request.deadline - now;
    arrived.elapsed = now - request.arrived;
    arrived.output_duration_hint = parsed.output_duration_hint;
    arrived.prompt_tokens = parsed.prompt_tokens;
    arrived.shared_tokens = parsed.shared_tokens;
    arrived.max_output = parsed.max_output;
    arrived.retry = parsed.retry;
    arrived.resumes_stream = parsed.resumes_stream;
    for (const auto& cached : request.reported_prefixes)
        if (parts_.cache_index.trusted(cached.server.value)) arrived.cached_prefixes.push_back(cached);
    return arrived;
}

}  // namespace chalksail::core
