// chalksail: every decision of one gateway, in the order of a request's life. Types, events and settings are
// in include/chalksail/chalksail.hpp, what is kept is in state.hpp; the reasons are in docs/design.md.
#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "fleet_counts.hpp"
#include "state.hpp"

namespace chalksail {
namespace {

// ---- constants: the design's own ----
constexpr double kDecodePenaltyPerToken = 3.3e-5;   // harm of a token in a writer's batch (paper, 5.2)
constexpr double kPrefillSecondsPerToken = 3.2e-4;  // time of a prompt token, paper's units (paper, 5.2)
constexpr double kEpsilonSeconds = 4.0;             // below it readers tie: some four usual prompts under way
constexpr double kAlpha = 0.5;            // weight of prompt against decode at a mixed server (paper)
constexpr double kFirstBucketEdge = 250;  // output buckets: 250, 1000, 4000, ... tokens
constexpr double kBucketGrowth = 4;
// ---- constants: the adaptive limit of a writer, in tokens ----
constexpr double kLimitStart = 1.5;  // our share of its memory; gateways are seldom equally busy
constexpr double kLimitDown = 0.8;   // after a full outcome or a high memory report
constexpr double kQueueShare = 0.3;  // of the aim: a first token later than this has queued at the writer
constexpr double kLimitUp = 0.05;    // share of an ok request's tokens added while the limit binds
constexpr double kLimitFloor = 0.3;  // of the start: a writer is never closed by the limit alone
constexpr double kLimitBack = 0.05;  // of the start, each second: a closed writer has no ok to raise it
constexpr int kReportAims = 3;       // shortest aims after which a report is too old to count
constexpr double kHighMemory = 0.9;  // reported share of memory that counts as nearly full
constexpr double kUntoldMemory = 100'000;  // tokens, where the settings tell none
// ---- constants: ours, for what the design leaves open ----
constexpr double kFarTokens = 2;      // prompts more that a state leaving its cell weighs as; its zone, again
constexpr double kOutputWork = 25;    // work of one output token in prompt tokens, for cold budgets only
constexpr double kColdCaution = 0.6;  // part of the cold budget used; bursts of others take the rest
constexpr double kWarmWindows = 4;    // windows over which the work sent to warm servers is averaged
constexpr double kReadOverhead = 500;   // a read's fixed cost, in prompt tokens: steps and way there
constexpr double kReadShare = 0.35;     // of the aim that reads waiting at one reader may take
constexpr double kWaitForText = 0.7;    // of the aim: a request waits so long for who keeps its text
constexpr double kMuchText = 0.3;       // of the prompt: by so much more than where there is room
constexpr std::size_t kKeptMost = 400;  // texts remembered of a reader: some minutes of sessions
constexpr double kFewRequests = 3;   // our part of a writer holds fewer: our sums tell next to nothing of it
constexpr double kSizeStep = 0.02;   // weight of an arrival in the usual size: slow, so that it does not flap
constexpr double kFarGateways = 4;   // seeing little, moves weigh this over the gateways
constexpr double kCopies = 8;        // readers that keep a prefix, for each reader's worth of its traffic
constexpr double kFewArrivals = 20;  // as many of other text count as seen: a share of a few means little
constexpr double kLeastMix = 0.7;    // readers beside few writers get at least this part of the mean ...
constexpr double kMostMix = 1.3;     // ... and those beside many at most this
constexpr double kMostHome = 0.5;    // part of the reads that stay in this zone, at most: some are busier
constexpr double kSmooth = 0.2;      // weight of a new observation in a running mean
constexpr double kErrorStep = 0.25;  // weight of an outcome in a server's error share ...
constexpr double kErrorEject = 0.4;  // ... which ejects it here: two errors close together
constexpr double kErrorDoubt = 0.1;  // ... and above which it gets no "once" request: four answers after one
constexpr int kTimeoutFactor = 4;    // an attempt may take this many times what is usual
constexpr int kQuickProbe = 8;       // part of the dial time-out in which a probe that does not queue is back
constexpr int kBusyPatience = 3;     // times as long for one that answers probes
constexpr int kTriesEachAim = 4;     // sends to a server in the shortest aim while its whole role looks bad
constexpr int kTrialPasses = 2;      // answers that end an ejected server's trial
constexpr int kLoopBehind = 4;       // part of the shortest aim by which a step may come after its time
}  // namespace

class Router::Impl {
public:
    Impl(const Settings& settings, std::uint64_t seed)
        : s_(settings),
          own_seed_(std::to_string(seed)),
          counts_(settings.slow_start_duration, settings.slow_start_initial_capacity) {
        validate(s_);
        stream_seconds_.resize(s_.classes.size());
        class_work_.resize(s_.classes.size());
        shortest_aim_ = s_.classes.front().first_token_objective;
        for (const auto& c : s_.classes) shortest_aim_ = std::min(shortest_aim_, c.first_token_objective);
        for (const auto& t : s_.tenants) share_left_[t.name] = t.quota_per_s / s_.gateways;
    }

    std::vector<Action> step(Time now, std::span<const Event> events) {
        now_ = now;
        behind_ = std::any_of(events.begin(), events.end(), [&](const Event& e) {
            const auto* fired = std::get_if<TimerFired>(&e);
            return fired && fired->id == wake_id_ &&
                   now > wake_at_.value_or(now) + shortest_aim_ / kLoopBehind;
        });
        actions_.clear();
        if (!begun_) {
            begun_ = true;
            last_refill_ = now;
            if (s_.endpoint_watch_required) actions_.emplace_back(WatchEndpoints{true});
        }
        refill_shares();
        for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
        review_silent();
        sum_pool();
        review();
        set_wake();
        return std::move(actions_);
    }

    [[nodiscard]] std::size_t tracked() const { return requests_.size(); }

private:
    enum class Stage { read, write };

