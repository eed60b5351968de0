#include "checker/checker.hpp"

#include <algorithm>

namespace chalksail::lab {
namespace {

std::string ms(Duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

}  // namespace

void Checker::broke(int rule, Time at, const std::string& request, const std::string& server,
                    std::string text) {
    out_.breaches.push_back({rule, at, request, server, std::move(text)});
}

Checker::Story& Checker::story(const std::string& request) {
    auto& s = stories_[request];
    if (s.id.empty()) s.id = request;
    return s;
}

void Checker::later(Time when, bool at_end_too, std::function<void()> judge) {
    waiting_.emplace(when, Judgement{at_end_too, std::move(judge)});
}

void Checker::add(const Record& r) {
    while (!waiting_.empty() && waiting_.begin()->first < r.at) {
        const auto next = std::move(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
        next.judge();
    }
    end_ = r.at;
    switch (r.kind) {
        case RecordKind::requested: {
            Story& s = story(r.request);
            s.request = r;
            out_.requests += 1;
            out_.requests_by_class[r.cls] += 1;
            const Time due = r.at + r.deadline + f_.answer_slack + f_.measuring;
            later(due, false, [this, &s, due] { unanswered(s, due); });
            break;
        }
        case RecordKind::first:
            if (Story& s = story(r.request); !s.first) s.first = r.at;
            break;
        case RecordKind::answered:
        case RecordKind::client_disconnected: answered(story(r.request), r); break;
        case RecordKind::sent:
        case RecordKind::taken: taken(r); break;
        case RecordKind::ended:
        case RecordKind::closed: ended(r); break;
        case RecordKind::state: {
            Story& s = story(r.request);
            // One that comes of a read which its gateway had called off, and let go of, before it came to be:
            // the gateway has done its part, the news were held up on the way.
            const auto let_go = s.let_go.find(r.server);
            const bool done_with =
                let_go != s.let_go.end() &&
                std::any_of(s.attempts.begin(), s.attempts.end(), [&](const ObservedAttempt& a) {
                    return a.number == r.attempt && a.to && *a.to < r.at && a.from <= let_go->second;
                });
            if (done_with) break;
            s.states.push_back({r.server, r.at, std::nullopt});
            schedule_state_check(s, r.at);
            break;
        }
        case RecordKind::release_requested: story(r.request).let_go[r.server] = r.at; [[fallthrough]];
        case RecordKind::fetched:
        case RecordKind::released:
        case RecordKind::expired:
        case RecordKind::lost:
            for (auto& held : story(r.request).states)
                if (held.server == r.server && !held.removed_at) held.removed_at = r.at;
            break;
        case RecordKind::overloaded:
            // Rule 4 is the gateways' breach only if most of the pressure came from those that had been told.
            if (r.value >= 2.0 / 3)
                broke(4, r.at, "", r.server, "a cold server was pushed over by gateways that knew");
            break;
        case RecordKind::notified: on_notified(r); break;
    }
}

void Checker::on_notified(const Record& r) {
    auto& out = out_of_service_[{r.gateway, r.server}];
    if (r.termination == "draining" || r.termination == "removed") {
        if (!out) out = r.at;
    } else {
        out.reset();
    }
}

void Checker::taken(const Record& r) {
    Story& s = story(r.request);
    if (r.kind == RecordKind::taken)
        for (auto& a : s.attempts)
            if (a.awaited && a.number == r.attempt && a.server == r.server) {
                a.awaited = false;
                return;
            }
    s.attempts.push_back({r.attempt, r.server, r.zone, r.cell, r.read, r.at, std::nullopt, false,
                          r.kind == RecordKind::sent, r.kind == RecordKind::sent});
    out_.attempts += 1;
    if (static_cast<int>(s.attempts.size()) > f_.max_attempts)
        broke(2, r.at, s.id, r.server,
              "attempt " + std::to_string(s.attempts.size()) + " of " + std::to_string(f_.max_attempts));
    if (!s.request)
        later(r.at + f_.measuring, true, [this, &s, r] {
            if (!s.request) broke(1, r.at, s.id, r.server, "sent for a request that no client asked");
        });
    if (!s.finals.empty() && r.at > s.finals.front().at + f_.measuring)
        broke(1, r.at, s.id, r.server, "sent after the end of the request");
    // Records of other sockets, and of what came just before, may follow within the measuring.
    later(r.at + f_.measuring, true, [this, &s, i = s.attempts.size() - 1] { attempt(s, i); });
    const auto key = std::pair(r.gateway, r.server);
    const auto out = out_of_service_.find(key);
    if (out == out_of_service_.end() || !out->second) return;
    const Time since = *out->second;
    if (r.at <= since + f_.drain_grace + f_.measuring) return;
    // The record is of the gateway's answer to news; it may have acted on them a moment before that came.
    later(r.at + f_.measuring, true, [this, &s, r, key, since] {
        if (const auto now = out_of_service_.at(key); !now || *now != since) return;
        broke(3, r.at, s.id, r.server,
              "sent " + ms(r.at - since) + " after " + r.gateway + " was told that it drains or is gone");
    });
}

void Checker::ended(const Record& r) {
    Story& s = story(r.request);
    for (auto it = s.attempts.rbegin(); it != s.attempts.rend(); ++it) {
        if (it->server != r.server || it->number != r.attempt) continue;
        it->not_run = it->not_run || r.termination == "not_run";
        // The engine's end is the gateway's no sooner than it has heard of it.
        if (it->to || (it->by_gateway && r.kind == RecordKind::ended)) return;
        it->to = r.at;
        if (r.read && (r.termination == "left" || r.kind == RecordKind::closed)) out_.cancelled_reads += 1;
        schedule_state_check(s, r.at);
        return;
    }
}

void Checker::answered(Story& s, const Record& r) {
    s.finals.push_back(r);
    if (s.finals.size() > 1) {
        // Rule 1: one final answer.
        if (s.finals.size() == 2 && r.kind == RecordKind::answered &&
            s.finals.front().kind == RecordKind::answered)
            broke(1, r.at, s.id, "", "a second final answer");
        return;
    }
    if (!s.request) return;
    if (r.kind == RecordKind::client_disconnected) {
        out_.disconnected += 1;
        return;
    }
    if (r.termination == "served") {
        out_.served += 1;
        out_.served_by_class[s.request->cls] += 1;
        if (!r.intact) out_.garbled += 1;
    } else if (r.termination == "refused") {
        out_.refused += 1;
    } else if (r.termination == "rejected") {
        out_.rejected += 1;
    } else {
        out_.failed += 1;
    }
    // Rule 1: in the client's time.
    const Time answer = s.first ? std::min(*s.first, r.at) : r.at;
    if (answer > s.request->at + s.request->deadline + f_.answer_slack + f_.measuring) {
        out_.late += 1;
        broke(1, answer, s.id, "",
              "answered " + ms(answer - s.request->at - s.request->deadline) + " after the client's time");
    }
    if (r.termination == "refused") later(r.at + f_.measuring, true, [this, &s] { final_word(s); });
}

// Rule 1: a stream that has begun has no deadline.
void Checker::unanswered(const Story& s, Time due) {
    if (!s.finals.empty() || s.first) return;
    out_.unanswered += 1;
    broke(1, due, s.id, "", "no final answer");
}

// The first write, of those before this one, that may have run.
const Checker::ObservedAttempt* Checker::first_run(const Story& s, std::size_t before) {
    for (std::size_t i = 0; i < before; ++i)
        if (!s.attempts[i].read && !s.attempts[i].not_run) return &s.attempts[i];
    return nullptr;
}

// Rule 2: no effect twice, never two attempts out.
void Checker::attempt(const Story& s, std::size_t which) {
    const ObservedAttempt& a = s.attempts[which];
    for (std::size_t j = 0; j < which; ++j) {
        const ObservedAttempt& before = s.attempts[j];
        if (!before.to || *before.to > a.from + f_.measuring)
            broke(2, a.from, s.id, a.server, "sent while an attempt was out at " + before.server);
    }
    if (a.read || !s.request) return;
    const ObservedAttempt* ran = first_run(s, which);
    if (ran == nullptr) return;
    if (s.request->effect == Idempotency::non_idempotent)
        broke(2, a.from, s.id, a.server, "a request that must run once may have run at " + ran->server);
    if (s.request->effect == Idempotency::idempotent_by_key) {
        const bool same =
            s.request->group == DeduplicationScope::all ||
            (s.request->group == DeduplicationScope::zone ? a.zone == ran->zone : a.cell == ran->cell);
        if (!same) broke(2, a.from, s.id, a.server, "sent outside the group of " + ran->server);
        if (a.from > ran->from + s.request->window + f_.measuring)
            broke(2, a.from, s.id, a.server, "sent after the window");
    }
}

// Rule 2: what may have run is not refused.
void Checker::final_word(const Story& s) {
    const ObservedAttempt* ran = first_run(s, s.attempts.size());
    const bool bound =
        s.request->effect == Idempotency::non_idempotent ||
        (s.request->effect == Idempotency::idempotent_by_key && s.request->group != DeduplicationScope::all);
    if (bound && ran != nullptr)
        broke(2, s.finals.front().at, s.id, ran->server, "refused, though it may have run");
}

// Rule 5: with no attempt out, a state is sent on or let go in time.
void Checker::schedule_state_check(Story& s, Time from) {
    if (s.states.empty()) return;
    const Time due = from + f_.release_within + f_.measuring;
    later(due, false, [this, &s, from] { pinned(s, from); });
}

// Nothing was out from then until now, and a state lay there all the while?
void Checker::pinned(const Story& s, Time from) {
    for (const auto& a : s.attempts)
        if (!a.to || *a.to > from || a.from > from) return;
    for (const auto& held : s.states)
        if (held.from <= from && !held.removed_at)
            broke(5, from + f_.release_within, s.id, held.server,
                  "a state was held for more than " + ms(f_.release_within) + " with no attempt out");
}

RuleReport Checker::finish() {
    for (auto& [when, judgement] : waiting_)
        if (judgement.at_end_too || when <= end_) judgement.judge();
    waiting_.clear();
    std::stable_sort(out_.breaches.begin(), out_.breaches.end(),
                     [](const Breach& a, const Breach& b) { return a.at < b.at; });
    return out_;
}

std::string format(const Breach& b) {
    return "rule " + std::to_string(b.rule) + " at " +
           std::to_string(static_cast<double>(b.at.time_since_epoch().count()) / 1e9) + " s: " + b.text +
           (b.request.empty() ? "" : "; request " + b.request) +
           (b.server.empty() ? "" : "; server " + b.server);
}

RuleReport check(std::vector<Record> records, const RuleFigures& figures) {
    std::stable_sort(records.begin(), records.end(),
                     [](const Record& a, const Record& b) { return a.at < b.at; });
    Checker checker(figures);
    for (const auto& r : records) checker.add(r);
    return checker.finish();
}

std::string trace(const std::vector<Record>& records, const Breach& breach) {
    constexpr Duration kAround = std::chrono::seconds(2);
    std::string out;
    for (const auto& r : records) {
        const bool own = !breach.request.empty() && r.request == breach.request;
        const bool its_server = !breach.server.empty() && r.server == breach.server &&
                                (r.kind == RecordKind::notified || r.kind == RecordKind::overloaded) &&
                                r.at >= breach.at - kAround && r.at <= breach.at + kAround;
        if (own || its_server) out += format(r) + "\n";
    }
    return out;
}

}  // namespace chalksail::lab
