#include "core/active_requests.hpp"

#include <algorithm>
#include <cassert>

#include "engine/outcome.hpp"

namespace chalksail::core {

namespace {

std::int64_t whole_milliseconds(Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

[[maybe_unused]] bool is_valid_transition(RequestPhase from, RequestPhase to) {
    switch (to) {
        case RequestPhase::waiting: return false;
        case RequestPhase::overdue:
        case RequestPhase::streaming: return from == RequestPhase::waiting;
        case RequestPhase::finished: return from != RequestPhase::finished;
    }
    return false;
}

}  // namespace

double ActiveRequest::reported_prompt_tokens() const {
    const double reported = parsed.protocol_session->reported_prompt_tokens();
    return reported > 0 ? reported : counted_prompt_tokens;
}

double ActiveRequest::reported_cached_tokens(const std::string& server) const {
    for (const auto& cached : reported_prefixes)
        if (cached.server.value == server) return cached.tokens;
    return 0;
}

void ActiveRequest::append_to_history(const std::string& text) {
    if (!attempt_history.empty()) attempt_history += ' ';
    attempt_history += text;
}

void ActiveRequest::record_attempt(const UpstreamCall& call, const AttemptResult& result,
                                   const std::string& detail, Time now) {
    last_outcome = engine::name(result.outcome());
    append_to_history(call.server + (call.prefill ? ":read:" : ":write:") + last_outcome + "/" +
                      std::to_string(whole_milliseconds(now - call.begun)) + "ms" +
                      (detail.empty() ? "" : " (" + detail + ")"));
}

void ActiveRequest::record_client_closed(const std::string& detail) {
    if (!detail.empty()) append_to_history("client:" + detail);
}

observe::RequestRecord ActiveRequest::record(const std::string& class_name, observe::Termination termination,
                                             int status, observe::TerminationReason reason, Time now) const {
    observe::RequestRecord record;
    record.request = parsed.name;
    record.client_request = parsed.client_name;
    record.class_name = class_name;
    record.tenant = parsed.tenant;
    record.termination = termination;
    record.status = status;
    record.reason = reason;
    record.total = now - arrived;
    if (first_chunk) record.first_token = *first_chunk - arrived;
    record.prompt_tokens = parsed.prompt_tokens;
    record.reported_prompt_tokens = reported_prompt_tokens();
    record.completion_tokens = parsed.protocol_session->completion_tokens();
    record.chunks = chunks;
    record.streamed = streams();
    record.attempt_history = attempt_history;
    return record;
}

StreamLimit stream_limit(const ActiveRequest& request, const config::EdgeLimits& limits, bool paused,
                         Time now) {
    StreamLimit limit;
    limit.end = *request.first_chunk + limits.max_stream_duration;
    if (request.migrate_at) limit.end = std::min(limit.end, *request.migrate_at);
    // A client that does not stream receives nothing before the end, so its deadline still applies.
    if (!request.streams()) limit.end = std::min(limit.end, request.deadline);
    limit.idle = std::min((paused ? now : request.last_byte) + limits.stream_idle_timeout,
                          (paused ? now : request.last_chunk) + limits.max_event_duration);
    return limit;
}

Time attempt_deadline(const ActiveRequest& request, const UpstreamCall& attempt) {
    return attempt.timeout ? std::min(request.deadline, *attempt.timeout) : request.deadline;
}

bool ActiveRequests::has_capacity(std::size_t body_bytes) const {
    return unfinished_ < static_cast<std::size_t>(limits_.open_requests) &&
           body_bytes_ + body_bytes <= limits_.request_bytes;
}

ActiveRequest& ActiveRequests::add(std::unique_ptr<ActiveRequest> request) {
    ActiveRequest& added = *request;
    unfinished_ += 1;
    body_bytes_ += added.body_bytes;
    by_client_[added.client.value] = added.id;
    requests_.emplace(added.id.value, std::move(request));
    return added;
}

ActiveRequest* ActiveRequests::find(RequestId id) const {
    const auto it = requests_.find(id.value);
    return it == requests_.end() ? nullptr : it->second.get();
}
ActiveRequest* ActiveRequests::find(ClientId client) const {
    const auto it = by_client_.find(client.value);
    return it == by_client_.end() ? nullptr : find(it->second);
}

bool ActiveRequests::attempt_in_flight(RequestId id) const {
    const ActiveRequest* const request = find(id);
    return request != nullptr && request->attempt.has_value();
}

std::vector<RequestId> ActiveRequests::unfinished() const {
    std::vector<RequestId> ids;
    for (const auto& [client, id] : by_client_) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

void ActiveRequests::set_phase(ActiveRequest& request, RequestPhase phase) {
    assert(is_valid_transition(request.phase, phase));
    request.phase = phase;
}

void ActiveRequests::start_stream(ActiveRequest& request, Time now) {
    set_phase(request, RequestPhase::streaming);
    request.first_chunk = now;
    streaming_ += 1;
}

void ActiveRequests::mark_overdue(ActiveRequest& request) {
    if (!request.finished()) set_phase(request, RequestPhase::overdue);
}

void ActiveRequests::finish(ActiveRequest& request) {
    if (request.phase == RequestPhase::streaming) streaming_ -= 1;
    set_phase(request, RequestPhase::finished);
    unfinished_ -= 1;
    by_client_.erase(request.client.value);
    clear_timer(request);
}

void ActiveRequests::remove(ActiveRequest& request) {
    assert(request.finished() && !request.attempt);
    clear_timer(request);
    requests_.erase(request.id.value);
}

void ActiveRequests::free_body(ActiveRequest& request) {
    request.parsed.protocol_session->free_attempt_data();
    body_bytes_ -= std::exchange(request.body_bytes, 0);
}

void ActiveRequests::set_timer(ActiveRequest& request, Time at) {
    clear_timer(request);
    request.timer_ = at;
    timers_.emplace(at, request.id);
}

void ActiveRequests::clear_timer(ActiveRequest& request) {
    if (request.timer_) timers_.erase({*request.timer_, request.id});
    request.timer_.reset();
}

ActiveRequest* ActiveRequests::pop_due(Time now) {
    if (timers_.empty() || timers_.begin()->first > now) return nullptr;
    ActiveRequest* const request = find(timers_.begin()->second);
    clear_timer(*request);
    return request;
}

std::optional<Time> ActiveRequests::next_timer() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first;
}

}  // namespace chalksail::core