    // ================= arrival =================
    void on(const RequestArrived& in) {
        if (requests_.contains(in.id)) return;
        // A gateway whose loop is behind can only answer late: what is new is turned away at once.
        if (behind_) return void(actions_.emplace_back(Reject{in.id, s_.max_retry_after / 2}));
        const auto cls = std::find_if(s_.classes.begin(), s_.classes.end(),
                                      [&](const auto& c) { return c.name == in.class_name; });
        if (cls == s_.classes.end()) {  // nothing is known of it: safe to refuse, it was never sent
            actions_.emplace_back(Reject{in.id, {}});
            return;
        }
        Request r;
        r.in = in;
        r.prefix_key = "p" + in.prefix;
        r.session_key = "s" + in.session;
        std::sort(r.in.cached_prefixes.begin(), r.in.cached_prefixes.end(),
                  [](const auto& a, const auto& b) { return a.server < b.server; });
        r.cls = static_cast<std::size_t>(cls - s_.classes.begin());
        r.deadline = now_ + in.time_remaining;
        r.aim = now_ + std::min(in.time_remaining,
                                cls->first_token_objective +
                                    from_seconds(seconds(cls->first_token_objective_per_1000_tokens) *
                                                 in.prompt_tokens / 1000));
        r.output = predicted_output(r);
        log_tokens_.add(std::log(std::max(1.0, r.tokens())), kSizeStep);
        r.arrived = now_;
        mean_urgency_.add(urgency(r), kSmooth);
        class_work_[r.cls].add(std::max(0.0, in.prompt_tokens - in.shared_tokens) + kOutputWork * r.output,
                               kSmooth);
        const auto left = share_left_.find(in.tenant);
        r.over_share = !s_.tenants.empty() && (left == share_left_.end() || left->second < 1);  // or has none
        if (left != share_left_.end() && !r.over_share) left->second -= 1;
        if (!in.prefix.empty()) prefix_share_[in.prefix] += 1;
        seen_ += 1;
        if (seen_ > kKeptMost) {
            seen_ /= 2;
            for (auto& [prefix, share] : prefix_share_) share /= 2;
            std::erase_if(prefix_share_, [](const auto& p) { return p.second < 0.5; });
        }
        requests_.emplace(in.id, std::move(r));
    }

    // The upper edge of the bucket that the guess falls in, capped by what the client allows.
    double predicted_output(const Request& r) const {
        const double interval = std::max(1e-3, seconds(s_.classes[r.cls].inter_token_objective));
        const double guess = r.in.output_duration_hint > Duration::zero()
                                 ? seconds(r.in.output_duration_hint) / interval
                                 : stream_seconds_[r.cls].or_else(kFirstBucketEdge * interval) / interval;
        double edge = kFirstBucketEdge;
        while (edge < guess && edge < 1e9) edge *= kBucketGrowth;
        return r.in.max_output > 0 ? std::min(edge, r.in.max_output) : edge;
    }

    // Tenants: this gateway's part of each quota, with one second's worth of burst.
    void refill_shares() {
        const double passed = seconds(now_ - last_refill_);
        last_refill_ = now_;
        recover_limits(passed);
        for (const auto& t : s_.tenants) {
            const double rate = t.quota_per_s / s_.gateways;
            auto& left = share_left_[t.name];
            left = std::min(left + rate * passed, std::max(1.0, rate));
        }
    }

    // ================= held at the router =================
    // What one unit of its work earns if it starts now: late work keeps only its late worth.
    double urgency(const Request& r) const {
        const auto& c = s_.classes[r.cls];
        double worth = c.priority_weight * (r.over_share ? s_.over_quota_weight_factor : 1);
        if (now_ + service_time(r) > r.aim) worth *= c.late_weight_factor;
        return s_.weigh_by_work ? worth : worth / std::max(1.0, class_work_[r.cls].mean);
    }
    // How long from a read's start to the first token, as things are.
    Duration service_time(const Request& r) const {
        const double read =
            r.state_at ? 0
                       : read_pace_.or_else(0) * (kReadOverhead + r.in.prompt_tokens - r.in.shared_tokens);
        return from_seconds(read + first_token_.or_else(0));
    }

    void review() {
        std::vector<std::pair<RequestId, double>> held;
        for (auto it = requests_.begin(); it != requests_.end();) {
            const auto& [id, r] = *it++;  // giving up erases it
            if (r.ended || r.out) continue;
            // Two ticks, as a step may be one late. A writer that comes after the aim comes too late.
            if (now_ + service_time(r) + 2 * s_.tick >= r.deadline ||
                attempts_left(r) < (r.state_at ? 1 : 2) || (now_ >= r.aim && !counts().has_writer()) ||
                (blind() && sheds(id, r)))
                give_up(id);  // it can't be served in time any more: answered at once
            else held.emplace_back(id, urgency(r));
        }
        // Waiting states first: their time runs. Then the worthiest, then the one whose aim ends first.
        std::stable_sort(held.begin(), held.end(), [this](const auto& a, const auto& b) {
            const Request& x = requests_.at(a.first);
            const Request& y = requests_.at(b.first);
            if (x.state_at.has_value() != y.state_at.has_value()) return x.state_at.has_value();
            if (a.second != b.second) return a.second > b.second;
            return x.aim < y.aim;
        });
        wanted_.reset();
        candidates_.clear();
        cold_budgets_.clear();
        for (const auto& [id, worth] : held) {
            auto& r = requests_.at(id);
            if (r.state_at) go_on_to_writer(id, r);
            else start(id, r);
        }
    }

    // In a jam each gateway admits a part of what arrives, by worth; the rest, and what waits long, it
    // refuses.
    bool jammed() const { return blind() && read_part_.mean > kReadShare; }
    bool sheds(RequestId id, const Request& r) const {
        const double admitted = kReadShare / std::max(kReadShare, read_part_.mean);
        if (admitted >= 1 || r.state_at || !may_refuse(r)) return false;
        if (r.arrived < now_) return now_ + service_time(r) > r.aim;
        return unit(own_seed_, std::to_string(id.value)) >
               admitted * urgency(r) / std::max(1e-9, mean_urgency_.mean);
    }

    static double part_of_aim(const Request& r, Duration taken) {
        return seconds(taken) / std::max(1e-3, seconds(r.aim - r.arrived));
    }

    int attempts_left(const Request& r) const { return s_.max_attempts - r.sends; }

    // ================= reading =================
    // Of the writers, less what reads under way and waiting states will want. A gateway that sees little
    // counts it once a step for all held requests: each would walk over all requests and servers.
    double room_for(const Request& r) {
        if (blind()) {
            if (!wanted_) {
                wanted_ = 0;
                for (const auto& [id, o] : requests_) *wanted_ += wants_room(o) ? o.tokens() : 0;
            }
            return pool_.limit - pool_.stream_tokens - *wanted_;
        }
        double room = 0;
        cell_room_.clear();
        for (const Server* w : candidates(r, Stage::write)) {
            if (!usable(*w, r) || !has_room(*w)) continue;
            room += w->limit - load(*w);
            cell_room_[w->entry.cell] += w->limit - load(*w);
        }
        for (const auto& [id, o] : requests_) {
            if (!wants_room(o)) continue;
            room -= o.tokens();
            if (const Server* at = find(o.out ? o.out->server : *o.state_at))
                cell_room_[at->entry.cell] -= o.tokens();
        }
        return room;
    }
    static bool wants_room(const Request& r) {
        return !r.ended && ((r.out && r.out->read) || (!r.out && r.state_at));
    }
    void start(RequestId id, Request& r) {
        if (room_for(r) <= 0) return;  // hold: memory_aware
        Server* reader = best_reader(r);
        if (reader == nullptr && any_usable_reader(r)) return;  // hold: the readers' queues are long
        if (reader != nullptr && waits_for_its_text(*reader, r)) return;  // hold: who keeps it is full
        Server* writer = best_writer(r, true);
        Server* mixed = best_mixed(r);
        if (mixed != nullptr && (reader == nullptr || writer == nullptr ||
                                 blend(*mixed, *mixed, r) >= blend(*reader, *writer, r))) {
            send(id, r, *mixed, false);
        } else if (reader != nullptr) {
            send(id, r, *reader, true);
        } else if (s_.prefill_on_decode_enabled && writer != nullptr && !any_usable_reader(r)) {
            send(id, r, *writer, false);  // exception: no reader is left, a writer may read by itself
        }
    }

