#include "record/checker.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace chalksail::lab {
namespace {

std::string ms(Duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

// One attempt as the engine's socket saw it.
struct Seen {
    std::int64_t number = -1;
    std::string server;
    std::string zone;
    std::int64_t cell = 0;
    bool read = false;
    Time from{};
    std::optional<Time> to;
    bool not_run = false;
};

// All that was seen of one request.
struct Story {
    std::optional<Record> asked;
    std::optional<Time> first;
    std::vector<Record> finals;  // answers and hang-ups
    std::vector<Seen> attempts;  // by arrival
    // What holds or frees its states, by time.
    std::vector<Record> states;
};

class Checker {
public:
    Checker(std::vector<Record> records, const RuleFigures& figures)
        : records_(std::move(records)), f_(figures) {
        std::stable_sort(records_.begin(), records_.end(),
                         [](const Record& a, const Record& b) { return a.at < b.at; });
    }

    Verdict5 run() {
        for (const auto& r : records_) note(r);
        for (const auto& [r, since] : sent_while_out_)
            broke(3, r.at, r.request, r.server,
                  "sent " + ms(r.at - since) + " after " + r.gateway + " was told that it drains or is gone");
        for (auto& [id, story] : stories_) {
            count(story);
            one_answer(id, story);
            effects(id, story);
            pinned(id, story);
        }
        std::stable_sort(out_.breaches.begin(), out_.breaches.end(),
                         [](const Breach& a, const Breach& b) { return a.at < b.at; });
        return std::move(out_);
    }

private:
    void broke(int rule, Time at, const std::string& request, const std::string& server, std::string text) {
        out_.breaches.push_back({rule, at, request, server, std::move(text)});
    }

    void note(const Record& r) {
        end_ = r.at;
        switch (r.what) {
            case What::asked: stories_[r.request].asked = r; break;
            case What::first:
                if (auto& s = stories_[r.request]; !s.first) s.first = r.at;
                break;
            case What::answered:
            case What::hung_up: stories_[r.request].finals.push_back(r); break;
            case What::taken: taken(r); break;
            case What::ended: ended(r); break;
            case What::state:
            case What::fetched:
            case What::released:
            case What::expired:
            case What::lost: stories_[r.request].states.push_back(r); break;
            case What::fell:
                // Rule 4 is the gateways' breach only if most of the pressure came from those that had been
                // told.
                if (r.value >= 2.0 / 3)
                    broke(4, r.at, "", r.server, "a cold server was pushed over by gateways that knew");
                break;
            case What::told: told(r); break;
        }
    }

    void told(const Record& r) {
        auto& out = out_of_service_[{r.gateway, r.server}];
        if (r.fate == "draining" || r.fate == "removed") {
            if (!out) out = r.at;
        } else {
            out.reset();
            // The record is of the gateway's answer; it may have acted on the news a moment before that came.
            std::erase_if(sent_while_out_, [&](const auto& sent) {
                return sent.record.gateway == r.gateway && sent.record.server == r.server &&
                       sent.record.at + f_.measuring >= r.at;
            });
        }
    }

    void taken(const Record& r) {
        Story& s = stories_[r.request];
        s.attempts.push_back({r.attempt, r.server, r.zone, r.cell, r.read, r.at, std::nullopt, false});
        out_.attempts += 1;
        const auto out = out_of_service_.find({r.gateway, r.server});
        if (out != out_of_service_.end() && out->second &&
            r.at > *out->second + f_.drain_grace + f_.measuring)
            sent_while_out_.push_back({r, *out->second});
    }

    void ended(const Record& r) {
        auto& attempts = stories_[r.request].attempts;
        for (auto it = attempts.rbegin(); it != attempts.rend(); ++it) {
            if (it->server != r.server || it->number != r.attempt || it->to) continue;
            it->to = r.at;
            it->not_run = r.fate == "not_run";
            if (r.read && r.fate == "left") out_.cancelled_reads += 1;
            return;
        }
    }

    void count(const Story& s) {
        if (!s.asked) return;
        out_.asked += 1;
        out_.asked_by_class[s.asked->cls] += 1;
        if (s.finals.empty()) return;
        const Record& final = s.finals.front();
        if (final.what == What::hung_up) {
            out_.gone += 1;
            return;
        }
        if (final.fate == "served") {
            out_.served += 1;
            out_.served_by_class[s.asked->cls] += 1;
            if (!final.intact) out_.garbled += 1;
        } else if (final.fate == "refused") {
            out_.refused += 1;
        } else if (final.fate == "rejected") {
            out_.rejected += 1;
        } else {
            out_.failed += 1;
        }
    }

    // Rule 1: one final answer in the client's time, and nothing sent after it.
    void one_answer(const std::string& id, const Story& s) {
        if (!s.asked) {
            if (!s.attempts.empty())
                broke(1, s.attempts.front().from, id, s.attempts.front().server,
                      "sent for a request that no client asked");
            return;
        }
        const Time due = s.asked->at + s.asked->deadline + f_.answer_slack + f_.measuring;
        if (s.finals.empty()) {
            // A stream that has begun has no deadline.
            if (!s.first && end_ > due) {
                out_.unanswered += 1;
                broke(1, due, id, "", "no final answer");
            }
            return;
        }
        const Record& final = s.finals.front();
        const Time answer = s.first ? std::min(*s.first, final.at) : final.at;
        if (final.what == What::answered && answer > due) {
            out_.late += 1;
            broke(1, answer, id, "",
                  "answered " + ms(answer - s.asked->at - s.asked->deadline) + " after the client's time");
        }
        if (s.finals.size() > 1 && s.finals[1].what == What::answered && final.what == What::answered)
            broke(1, s.finals[1].at, id, "", "a second final answer");
        for (const auto& a : s.attempts)
            if (a.from > final.at + f_.measuring)
                broke(1, a.from, id, a.server, "sent after the end of the request");
    }

    // Rule 2: no effect twice, never two attempts out, never over the limit.
    void effects(const std::string& id, const Story& s) {
        if (static_cast<int>(s.attempts.size()) > f_.max_attempts)
            broke(2, s.attempts.back().from, id, s.attempts.back().server,
                  "attempt " + std::to_string(s.attempts.size()) + " of " + std::to_string(f_.max_attempts));
        const Seen* ran = nullptr;  // the first write that may have run
        for (std::size_t i = 0; i < s.attempts.size(); ++i) {
            const Seen& a = s.attempts[i];
            for (std::size_t j = 0; j < i; ++j) {
                const Seen& before = s.attempts[j];
                if (!before.to || *before.to > a.from + f_.measuring)
                    broke(2, a.from, id, a.server, "sent while an attempt was out at " + before.server);
            }
            if (a.read || !s.asked) continue;
            if (ran != nullptr && s.asked->effect == Effect::once)
                broke(2, a.from, id, a.server, "a request that must run once may have run at " + ran->server);
            if (ran != nullptr && s.asked->effect == Effect::by_key) {
                const bool same = s.asked->group == Group::all ||
                                  (s.asked->group == Group::zone ? a.zone == ran->zone : a.cell == ran->cell);
                if (!same) broke(2, a.from, id, a.server, "sent outside the group of " + ran->server);
                if (a.from > ran->from + s.asked->window + f_.measuring)
                    broke(2, a.from, id, a.server, "sent after the window");
            }
            if (!a.not_run && ran == nullptr) ran = &a;
        }
        if (ran == nullptr || !s.asked || s.finals.empty()) return;
        const bool bound = s.asked->effect == Effect::once ||
                           (s.asked->effect == Effect::by_key && s.asked->group != Group::all);
        if (bound && s.finals.front().what == What::answered && s.finals.front().fate == "refused")
            broke(2, s.finals.front().at, id, ran->server, "refused, though it may have run");
    }

    // Rule 5: with no attempt out, a state is sent on or let go in time.
    void pinned(const std::string& id, const Story& s) {
        for (std::size_t i = 0; i < s.states.size(); ++i) {
            const Record& held = s.states[i];
            if (held.what != What::state) continue;
            // Until it is gone, or the records end.
            Time gone = end_;
            bool open = true;
            for (std::size_t j = i + 1; j < s.states.size() && open; ++j)
                if (s.states[j].what != What::state && s.states[j].server == held.server) {
                    gone = s.states[j].at;
                    open = false;
                }
            // The stretches in which no attempt was out.
            Time free_from = held.at;
            for (const auto& a : s.attempts) {
                if (a.to && *a.to <= held.at) continue;
                if (a.from >= gone) break;
                if (a.from > free_from) stretch(id, held, free_from, a.from);
                free_from = std::max(free_from, a.to.value_or(gone));
            }
            if (free_from < gone) stretch(id, held, free_from, gone);
        }
    }
    void stretch(const std::string& id, const Record& held, Time from, Time to) {
        if (to - from > f_.release_within + f_.measuring)
            broke(5, from + f_.release_within, id, held.server,
                  "a state was held for " + ms(to - from) + " with no attempt out");
    }

    std::vector<Record> records_;
    RuleFigures f_;
    Verdict5 out_;
    Time end_{};
    std::map<std::string, Story> stories_;
    struct Suspect {
        Record record;
        Time since{};  // told that it is out of service
    };
    std::vector<Suspect> sent_while_out_;
    std::map<std::pair<std::string, std::string>, std::optional<Time>> out_of_service_;  // gateway, server
};

}  // namespace

std::string format(const Breach& b) {
    return "rule " + std::to_string(b.rule) + " at " +
           std::to_string(static_cast<double>(b.at.time_since_epoch().count()) / 1e9) + " s: " + b.text +
           (b.request.empty() ? "" : "; request " + b.request) +
           (b.server.empty() ? "" : "; server " + b.server);
}

Verdict5 check(std::vector<Record> records, const RuleFigures& figures) {
    return Checker(std::move(records), figures).run();
}

}  // namespace chalksail::lab
