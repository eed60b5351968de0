#include "core/edge.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

#include "engine/protocol.hpp"

namespace chalksail::core {

using engine::Ending;
using observe::Fate;
using observe::ReleaseReason;

namespace {

// A release gives back memory that others wait for: before anything that would take some.
constexpr double kReleaseWorth = std::numeric_limits<double>::max();
constexpr int kModuleRounds = 64;  // steps of the module within one of ours; it settles in two or three

void put(Call& call, ServerRequest request) {
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = std::move(request.headers);
    call.body = std::move(request.body);
}

std::int64_t whole_ms(Duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

}  // namespace

// One request, from its arrival until its answer is given and none of its attempts is out.
struct Edge::Open {
    RequestId id;
    ClientId client;
    Intake in;
    std::size_t body_bytes = 0;  // as long as it is kept
    Time arrived{};
    Time deadline{};                   // the module's: the client's less the slack that an answer needs
    double counted_prompt_tokens = 0;  // by the read

    std::optional<CallId> call;  // the attempt that is out
    std::int64_t attempts = 0;
    bool may_have_run = false;  // some writer attempt is not proved not to have run
    Time first_run_begun{};     // when the first such attempt was sent, and where
    ServerEntry first_run_at;
    struct Held {
        ListedServer server;  // kept here: once off the list, nothing else tells how it is spoken to
        std::string state;    // as the read told it
        std::int64_t attempt = 0;
        Time since{};  // from when on no attempt has been known to be with a server
        ReleaseReason reason = ReleaseReason::read_may_have_ended;  // of a release that is pending
    };
    std::optional<Held> held;  // the state that waits at a reader
    // A read that was called off or broke may have ended well at that moment, and a place may be held:
    // something of this request may be at some server. A call that is one for the whole request releases it
    // once no attempt is out.
    std::optional<Held> pending_release;
    std::optional<CallId> release;  // the last such call, if it may still be under way
    std::optional<Send> deferred;   // an attempt put off until that call is out

    bool started = false;   // the client gets, or will get, this attempt's answer
    bool answered = false;  // final answer given, or the client is gone
    bool overdue = false;   // its deadline came while nothing was out
    Time moves_at{};  // a stream still running then is cut, for its client to ask for the rest; zero: never
    Time first_chunk{};
    Time last_chunk{};
    std::int64_t chunks = 0;
    Time due{};
    std::vector<KnownPrefix> claims;  // by all servers, also by those not believed
    std::string last_outcome;
    std::string trail;