    double read_score(const Server& s, const Request& r) const {
        const double time = kPrefillSecondsPerToken * (fresh_tokens(s, r) + s.prompt_tokens) * slow(s);
        return time < kEpsilonSeconds ? 1 : 1 - time / kEpsilonSeconds;
    }
    double decode_score(const Server& s, const Request& r) const {
        return -kDecodePenaltyPerToken * (load(s) * slow(s) / weight(s) + r.tokens() + far_tokens(s, r));
    }
    double blend(const Server& reader, const Server& writer, const Request& r) const {
        return kAlpha * read_score(reader, r) + (1 - kAlpha) * decode_score(writer, r);
    }
    // States that leave their cell weigh as more tokens: for the price, and more over a link that is slow.
    double far_tokens(const Server& s, const Request& r) const {
        const double prompt = r.in.prompt_tokens * (blind() ? kFarGateways / s_.gateways : 1);
        if (!r.state_at) return s.entry.zone == s_.zone ? 0 : kFarTokens * prompt;
        const auto reader = servers_.find(*r.state_at);
        if (reader == servers_.end()) return 0;
        const auto link = links_.find(reader->second.entry.cell);
        const Duration fresh = blind() ? s_.slow_start_duration : kReportAims * shortest_aim_;
        const bool heard = link != links_.end() && now_ - link->second.second < fresh;
        const double late =
            heard ? std::min(1.0, link->second.first.mean / seconds(s_.classes[r.cls].first_token_objective))
                  : 0;
        // A cell short of writers sends part of its states, by hash, to cells with spare ones; fewer if slow.
        const bool leaves = blind() && unit(r.in.session, "leaves") * (1 - late / kQueueShare) >
                                           1 / std::max(1e-9, need(reader->second));
        if (reader->second.entry.cell == s.entry.cell) return leaves ? kFarTokens * prompt : 0;
        if (leaves && spare(s) > 0) return 0;
        const bool same_zone = reader->second.entry.zone == s.entry.zone;
        return prompt * (same_zone ? kFarTokens : 2 * kFarTokens) + s.limit * late;
    }
    // Will a writer beside this reader have room, once the reads under way in its cell are done?
    bool cell_has_room(const Server& s, const Request& r) const {
        const auto left = cell_room_.find(s.entry.cell);
        return left != cell_room_.end() && left->second >= r.tokens();
    }
    // Our part of a writer's memory is few requests of the usual size, so that own sums tell next to nothing.
    bool blind() const { return writer_memory_ < kFewRequests * s_.gateways * usual_tokens(); }
    double usual_tokens() const { return log_tokens_.heard ? std::exp(log_tokens_.mean) : 0; }

    // Exception to "new prompt": text that this reader has read for us is cached there and costs no time.
    static double kept_tokens(const Server& s, const std::string& key) {
        const auto it = s.kept.find(key);
        return it == s.kept.end() ? 0 : it->second.first;
    }
    // Exception to the guess: where a server tells what it caches, that counts, and nothing else.
    static double told_tokens(const Server& s, const Request& r) {
        const auto it =
            std::lower_bound(r.in.cached_prefixes.begin(), r.in.cached_prefixes.end(), s.entry.id,
                             [](const CachedPrefix& k, const ServerId& id) { return k.server < id; });
        return it != r.in.cached_prefixes.end() && it->server == s.entry.id ? it->tokens : 0;
    }
    // Exception to the readers' choice: while another reader is told to cache much more of the text and only
    // lacks room, a request waits for that one for a part of its aim. Reading it anew would prolong the jam.
    bool waits_for_its_text(const Server& s, const Request& r) const {
        if (now_ >= r.arrived + from_seconds(kWaitForText * seconds(r.aim - r.arrived))) return false;
        return std::any_of(
            r.in.cached_prefixes.begin(), r.in.cached_prefixes.end(), [&](const CachedPrefix& k) {
                const auto it = servers_.find(k.server);
                return it != servers_.end() && it->second.prefixes_told && usable(it->second, r) &&
                       read_score(it->second, r) >= read_score(s, r) &&
                       k.tokens - told_tokens(s, r) > kMuchText * r.in.prompt_tokens;
            });
    }
    static double fresh_tokens(const Server& s, const Request& r) {
        if (s.prefixes_told) return std::max(0.0, r.in.prompt_tokens - told_tokens(s, r));
        const double prefix = r.in.prefix.empty() ? 0 : kept_tokens(s, r.prefix_key);
        const double kept = std::max(prefix, kept_tokens(s, r.session_key));
        return std::max(0.0, r.in.prompt_tokens - kept);
    }
    void keep(Server& s, const Request& r) {
        if (!r.in.prefix.empty()) s.kept[r.prefix_key] = {r.in.shared_tokens, now_};
        s.kept[r.session_key] = {r.in.prompt_tokens, now_};
        if (s.kept.size() > kKeptMost) {
            const auto oldest = std::min_element(
                s.kept.begin(), s.kept.end(),
                [](const auto& a, const auto& b) { return a.second.second < b.second.second; });
            s.kept.erase(oldest);
        }
    }

    // Our reads may take a part of the aim there, at the pace seen: a jam is held here, in order of worth.
    bool has_read_room(const Server& s, const Request& r) const {
        const double time =
            read_pace_.or_else(0) * slow(s) * (kReadOverhead + s.prompt_tokens + fresh_tokens(s, r));
        return s.prompt_tokens <= 0 || time < kReadShare * seconds(s_.classes[r.cls].first_token_objective);
    }

