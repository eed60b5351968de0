// What servers hold for requests (read states, and places at writers), and how it is released: in its time,
// whatever the attempts do. See the rule on held state in docs/design/platform.md.
#include <algorithm>
#include <limits>
#include <utility>

#include "core/edge_state.hpp"

namespace chalksail::core {

using engine::Ending;
using observe::HeldAction;
using observe::ReleaseReason;
using observe::ServerAction;

namespace {

// A release gives back memory that others wait for: before anything that would take some.
constexpr double kReleaseWorth = std::numeric_limits<double>::max();
constexpr std::int64_t kWideningRounds = 3;  // behind the first call: two, four and eight servers

}  // namespace

// What an attempt's end means for what is held for its request.
void Edge::settle_held(ActiveRequest& r, const UpstreamCall& call, const AttemptResult& end) {
    // The writer could not fetch the state; its reader may have it all the same, and must not keep it.
    if (end.judged.outcome == AttemptOutcome::at_capacity && end.judged.kv_state_missing && r.held) {
        if (release_covers_request()) {
            r.pending_release = std::exchange(r.held, std::nullopt);
            held_ -= 1;
            r.pending_release->reason = ReleaseReason::not_fetched;
            pending_releases_.push_back(r.id);
        } else {
            release_state(r, ReleaseReason::not_fetched);
        }
    }
    // Guards against a clock that is set back by ends that prove nothing: bytes that were written may lie
    // unread at a server that hangs, and their connection may break or be given up all the same.
    if (call.status != 0 || end.ending == Ending::bad_answer) {
        if (r.held) r.held->since = now_;
        if (r.pending_release) r.pending_release->since = now_;
    }
    if (!may_have_left_a_state(call, end)) return;
    const auto* const server = endpoints_.find(call.server);
    if (server == nullptr) return;
    if (release_covers_request()) {
        // One call releases what each of its reads may have left: the earliest counts.
        const Time since = r.pending_release ? r.pending_release->since : now_;
        r.pending_release = ActiveRequest::Held{*server, "", call.attempt.value, since};
        pending_releases_.push_back(r.id);
    } else {
        release_call({r.in.name, call.attempt.value, "", ReleaseReason::read_may_have_ended, now_}, *server);
    }
}

// A read called off may have been done all the same, its answer on the way, and so may one whose answer can't
// be read.
bool Edge::may_have_left_a_state(const UpstreamCall& call, const AttemptResult& end) {
    if (!call.read || !call.sent) return false;
    switch (end.judged.outcome) {
        case AttemptOutcome::prefilled: return false;
        case AttemptOutcome::cancelled:
        case AttemptOutcome::timeout:
        case AttemptOutcome::reset: return true;
        default: return end.ending == Ending::bad_answer;
    }
}

void Edge::end_release(const UpstreamCall& call, Ending ending) {
    std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
    const bool has_none = ending == Ending::answered && protocol_->no_release(call.status);
    if (has_none) no_release_.insert(call.server);
    const bool done = ending == Ending::answered && call.status < 300;
    output_.record(observe::ServerRecord{call.server, ServerAction::release,
                                         done       ? "ok"
                                         : has_none ? "none"
                                                    : "failed"});
    record_held(done ? HeldAction::release_done : HeldAction::release_failed, call.release->name, call.server,
                call.release->reason, call.release->held_since);
    call.release->progress->done = call.release->progress->done || done;
    // Where any server takes it others are asked, at once: the time to release runs on while one does not
    // answer. Not once a read has ended well behind it: that state would go, too, and has time of its own.
    const bool goes_on = release_covers_request() && !call.release->progress->done && call.release->leads;
    if (!goes_on) return resume_deferred(call.request);
    ActiveRequest* r = find(call.request);
    if (r == nullptr || !r->held) return ask_more_servers(*call.release, call.request, call.server);
    if (const auto* const server = endpoints_.find(call.server); server != nullptr && !r->pending_release)
        r->pending_release = ActiveRequest::Held{*server, call.release->state, call.release->attempt,
                                                 r->held->since, call.release->reason};
    pending_releases_.push_back(r->id);
}

// Guards against a release that meets one silent server after another, as where a zone is cut off: each round
// asks twice as many as the one before, up to kWideningRounds.
void Edge::ask_more_servers(ReleaseAttempt release, RequestId request, const std::string& failed_at) {
    ReleaseProgress& progress = *release.progress;
    if (progress.rounds >= settings_.limits.release_attempts) return resume_deferred(request);
    progress.rounds += 1;
    const int wanted = progress.rounds <= kWideningRounds ? 1 << progress.rounds : 1;
    CallId leading{};
    for (int i = 0; i < wanted; ++i) {
        const membership::EndpointConfig* next = endpoints_.last_active(progress.asked);
        if (next == nullptr && leading == CallId{}) {  // all have been asked: once more
            progress.asked = {failed_at};
            next = endpoints_.last_active(progress.asked);
        }
        if (next == nullptr) break;
        release.leads = leading == CallId{};
        const CallId call = release_call(release, *next);
        if (call == CallId{}) continue;
        calls_.at(call).request = request;
        if (release.leads) leading = call;
    }
    if (leading == CallId{}) return resume_deferred(request);
    if (ActiveRequest* r = find(request)) r->release = leading;
}

void Edge::end_lease(const UpstreamCall& call, Ending ending) {
    std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
    using Lease = Protocol::Lease;
    const Lease lease = ending == Ending::answered ? protocol_->lease_answer(call.status) : Lease::not_known;
    ActiveRequest* r = find(call.request);
    if (r == nullptr) return;
    if (lease != Lease::not_known)
        output_.notify(ReservationResult{r->id, {call.server}, lease == Lease::held});
    // A place that may be held is let go of like a state, unless an attempt takes it.
    if (lease != Lease::not_held && call.sent && !r->started) {
        if (const auto* const server = endpoints_.find(call.server); server != nullptr && !r->pending_release)
            r->pending_release =
                ActiveRequest::Held{*server, "", call.attempt.value, now_, ReleaseReason::place_may_be_held};
        pending_releases_.push_back(r->id);
    }
}

void Edge::apply(const ReleaseKvState& action) {
    ActiveRequest* r = find(action.id);
    if (r == nullptr) return;
    const bool beside = r->call && (r->held || r->pending_release) && release_covers_request();
    if (!beside) return release_state(*r, ReleaseReason::decided);
    release_beside_attempt(*r, ReleaseReason::decided);
    arm(*r, attempt_due(*r, calls_.at(*r->call)));
}

void Edge::apply(const Reserve& action) {
    ActiveRequest* r = find(action.id);
    const auto* const server = endpoints_.find(action.server.value);
    if (r == nullptr || r->answered || !endpoints_.is_up(action.server.value)) return;
    auto request = protocol_->lease(r->in.name);
    if (!request || !settings_.module.early_reservation_enabled) return;
    const Time due = std::max(r->deadline, now_ + settings_.limits.release_timeout);
    call_out(CallKind::lease, *server, std::move(*request), due).request = r->id;
}

bool Edge::release_covers_request() const {
    return protocol_->release_covers() == Protocol::ReleaseScope::request;
}

Duration Edge::release_timeout() const {
    const auto& limits = settings_.limits;
    return limits.release_retry > Duration::zero() ? limits.release_retry : limits.release_timeout;
}

std::optional<Time> Edge::release_due(const ActiveRequest& r) const {
    if (!r.held && !r.pending_release) return std::nullopt;
    Time since = r.held ? r.held->since : r.pending_release->since;
    if (r.pending_release) since = std::min(since, r.pending_release->since);
    return since + settings_.module.release_within;
}

// Guards against a state that waits for an attempt which never comes to a server: until one has answered the
// state's time runs on, whether the connection does not come up or is silent.
Time Edge::attempt_due(const ActiveRequest& r, const UpstreamCall& attempt) const {
    const Time end = ends_at(r, attempt);
    const auto release = release_due(r);
    return attempt.status != 0 || !release ? end : std::min(end, *release);
}

// The time of what is held is over, or may be, while an attempt is out.
void Edge::look_at_unanswered(ActiveRequest& r) {
    const UpstreamCall& attempt = calls_.at(*r.call);
    const auto release = release_due(r);
    if (attempt.status != 0 || !release || now_ < *release) return arm(r, attempt_due(r, attempt));
    arm(r, ends_at(r, attempt));
    if (r.held && !may_have_come(attempt)) {
        const CallId id = attempt.id;
        output_.emit(CallAbort{id});
        return end_attempt(id, Ending::cancelled, "no connection in the state's time");
    }
    if (!release_covers_request()) return;
    release_beside_attempt(r, ReleaseReason::write_unanswered);
    arm(r, attempt_due(r, attempt));
}

// Servers keep what an attempt waits for: where this one has come, the release takes nothing from it, and
// where it has not, nothing is left behind. Which of the two holds shows only with its answer; until then the
// release is made again and again, as the server may die with the attempt.
void Edge::release_beside_attempt(ActiveRequest& r, ReleaseReason reason) {
    if (r.held) {
        output_.notify(KvStateReleased{r.id});
        r.pending_release = std::exchange(r.held, std::nullopt);
        r.pending_release->reason = reason;
        held_ -= 1;
        pending_releases_.push_back(r.id);
    }
    const ActiveRequest::Held& held = *r.pending_release;
    const auto call =
        release_call({r.in.name, held.attempt, held.state, held.reason, held.since}, held.server);
    r.pending_release->since = now_;
    if (call == CallId{}) return;
    r.release = call;
    calls_.at(call).request = r.id;
}

void Edge::record_held(HeldAction action, const std::string& request, const std::string& server,
                       ReleaseReason reason, Time since) {
    output_.record(observe::HeldRecord{request, action, server, reason, now_ - since});
}

void Edge::release_state(ActiveRequest& r, ReleaseReason reason) {
    if (r.call || (!r.held && !r.pending_release))
        return;  // with an attempt out the state is that attempt's to take
    if (!r.held) reason = r.pending_release->reason;
    const auto held = r.held ? std::move(*r.held) : std::move(*r.pending_release);
    if (r.held) held_ -= 1;
    r.held.reset();
    r.pending_release.reset();
    const auto call = release_call({r.in.name, held.attempt, held.state, reason, held.since}, held.server);
    if (call == CallId{}) return;
    r.release = call;
    calls_.at(call).request = r.id;
}

void Edge::release_pending() {
    if (pending_releases_.empty()) return;
    std::vector<RequestId> wait;
    for (const auto id : std::exchange(pending_releases_, {})) {
        ActiveRequest* r = find(id);
        if (r == nullptr || !r->pending_release) continue;
        if (r->call) wait.push_back(id);
        else if (!r->held)
            release_state(*r, r->pending_release->reason);  // with a state that waits, both go together
        else wait.push_back(id);
    }
    pending_releases_ = std::move(wait);
}

bool Edge::release_under_way(const ActiveRequest& r) const {
    if (!r.release || !release_covers_request()) return false;
    const auto call = calls_.find(*r.release);
    return call != calls_.end() && !call->second.written;
}

// The release is out, or given up: the attempt that waited for it goes, if it still may.
void Edge::resume_deferred(RequestId id) {
    ActiveRequest* r = find(id);
    if (r == nullptr || !r->deferred || release_under_way(*r)) return;
    const Send action = *std::exchange(r->deferred, std::nullopt);
    apply(action);
}

// It never began, and that tells nothing of its server.
void Edge::drop_deferred(ActiveRequest& r, bool finished) {
    const Send action = *std::exchange(r.deferred, std::nullopt);
    const AttemptId attempt{r.attempts++};
    output_.notify(
        AttemptEnded{r.id, attempt, action.server, AttemptOutcome::not_sent, {}, finished, false, 0, {}});
}

CallId Edge::release_call(ReleaseAttempt release, const membership::EndpointConfig& holder) {
    if (release.progress == nullptr) release.progress = std::make_shared<ReleaseProgress>();
    // Where any server takes it, the one that spoke last is the likeliest to run and to be reached.
    const membership::EndpointConfig* const likeliest =
        release_covers_request() ? endpoints_.last_active(release.progress->asked) : nullptr;
    const membership::EndpointConfig& to = likeliest != nullptr ? *likeliest : holder;
    const auto& server = to.endpoint.id.value;
    auto request = protocol_->release(release.name, release.attempt, release.state, to.endpoint.kind);
    if (!request || no_release_.contains(server)) {
        // Counted and noted: the state stays until the engine drops it by its own time.
        output_.record(observe::ServerRecord{server, ServerAction::release, "none"});
        return {};
    }
    release.progress->asked.insert(server);
    record_held(HeldAction::release, release.name, server, release.reason, release.held_since);
    const Time due = now_ + release_timeout();
    UpstreamCall& out = call_out(CallKind::release, to, std::move(*request), due, kReleaseWorth);
    out.release = std::move(release);
    return out.id;
}

}  // namespace chalksail::core
