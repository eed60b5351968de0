#include "core/edge.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

#include "core/edge_state.hpp"
#include "engine/protocol.hpp"

namespace chalksail::core {

using engine::Ending;
using observe::GuardReason;
using observe::HeldAction;
using observe::ReleaseReason;
using observe::Termination;
using observe::TerminationReason;

namespace {

constexpr int kModuleRounds = 64;  // steps of the module within one of ours; it settles in two or three

void put(Call& call, ServerRequest request) {
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = std::move(request.headers);
    call.body = std::move(request.body);
}

std::int64_t whole_ms(Duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

}  // namespace

namespace {
class Module : public RoutingPolicy {
public:
    explicit Module(const config::EdgeSettings& settings) : router_(settings.module, settings.seed) {}
    std::vector<Action> step(Time now, std::span<const Event> events) override {
        return router_.step(now, events);
    }
    std::size_t tracked_requests() const override { return router_.tracked_requests(); }

private:
    Router router_;
};
}  // namespace

Edge::Edge(const config::EdgeSettings& settings, std::shared_ptr<const engine::Vocabulary> vocabulary)
    : Edge(settings, std::make_unique<Module>(settings), std::move(vocabulary)) {}

Edge::Edge(const config::EdgeSettings& settings, std::unique_ptr<RoutingPolicy> routing_policy,
           std::shared_ptr<const engine::Vocabulary> vocabulary)
    : settings_(settings),
      routing_policy_(std::move(routing_policy)),
      protocol_(make_protocol(settings)),
      endpoints_({settings.limits.unverified_backoff, settings.limits.unverified_backoff_max}),
      cache_index_(settings_, std::move(vocabulary)) {}
Edge::~Edge() = default;

std::vector<Output> Edge::step(Time now, std::vector<Input> inputs) {
    // Guards against a clock that jumps back: time stands still until it has caught up.
    now_ = std::max(now_, now);
    // What went out counts first, wherever it stands among the rest: a list, a hang-up or a time-out in the
    // same turn must not take an attempt for one that never left, and so for one that is proved not to have
    // run.
    for (const auto& input : inputs) {
        if (const auto* sent = std::get_if<CallSent>(&input)) on(*sent);
        if (const auto* written = std::get_if<CallWritten>(&input)) on(*written);
    }
    for (auto& input : inputs) std::visit([this](auto& in) { on(in); }, input);
    fire_due();
    run_module();
    release_pending();
    begin_verifications();
    return output_.take_effects();
}

std::optional<Time> Edge::next_wake() const {
    std::optional<Time> out;
    const auto want = [&](Time at) { out = out ? std::min(*out, at) : at; };
    if (output_.has_events()) want(now_);
    if (!due_.empty()) want(due_.begin()->first);
    if (!call_due_.empty()) want(call_due_.begin()->first);
    if (!wakes_.empty()) want(wakes_.begin()->first);
    if (const auto at = endpoints_.next_verification()) want(*at);
    if (const auto at = cache_index_.next_timer()) want(*at);
    return out;
}

Gauges Edge::gauges() const {
    return {unanswered_,
            started_,
            calls_.size(),
            held_,
            routing_policy_->tracked_requests(),
            endpoints_.unverified_count(),
            cache_index_.counts()};
}

std::vector<membership::EndpointConfig> Edge::endpoints() const {
    std::vector<membership::EndpointConfig> out;
    for (const auto& [id, config] : endpoints_.all()) out.push_back(config);
    return out;
}

Edge::ActiveRequest* Edge::find(RequestId id) {
    const auto it = open_.find(id.value);
    return it == open_.end() ? nullptr : it->second.get();
}
Edge::ActiveRequest* Edge::find(ClientId client) {
    const auto it = by_client_.find(client.value);
    return it == by_client_.end() ? nullptr : find(it->second);
}
Role Edge::role_of(const std::string& kind) const {
    for (const auto& k : settings_.module.kinds)
        if (k.name == kind) return k.role;
    return Role::mixed;
}

// ================= clients =================

void Edge::reply(ClientId client, Answer answer) {
    output_.emit(SendResponse{client, answer.status, std::move(answer.headers), std::move(answer.body)});
}

void Edge::on(ClientRequest& in) {
    if (auto answer = protocol_->answer(in.request, draining_)) return reply(in.client, std::move(*answer));
    take(in.client, in.request);
}

void Edge::take(ClientId client, http::Request& request) {
    const std::uint64_t number = ++last_request_;
    const auto reject = [&](Rejection why, Termination termination, TerminationReason reason) {
        observe::RequestRecord record;
        record.request = std::move(why.name);
        record.client_request = std::move(why.client_name);
        record.termination = termination;
        record.status = why.answer.status;
        record.reason = reason;
        output_.record(record);
        reply(client, std::move(why.answer));
    };
    using RejectionReason = Protocol::RejectionReason;
    if (draining_)
        return reject(protocol_->reject(request, number, RejectionReason::draining), Termination::refused,
                      TerminationReason::draining);
    if (unanswered_ >= static_cast<std::size_t>(settings_.limits.open_requests) ||
        request_bytes_ + request.body.size() > settings_.limits.request_bytes)
        return reject(protocol_->reject(request, number, RejectionReason::limit), Termination::refused,
                      TerminationReason::limit);
    const std::size_t bytes = request.body.size();
    auto in = protocol_->parse(request, number);
    if (!in) return reject(std::move(in.error()), Termination::rejected, TerminationReason::invalid);
    auto open = std::make_unique<ActiveRequest>();
    ActiveRequest& r = *open;
    r.id = {number};
    r.client = client;
    r.in = std::move(*in);
    r.body_bytes = bytes;
    request_bytes_ += bytes;
    r.arrived = now_;
    if (answered_by_ != Time::max() && settings_.module.stream_resumption_enabled) r.moves_at = answered_by_;
    r.deadline =
        std::min(now_ + std::max(settings_.module.tick, r.in.deadline - settings_.module.answer_slack),
                 std::max(answered_by_, now_ + settings_.module.tick));

    RequestArrived arrived;
    arrived.id = r.id;
    arrived.class_name = settings_.module.classes[r.in.cls].name;
    arrived.tenant = r.in.tenant;
    arrived.session = r.in.session;
    arrived.prefix = r.in.prefix;
    arrived.time_remaining = r.deadline - now_;
    arrived.output_duration_hint = r.in.length_hint;
    arrived.prompt_tokens = r.in.prompt_tokens;
    arrived.shared_tokens = r.in.shared_tokens;
    arrived.max_output = r.in.max_output;
    arrived.retry = r.in.retry;
    arrived.resumes_stream = r.in.again;
    if (cache_index_.enabled()) {
        r.reported_prefixes = cache_index_.cached_prefixes(r.in.protocol_session->prompt_text());
        for (const auto& cached : r.reported_prefixes)
            if (cache_index_.trusted(cached.server.value)) arrived.cached_prefixes.push_back(cached);
    }
    output_.notify(std::move(arrived));

    by_client_[client.value] = r.id;
    unanswered_ += 1;
    arm(r, r.deadline);
    open_.emplace(number, std::move(open));
}

void Edge::on(const ClientClosed& in) {
    ActiveRequest* r = find(in.client);
    if (r == nullptr || r->answered) return;
    const RequestId id = r->id;
    output_.notify(ClientDisconnected{id});
    if (!in.detail.empty())
        r->attempt_history += (r->attempt_history.empty() ? "client:" : " client:") + in.detail;
    finish(*r, Termination::client_gone, 0,
           r->started ? TerminationReason::hung_up_streaming
           : r->call  ? TerminationReason::hung_up_attempt
                      : TerminationReason::hung_up_held);
    // A stream that nobody reads ends; the module never calls off a started one by itself. One that has not
    // started is the module's to call off, once it hears that the client is gone.
    // Nor does one begin for nobody that waits for its connection: in the dial queue, or at a server that is
    // slow to take it.
    if (r->call && (r->started || !may_have_come(calls_.at(*r->call)))) {
        const CallId call = *r->call;
        output_.emit(CallAbort{call});
        return end_attempt(call, Ending::cancelled, "client gone");
    }
    // Where it may not be called off it goes on to its end; nothing that is held waits for that.
    if (r->call) arm(*r, attempt_due(*r, calls_.at(*r->call)));
    drop_if_over(id);
}

// Guards against connections that are ended without a word: whoever waits is told that it is over.
void Edge::on(const DrainExpired&) {
    std::vector<RequestId> all;
    for (const auto& [client, id] : by_client_) all.push_back(id);
    std::sort(all.begin(), all.end());
    for (const RequestId id : all) {
        ActiveRequest& r = *find(id);
        output_.notify(ClientDisconnected{id});
        fail(r, 503, TerminationReason::drain, "this gateway has ended");
        if (r.call) {
            const CallId call = *r.call;
            output_.emit(CallAbort{call});
            end_attempt(call, Ending::cancelled, "drain");
        } else {
            drop_if_over(id);
        }
    }
}

void Edge::on(const ClientBacklog& in) {
    ActiveRequest* r = find(in.client);
    if (r == nullptr || !r->call) return;
    auto& call = calls_.at(*r->call);
    if (call.paused == in.full) return;
    call.paused = in.full;
    r->last_chunk = now_;
    output_.emit(SetCallPaused{call.id, in.full});
}

// ================= calls =================

void Edge::on(const CallSent& in) {
    if (const auto it = calls_.find(in.call); it != calls_.end()) it->second.sent = true;
}

void Edge::on(const CallWritten& in) {
    const auto it = calls_.find(in.call);
    if (it == calls_.end()) return;
    it->second.sent = it->second.written = true;
    if (it->second.kind == CallKind::release) resume_deferred(it->second.request);
}

void Edge::on(CallHead& in) {
    const auto it = calls_.find(in.call);
    if (it == calls_.end()) return;
    UpstreamCall& call = it->second;
    call.sent = true;
    endpoints_.record_activity(call.server, now_);
    call.status = in.status;
    call.head = protocol_->read_head(in.status, in.headers);
    if (call.kind == CallKind::attempt && !call.read && in.status == 200)
        call.answer = find(call.request)->in.protocol_session->decode_parser();
}

void Edge::on(CallBody& in) {
    const auto it = calls_.find(in.call);
    if (it == calls_.end()) return;
    UpstreamCall& call = it->second;
    if (call.answer != nullptr) return take_stream(call, in.bytes);
    if (call.body.size() + in.bytes.size() <= settings_.limits.answer_bytes) {
        call.body += in.bytes;
        return;
    }
    output_.emit(CallAbort{call.id});
    if (call.kind == CallKind::attempt) return end_attempt(call.id, Ending::bad_answer, "answer too large");
    const UpstreamCall over = std::move(call);
    calls_.erase(it);
    end_other(over, Ending::bad_answer, "");
}

void Edge::take_stream(UpstreamCall& call, std::string_view bytes) {
    const CallId id = call.id;
    ActiveRequest& r = *find(call.request);
    auto progress = call.answer->feed(bytes);
    if (progress.events > 0) {
        if (r.answered) {  // its client has gone, and the module may not call attempts off
            output_.emit(CallAbort{id});
            return end_attempt(id, Ending::cancelled, "client gone");
        }
        r.last_chunk = now_;
        endpoints_.record_activity(call.server, now_);
        r.chunks += progress.events;
        if (!r.started) begin_stream(r, call);
        if (!progress.to_client.empty()) output_.emit(StreamBytes{r.client, std::move(progress.to_client)});
    }
    switch (progress.state) {
        case DecodeResponseParser::State::more: return;
        case DecodeResponseParser::State::whole:
            output_.emit(CompleteCall{id});
            return end_attempt(id, Ending::answered, "");
        case DecodeResponseParser::State::spoilt:
            output_.emit(CallAbort{id});
            return end_attempt(id, Ending::bad_answer, progress.detail);
    }
}

// Its first event is here: from now on this attempt is the client's.
void Edge::begin_stream(ActiveRequest& r, const UpstreamCall& call) {
    r.started = true;
    r.first_chunk = now_;
    started_ += 1;
    output_.notify(StreamStarted{r.id, call.attempt, {call.server}, now_ - call.begun});
    if (r.held) {  // the writer has fetched it
        record_held(HeldAction::fetched, r.in.name, call.server, ReleaseReason::none, r.held->since);
        r.held.reset();
        held_ -= 1;
    }
    r.pending_release.reset();
    const bool streams = r.in.protocol_session->streams();
    Time look = now_ + settings_.limits.stream_idle;
    if (r.moves_at != Time{}) look = std::min(look, r.moves_at);
    arm(r, streams ? look : std::min(look, r.deadline));
    drop_body(r);
    if (streams) output_.emit(StreamBegin{r.client, r.in.protocol_session->stream_head()});
}

void Edge::on(const CallDone& in) {
    const auto it = calls_.find(in.call);
    if (it == calls_.end()) return;
    if (it->second.kind == CallKind::attempt) return end_attempt(in.call, Ending::answered, "");
    const UpstreamCall call = std::move(it->second);
    calls_.erase(it);
    end_other(call, Ending::answered, "");
}

void Edge::on(const CallFailed& in) {
    const auto it = calls_.find(in.call);
    if (it == calls_.end()) return;
    if (it->second.kind == CallKind::attempt) {
        if (it->second.called_off) return end_attempt(in.call, Ending::cancelled, "called off");
        return end_attempt(in.call, in.ending, in.detail);
    }
    const UpstreamCall call = std::move(it->second);
    calls_.erase(it);
    end_other(call, in.ending, in.detail);
}

// The one place where an attempt ends, whatever ended it.
void Edge::end_attempt(CallId id, Ending ending, const std::string& detail) {
    const auto it = calls_.find(id);
    const UpstreamCall call = std::move(it->second);
    calls_.erase(it);
    ActiveRequest& r = *find(call.request);
    r.call.reset();
    if (ending == Ending::unverified) mark_unverified(call.server, detail);

    const AttemptResult end = judge_attempt(r, call, ending);
    note_may_have_run(r, call, end);
    AttemptEnded ended{r.id,
                       call.attempt,
                       {call.server},
                       end.judged.outcome,
                       now_ - call.begun,
                       false,
                       end.judged.kv_state_missing,
                       0,
                       call.head.report};
    // The break of a stream that had started ends the request, as its good end does; so does a verdict on it.
    ended.request_finished = r.answered || r.started || end.judged.client_error;
    if (end.prefill_answer) {
        ended.cached_prompt_tokens = end.prefill_answer->cached_tokens.value_or(0);
        take_read_answer(r, call, *end.prefill_answer);
    } else if (!call.read && end.judged.outcome == AttemptOutcome::ok && !end.judged.client_error) {
        ended.cached_prompt_tokens = r.in.protocol_session->cached_tokens();
        if (const double told = r.reported_prompt_tokens(); told > 0)
            r.in.protocol_session->set_prompt_tokens(told);
    }
    settle_held(r, call, end);
    note_attempt(r, call, end, detail);
    output_.notify(std::move(ended));
    if (!r.answered) answer_behind(r, call, end, detail);
    drop_if_over(call.request);
}

Edge::AttemptResult Edge::judge_attempt(const ActiveRequest& r, const UpstreamCall& call,
                                        Ending ending) const {
    AttemptResult out;
    out.ending = ending;
    if (call.read && ending == Ending::answered)
        out.prefill_answer = protocol_->parse_prefill(call.status, call.body);
    engine::Facts facts;
    facts.ending = ending;
    facts.sent = call.sent;
    facts.written = call.written;
    facts.prefill = call.read;
    facts.started = r.started;
    const bool whole_stream = r.started && call.answer != nullptr && call.answer->whole();
    facts.complete = call.read ? out.prefill_answer.has_value() : whole_stream;
    facts.status = call.status;
    facts.not_run = call.head.not_run;
    out.judged = protocol_->judge(facts, call.server_kind);
    return out;
}

void Edge::note_may_have_run(ActiveRequest& r, const UpstreamCall& call, const AttemptResult& end) {
    if (call.read || engine::proves_not_run(end.judged.outcome)) return;
    if (std::exchange(r.may_have_run, true)) return;
    r.first_run_begun = call.begun;
    if (const auto* const server = endpoints_.find(call.server)) r.first_run_at = server->endpoint;
}

void Edge::take_read_answer(ActiveRequest& r, const UpstreamCall& call, const PrefillResult& answer) {
    const double prompt = answer.prompt_tokens > 0 ? answer.prompt_tokens : r.in.prompt_tokens;
    cache_index_.record_prefill(
        call.server, {prompt, r.reported_tokens(call.server), answer.cached_tokens, now_ - call.begun},
        output_);
    if (answer.prompt_tokens > 0) {
        r.counted_prompt_tokens = answer.prompt_tokens;
        r.in.protocol_session->set_prompt_tokens(answer.prompt_tokens);
    }
    const auto* const at = endpoints_.find(call.server);
    r.held = ActiveRequest::Held{at == nullptr ? membership::EndpointConfig{} : *at, answer.state,
                                 call.attempt.value, now_};
    held_ += 1;
    record_held(HeldAction::held, r.in.name, call.server, ReleaseReason::none, now_);
}

void Edge::note_attempt(ActiveRequest& r, const UpstreamCall& call, const AttemptResult& end,
                        const std::string& detail) {
    r.last_outcome = engine::name(end.judged.outcome);
    r.attempt_history += (r.attempt_history.empty() ? "" : " ") + call.server +
                         (call.read ? ":read:" : ":write:") + r.last_outcome + "/" +
                         std::to_string(whole_ms(now_ - call.begun)) + "ms" +
                         (detail.empty() ? "" : " (" + detail + ")");
    output_.record(observe::AttemptRecord{r.in.name, call.attempt.value, call.server, call.read,
                                          engine::name(end.judged.outcome), call.status, call.sent,
                                          r.started && !call.read, now_ - call.begun, detail, call.written});
}

// The final answer, where this attempt's end calls for one by itself; else the module decides what follows.
void Edge::answer_behind(ActiveRequest& r, const UpstreamCall& call, const AttemptResult& end,
                         const std::string& detail) {
    if (end.judged.client_error) {
        reply(r.client, r.in.protocol_session->verdict(call.status, call.head, call.body));
        finish(r, Termination::rejected, call.status, TerminationReason::engine);
    } else if (end.judged.outcome == AttemptOutcome::ok) {
        if (r.in.protocol_session->streams()) {
            if (auto tail = r.in.protocol_session->stream_tail(); !tail.empty())
                output_.emit(StreamBytes{r.client, std::move(tail)});
            output_.emit(StreamEnd{r.client});
        } else {
            reply(r.client, r.in.protocol_session->collected());
        }
        finish(r, Termination::served, 200, TerminationReason::served);
    } else if (r.started) {
        const bool late = end.ending == Ending::timed_out;
        fail(r, late ? 504 : 502, late ? TerminationReason::stream_time : TerminationReason::broken_stream,
             "the answer broke off: " + (detail.empty() ? r.last_outcome : detail));
    }
}

void Edge::end_other(const UpstreamCall& call, Ending ending, const std::string& detail) {
    if (ending == Ending::unverified) mark_unverified(call.server, detail);
    switch (call.kind) {
        case CallKind::attempt: break;
        case CallKind::probe: return end_probe(call, ending);
        case CallKind::release: return end_release(call, ending);
        case CallKind::lease: return end_lease(call, ending);
        case CallKind::verify:
            std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
            if (ending == Ending::answered) endpoints_.mark_verified(call.server, output_);
            else if (ending != Ending::unverified) endpoints_.verification_inconclusive(call.server, now_);
            return;
    }
}

// ================= the module's actions =================

void Edge::run_module() {
    for (int round = 0; output_.has_events() && round < kModuleRounds; ++round) {
        const auto events = output_.take_events();
        for (const auto& action : routing_policy_->step(now_, events))
            std::visit([this](const auto& a) { apply(a); }, action);
    }
}

// The module keeps these by itself; here each edge makes sure. What is stopped is told to the module as never
// sent.
std::optional<GuardReason> Edge::guard(const ActiveRequest& r, const Send& action) const {
    if (r.answered) return GuardReason::send_after_final_answer;
    if (r.call) return GuardReason::second_attempt_in_flight;
    if (r.attempts >= settings_.module.max_attempts) return GuardReason::attempt_limit;
    if (now_ >= r.deadline) return GuardReason::send_after_deadline;
    if (endpoints_.find(action.server.value) == nullptr) return GuardReason::unknown_server;
    if (!endpoints_.is_up(action.server.value) || endpoints_.unverified(action.server.value))
        return GuardReason::server_not_in_service;
    if (!repeat_allowed(r, action.server.value, now_)) return GuardReason::earlier_attempt_may_have_run;
    return std::nullopt;
}

bool Edge::repeat_allowed(const ActiveRequest& r, const std::string& server, Time now) const {
    const auto& cls = settings_.module.classes[r.in.cls];
    if (!r.may_have_run || cls.idempotency == Idempotency::idempotent) return true;
    if (cls.idempotency == Idempotency::non_idempotent || now >= r.first_run_begun + cls.deduplication_window)
        return false;
    const auto* const to = endpoints_.find(server);
    if (to == nullptr) return false;
    switch (cls.deduplication_scope) {
        case DeduplicationScope::all: return true;
        case DeduplicationScope::zone: return to->endpoint.zone == r.first_run_at.zone;
        case DeduplicationScope::cell: return to->endpoint.cell == r.first_run_at.cell;
    }
    return false;
}

bool Edge::may_begin(Time now, CallId id, http::Headers& headers) const {
    const auto call = calls_.find(id);
    if (call == calls_.end()) return false;
    if (call->second.kind != CallKind::attempt) return true;
    const ActiveRequest& r = *open_.at(call->second.request.value);
    const Duration left = r.deadline - now;
    const bool in_time = !r.answered && left > Duration::zero();
    if (!in_time || !repeat_allowed(r, call->second.server, now)) return false;
    r.in.protocol_session->update_time_left(headers, left);
    return true;
}

void Edge::apply(const Send& action) {
    ActiveRequest* r = find(action.id);
    if (r == nullptr) return;
    // Guards against a release that is given up for the sake of the next attempt, and never made: what was
    // held stayed where it was.
    if (!r->answered && release_under_way(*r)) {
        r->deferred = action;
        return arm(*r, r->deadline);
    }
    const auto reason = guard(*r, action);
    const auto attempt = r->attempts++;
    if (reason) {
        output_.record(observe::GuardRecord{r->in.name, *reason});
        if (!r->call)
            output_.notify(AttemptEnded{
                r->id, {attempt}, action.server, AttemptOutcome::not_sent, {}, r->answered, false, 0, {}});
        return;
    }
    const membership::EndpointConfig& s = *endpoints_.find(action.server.value);
    const bool read = role_of(s.endpoint.kind) == Role::prefill;

    Call call;
    call.call = {++last_call_};
    call.server = action.server.value;
    call.server_kind = s.endpoint.kind;
    call.address = s.address;
    call.priority = settings_.module.classes[r->in.cls].priority_weight;
    const Duration left = r->deadline - now_;
    put(call, read ? r->in.protocol_session->read(attempt, left)
                   : r->in.protocol_session->write(attempt, r->held ? r->held->state : std::string(), left));

    UpstreamCall out;
    out.id = call.call;
    out.request = r->id;
    out.attempt = {attempt};
    out.server = call.server;
    out.server_kind = s.endpoint.kind;
    out.begun = now_;
    out.read = read;
    if (action.timeout > Duration::zero()) out.timeout = now_ + action.timeout;
    arm(*r, attempt_due(*r, out));
    r->call = out.id;
    calls_.emplace(out.id, std::move(out));
    output_.emit(std::move(call));
}

void Edge::apply(const Reject& action) {
    ActiveRequest* r = find(action.id);
    if (r == nullptr || r->answered) return;
    const bool once_ran =
        r->may_have_run && settings_.module.classes[r->in.cls].idempotency == Idempotency::non_idempotent;
    if (once_ran || r->started) {
        output_.record(observe::GuardRecord{r->in.name, GuardReason::refusal_of_what_may_have_run});
        fail(*r, 502, TerminationReason::attempts, "the request failed");
        return drop_if_over(action.id);
    }
    auto answer = r->in.protocol_session->refusal(action.retry_after);
    const int status = answer.status;
    reply(r->client, std::move(answer));
    const auto reason = r->attempts == 0 ? TerminationReason::held : TerminationReason::attempts;
    finish(*r, Termination::refused, status, reason);
    drop_if_over(action.id);
}

void Edge::apply(const Fail& action) {
    ActiveRequest* r = find(action.id);
    if (r == nullptr || r->answered) return;
    const bool late = now_ >= r->deadline;
    fail(*r, late ? 504 : 502, late ? TerminationReason::deadline : TerminationReason::attempts,
         late ? "no answer in time"
              : "the servers failed this request" +
                    (r->last_outcome.empty() ? "" : " (" + r->last_outcome + ")"));
    drop_if_over(action.id);
}

void Edge::apply(const CancelAttempt& action) {
    ActiveRequest* r = find(action.id);
    if (r == nullptr || r->started) return;
    if (r->deferred) return drop_deferred(*r, r->answered);
    if (!r->call) return;
    const CallId id = *r->call;
    if (calls_.at(id).attempt == action.attempt) cancel(id);
}

// Guards against a read that ends well in the moment in which it is called off: closed at once, its answer is
// lost on the way, and the prompt is read again, or its request refused, beside a read that was done.
void Edge::cancel(CallId id) {
    UpstreamCall& call = calls_.at(id);
    const bool answer_counts = call.read && call.written && !find(call.request)->answered;
    if (!answer_counts || !protocol_->half_close_cancels()) {
        output_.emit(CallAbort{id});
        return end_attempt(id, Ending::cancelled, "called off");
    }
    if (std::exchange(call.called_off, true)) return;
    output_.emit(HalfCloseCall{id});
    call_due_.emplace(now_ + settings_.limits.cancel_wait, id);
}

// The client comes again for the rest, which is read and written elsewhere.
void Edge::apply(const MigrateStream& action) {
    ActiveRequest* r = find(action.id);
    if (r == nullptr || !r->started || r->answered || !r->call || !settings_.module.stream_resumption_enabled)
        return;
    const CallId id = *r->call;
    output_.emit(CallAbort{id});
    output_.emit(AbortStream{r->client});
    finish(*r, Termination::failed, 0, TerminationReason::moved);
    end_attempt(id, Ending::cancelled, "moved");
}

void Edge::apply(const SetTimer& action) { wakes_.emplace(action.at, action.id); }

// ================= time =================

Time Edge::ends_at(const ActiveRequest& r, const UpstreamCall& attempt) {
    return attempt.timeout == Time{} ? r.deadline : std::min(r.deadline, attempt.timeout);
}
// Called off now, could it have run?
bool Edge::may_have_come(const UpstreamCall& attempt) const {
    engine::Facts facts;
    facts.ending = Ending::cancelled;
    facts.sent = attempt.sent;
    facts.written = attempt.written;
    return !engine::proves_not_run(protocol_->judge(facts, attempt.server_kind).outcome);
}

void Edge::arm(ActiveRequest& r, Time at) {
    disarm(r);
    r.due = at;
    due_.emplace(at, r.id);
}
void Edge::disarm(ActiveRequest& r) {
    if (r.due != Time{}) due_.erase({r.due, r.id});
    r.due = {};
}

void Edge::fire_due() {
    while (!wakes_.empty() && wakes_.begin()->first <= now_) {
        output_.notify(TimerFired{wakes_.begin()->second});
        wakes_.erase(wakes_.begin());
    }
    while (!call_due_.empty() && call_due_.begin()->first <= now_) {
        const CallId id = call_due_.begin()->second;
        call_due_.erase(call_due_.begin());
        const auto it = calls_.find(id);
        if (it == calls_.end()) continue;
        output_.emit(CallAbort{id});
        if (it->second.kind == CallKind::attempt) {
            end_attempt(id, Ending::cancelled, "called off");
            continue;
        }
        const UpstreamCall call = std::move(it->second);
        calls_.erase(it);
        end_other(call, Ending::timed_out, "");
    }
    cache_index_.run_timers(now_, output_);
    while (!due_.empty() && due_.begin()->first <= now_) {
        const RequestId id = due_.begin()->second;
        ActiveRequest& r = *find(id);
        disarm(r);
        if (r.started) {
            // Looked at when the idle time may be over, not moved at every chunk. A client that takes nothing
            // is the shell's to give up; its engine is not read meanwhile, and so can't be called silent.
            const Time longest = r.first_chunk + settings_.limits.stream_longest;
            const bool paused = r.call && calls_.at(*r.call).paused;
            const Time idle = (paused ? now_ : r.last_chunk) + settings_.limits.stream_idle;
            // A client that wants one object has nothing in hand until the end: its deadline goes on.
            // One taken as this gateway was about to end is moved before the end cuts it anyway.
            const Time own = r.moves_at == Time{} ? longest : std::min(longest, r.moves_at);
            const Time last = r.in.protocol_session->streams() ? own : std::min(own, r.deadline);
            if (now_ < last && now_ < idle) {
                arm(r, std::min(last, idle));
                continue;
            }
            const CallId call = *r.call;
            output_.emit(CallAbort{call});
            end_attempt(call, Ending::timed_out, now_ >= last ? "time is over" : "silent stream");
        } else if (r.call && now_ < ends_at(r, calls_.at(*r.call))) {
            look_at_unanswered(r);
        } else if (r.call) {
            const CallId call = *r.call;
            const bool own = now_ < r.deadline;  // the module's own time-out of this attempt
            output_.emit(CallAbort{call});
            if (own) arm(r, r.deadline);
            else arm(r, now_ + 2 * settings_.module.tick);
            r.overdue = !own;
            end_attempt(call, Ending::timed_out, own ? "time-out" : "deadline");
        } else if (now_ >= r.deadline && r.deferred) {
            arm(r, now_ + 2 * settings_.module.tick);
            drop_deferred(r, false);
        } else if (now_ < r.deadline) {
            arm(r, r.deadline);  // the attempt that this was for has ended
        } else if (!r.overdue) {
            // Nothing is out, and the module has not given it up: it hears of the time now, and has one
            // chance.
            r.overdue = true;
            arm(r, now_ + 2 * settings_.module.tick);
            output_.notify(TimerFired{{0}});
        } else {
            output_.record(observe::GuardRecord{r.in.name, GuardReason::no_final_answer_at_deadline});
            output_.notify(ClientDisconnected{id});
            fail(r, 504, TerminationReason::deadline, "no answer in time");
            drop_if_over(id);
        }
    }
}

// ================= ends =================

void Edge::fail(ActiveRequest& r, int status, TerminationReason reason, std::string message) {
    if (r.started && r.in.protocol_session->streams()) {
        auto last = r.in.protocol_session->stream_error(status, message);
        if (last) {
            output_.emit(StreamBytes{r.client, std::move(*last)});
            output_.emit(StreamEnd{r.client});
        } else {
            output_.emit(AbortStream{r.client});
        }
    } else {
        const bool repeatable = settings_.module.classes[r.in.cls].idempotency == Idempotency::idempotent;
        reply(r.client, r.in.protocol_session->failure(status, message, repeatable || !r.may_have_run));
    }
    finish(r, Termination::failed, status, reason);
}

void Edge::drop_body(ActiveRequest& r) {
    r.in.protocol_session->drop_request();
    request_bytes_ -= std::exchange(r.body_bytes, 0);
}

void Edge::finish(ActiveRequest& r, Termination termination, int status, TerminationReason reason) {
    r.answered = true;
    unanswered_ -= 1;
    if (r.started) started_ -= 1;
    by_client_.erase(r.client.value);
    disarm(r);
    observe::RequestRecord record;
    record.request = r.in.name;
    record.client_request = r.in.client_name;
    record.class_name = settings_.module.classes[r.in.cls].name;
    record.tenant = r.in.tenant;
    record.termination = termination;
    record.status = status;
    record.reason = reason;
    record.total = now_ - r.arrived;
    if (r.started) record.first_token = r.first_chunk - r.arrived;
    record.prompt_tokens = r.in.prompt_tokens;
    record.reported_prompt_tokens = r.reported_prompt_tokens();
    record.completion_tokens = r.in.protocol_session->completion_tokens();
    record.chunks = r.chunks;
    record.streamed = r.in.protocol_session->streams();
    record.attempt_history = r.attempt_history;
    output_.record(std::move(record));
    drop_body(r);
}

// Forgets a request that has its answer and no attempt out. A state that is still held goes at once.
void Edge::drop_if_over(RequestId id) {
    ActiveRequest* r = find(id);
    if (r == nullptr || !r->answered || r->call) return;
    if (r->deferred) drop_deferred(*r, true);
    disarm(*r);
    release_state(*r, ReleaseReason::request_over);
    open_.erase(id.value);
}

Edge::UpstreamCall& Edge::call_out(CallKind kind, const membership::EndpointConfig& to, ServerRequest request,
                                   Time due, double worth) {
    Call call;
    call.call = {++last_call_};
    call.kind = kind;
    call.server = to.endpoint.id.value;
    call.server_kind = to.endpoint.kind;
    call.address = to.address;
    call.priority = worth;
    put(call, std::move(request));
    UpstreamCall out;
    out.id = call.call;
    out.kind = kind;
    out.server = call.server;
    out.server_kind = call.server_kind;
    out.begun = now_;
    call_due_.emplace(due, out.id);
    output_.emit(std::move(call));
    return calls_.emplace(out.id, std::move(out)).first->second;
}

// ================= endpoints =================

void Edge::on(const membership::EndpointList& in) {
    const auto unavailable = endpoints_.apply(in, now_, output_);
    cache_index_.follow(endpoints_.all(), now_, output_);
    withhold(unavailable);
    // Endpoints with a call out stay until it has ended; KV states keep their server's address themselves.
    std::set<std::string> in_use;
    for (const auto& [id, call] : calls_) in_use.insert(call.server);
    for (const auto& server : endpoints_.forget_removed(in_use)) {
        no_release_.erase(server);
        output_.emit(EndpointForgotten{server});
    }
}

void Edge::withhold(const std::set<std::string>& servers) {
    std::vector<CallId> waiting;
    for (const auto& [id, call] : calls_)
        if (call.kind == CallKind::attempt && !call.sent && servers.contains(call.server))
            waiting.push_back(id);
    for (const CallId id : waiting) {
        output_.emit(CallAbort{id});
        end_attempt(id, Ending::withdrawn, "list");
    }
}

void Edge::mark_unverified(const std::string& server, const std::string& detail) {
    // What still waits for a connection there would fail the same way, and cost a handshake each.
    if (endpoints_.mark_unverified(server, detail, now_, output_)) withhold({server});
}

void Edge::begin_verifications() {
    for (const auto& server : endpoints_.due_verifications(now_))
        call_out(CallKind::verify, server, {}, now_ + settings_.limits.release_timeout);
}

void Edge::end_probe(const UpstreamCall& call, Ending ending) {
    engine::Facts facts;
    facts.ending = ending;
    facts.sent = call.sent;
    facts.complete = true;
    facts.status = call.status;
    auto outcome = engine::judge(facts).outcome;
    if (outcome == AttemptOutcome::ok && call.status != 200)
        outcome = AttemptOutcome::error;  // no /health: not known to be well
    auto report = protocol_->probe_report(call.head, call.body);
    std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
    output_.record(
        observe::ServerRecord{call.server, observe::ServerAction::probe, std::string(engine::name(outcome))});
    output_.notify(HealthCheckEnded{{call.server}, outcome, now_ - call.begun, std::move(report)});
}

void Edge::apply(const HealthCheck& action) {
    const auto* const server = endpoints_.find(action.server.value);
    if (server == nullptr || endpoints_.unverified(action.server.value))
        return output_.notify(HealthCheckEnded{action.server, AttemptOutcome::not_sent, {}, {}});
    call_out(CallKind::probe, *server, protocol_->probe(), now_ + settings_.limits.release_timeout);
}

}  // namespace chalksail::core