    // Weight of a reader in the hash: states stay in their cell, so one beside many writers gets more. It
    // goes by the list alone: a session's turns come to any gateway of a zone, and all must agree (Lfcc8ee).
    double tie_weight(const Server& s) const {
        return (s.entry.zone == s_.zone ? home_weight() : 1) * std::clamp(mix(s), kLeastMix, kMostMix);
    }
    // Writers for each reader in this server's cell, against the whole fleet's.
    double mix(const Server& s) const {
        const auto at = cells_.find(s.entry.cell);
        return at == cells_.end() ? 1 : at->second.mix() / std::max(0.01, fleet_.mix());
    }
    // Reads that a cell draws, for each that its writers can take; and the part of a writer there to spare.
    double need(const Server& s) const {
        return std::clamp(mix(s), kLeastMix, kMostMix) / std::max(0.01, mix(s));
    }
    double spare(const Server& s) const { return std::max(0.0, 1 - need(s)); }
    double home_weight() const {
        const auto zone = zones_.find(s_.zone);
        const double all = fleet_.readers(), home = zone == zones_.end() ? 0 : zone->second.readers();
        if (home <= 0 || home >= all) return 1;
        const double part = std::min(kMostHome, zones_.size() * home / all);
        return part / (1 - part) * (all - home) / home;
    }
    // A prefix is cached at the first few readers by its hash, as many as its traffic needs, and a session at
    // one of these: gateways that guess another number still agree on most sessions.
    double prefix_cut(const std::string& prefix) {
        const auto share = prefix_share_.find(prefix);
        const double all = fleet_.readers();
        if (share == prefix_share_.end() || all <= 0) return 0;
        const double copies =
            std::min(all, std::ceil(kCopies * all * share->second / (kFewArrivals + seen_)));
        // Ranked anew only for another number of copies, or behind a change of the list, which forgets them.
        if (prefix_cuts_.size() > kKeptMost) prefix_cuts_.clear();
        PrefixCut& known = prefix_cuts_[prefix];
        if (known.copies != copies) known = {copies, rank_of_copy(prefix, copies)};
        return known.rank;
    }
    struct PrefixCut {
        double copies = 0;
        double rank = 0;  // of the last reader that keeps one
    };
    double rank_of_copy(const std::string& prefix, double copies) const {
        std::vector<double> ranks;
        for (const auto& [id, s] : servers_)
            if (s.role == Role::prefill && in_service(s)) ranks.push_back(unit(prefix, id.value));
        const auto last = ranks.begin() + static_cast<std::ptrdiff_t>(copies) - 1;
        std::nth_element(ranks.begin(), last, ranks.end(), std::greater<>());
        return *last;
    }
    Server* best_reader(const Request& r) {
        const bool few = blind();
        const double cut = few ? prefix_cut(r.in.prefix) : 0;
        const std::string& key = few || r.in.prefix.empty() ? r.in.session : r.in.prefix;
        return pick(
            r, Stage::read, [&](const Server& s) { return has_read_room(s, r); },
            [&](const Server& s) {
                // Ties go to the session's own text (or what is told), then by hash: it is found again.
                return std::tuple(read_score(s, r), !few && cell_has_room(s, r),
                                  s.prefixes_told ? told_tokens(s, r) : kept_tokens(s, r.session_key),
                                  few ? unit(r.in.prefix, s.entry.id.value) >= cut : s.entry.zone == s_.zone,
                                  (few ? tie_weight(s) : 1) / -std::log(unit(key, s.entry.id.value)));
            });
    }
    Server* best_writer(const Request& r, bool need_room) {
        const Server* at = blind() && r.state_at ? find(*r.state_at) : nullptr;
        return pick(
            r, Stage::write, [&](const Server& s) { return !need_room || has_room(s); },
            [&](const Server& s) {
                // States that leave are spread by the writers to spare, or a busy zone's few get them all.
                const double part = at != nullptr && at->entry.cell != s.entry.cell ? 1e-6 + spare(s) : 1;
                return std::pair(decode_score(s, r), part / -std::log(unit(r.in.session, s.entry.id.value)));
            });
    }
    Server* best_mixed(const Request& r) {
        return pick(
            r, Stage::write, [&](const Server& s) { return s.role == Role::mixed && has_room(s); },
            [&](const Server& s) { return std::pair(blend(s, s, r), unit(r.in.session, s.entry.id.value)); });
    }
    // The best of the usable servers that fit; those where this request has failed come last.
    template <class Fits, class Score>
    Server* pick(const Request& r, Stage stage, Fits fits, Score score) {
        Server* best = nullptr;
        using Key = std::pair<int, decltype(score(std::declval<const Server&>()))>;
        std::optional<Key> best_key;
        for (Server* const candidate : candidates(r, stage)) {
            Server& s = *candidate;
            if (!fits(s) || !usable(s, r)) continue;
            // One error may be the first of many: "once" requests keep away until it has served well again.
            const bool doubt =
                s_.classes[r.cls].idempotency != Idempotency::idempotent && s.error_share > kErrorDoubt;
            const Key key{r.failed_at.contains(s.entry.id) ? 0 : doubt ? 1 : 2, score(s)};
            if (best_key && key <= *best_key) continue;
            best = &s;
            best_key = key;
        }
        return best;
    }

    // ================= writing =================
    void go_on_to_writer(RequestId id, Request& r) {
        Server* writer = best_writer(r, true);
        // A state may wait for room, but not past its release time; then the least harmed writer gets it.
        const bool last = now_ >= state_due(r);
        if (writer == nullptr && last) writer = best_writer(r, false);
        if (writer != nullptr) send(id, r, *writer, false);
        else if (last) release_state(id, r);  // no writer at all: the state goes, the request is held again
    }
    Time state_due(const Request& r) const { return r.untaken_since + s_.release_within - 3 * s_.tick; }

    void release_state(RequestId id, Request& r) {
        if (!r.state_at) return;
        drop_state(r);
        actions_.emplace_back(ReleaseKvState{id});
    }
    void drop_state(Request& r) {
        if (!r.state_at) return;
        if (Server* s = find(*r.state_at)) s->in_use -= 1;
        r.state_at.reset();
    }