    [[nodiscard]] double told_prompt_tokens() const {
        const double told = in.exchange->told_prompt_tokens();
        return told > 0 ? told : counted_prompt_tokens;
    }
};

// One exchange with a server.
struct Edge::Outgoing {
    CallId id;
    CallKind kind = CallKind::attempt;
    RequestId request;
    AttemptId attempt;
    std::string server;
    std::string server_kind;
    Time begun{};
    Time timeout{};  // the module's own for this attempt; zero: none
    bool read = false;
    bool sent = false;
    bool written = false;
    bool paused = false;
    bool called_off = false;  // its sending has ended; its answer may be on the way
    int status = 0;
    HeadFacts head;
    std::string body;  // of a read, a probe or an error; bounded
    std::unique_ptr<WriterAnswer> answer;
    std::optional<ReleaseAttempt> release;
};

namespace {
class Module : public Decider {
public:
    explicit Module(const config::EdgeSettings& settings) : brain_(settings.module, settings.seed) {}
    std::vector<Action> step(Time now, std::span<const Event> events) override {
        return brain_.step(now, events);
    }
    std::size_t tracked_requests() const override { return brain_.tracked_requests(); }

private:
    Brain brain_;
};
}  // namespace

Edge::Edge(const config::EdgeSettings& settings, std::shared_ptr<const engine::Vocabulary> vocabulary)
    : Edge(settings, std::make_unique<Module>(settings), std::move(vocabulary)) {}

Edge::Edge(const config::EdgeSettings& settings, std::unique_ptr<Decider> decider,
           std::shared_ptr<const engine::Vocabulary> vocabulary)
    : settings_(settings),
      decider_(std::move(decider)),
      convention_(make_convention(settings)),
      verification_({settings.limits.unverified_pause, settings.limits.unverified_longest}) {
    const bool any = std::any_of(settings_.kinds.begin(), settings_.kinds.end(),
                                 [](const auto& k) { return k.cache_events; });
    if (!any) return;
    prefix::Knowledge::Limits limits;
    limits.index.blocks_each = static_cast<std::size_t>(settings_.cache_events.blocks_per_server);
    limits.decode.bytes = settings_.cache_events.message_bytes;
    limits.held_batches = static_cast<std::size_t>(settings_.cache_events.held_batches);
    prefix::TokenText text = engine::four_bytes_of;
    if (settings_.cache_events.vocabulary == config::Vocabulary::tokenizer) {
        if (vocabulary == nullptr) throw std::invalid_argument("cache-events: the tokenizer is missing");
        text = [vocabulary = std::move(vocabulary)](prefix::Token token, std::string& out) {
            return vocabulary->text(token, out);
        };
    }
    prefixes_ = std::make_unique<prefix::Knowledge>(std::move(text), limits);
}
Edge::~Edge() = default;

std::vector<Output> Edge::step(Time now, std::vector<Input> inputs) {
    // Guards against a clock that jumps back: time stands still until it has caught up.
    now_ = std::max(now_, now);
    effects_.clear();
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
    try_verification();
    return std::exchange(effects_, {});
}

std::optional<Time> Edge::next_wake() const {
    std::optional<Time> out;
    const auto want = [&](Time at) { out = out ? std::min(*out, at) : at; };
    if (!events_.empty()) want(now_);
    if (!due_.empty()) want(due_.begin()->first);
    if (!call_due_.empty()) want(call_due_.begin()->first);
    if (!wakes_.empty()) want(wakes_.begin()->first);
    if (const auto trial = verification_.next()) want(*trial);
    for (const auto& [server, at] : replays_) want(at);
    if (!followed_.empty() && next_keep_ != Time::max()) want(next_keep_);
    return out;
}

Gauges Edge::gauges() const {
    return {unanswered_,
            started_,
            calls_.size(),
            held_,
            decider_->tracked_requests(),
            verification_.count(),
            prefixes_ == nullptr ? prefix::Knowledge::Counts{} : prefixes_->counts()};
}

std::vector<ListedServer> Edge::listed() const {
    std::vector<ListedServer> out;
    for (const auto& [id, s] : servers_) out.push_back(s);
    return out;
}

Edge::Open* Edge::find(RequestId id) {
    const auto it = open_.find(id.value);
    return it == open_.end() ? nullptr : it->second.get();
}
Edge::Open* Edge::find(ClientId client) {
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
    emit(Reply{client, answer.status, std::move(answer.headers), std::move(answer.body)});
}

void Edge::on(ClientRequest& in) {
    if (auto answer = convention_->answer(in.request, draining_)) return reply(in.client, std::move(*answer));
    take(in.client, in.request);
}

void Edge::take(ClientId client, http::Request& request) {
    const std::uint64_t number = ++last_request_;
    const auto turn_away = [&](Rejection why, Fate fate, const char* reason) {
        observe::RequestRecord record;
        record.request = std::move(why.name);
        record.client_request = std::move(why.client_name);
        record.fate = fate;
        record.status = why.answer.status;
        record.reason = reason;
        emit(Note{record});
        reply(client, std::move(why.answer));
    };
    using Away = Convention::Away;
    if (draining_)
        return turn_away(convention_->turn_away(request, number, Away::draining), Fate::refused, "draining");
    if (unanswered_ >= static_cast<std::size_t>(settings_.limits.open_requests) ||
        request_bytes_ + request.body.size() > settings_.limits.request_bytes)
        return turn_away(convention_->turn_away(request, number, Away::limit), Fate::refused, "limit");
    const std::size_t bytes = request.body.size();
    auto in = convention_->take_in(request, number);
    if (!in) return turn_away(std::move(in.error()), Fate::rejected, "invalid");
    auto open = std::make_unique<Open>();
    Open& r = *open;
    r.id = {number};
    r.client = client;
    r.in = std::move(*in);
    r.body_bytes = bytes;
    request_bytes_ += bytes;
    r.arrived = now_;
    if (answered_by_ != Time::max() && settings_.module.resume) r.moves_at = answered_by_;
    r.deadline =
        std::min(now_ + std::max(settings_.module.tick, r.in.deadline - settings_.module.answer_slack),
                 std::max(answered_by_, now_ + settings_.module.tick));

    Arrived arrived;
    arrived.id = r.id;
    arrived.class_name = settings_.module.classes[r.in.cls].name;
    arrived.tenant = r.in.tenant;
    arrived.session = r.in.session;
    arrived.prefix = r.in.prefix;
    arrived.time_left = r.deadline - now_;
    arrived.length_hint = r.in.length_hint;
    arrived.prompt_tokens = r.in.prompt_tokens;
    arrived.shared_tokens = r.in.shared_tokens;
    arrived.max_output = r.in.max_output;
    arrived.retry = r.in.retry;
    arrived.again = r.in.again;
    if (prefixes_ != nullptr) {
        r.claims = claims(r);
        for (const auto& c : r.claims)
            if (prefixes_->told(c.server.value)) arrived.known.push_back(c);
    }
    events_.emplace_back(std::move(arrived));

    by_client_[client.value] = r.id;
    unanswered_ += 1;
    arm(r, r.deadline);
    open_.emplace(number, std::move(open));
}

void Edge::on(const ClientClosed& in) {
    Open* r = find(in.client);
    if (r == nullptr || r->answered) return;
    const RequestId id = r->id;
    events_.emplace_back(ClientGone{id});
    if (!in.detail.empty()) r->trail += (r->trail.empty() ? "client:" : " client:") + in.detail;
    finish(*r, Fate::client_gone, 0,
           r->started ? "hung_up_streaming"
           : r->call  ? "hung_up_attempt"
                      : "hung_up_held");
    // A stream that nobody reads ends; the module never calls off a started one by itself. One that has not
    // started is the module's to call off, once it hears that the client is gone.
    // Nor does one begin for nobody that waits for its connection: in the dial queue, or at a server that is
    // slow to take it.
    if (r->call && (r->started || !may_have_come(calls_.at(*r->call)))) {
        const CallId call = *r->call;
        emit(CallAbort{call});
        return end_attempt(call, Ending::cancelled, "client gone");
    }
    // Where it may not be called off it goes on to its end; nothing that is held waits for that.
    if (r->call) arm(*r, attempt_due(*r, calls_.at(*r->call)));
    drop_if_over(id);
}

void Edge::on(const ClientBacklog& in) {
    Open* r = find(in.client);
    if (r == nullptr || !r->call) return;
    auto& call = calls_.at(*r->call);
    if (call.paused == in.full) return;
    call.paused = in.full;
    r->last_chunk = now_;
    emit(CallFlow{call.id, in.full});
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
    Outgoing& call = it->second;
    call.sent = true;
    heard_[call.server] = now_;
    call.status = in.status;
    call.head = convention_->read_head(in.status, in.headers);
    if (call.kind == CallKind::attempt && !call.read && in.status == 200)
        call.answer = find(call.request)->in.exchange->writer_answer();
}

void Edge::on(CallBody& in) {
    const auto it = calls_.find(in.call);
    if (it == calls_.end()) return;
    Outgoing& call = it->second;
    if (call.answer != nullptr) return take_stream(call, in.bytes);
    if (call.body.size() + in.bytes.size() <= settings_.limits.answer_bytes) {
        call.body += in.bytes;
        return;
    }
    emit(CallAbort{call.id});
    if (call.kind == CallKind::attempt) return end_attempt(call.id, Ending::bad_answer, "answer too large");
    const Outgoing over = std::move(call);
    calls_.erase(it);
    end_other(over, Ending::bad_answer, "");
}

void Edge::take_stream(Outgoing& call, std::string_view bytes) {
    const CallId id = call.id;
    Open& r = *find(call.request);
    auto progress = call.answer->feed(bytes);
    if (progress.events > 0) {
        if (r.answered) {  // its client has gone, and the module may not call attempts off
            emit(CallAbort{id});
            return end_attempt(id, Ending::cancelled, "client gone");
        }
        r.last_chunk = heard_[call.server] = now_;
        r.chunks += progress.events;
        if (!r.started) begin_stream(r, call);
        if (!progress.to_client.empty()) emit(StreamBytes{r.client, std::move(progress.to_client)});
    }
    switch (progress.state) {
        case WriterAnswer::State::more: return;
        case WriterAnswer::State::whole: emit(CallSettled{id}); return end_attempt(id, Ending::answered, "");
        case WriterAnswer::State::spoilt:
            emit(CallAbort{id});
            return end_attempt(id, Ending::bad_answer, progress.detail);
    }
}

// Its first event is here: from now on this attempt is the client's.
void Edge::begin_stream(Open& r, const Outgoing& call) {
    r.started = true;
    r.first_chunk = now_;
    started_ += 1;
    events_.emplace_back(StreamStarted{r.id, call.attempt, {call.server}, now_ - call.begun});
    if (r.held) {  // the writer has fetched it
        note_held("fetched", r.in.name, call.server, ReleaseReason::none, r.held->since);
        r.held.reset();
        held_ -= 1;
    }
    r.pending_release.reset();
    const bool streams = r.in.exchange->streams();
    Time look = now_ + settings_.limits.stream_idle;
    if (r.moves_at != Time{}) look = std::min(look, r.moves_at);
    arm(r, streams ? look : std::min(look, r.deadline));
    drop_body(r);
    if (streams) emit(StreamBegin{r.client, r.in.exchange->stream_head()});
}

void Edge::on(const CallDone& in) {
    const auto it = calls_.find(in.call);
    if (it == calls_.end()) return;
    if (it->second.kind == CallKind::attempt) return end_attempt(in.call, Ending::answered, "");
    const Outgoing call = std::move(it->second);
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
    const Outgoing call = std::move(it->second);
    calls_.erase(it);
    end_other(call, in.ending, in.detail);
}

// The one place where an attempt ends, whatever ended it.
void Edge::end_attempt(CallId id, Ending ending, const std::string& detail) {
    const auto it = calls_.find(id);
    const Outgoing call = std::move(it->second);
    calls_.erase(it);
    const RequestId request = call.request;
    Open& r = *find(request);
    r.call.reset();
    if (ending == Ending::not_verified) not_verified(call.server, detail);

    std::optional<ReadResult> read_answer;
    if (call.read && ending == Ending::answered)
        read_answer = convention_->read_result(call.status, call.body);
    engine::Facts facts;
    facts.ending = ending;
    facts.sent = call.sent;
    facts.written = call.written;
    facts.read = call.read;
    facts.started = r.started;
    facts.whole =
        call.read ? read_answer.has_value() : r.started && call.answer != nullptr && call.answer->whole();
    facts.status = call.status;
    facts.not_run = call.head.not_run;
    const auto judged = convention_->judge(facts, call.server_kind);
    if (!call.read && !engine::proves_not_run(judged.outcome) && !std::exchange(r.may_have_run, true)) {
        r.first_run_begun = call.begun;
        if (const auto s = servers_.find({call.server}); s != servers_.end())
            r.first_run_at = s->second.entry;
    }

    AttemptEnded ended{r.id,  call.attempt,  {call.server},   judged.outcome, now_ - call.begun,
                       false, judged.remark, call.head.report};
    // The break of a stream that had started ends the request, as its good end does; so does a verdict on it.
    ended.finished = r.answered || r.started || judged.clients_fault;
    if (read_answer) {
        ended.remark = read_answer->cached_tokens.value_or(0);
        if (prefixes_ != nullptr) {
            const auto claim = std::find_if(r.claims.begin(), r.claims.end(),
                                            [&](const auto& c) { return c.server.value == call.server; });
            const double prompt =
                read_answer->prompt_tokens > 0 ? read_answer->prompt_tokens : r.in.prompt_tokens;
            prefixes_->observed(call.server, {prompt, claim == r.claims.end() ? 0 : claim->tokens,
                                              read_answer->cached_tokens, ended.taken});
            tell_prefixes();
        }
        if (read_answer->prompt_tokens > 0) {
            r.counted_prompt_tokens = read_answer->prompt_tokens;
            r.in.exchange->prompt_counted(read_answer->prompt_tokens);
        }
        const auto at = servers_.find({call.server});
        r.held = Open::Held{at == servers_.end() ? ListedServer{} : at->second, std::move(read_answer->state),
                            call.attempt.value, now_};
        held_ += 1;
        note_held("held", r.in.name, call.server, ReleaseReason::none, now_);
    } else if (!call.read && judged.outcome == Outcome::ok && !judged.clients_fault) {
        ended.remark = r.in.exchange->kept_tokens();
        if (const double told = r.told_prompt_tokens(); told > 0) r.in.exchange->prompt_counted(told);
    }
    const bool by_request = release_covers_request();
    // The writer could not fetch the state; its reader may have it all the same, and must not keep it.
    if (judged.outcome == Outcome::full && judged.remark == 1 && r.held) {
        if (by_request) {
            r.pending_release = std::exchange(r.held, std::nullopt);
            held_ -= 1;
            r.pending_release->reason = ReleaseReason::not_fetched;
            pending_releases_.push_back(request);
        } else {
            release_state(r, ReleaseReason::not_fetched);
        }
    }
    // Guards against a clock that is set back by ends that prove nothing: bytes that were written may lie
    // unread at a server that hangs, and their connection may break or be given up all the same.
    if (call.status != 0 || ending == Ending::bad_answer) {
        if (r.held) r.held->since = now_;
        if (r.pending_release) r.pending_release->since = now_;
    }
    r.last_outcome = engine::name(judged.outcome);
    r.trail += (r.trail.empty() ? "" : " ") + call.server + (call.read ? ":read:" : ":write:") +
               r.last_outcome + "/" + std::to_string(whole_ms(now_ - call.begun)) + "ms" +
               (detail.empty() ? "" : " (" + detail + ")");
    emit(Note{observe::AttemptRecord{r.in.name, call.attempt.value, call.server, call.read,
                                     engine::name(judged.outcome), call.status, call.sent,
                                     r.started && !call.read, now_ - call.begun, detail, call.written}});
    // A read called off may have been done all the same, its answer on the way, and so may one whose answer
    // can't be read: the state is released by its number.
    if (call.read && call.sent && judged.outcome != Outcome::read &&
        (ending == Ending::bad_answer || judged.outcome == Outcome::cancelled ||
         judged.outcome == Outcome::timeout || judged.outcome == Outcome::reset)) {
        if (const auto s = servers_.find({call.server}); s != servers_.end()) {
            if (by_request) {
                r.pending_release = Open::Held{s->second, "", call.attempt.value, now_};
                pending_releases_.push_back(request);
            } else {
                release_call(
                    {r.in.name, call.attempt.value, "", ReleaseReason::read_may_have_ended, now_, {}, 0},
                    s->second);
            }
        }
    }
    events_.emplace_back(std::move(ended));

    if (!r.answered) {
        if (judged.clients_fault) {
            reply(r.client, r.in.exchange->verdict(call.status, call.head, call.body));
            finish(r, Fate::rejected, call.status, "engine");
        } else if (judged.outcome == Outcome::ok) {
            if (r.in.exchange->streams()) {
                if (auto tail = r.in.exchange->stream_tail(); !tail.empty())
                    emit(StreamBytes{r.client, std::move(tail)});
                emit(StreamEnd{r.client});
            } else {
                reply(r.client, r.in.exchange->collected());
            }
            finish(r, Fate::served, 200, "served");
        } else if (r.started) {
            const bool late = ending == Ending::timed_out;
            fail(r, late ? 504 : 502, late ? "stream_time" : "broken_stream",
                 "the answer broke off: " + (detail.empty() ? r.last_outcome : detail));
        }
    }
    drop_if_over(request);
}

void Edge::end_other(const Outgoing& call, Ending ending, const std::string& detail) {
    if (ending == Ending::not_verified) not_verified(call.server, detail);
    switch (call.kind) {
        case CallKind::attempt: break;
        case CallKind::probe: return end_probe(call, ending);
        case CallKind::release: return end_release(call, ending);
        case CallKind::lease: return end_lease(call, ending);
        case CallKind::verify:
            std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
            if (ending == Ending::answered) verified(call.server);
            else if (ending != Ending::not_verified) verification_.untold(call.server, now_);
            return;
    }
}

void Edge::end_probe(const Outgoing& call, Ending ending) {
    engine::Facts facts;
    facts.ending = ending;
    facts.sent = call.sent;
    facts.whole = true;
    facts.status = call.status;
    auto outcome = engine::judge(facts).outcome;
    if (outcome == Outcome::ok && call.status != 200)
        outcome = Outcome::error;  // no /health: not known to be well
    auto report = convention_->probe_report(call.head, call.body);
    std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
    emit(Note{observe::ServerRecord{call.server, "probe", std::string(engine::name(outcome))}});
    events_.emplace_back(ProbeEnded{{call.server}, outcome, now_ - call.begun, std::move(report)});
}

void Edge::end_release(const Outgoing& call, Ending ending) {
    std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
    const bool has_none = ending == Ending::answered && convention_->no_release(call.status);
    if (has_none) no_release_.insert(call.server);
    const bool done = ending == Ending::answered && call.status < 300;
    emit(Note{observe::ServerRecord{call.server, "release", done ? "ok" : has_none ? "none" : "failed"}});
    note_held(done ? "release_done" : "release_failed", call.release->name, call.server, call.release->reason,
              call.release->held_since);
    // Where any server takes it another is asked, at once: the time to release runs on while one does not
    // answer. Not once a read has ended well behind it: that state would go, too, and has time of its own.
    if (done || !release_covers_request()) return resume_deferred(call.request);
    Open* r = find(call.request);
    ReleaseAttempt release = *call.release;
    if (r != nullptr && r->held) {
        if (const auto s = servers_.find({call.server}); s != servers_.end() && !r->pending_release)
            r->pending_release = Open::Held{s->second, std::move(release.state), release.attempt,
                                            r->held->since, release.reason};
        pending_releases_.push_back(r->id);
        return;
    }
    release.tried.insert(call.server);
    const ListedServer* next =
        release.tries < settings_.limits.release_tries ? server_for_release(release.tried) : nullptr;
    if (next == nullptr && release.tries < settings_.limits.release_tries) {
        release.tried = {call.server};
        next = server_for_release(release.tried);
    }
    if (next == nullptr) return resume_deferred(call.request);
    const auto again = release_call(std::move(release), *next);
    if (again == CallId{}) return resume_deferred(call.request);
    if (r != nullptr) r->release = again;
    calls_.at(again).request = call.request;
}

// Who spoke last of those in service that were not asked: that it lives is all that is wanted.
const ListedServer* Edge::server_for_release(const std::set<std::string>& tried) const {
    const ListedServer* out = nullptr;
    Time last{};
    for (const auto& [id, s] : servers_) {
        if (s.entry.state != ServerState::up || tried.contains(id.value)) continue;
        const auto heard = heard_.find(id.value);
        const Time at = heard == heard_.end() ? Time{} : heard->second;
        if (out != nullptr && at <= last) continue;
        out = &s;
        last = at;
    }
    return out;
}

void Edge::end_lease(const Outgoing& call, Ending ending) {
    std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
    using Lease = Convention::Lease;
    const Lease lease =
        ending == Ending::answered ? convention_->lease_answer(call.status) : Lease::not_known;
    Open* r = find(call.request);
    if (r == nullptr) return;
    if (lease != Lease::not_known)
        events_.emplace_back(LeaseAnswer{r->id, {call.server}, lease == Lease::held});
    // A place that may be held is let go of like a state, unless an attempt takes it.
    if (lease != Lease::not_held && call.sent && !r->started) {
        if (const auto s = servers_.find({call.server}); s != servers_.end() && !r->pending_release)
            r->pending_release =
                Open::Held{s->second, "", call.attempt.value, now_, ReleaseReason::place_may_be_held};
        pending_releases_.push_back(r->id);
    }
}

// ================= the list of servers =================

void Edge::on(const ServerList& in) {
    ListChanged event;
    event.scope = in.scope;
    if (in.scope == ListScope::complete || in.scope == ListScope::recalled) {
        std::set<ServerId> named;
        for (const auto& s : in.servers) named.insert(s.entry.id);
        for (auto& [id, s] : servers_)
            if (!named.contains(id)) s.entry.state = ServerState::removed;
    }
    std::set<std::string> restarted;
    for (const auto& s : in.servers) {
        const auto old = servers_.find(s.entry.id);
        const bool again = old != servers_.end() && old->second.entry.born != s.entry.born;
        if (again) restarted.insert(s.entry.id.value);
        if (again || old == servers_.end() || old->second.entry.state != s.entry.state) {
            const char* const what = s.entry.state == ServerState::draining  ? "draining"
                                     : s.entry.state == ServerState::removed ? "removed"
                                     : again                                 ? "restarted"
                                                                             : "up";
            emit(Note{observe::ServerRecord{s.entry.id.value, what, format_address(s.address)}});
        }
        const bool moved = again || old == servers_.end() || old->second.address != s.address ||
                           old->second.entry.kind != s.entry.kind;
        if (moved) verification_.changed(s.entry.id.value, now_);
        servers_[s.entry.id] = s;
        event.entries.push_back(s.entry);
        if (verification_.out(s.entry.id.value) && s.entry.state == ServerState::up)
            event.entries.back().state = ServerState::draining;
    }
    events_.emplace_back(std::move(event));
    if (prefixes_ != nullptr) follow_caches();
    // What still waits for a connection to a server that drains, is gone, or has started anew does not go
    // out.
    for (const auto& [id, s] : servers_)
        if (s.entry.state != ServerState::up) restarted.insert(id.value);
    keep_back(restarted);
    // Removed servers are forgotten when nothing of theirs is out; states at them keep their own address.
    std::set<std::string> used;
    for (const auto& [id, call] : calls_) used.insert(call.server);
    std::erase_if(servers_, [&](const auto& p) {
        const bool over = p.second.entry.state == ServerState::removed && !used.contains(p.first.value);
        if (!over) return false;
        verification_.forget(p.first.value);
        no_release_.erase(p.first.value);
        heard_.erase(p.first.value);
        emit(ServerForgotten{p.first.value});
        return true;
    });
}

void Edge::keep_back(const std::set<std::string>& servers) {
    std::vector<CallId> stay;
    for (const auto& [id, call] : calls_)
        if (call.kind == CallKind::attempt && !call.sent && servers.contains(call.server)) stay.push_back(id);
    for (const CallId id : stay) {
        emit(CallAbort{id});
        end_attempt(id, Ending::withdrawn, "list");
    }
}

// ================= what servers keep =================

void Edge::on(const CacheMessage& in) {
    if (prefixes_ == nullptr) return;
    const auto from = prefixes_->message(in.server, in.sequence, in.payload, in.replayed);
    if (from) {
        replays_[in.server] = now_ + settings_.cache_events.replay_timeout;
        emit(CacheReplay{in.server, *from});
    }
    tell_prefixes();
}

void Edge::on(const CacheReplayEnded& in) {
    if (prefixes_ == nullptr || replays_.erase(in.server) == 0) return;
    prefixes_->replay_ended(in.server);
    tell_prefixes();
}

void Edge::on(CacheSnapshots& in) {
    if (prefixes_ == nullptr) return;
    snapshots_ = std::move(in.kept);
    next_keep_ = now_ + settings_.cache_events.snapshot_every;
}

// One server's turn: all come round once in the time that the settings say, so that no turn of the loop has
// more than one to write.
void Edge::keep_snapshot() {
    if (followed_.empty() || now_ < next_keep_) return;
    auto it = followed_.upper_bound(last_kept_);
    if (it == followed_.end()) it = followed_.begin();
    last_kept_ = it->first;
    next_keep_ = now_ + std::max(settings_.module.tick, settings_.cache_events.snapshot_every /
                                                            static_cast<std::int64_t>(followed_.size()));
    if (auto bytes = prefixes_->snapshot(last_kept_)) emit(CacheKeep{last_kept_, std::move(*bytes)});
}

// Follows the list: who is in service and publishes is heard.
void Edge::follow_caches() {
    std::map<std::string, std::pair<Address, std::optional<Address>>> wanted;
    for (const auto& [id, s] : servers_) {
        const auto* kind = settings_.kind(s.entry.kind);
        if (kind == nullptr || !kind->cache_events || !s.events || s.entry.state == ServerState::removed)
            continue;
        prefixes_->listed(id.value, s.entry.kind, s.entry.born);
        wanted[id.value] = {*s.events, s.replay};
    }
    for (const auto& [server, at] : followed_) {
        if (wanted.contains(server)) continue;
        prefixes_->gone(server);
        replays_.erase(server);
        emit(CacheLeave{server});
        if (next_keep_ != Time::max()) emit(CacheDrop{server});
    }
    for (const auto& [server, at] : wanted) {
        const auto before = followed_.find(server);
        if (before == followed_.end() || before->second != at) emit(CacheFollow{server, at.first, at.second});
        // Kept from before this edge started: of use once the engine proves to be the same process.
        const auto kept = snapshots_.find(server);
        if (kept == snapshots_.end()) continue;
        const auto from = prefixes_->restore(server, kept->second);
        snapshots_.erase(kept);
        if (!from) {
            emit(Note{observe::ServerRecord{server, "cache_snapshot", from.error()}});
            emit(CacheDrop{server});
            continue;
        }
        replays_[server] = now_ + settings_.cache_events.replay_timeout;
        emit(CacheReplay{server, *from});
    }
    followed_ = std::move(wanted);
    tell_prefixes();
}

void Edge::tell_prefixes() {
    for (auto& change : prefixes_->changes()) {
        emit(Note{
            observe::ServerRecord{change.server.value, "cache_events", change.told ? "told" : "guessed"}});
        events_.emplace_back(std::move(change));
    }
}

std::vector<KnownPrefix> Edge::claims(const Open& r) const {
    const auto text = r.in.exchange->prompt_text();
    if (text.empty()) return {};
    std::vector<KnownPrefix> out;
    for (const auto& k : settings_.kinds)
        if (k.cache_events)
            for (auto& claim : prefixes_->claims(k.name, text)) out.push_back(std::move(claim));
    return out;
}

// ================= servers that prove their name =================

void Edge::not_verified(const std::string& server, const std::string& detail) {
    if (!verification_.failed(server, now_)) return;
    emit(Note{observe::ServerRecord{server, "not_verified", detail}});
    const auto s = servers_.find({server});
    if (s == servers_.end()) return;
    if (s->second.entry.state == ServerState::up) {
        ServerEntry entry = s->second.entry;
        entry.state = ServerState::draining;
        events_.emplace_back(ListChanged{ListScope::changes, {std::move(entry)}});
    }
    // What still waits for a connection there would fail the same way, and take a handshake each.
    keep_back({server});
}

void Edge::verified(const std::string& server) {
    if (!verification_.proved(server)) return;
    emit(Note{observe::ServerRecord{server, "verified", ""}});
    const auto s = servers_.find({server});
    if (s == servers_.end()) return;
    events_.emplace_back(ListChanged{ListScope::changes, {s->second.entry}});
}

void Edge::try_verification() {
    for (const auto& server : verification_.due(now_)) {
        const auto s = servers_.find({server});
        // Guards against trials of a server that is off the list: it is forgotten, not asked.
        if (s == servers_.end() || s->second.entry.state == ServerState::removed) {
            verification_.forget(server);
            continue;
        }
        call_out(CallKind::verify, s->second, {}, now_ + settings_.limits.release_timeout);
    }
}

// ================= the module's actions =================

void Edge::run_module() {
    for (int round = 0; !events_.empty() && round < kModuleRounds; ++round) {
        const auto events = std::exchange(events_, {});
        for (const auto& action : decider_->step(now_, events))
            std::visit([this](const auto& a) { act(a); }, action);
    }
}

// The module keeps these by itself; here each edge makes sure. What is stopped is told to the module as never
// sent.
std::string Edge::guard(const Open& r, const Send& action) const {
    if (r.answered) return "send after the final answer";
    if (r.call) return "second attempt while one is out";
    if (r.attempts >= settings_.module.max_attempts) return "over the attempt limit";
    if (now_ >= r.deadline) return "send after the deadline";
    const auto s = servers_.find(action.server);
    if (s == servers_.end()) return "unknown server";
    if (s->second.entry.state != ServerState::up || verification_.out(action.server.value))
        return "server not in service";
    if (!repeat_allowed(r, action.server.value, now_)) return "an earlier attempt may have run";
    return {};
}

bool Edge::repeat_allowed(const Open& r, const std::string& server, Time now) const {
    const auto& cls = settings_.module.classes[r.in.cls];
    if (!r.may_have_run || cls.effect == Effect::repeatable) return true;
    if (cls.effect == Effect::once || now >= r.first_run_begun + cls.window) return false;
    const auto s = servers_.find({server});
    if (s == servers_.end()) return false;
    switch (cls.group) {
        case Group::all: return true;
        case Group::zone: return s->second.entry.zone == r.first_run_at.zone;
        case Group::cell: return s->second.entry.cell == r.first_run_at.cell;
    }
    return false;
}

bool Edge::may_begin(Time now, CallId id, http::Headers& headers) const {
    const auto call = calls_.find(id);
    if (call == calls_.end()) return false;
    if (call->second.kind != CallKind::attempt) return true;
    const Open& r = *open_.at(call->second.request.value);
    const Duration left = r.deadline - now;
    const bool in_time = !r.answered && left > Duration::zero();
    if (!in_time || !repeat_allowed(r, call->second.server, now)) return false;
    r.in.exchange->update_time_left(headers, left);
    return true;
}

void Edge::act(const Send& action) {
    Open* r = find(action.id);
    if (r == nullptr) return;
    // Guards against a release that is given up for the sake of the next attempt, and never made: what was
    // held stayed where it was.
    if (!r->answered && release_under_way(*r)) {
        r->deferred = action;
        return arm(*r, r->deadline);
    }
    const auto against = guard(*r, action);
    const auto attempt = r->attempts++;
    if (!against.empty()) {
        emit(Note{observe::GuardRecord{r->in.name, against}});
        if (!r->call)
            events_.emplace_back(
                AttemptEnded{r->id, {attempt}, action.server, Outcome::moot, {}, r->answered, 0, {}});
        return;
    }
    const ListedServer& s = servers_.at(action.server);
    const bool read = role_of(s.entry.kind) == Role::prefill;

    Call call;
    call.call = {++last_call_};
    call.server = action.server.value;
    call.server_kind = s.entry.kind;
    call.address = s.address;
    call.worth = settings_.module.classes[r->in.cls].worth;
    const Duration left = r->deadline - now_;
    put(call, read ? r->in.exchange->read(attempt, left)
                   : r->in.exchange->write(attempt, r->held ? r->held->state : std::string(), left));

    Outgoing out;
    out.id = call.call;
    out.request = r->id;
    out.attempt = {attempt};
    out.server = call.server;
    out.server_kind = s.entry.kind;
    out.begun = now_;
    out.read = read;
    if (action.timeout > Duration::zero()) out.timeout = now_ + action.timeout;
    arm(*r, attempt_due(*r, out));
    r->call = out.id;
    calls_.emplace(out.id, std::move(out));
    emit(std::move(call));
}

void Edge::act(const Refuse& action) {
    Open* r = find(action.id);
    if (r == nullptr || r->answered) return;
    const bool once_ran = r->may_have_run && settings_.module.classes[r->in.cls].effect == Effect::once;
    if (once_ran || r->started) {
        emit(Note{observe::GuardRecord{r->in.name, "refusal of what may have run"}});
        fail(*r, 502, "attempts", "the request failed");
        return drop_if_over(action.id);
    }
    auto answer = r->in.exchange->refusal(action.retry_after);
    const int status = answer.status;
    reply(r->client, std::move(answer));
    const std::string reason = r->attempts == 0 ? "held" : "attempts";
    finish(*r, Fate::refused, status, reason);
    drop_if_over(action.id);
}

void Edge::act(const Fail& action) {
    Open* r = find(action.id);
    if (r == nullptr || r->answered) return;
    const bool late = now_ >= r->deadline;
    fail(*r, late ? 504 : 502, late ? "deadline" : "attempts",
         late ? "no answer in time"
              : "the servers failed this request" +
                    (r->last_outcome.empty() ? "" : " (" + r->last_outcome + ")"));
    drop_if_over(action.id);
}

void Edge::act(const CancelAttempt& action) {
    Open* r = find(action.id);
    if (r == nullptr || r->started) return;
    if (r->deferred) return drop_deferred(*r, r->answered);
    if (!r->call) return;
    const CallId id = *r->call;
    if (calls_.at(id).attempt == action.attempt) call_off(id);
}

// Guards against a read that ends well in the moment in which it is called off: closed at once, its answer is
// lost on the way, and the prompt is read again, or its request refused, beside a read that was done.
void Edge::call_off(CallId id) {
    Outgoing& call = calls_.at(id);
    const bool answer_counts = call.read && call.written && !find(call.request)->answered;
    if (!answer_counts || !convention_->half_close_cancels()) {
        emit(CallAbort{id});
        return end_attempt(id, Ending::cancelled, "called off");
    }
    if (std::exchange(call.called_off, true)) return;
    emit(CallSendingEnds{id});
    call_due_.emplace(now_ + settings_.limits.cancel_wait, id);
}

void Edge::act(const Release& action) {
    Open* r = find(action.id);
    if (r == nullptr) return;
    const bool beside = r->call && (r->held || r->pending_release) && release_covers_request();
    if (!beside) return release_state(*r, ReleaseReason::decided);
    release_beside_attempt(*r, ReleaseReason::decided);
    arm(*r, attempt_due(*r, calls_.at(*r->call)));
}

// The client comes again for the rest, which is read and written elsewhere.
void Edge::act(const MoveStream& action) {
    Open* r = find(action.id);
    if (r == nullptr || !r->started || r->answered || !r->call || !settings_.module.resume) return;
    const CallId id = *r->call;
    emit(CallAbort{id});
    emit(StreamCut{r->client});
    finish(*r, Fate::failed, 0, "moved");
    end_attempt(id, Ending::cancelled, "moved");
}

void Edge::act(const RequestLease& action) {
    Open* r = find(action.id);
    const auto s = servers_.find(action.server);
    if (r == nullptr || r->answered || s == servers_.end() || s->second.entry.state != ServerState::up)
        return;
    auto request = convention_->lease(r->in.name);
    if (!request || !settings_.module.early_pairing) return;
    const Time due = std::max(r->deadline, now_ + settings_.limits.release_timeout);
    call_out(CallKind::lease, s->second, std::move(*request), due).request = r->id;
}

void Edge::act(const Probe& action) {
    const auto s = servers_.find(action.server);
    if (s == servers_.end() || verification_.out(action.server.value)) {
        events_.emplace_back(ProbeEnded{action.server, Outcome::moot, {}, {}});
        return;
    }
    call_out(CallKind::probe, s->second, convention_->probe(), now_ + settings_.limits.release_timeout);
}

void Edge::act(const Wake& action) { wakes_.emplace(action.at, action.id); }

// ================= time =================

Time Edge::ends_at(const Open& r, const Outgoing& attempt) {
    return attempt.timeout == Time{} ? r.deadline : std::min(r.deadline, attempt.timeout);
}
// Called off now, could it have run?
bool Edge::may_have_come(const Outgoing& attempt) const {
    engine::Facts facts;
    facts.ending = Ending::cancelled;
    facts.sent = attempt.sent;
    facts.written = attempt.written;
    return !engine::proves_not_run(convention_->judge(facts, attempt.server_kind).outcome);
}
bool Edge::release_covers_request() const {
    return convention_->release_covers() == Convention::ReleaseScope::request;
}
Duration Edge::release_timeout() const {
    const auto& limits = settings_.limits;
    return limits.release_retry > Duration::zero() ? limits.release_retry : limits.release_timeout;
}
std::optional<Time> Edge::release_due(const Open& r) const {
    if (!r.held && !r.pending_release) return std::nullopt;
    Time since = r.held ? r.held->since : r.pending_release->since;
    if (r.pending_release) since = std::min(since, r.pending_release->since);
    return since + settings_.module.release_within;
}
// Guards against a state that waits for an attempt which never comes to a server: until one has answered the
// state's time runs on, whether the connection does not come up or is silent.
Time Edge::attempt_due(const Open& r, const Outgoing& attempt) const {
    const Time end = ends_at(r, attempt);
    const auto release = release_due(r);
    return attempt.status != 0 || !release ? end : std::min(end, *release);
}

// The time of what is held is over, or may be, while an attempt is out.
void Edge::look_at_unanswered(Open& r) {
    const Outgoing& attempt = calls_.at(*r.call);
    const auto release = release_due(r);
    if (attempt.status != 0 || !release || now_ < *release) return arm(r, attempt_due(r, attempt));
    arm(r, ends_at(r, attempt));
    if (r.held && !may_have_come(attempt)) {
        const CallId id = attempt.id;
        emit(CallAbort{id});
        return end_attempt(id, Ending::cancelled, "no connection in the state's time");
    }
    if (!release_covers_request()) return;
    release_beside_attempt(r, ReleaseReason::write_unanswered);
    arm(r, attempt_due(r, attempt));
}

// Servers keep what an attempt waits for: where this one has come, the release takes nothing from it, and
// where it has not, nothing is left behind. Which of the two holds shows only with its answer; until then the
// release is made again and again, as the server may die with the attempt.
void Edge::release_beside_attempt(Open& r, ReleaseReason reason) {
    if (r.held) {
        events_.emplace_back(StateReleased{r.id});
        r.pending_release = std::exchange(r.held, std::nullopt);
        r.pending_release->reason = reason;
        held_ -= 1;
        pending_releases_.push_back(r.id);
    }
    const Open::Held& held = *r.pending_release;
    const auto call =
        release_call({r.in.name, held.attempt, held.state, held.reason, held.since, {}, 0}, held.server);
    r.pending_release->since = now_;
    if (call == CallId{}) return;
    r.release = call;
    calls_.at(call).request = r.id;
}

void Edge::arm(Open& r, Time at) {
    disarm(r);
    r.due = at;
    due_.emplace(at, r.id);
}
void Edge::disarm(Open& r) {
    if (r.due != Time{}) due_.erase({r.due, r.id});
    r.due = {};
}

void Edge::fire_due() {
    while (!wakes_.empty() && wakes_.begin()->first <= now_) {
        events_.emplace_back(TimerFired{wakes_.begin()->second});
        wakes_.erase(wakes_.begin());
    }
    while (!call_due_.empty() && call_due_.begin()->first <= now_) {
        const CallId id = call_due_.begin()->second;
        call_due_.erase(call_due_.begin());
        const auto it = calls_.find(id);
        if (it == calls_.end()) continue;
        emit(CallAbort{id});
        if (it->second.kind == CallKind::attempt) {
            end_attempt(id, Ending::cancelled, "called off");
            continue;
        }
        const Outgoing call = std::move(it->second);
        calls_.erase(it);
        end_other(call, Ending::timed_out, "");
    }
    keep_snapshot();
    for (auto it = replays_.begin(); it != replays_.end();) {
        if (it->second > now_) {
            ++it;
            continue;
        }
        prefixes_->replay_ended(it->first);
        it = replays_.erase(it);
        tell_prefixes();
    }
    while (!due_.empty() && due_.begin()->first <= now_) {
        const RequestId id = due_.begin()->second;
        Open& r = *find(id);
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
            const Time last = r.in.exchange->streams() ? own : std::min(own, r.deadline);
            if (now_ < last && now_ < idle) {
                arm(r, std::min(last, idle));
                continue;
            }
            const CallId call = *r.call;
            emit(CallAbort{call});
            end_attempt(call, Ending::timed_out, now_ >= last ? "time is over" : "silent stream");
        } else if (r.call && now_ < ends_at(r, calls_.at(*r.call))) {
            look_at_unanswered(r);
        } else if (r.call) {
            const CallId call = *r.call;
            const bool own = now_ < r.deadline;  // the module's own time-out of this attempt
            emit(CallAbort{call});
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
            events_.emplace_back(TimerFired{{0}});
        } else {
            emit(Note{observe::GuardRecord{r.in.name, "no final answer at the deadline"}});
            events_.emplace_back(ClientGone{id});
            fail(r, 504, "deadline", "no answer in time");
            drop_if_over(id);
        }
    }
}

// ================= ends =================

void Edge::fail(Open& r, int status, std::string reason, std::string message) {
    if (r.started && r.in.exchange->streams()) {
        auto last = r.in.exchange->stream_error(status, message);
        if (last) {
            emit(StreamBytes{r.client, std::move(*last)});
            emit(StreamEnd{r.client});
        } else {
            emit(StreamCut{r.client});
        }
    } else {
        const bool repeatable = settings_.module.classes[r.in.cls].effect == Effect::repeatable;
        reply(r.client, r.in.exchange->failure(status, message, repeatable || !r.may_have_run));
    }
    finish(r, Fate::failed, status, std::move(reason));
}

void Edge::drop_body(Open& r) {
    r.in.exchange->drop_request();
    request_bytes_ -= std::exchange(r.body_bytes, 0);
}

void Edge::finish(Open& r, Fate fate, int status, std::string reason) {
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
    record.fate = fate;
    record.status = status;
    record.reason = std::move(reason);
    record.total = now_ - r.arrived;
    if (r.started) record.first_token = r.first_chunk - r.arrived;
    record.prompt_tokens = r.in.prompt_tokens;
    record.prompt_tokens_told = r.told_prompt_tokens();
    record.completion_tokens = r.in.exchange->completion_tokens();
    record.chunks = r.chunks;
    record.streamed = r.in.exchange->streams();
    record.trail = r.trail;
    emit(Note{std::move(record)});
    drop_body(r);
}

// Forgets a request that has its answer and no attempt out. A state that is still held goes at once.
void Edge::drop_if_over(RequestId id) {
    Open* r = find(id);
    if (r == nullptr || !r->answered || r->call) return;
    if (r->deferred) drop_deferred(*r, true);
    disarm(*r);
    release_state(*r, ReleaseReason::request_over);
    open_.erase(id.value);
}

void Edge::note_held(std::string_view what, const std::string& request, const std::string& server,
                     ReleaseReason reason, Time since) {
    emit(Note{observe::HeldRecord{request, what, server, reason, now_ - since}});
}

void Edge::release_state(Open& r, ReleaseReason reason) {
    if (r.call || (!r.held && !r.pending_release))
        return;  // with an attempt out the state is that attempt's to take
    if (!r.held) reason = r.pending_release->reason;
    const auto held = r.held ? std::move(*r.held) : std::move(*r.pending_release);
    if (r.held) held_ -= 1;
    r.held.reset();
    r.pending_release.reset();
    const auto call =
        release_call({r.in.name, held.attempt, held.state, reason, held.since, {}, 0}, held.server);
    if (call == CallId{}) return;
    r.release = call;
    calls_.at(call).request = r.id;
}

void Edge::release_pending() {
    if (pending_releases_.empty()) return;
    std::vector<RequestId> wait;
    for (const auto id : std::exchange(pending_releases_, {})) {
        Open* r = find(id);
        if (r == nullptr || !r->pending_release) continue;
        if (r->call) wait.push_back(id);
        else if (!r->held)
            release_state(*r, r->pending_release->reason);  // with a state that waits, both go together
        else wait.push_back(id);
    }
    pending_releases_ = std::move(wait);
}

bool Edge::release_under_way(const Open& r) const {
    if (!r.release || !release_covers_request()) return false;
    const auto call = calls_.find(*r.release);
    return call != calls_.end() && !call->second.written;
}

// The release is out, or given up: the attempt that waited for it goes, if it still may.
void Edge::resume_deferred(RequestId id) {
    Open* r = find(id);
    if (r == nullptr || !r->deferred || release_under_way(*r)) return;
    const Send action = *std::exchange(r->deferred, std::nullopt);
    act(action);
}

// It never began, and that tells nothing of its server.
void Edge::drop_deferred(Open& r, bool finished) {
    const Send action = *std::exchange(r.deferred, std::nullopt);
    const AttemptId attempt{r.attempts++};
    events_.emplace_back(AttemptEnded{r.id, attempt, action.server, Outcome::moot, {}, finished, 0, {}});
}

Edge::Outgoing& Edge::call_out(CallKind kind, const ListedServer& to, ServerRequest request, Time due,
                               double worth) {
    Call call;
    call.call = {++last_call_};
    call.kind = kind;
    call.server = to.entry.id.value;
    call.server_kind = to.entry.kind;
    call.address = to.address;
    call.worth = worth;
    put(call, std::move(request));
    Outgoing out;
    out.id = call.call;
    out.kind = kind;
    out.server = call.server;
    out.server_kind = call.server_kind;
    out.begun = now_;
    call_due_.emplace(due, out.id);
    emit(std::move(call));
    return calls_.emplace(out.id, std::move(out)).first->second;
}

CallId Edge::release_call(ReleaseAttempt release, const ListedServer& holder) {
    // Where any server takes it, the one that spoke last is the likeliest to run and to be reached.
    const ListedServer* const likeliest =
        release_covers_request() ? server_for_release(release.tried) : nullptr;
    const ListedServer& to = likeliest != nullptr ? *likeliest : holder;
    const auto& server = to.entry.id.value;
    auto request = convention_->release(release.name, release.attempt, release.state, to.entry.kind);
    if (!request || no_release_.contains(server)) {
        // Counted and noted: the state stays until the engine drops it by its own time.
        emit(Note{observe::ServerRecord{server, "release", "none"}});
        return {};
    }
    release.tries += 1;
    note_held("release", release.name, server, release.reason, release.held_since);
    const Time due = now_ + release_timeout();
    Outgoing& out = call_out(CallKind::release, to, std::move(*request), due, kReleaseWorth);
    out.release = std::move(release);
    return out.id;
}

}  // namespace chalksail::core