    // The writer's sum: our tokens, raised by its reports; one that has not reported counts as average.
    double load(const Server& s) const {
        if (!memory_reports() || &s == &pool_) return s.stream_tokens;
        // An old report is none: a writer that once was full would get nothing and so never report again.
        if (!s.reported_tokens || now_ - s.reported_at > kReportAims * shortest_aim_)
            return std::max(s.stream_tokens, average_report_);
        return std::max(s.stream_tokens,
                        *s.reported_tokens + std::max(0.0, s.stream_tokens - s.ours_at_report));
    }
    bool memory_reports() const {
        return std::find(s_.report_fields.begin(), s_.report_fields.end(), ReportField::memory_share) !=
               s_.report_fields.end();
    }
    bool has_room(const Server& s) const { return blind() || load(s) < s.limit; }
    // Seeing little, one limit stands for all writers together: each tells us too seldom to have its own.
    Server& limited(Server& s) { return blind() ? pool_ : s; }
    void sum_pool() {
        const double share = pool_.memory > 0 ? pool_.limit / starting_limit(pool_) : 1;
        pool_.stream_tokens -= std::exchange(ended_stream_tokens_, 0);
        pool_.memory = counts().writer_memory();
        pool_.limit = share * starting_limit(pool_);
    }
    double starting_limit(const Server& s) const {
        return memory_reports() && &s != &pool_ ? kHighMemory * s.memory
                                                : std::min(s.memory, kLimitStart * s.memory / s_.gateways);
    }
    // Once for each jam: what was sent before the last step tells nothing of how that step works.
    void lower_limit(Server& s, Time evidence_sent) {
        if (s.limit_lowered != Time{} && evidence_sent < s.limit_lowered) return;
        s.limit_lowered = now_;
        any_lowered_ = true;
        s.limit = std::max(kLimitFloor * starting_limit(s), kLimitDown * std::min(s.limit, load(s)));
    }
    void recover_limits(double passed) {
        const auto recover = [&](Server& s) {
            if (const double start = starting_limit(s); s.limit < start)
                s.limit = std::min(start, s.limit + kLimitBack * start * passed);
        };
        if (std::exchange(any_lowered_, false))  // seldom: at large size each walk over the servers costs
            for (auto& [id, s] : servers_) {
                recover(s);
                any_lowered_ = any_lowered_ || s.limit < starting_limit(s);
            }
        recover(pool_);
    }
    void raise_limit(Server& s, double tokens) {
        if (load(s) > kLimitDown * s.limit) s.limit = std::min(s.memory, s.limit + kLimitUp * tokens);
    }

    // ================= sending =================
    void send(RequestId id, Request& r, Server& s, bool read) {
        Attempt a{{r.sends},       s.entry.id, now_, read,  fresh_tokens(s, r),
                  s.prompt_tokens, false,      {},   false, {}};
        const bool spare = attempts_left(r) > (read ? 2 : 1);
        if (spare && (read || s_.classes[r.cls].idempotency != Idempotency::non_idempotent)) {
            double usual = (read ? read_time_ : first_token_).or_else(0);
            if (read) usual = std::max(usual, read_pace_.or_else(0) * (kReadOverhead + a.fresh + a.ahead));
            a.patience =
                std::max(s_.classes[r.cls].first_token_objective / 2, from_seconds(kTimeoutFactor * usual));
        }
        const Duration timeout =
            s_.cancellation_enabled ? Duration::zero() : std::min(a.patience, r.deadline - now_);
        r.sends += 1;
        s.in_use += 1;
        s.last_sent = now_;
        if (read) {
            s.prompt_tokens += a.fresh;
            keep(s, r);
        } else {
            s.stream_tokens += r.tokens();
            pool_.stream_tokens += r.tokens();
        }
        note_work(s, class_work_[r.cls].mean);
        if (s.ejection > Duration::zero()) {  // one request at a time while on trial
            s.trial_open = false;
            counts_.changed();
        }
        if (wanted_) *wanted_ += (read ? r.tokens() : 0) - (r.state_at ? r.tokens() : 0);
        r.out = a;
        actions_.emplace_back(Send{id, s.entry.id, timeout});
    }

    // ================= cold starts =================
    bool cold(const Server& s) const { return is_cold(s, now_, s_.slow_start_duration); }
    // A cold server gets our part of what the rule lets it bear, taking a warm one to bear what we send it.
    // Under one request a window it gets one in a longer window, and the first after a drawn wait.
    bool cold_budget_allows(const Server& s, std::size_t cls) const {
        if (!cold(s)) return true;
        const ColdBudget& budget = cold_budget(s.role, cls);
        if (now_ < s.told_at + from_seconds(budget.longest_wait * s.draw)) return false;
        double sent = 0;
        for (const auto& [at, amount] : s.cold_sends)
            if (at + budget.window > now_) sent += amount;
        return sent == 0 || sent + class_work_[cls].mean <= budget.work;
    }
    struct ColdBudget {
        double work = 0;          // that a cold server may get in the window
        Duration window{};        // longer than the settings' where not one request fits in that
        double longest_wait = 0;  // in seconds, until the first request; each server's is drawn
    };
    // Of one server of this role. Kept until the work sent to warm ones changes.
    const ColdBudget& cold_budget(Role role, std::size_t cls) const {
        const auto [it, fresh] = cold_budgets_.try_emplace(std::pair(role, cls));
        if (!fresh) return it->second;
        ColdBudget& out = it->second;
        out.work = kColdCaution * s_.slow_start_overload_factor * s_.slow_start_initial_capacity *
                   seconds(s_.slow_start_overload_window) * warm_rate(role);
        const double stretch =
            std::clamp(class_work_[cls].mean / std::max(out.work, 1e-9), 1.0, 1.0 * s_.gateways);
        out.window = from_seconds(seconds(s_.slow_start_overload_window) * stretch) + s_.tick;
        out.longest_wait = seconds(s_.slow_start_overload_window) * (stretch - 1);
        return out;
    }
    // The work that we send to warm servers of each role, fading over a few windows.
    void note_work(Server& s, double work) {
        if (cold(s)) return void(s.cold_sends.emplace_back(now_, work));
        cold_budgets_.clear();
        auto& [sum, at] = warm_work_[s.role];
        sum = sum * std::exp(-seconds(now_ - at) / warm_span()) + work;
        at = now_;
    }
    // Nothing of it ran: a full fleet, asked again and again, would seem to bear more than it does.
    void take_back_work(const Server& s, const Request& r) {
        if (double& sum = warm_work_[s.role].first; !cold(s))
            sum = std::max(0.0, sum - class_work_[r.cls].mean);
    }
    double warm_span() const { return kWarmWindows * std::max(1.0, seconds(s_.slow_start_overload_window)); }
    double warm_rate(Role role) const {  // a second, at one of them
        const auto at = warm_work_.find(role);
        const auto warm = counts().warm(role);
        if (at == warm_work_.end() || warm == 0) return 0;
        return at->second.first * std::exp(-seconds(now_ - at->second.second) / warm_span()) / warm_span() /
               static_cast<double>(warm);
    }

    // ================= outcomes =================
    void on(const StreamStarted& e) {
        const auto it = requests_.find(e.id);
        if (it == requests_.end() || !it->second.out || it->second.out->id != e.attempt) return;
        Request& r = it->second;
        r.out->started = true;
        r.out->started_at = now_;
        first_token_.add(seconds(e.elapsed), kSmooth);
        const Server* reader = r.state_at ? find(*r.state_at) : nullptr;
        if (Server* s = find(r.out->server)) {
            s->last_answer = now_;
            // Without reports: a first token that takes long after a move inside the cell has queued there.
            const bool near = reader != nullptr && reader->entry.cell == s->entry.cell;
            if (near && !memory_reports() &&
                seconds(e.elapsed) > kQueueShare * seconds(s_.classes[r.cls].first_token_objective))
                lower_limit(limited(*s), r.out->sent);
            if (reader != nullptr && !near) {
                auto& [mean, heard_at] = links_[reader->entry.cell];
                mean.add(seconds(e.elapsed), kSmooth);
                heard_at = now_;
            }
        }
        drop_state(r);
    }

    void on(const AttemptEnded& e) {
        Server* s = find(e.server);
        if (s != nullptr) take_report(*s, e.load_report);
        const auto it = requests_.find(e.id);
        if (it == requests_.end() || !it->second.out || it->second.out->id != e.attempt) return;
        Request& r = it->second;
        const Attempt a = *r.out;
        r.out.reset();
        // What never came to a server left the state waiting.
        const bool came =
            e.outcome != AttemptOutcome::connect_failed && e.outcome != AttemptOutcome::not_sent;
        if (answered(e.outcome)) r.untaken_since = now_;
        if (std::exchange(r.state_released, false)) drop_state(r);
        if (s != nullptr) settle(*s, r, a, e);
        const bool may_have_run = !a.read && came && e.outcome != AttemptOutcome::at_capacity;
        if (may_have_run && !r.ran_at && s != nullptr) {
            r.ran_at = s->entry;
            r.ran_sent = a.sent;
        }
        if (e.request_finished || r.ended) {
            // A read that ends after its request leaves a state behind: let it go.
            if (e.outcome == AttemptOutcome::prefilled || r.state_at)
                actions_.emplace_back(ReleaseKvState{e.id});
            forget(e.id);
            return;
        }
        if (e.outcome == AttemptOutcome::prefilled && s != nullptr) {
            r.state_at = e.server;
            s->in_use += 1;
            return;
        }
        r.failed_at.insert(e.server);
        if (e.outcome == AttemptOutcome::at_capacity && e.kv_state_missing)
            drop_state(r);                                          // state gone: read anew
        if (!came && now_ >= state_due(r)) release_state(e.id, r);  // no connection came up in its time
        if (e.outcome == AttemptOutcome::not_sent || !may_go_again(r) || now_ >= r.deadline) give_up(e.id);
    }

    // Only an answer proves that an attempt was with a server: what was written to one may lie there unread.
    static bool answered(AttemptOutcome outcome) {
        return outcome == AttemptOutcome::ok || outcome == AttemptOutcome::prefilled ||
               outcome == AttemptOutcome::at_capacity || outcome == AttemptOutcome::error;
    }
    // The attempt that is out may still stream; for another the prompt is read anew.
    void on(const KvStateReleased& e) {
        const auto it = requests_.find(e.id);
        if (it == requests_.end() || !it->second.state_at) return;
        if (it->second.out) it->second.state_released = true;
        else drop_state(it->second);
    }

    // What an outcome tells of the server.
    void settle(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e) {
        s.in_use -= 1;
        if (a.read) {
            s.prompt_tokens -= a.fresh;
        } else {
            s.stream_tokens -= r.tokens();
            ended_stream_tokens_ += r.tokens();
        }
        switch (e.outcome) {
            case AttemptOutcome::ok:
                s.last_answer = now_;
                passed(s);
                raise_limit(limited(s), r.tokens());
                if (a.started) {
                    const double length = seconds(now_ - a.started_at);
                    if (stream_seconds_[r.cls].heard)
                        s.slowness.add(length / std::max(1e-3, stream_seconds_[r.cls].mean), kSmooth);
                    stream_seconds_[r.cls].add(length, kSmooth);
                }
                break;
            case AttemptOutcome::prefilled: {
                s.last_answer = now_;
                passed(s);
                const double pace = 1e-9 + seconds(e.elapsed) / (kReadOverhead + a.fresh + a.ahead);
                if (read_pace_.heard) s.slowness.add(pace / std::max(1e-9, read_pace_.mean), kSmooth);
                read_pace_.add(pace, kSmooth);
                read_time_.add(seconds(e.elapsed), kSmooth);
                read_part_.add(part_of_aim(r, e.elapsed), kSmooth);
                break;
            }
            case AttemptOutcome::at_capacity:
                s.last_answer = now_;
                if (!e.kv_state_missing && !a.read) lower_limit(limited(s), a.sent);
                take_back_work(s, r);
                break;
            case AttemptOutcome::error:
                s.last_answer = now_;
                s.error_share += kErrorStep * (1 - s.error_share);
                if (s.error_share > kErrorEject || s.ejection > Duration::zero()) eject(s);
                break;
            case AttemptOutcome::cancelled:
            case AttemptOutcome::timeout:
                if (a.started || (e.outcome == AttemptOutcome::cancelled && !a.cancelled)) break;
                // Usual times follow what is seen, so that a slow fleet is not given up again and again.
                if (a.read) read_part_.add(part_of_aim(r, e.elapsed), kSmooth);
                if (a.read) read_pace_.add(seconds(e.elapsed) / (kReadOverhead + a.fresh + a.ahead), kSmooth);
                (a.read ? read_time_ : first_token_).add(seconds(e.elapsed), kSmooth);
                if (e.outcome == AttemptOutcome::timeout && s.last_answer <= a.sent)
                    eject(s);  // silent ever since
                break;
            case AttemptOutcome::connect_failed:
                take_back_work(s, r);
                if (!r.ended) eject(s);  // its client went meanwhile: the dial was called off for that
                break;
            case AttemptOutcome::reset: eject(s); break;
            default: break;
        }
    }

    // ================= health =================
    bool any_usable_reader(const Request& r) {
        const auto& readers = candidates(r, Stage::read);
        return std::any_of(readers.begin(), readers.end(), [&](const Server* s) { return usable(*s, r); });
    }
    // May this request go there now?
    bool usable(const Server& s, const Request& r) const {
        return takes_class(s, r.cls) && group_allows(s, r);
    }
    // May any request of this class?
    bool takes_class(const Server& s, std::size_t cls) const {
        if (!in_service(s)) return false;
        if (!cold_budget_allows(s, cls)) return false;
        if (s.ejection == Duration::zero()) return true;
        if (s.trial_open && s_.classes[cls].idempotency == Idempotency::idempotent) return true;
        // All look bad: the least bad, but at a pace, or quick failures soon use up every request's attempts.
        return !counts().has_healthy(s.role) && now_ >= s.last_sent + shortest_aim_ / kTriesEachAim;
    }
    // The servers that take a class now, by stage: found once a step, as each held request would walk over
    // the whole fleet. What is sent in the step may close some of them: who takes one looks again. A cold one
    // whose budget grows with it is found at the next step.
    const std::vector<Server*>& candidates(const Request& r, Stage stage) {
        const auto [it, fresh] = candidates_.try_emplace(std::pair(r.cls, stage));
        if (!fresh) return it->second;
        for (auto& [id, s] : servers_) {
            const bool reads = s.role == Role::prefill;
            if (reads == (stage == Stage::read) && takes_class(s, r.cls)) it->second.push_back(&s);
        }
        return it->second;
    }
    const FleetCounts& counts() const {
        counts_.refresh(servers_, now_);
        return counts_;
    }
    void passed(Server& s) {
        s.error_share *= 1 - kErrorStep;
        if (s.ejection == Duration::zero()) return;
        s.trial_open = true;
        counts_.changed();
        if (++s.trial_passes >= kTrialPasses) reinstate(s);
    }
    // Whoever calls it says that the counts have changed.
    void reinstate(Server& s) {
        s.ejection = Duration::zero();
        s.error_share = kErrorStep;  // on probation
        out_of_standing_.erase(s.entry.id);
        end_trial(s);
    }
    static void end_trial(Server& s) {
        s.trial_passes = 0;
        s.trial_open = false;
    }
    // Out for the shortest aim, then twice as long each time, up to the time that a restart takes to warm.
    void eject(Server& s) {
        if (is_ejected(s) && now_ < s.ejected_until) return;  // failures of the same moment count once
        out_of_standing_.insert(s.entry.id);
        counts_.changed();
        s.ejection = s.ejection == Duration::zero()
                         ? shortest_aim_
                         : std::min(2 * s.ejection, std::max(shortest_aim_, s_.slow_start_duration));
        s.ejected_until = now_ + s.ejection;
        end_trial(s);
    }
    // The way back: a probe where allowed, then one repeatable request at a time.
    void review_ejected() {
        for (const auto& id : out_of_standing_) {
            Server& s = servers_.at(id);
            if (now_ < s.ejected_until || s.trial_open || s.probing) continue;
            if (!in_service(s) || s.in_use > 0) continue;
            s.probing = s_.health_checks_enabled;
            s.trial_open = !s_.health_checks_enabled;
            counts_.changed();
            if (s.probing) actions_.emplace_back(HealthCheck{id});
        }
    }
    void on(const HealthCheckEnded& e) {
        Server* s = find(e.server);
        if (s == nullptr) return;
        s->probing = false;
        if (e.outcome == AttemptOutcome::ok) {
            take_report(*s, e.load_report);
            s->probe_ok_at = now_;
            // An answer this late has queued: then one that fails to come only tells that the server is busy.
            if (e.elapsed > s_.dial_timeout / kQuickProbe) probes_queue_ = true;
            if (s->ejection > Duration::zero()) {
                s->trial_open = true;
                counts_.changed();
            }
            return;
        }
        s->probe_failed_at = now_;
        if (s->ejection > Duration::zero()) s->ejected_until = now_ + s->ejection;
    }
    double slow(const Server& s) const { return std::clamp(s.slowness.or_else(1), 1.0, 10.0); }

    void take_report(Server& s, const std::vector<double>& report) {
        for (std::size_t i = 0; i < report.size() && i < s_.report_fields.size(); ++i) {
            if (s_.report_fields[i] != ReportField::memory_share || s.role == Role::prefill) continue;
            s.reported_tokens = report[i] * s.memory;
            s.ours_at_report = s.stream_tokens;
            s.reported_at = now_;
            average_report_ += kSmooth * (*s.reported_tokens - average_report_);
            if (report[i] > kHighMemory) lower_limit(limited(s), now_ - shortest_aim_ / 4);
        }
    }

    // ================= further attempts =================
    // "once" only if every writer attempt is proved not to have run; "by_key" in its group and window.
    bool may_go_again(const Request& r) const {
        const auto& c = s_.classes[r.cls];
        if (!r.ran_at || c.idempotency == Idempotency::idempotent) return true;
        return c.idempotency == Idempotency::idempotent_by_key &&
               now_ + s_.tick < r.ran_sent + c.deduplication_window;
    }
    bool group_allows(const Server& s, const Request& r) const {
        const auto& c = s_.classes[r.cls];
        if (!r.ran_at || c.idempotency == Idempotency::idempotent) return true;
        if (!may_go_again(r)) return false;
        if (c.deduplication_scope == DeduplicationScope::zone) return s.entry.zone == r.ran_at->zone;
        if (c.deduplication_scope == DeduplicationScope::cell) return s.entry.cell == r.ran_at->cell;
        return true;
    }
    bool may_refuse(const Request& r) const {
        const auto& c = s_.classes[r.cls];
        if (!r.ran_at || c.idempotency == Idempotency::idempotent) return true;
        return c.idempotency == Idempotency::idempotent_by_key &&
               c.deduplication_scope == DeduplicationScope::all;
    }

    // A server silent since an attempt was sent, for longer than is usual, is ejected and the attempt called
    // off; not one that answers others, as it is busy, nor a "once" request at a writer, which could not go
    // again. In a jam, reads past their aim are called off, too (docs/incidents/2026-11-full-size.md,
    // Lfcc8ee).
    void review_silent() {
        for (auto& [id, r] : requests_) {
            if (r.ended || !r.out || r.out->started || r.out->cancelled || !s_.cancellation_enabled) continue;
            if (r.out->patience == Duration::zero()) continue;
            if (jammed() && r.out->read && now_ > r.aim && may_refuse(r)) {
                r.out->cancelled = true;
                actions_.emplace_back(CancelAttempt{id, r.out->id});
                continue;
            }
            Server* s = find(r.out->server);
            const Time since = s == nullptr ? r.out->sent : std::max(r.out->sent, s->last_answer);
            // Seeing little, a probe asks. A server that answers it is busy and waited for longer, though not
            // for ever: it may answer probes and lose requests.
            const bool ask = s != nullptr && s_.health_checks_enabled && blind();
            if (ask && !s->probing && s->asked_at < since &&
                now_ >= since + r.out->patience / kTimeoutFactor) {
                s->probing = true;
                s->asked_at = now_;
                actions_.emplace_back(HealthCheck{s->entry.id});
            }
            const bool busy = ask && s->probe_ok_at > since;
            if (now_ < since + (busy ? kBusyPatience : 1) * r.out->patience &&
                !(ask && !probes_queue_ && s->probe_failed_at > since))
                continue;
            r.out->cancelled = true;
            actions_.emplace_back(CancelAttempt{id, r.out->id});
            if (s != nullptr) eject(*s);
        }
    }

    // ================= the end =================
    void give_up(RequestId id) {
        auto& r = requests_.at(id);
        if (may_refuse(r) && now_ < r.deadline) actions_.emplace_back(Reject{id, s_.max_retry_after / 2});
        else actions_.emplace_back(Fail{id});
        release_state(id, r);
        forget(id);
    }
    void on(const ClientDisconnected& e) {
        const auto it = requests_.find(e.id);
        if (it == requests_.end()) return;
        Request& r = it->second;
        r.ended = true;
        if (r.out && !r.out->started && s_.cancellation_enabled && !r.out->cancelled) {
            actions_.emplace_back(CancelAttempt{e.id, r.out->id});
            r.out->cancelled = true;
        }
        release_state(e.id, r);
        if (!r.out) forget(e.id);
    }
    void forget(RequestId id) {
        drop_state(requests_.at(id));
        requests_.erase(id);
    }

    // ================= the list of servers =================
    void on(const EndpointUpdate& e) {
        if (e.kind == EndpointUpdateKind::watch_lost) {
            if (s_.endpoint_watch_required) actions_.emplace_back(WatchEndpoints{true});
            return;
        }
        if (e.kind != EndpointUpdateKind::delta)
            for (auto& [id, s] : servers_) s.listed = false;
        for (const auto& entry : e.endpoints) {
            auto [it, fresh] = servers_.try_emplace(entry.id);
            Server& s = it->second;
            const bool restarted = !fresh && s.entry.started_at != entry.started_at;
            s.entry = entry;
            s.listed = entry.state != EndpointState::removed;
            if (!fresh && !restarted) continue;
            const auto kind = std::find_if(s_.kinds.begin(), s_.kinds.end(),
                                           [&](const auto& k) { return k.name == entry.kind; });
            s.role = kind == s_.kinds.end() ? Role::mixed : kind->role;
            s.memory =
                kind == s_.kinds.end() || kind->memory_tokens <= 0 ? kUntoldMemory : kind->memory_tokens;
            s.limit = starting_limit(s);
            if (s.role != Role::prefill) writer_memory_ = std::max(writer_memory_, s.memory);
            s.reported_tokens.reset();
            s.kept.clear();
            s.prefixes_told = false;
            s.cold_sends.clear();
            s.told_at = now_;
            s.draw = unit(own_seed_, entry.id.value);
            s.slowness = {};
            reinstate(s);
            s.error_share = 0;
        }
        std::erase_if(servers_, [this](const auto& p) {
            const bool over = !p.second.listed && p.second.in_use == 0;
            if (over) out_of_standing_.erase(p.first);
            return over;
        });
        prefix_cuts_.clear();
        counts_.changed();
        fleet_ = {};
        cells_.clear();
        zones_.clear();
        for (const auto& [id, s] : servers_) {
            if (!in_service(s)) continue;
            for (Census* c : {&fleet_, &cells_[s.entry.cell], &zones_[s.entry.zone]}) c->add(s);
        }
    }
    double weight(const Server& s) const {
        const double mean = fleet_.mean_weight(s.role);
        return mean > 0 && s.entry.weight > 0 ? s.entry.weight / mean : 1;
    }
    Server* find(const ServerId& id) {
        const auto it = servers_.find(id);
        return it == servers_.end() ? nullptr : &it->second;
    }

    // ================= timers, and what is not used =================
    void on(const TimerFired& e) {
        if (e.id == wake_id_) wake_at_.reset();
    }
    void on(const CacheReportingChanged& e) {
        if (Server* s = find(e.server)) s->prefixes_told = e.reporting;
    }
    void on(const ReservationResult&) {}  // no lease is requested
    void on(const PeerMessage&) {}        // none is sent

    // One timer, for the earliest thing that time alone can change.
    void set_wake() {
        review_ejected();
        std::optional<Time> next;
        const auto want = [&](Time at) { next = next ? std::min(*next, at) : at; };
        for (const auto& [id, r] : requests_)
            if (!r.ended && (!r.out || (!r.out->started && !r.out->cancelled))) want(now_ + 2 * s_.tick);
        for (const auto& id : out_of_standing_) {
            const Server& s = servers_.at(id);
            if (!s.trial_open && !s.probing && s.in_use == 0)
                want(std::max(s.ejected_until, now_ + 2 * s_.tick));
        }
        if (!next || (wake_at_ && *wake_at_ <= *next && *wake_at_ > now_)) return;
        wake_at_ = std::max(*next, now_ + s_.tick);
        wake_id_ = {wake_id_.value + 1};
        actions_.emplace_back(SetTimer{*wake_at_, wake_id_});
    }

    Settings s_;
    std::string own_seed_;
    Time now_{};
    bool begun_ = false;
    bool behind_ = false;  // this step came late
    std::vector<Action> actions_;
    std::map<RequestId, Request> requests_;
    std::map<ServerId, Server> servers_;
    Census fleet_;
    std::map<std::int64_t, Census> cells_;
    std::map<std::string, Census> zones_;
    std::map<std::string, double> prefix_share_;  // arrivals by prefix, and all
    double seen_ = 0;
    std::map<Role, std::pair<double, Time>> warm_work_;
    std::map<std::string, double> share_left_;
    Time last_refill_{};
    Duration shortest_aim_{};
    std::vector<RunningMean> stream_seconds_;  // by class
    std::vector<RunningMean> class_work_;      // prompt tokens' worth of work, by class
    RunningMean read_pace_;                    // seconds for each prompt token asked for and ahead
    RunningMean read_time_;                    // seconds of a read
    RunningMean first_token_;                  // seconds from a writer's send
    Server pool_;                              // all writers together
    double ended_stream_tokens_ = 0;           // of the pool's, in this step
    double average_report_ = 0;
    bool probes_queue_ = false;
    bool any_lowered_ = false;                                    // a server's limit may be below its start
    std::set<ServerId> out_of_standing_;                          // ejected, or on trial since
    mutable FleetCounts counts_;                                  // see counts()
    std::map<std::int64_t, std::pair<RunningMean, Time>> links_;  // by cell: first tokens of states leaving
    std::map<std::pair<std::size_t, Stage>, std::vector<Server*>> candidates_;  // in this step: by class
    mutable std::map<std::pair<Role, std::size_t>, ColdBudget> cold_budgets_;   // the same: by role and class
    std::map<std::string, PrefixCut> prefix_cuts_;
    std::optional<double> wanted_;              // in this step: tokens of reads under way and waiting states
    std::map<std::int64_t, double> cell_room_;  // by cell: writers' room less reads under way
    double writer_memory_ = 0;
    RunningMean log_tokens_;    // of arrivals: logarithm of prompt and predicted output
    RunningMean read_part_;     // of the aim that a read takes
    RunningMean mean_urgency_;  // of arrivals
    std::optional<Time> wake_at_;
    TimerId wake_id_{};
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::vector<Action> Router::step(Time now, std::span<const Event> events) { return impl_->step(now, events); }
std::size_t Router::tracked_requests() const { return impl_->tracked(); }

}  // namespace chalksail
