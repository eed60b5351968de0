#include "model/engine.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chalksail::lab {
namespace {

Duration from_seconds(double s) { return Duration(static_cast<std::int64_t>(std::llround(s * 1e9))); }

constexpr double kReadOverhead = 200;  // tokens' worth of time that a read takes beside its prompt
constexpr double kFirstToken = 2;      // intervals from the arrival of a state to the first token
constexpr double kOverloadSlack = 4;   // requests' worth of work beyond the budget, for chance

}  // namespace

double EngineModel::warmth(Time now) const {
    if (!born_ || now - *born_ >= spec_.slow_start_duration) return 1;
    const double part = seconds(now - *born_) / std::max(1e-9, seconds(spec_.slow_start_duration));
    return spec_.slow_start_initial_capacity + (1 - spec_.slow_start_initial_capacity) * std::max(0.0, part);
}

double EngineModel::capacity() const {
    return spec_.role == Role::prefill ? spec_.read_pace
                                       : spec_.slots / (seconds(spec_.token_interval) * (1 + spec_.crowding));
}

double EngineModel::work_of(const Job& job, double cached_tokens) {
    return job.read ? kReadOverhead + job.prompt_tokens - cached_tokens
                    : static_cast<double>(job.output_tokens);
}

double EngineModel::memory_share() const {
    const double used = spec_.role == Role::prefill ? state_tokens_ : write_tokens_;
    return std::min(1.0, used / std::max(1.0, spec_.memory_tokens));
}

// A cold engine that is sent more than a multiple of what it can do, for a whole window, falls over and stays
// down. Work that it turns away counts too.
void EngineModel::press(Time now, const Job& job) {
    const double warm = warmth(now);
    if (warm >= 1) return;
    pressure_.push_back({now, work_of(job, cached_tokens_of(job)), job.start_known});
    while (!pressure_.empty() && pressure_.front().at + spec_.overload_window < now) pressure_.pop_front();
    double all = 0, notified = 0;
    for (const auto& p : pressure_) {
        all += p.work;
        if (p.notified) notified += p.work;
    }
    const double budget = spec_.overload_factor * warm * capacity() * seconds(spec_.overload_window);
    const double slack = kOverloadSlack * all / static_cast<double>(pressure_.size());
    if (all <= budget + slack) return;
    overloaded_by_notified_ = notified / all;
    stop();
}

SubmitResult EngineModel::submit(Time now, Job job, double draw) {
    press(now, job);
    if (!alive_) return SubmitResult::lost;
    if (draw < error_share_) return SubmitResult::error;
    if (draw < error_share_ + lost_share_) return SubmitResult::lost;
    if (draining_) return SubmitResult::draining;
    if (!job.read && !job.has_state && spec_.role == Role::decode && !spec_.read_in_place)
        return SubmitResult::no_state;
    if (static_cast<int>(running()) >= spec_.slots && static_cast<int>(queue_.size()) >= spec_.queue)
        return SubmitResult::full;
    advance_prefills(now);
    queue_.push_back({std::move(job), 0, 0, 0, {}, false});
    fill(now);
    return SubmitResult::accepted;
}

double EngineModel::cached_tokens_of(const Job& job) const {
    double out = 0;
    for (const auto& b : job.blocks) {
        if (!cache_.contains(b.hash)) break;
        out = b.tokens;
    }
    return std::min(out, job.prompt_tokens);
}

void EngineModel::cache_prefix(const Job& job) {
    // From the end to the beginning, so that what is dropped first is the end of a chain, never its root.
    std::size_t fresh_from = job.blocks.size();
    for (std::size_t i = job.blocks.size(); i-- > 0;) {
        const auto& b = job.blocks[i];
        if (const auto it = cache_.find(b.hash); it != cache_.end()) {
            cache_order_.splice(cache_order_.end(), cache_order_, it->second);
            continue;
        }
        fresh_from = i;
        const double own = std::max(0.0, b.tokens - (i == 0 ? 0 : job.blocks[i - 1].tokens));
        cache_order_.push_back({b.hash, own});
        cache_[b.hash] = std::prev(cache_order_.end());
        cached_tokens_total_ += own;
    }
    if (spec_.publishes && fresh_from < job.blocks.size()) {
        prefix::BlockStored e;
        e.block_size = kBlockTokens;
        if (fresh_from > 0) e.parent = job.blocks[fresh_from - 1].hash;
        for (std::size_t i = fresh_from; i < job.blocks.size(); ++i) {
            const auto& b = job.blocks[i];
            e.blocks.push_back(b.hash);
            for (std::size_t t = i * kBlockBytes; t < (i + 1) * kBlockBytes; t += 4) {
                prefix::Token token = 0;
                for (std::size_t j = 0; j < 4; ++j)
                    token = token << 8U | static_cast<unsigned char>(job.text.at(t + j));
                e.tokens.push_back(token);
            }
        }
        cache_events_.emplace_back(std::move(e));
    }
    prefix::BlockRemoved removed;
    while (cached_tokens_total_ > spec_.cache_capacity_tokens && !cache_order_.empty()) {
        cached_tokens_total_ -= cache_order_.front().tokens;
        removed.blocks.push_back(cache_order_.front().hash);
        cache_.erase(cache_order_.front().hash);
        cache_order_.pop_front();
    }
    if (spec_.publishes && !removed.blocks.empty()) cache_events_.emplace_back(std::move(removed));
}

Duration EngineModel::interval(Time now) const {
    const double client_workload =
        1 + spec_.crowding * (static_cast<double>(writes_.size()) - 1) / std::max(1, spec_.slots);
    return from_seconds(seconds(spec_.token_interval) * client_workload * slow_ / warmth(now));
}

void EngineModel::begin(Time now, Running r) {
    const JobId id = r.job.id;
    if (r.job.read) {
        r.cached_tokens = cached_tokens_of(r.job);
        r.left = kReadOverhead + r.job.prompt_tokens - r.cached_tokens;
        reads_.emplace(id, std::move(r));
        return;
    }
    // Without a state, or with one that was lost when it was put back, the prompt is read here first.
    Duration wait = r.job.transfer;
    if (!r.job.has_state || r.preempted)
        wait = from_seconds((kReadOverhead + r.job.prompt_tokens + static_cast<double>(r.done)) /
                            spec_.read_pace * slow_ / warmth(now));
    auto& placed = writes_.emplace(id, std::move(r)).first->second;
    write_tokens_ += placed.job.prompt_tokens + static_cast<double>(placed.done);
    placed.next =
        now + wait +
        Duration(static_cast<std::int64_t>(kFirstToken * static_cast<double>(interval(now).count())));
    due_.emplace(placed.next, id);
}

void EngineModel::fill(Time now) {
    while (!queue_.empty() && static_cast<int>(running()) < spec_.slots) {
        const Job& job = queue_.front().job;
        if (job.read && state_tokens_ + job.prompt_tokens > spec_.memory_tokens && state_tokens_ > 0) return;
        if (!job.read && !writes_.empty() && write_tokens_ + job.prompt_tokens > spec_.memory_tokens) return;
        Running r = std::move(queue_.front());
        queue_.pop_front();
        begin(now, std::move(r));
    }
}

// Moves the reads on to `now`: they share the pace, so each step lasts until the first of them is done.
void EngineModel::advance_prefills(Time now) {
    if (paused_ || !alive_) {
        at_ = now;
        return;
    }
    while (!reads_.empty() && at_ < now) {
        const double rate = spec_.read_pace * warmth(at_) / slow_ / static_cast<double>(reads_.size());
        auto least = reads_.begin();
        for (auto it = reads_.begin(); it != reads_.end(); ++it)
            if (it->second.left < least->second.left) least = it;
        const Time done_at = at_ + from_seconds(std::max(0.0, least->second.left) / rate) + Duration(1);
        const Time until = std::min(now, done_at);
        const double read = seconds(until - at_) * rate;
        for (auto& [id, r] : reads_) r.left -= read;
        at_ = until;
        if (done_at > now) continue;
        Running r = std::move(least->second);
        reads_.erase(least);
        cache_prefix(r.job);
        states_[r.job.request] = {r.job.request, r.job.prompt_tokens, done_at};
        state_tokens_ += r.job.prompt_tokens;
        pending_.push_back({Progress::Kind::read_done, r.job.id, 0, 0, r.cached_tokens});
        fill(at_);
    }
    at_ = now;
}

std::vector<Progress> EngineModel::advance(Time now) {
    advance_prefills(now);
    while (!paused_ && alive_ && !due_.empty() && due_.begin()->first <= now) {
        const auto [when, id] = *due_.begin();
        due_.erase(due_.begin());
        Running& r = writes_.at(id);
        pending_.push_back({Progress::Kind::tokens, id, r.done, 1, 0});
        r.done += 1;
        write_tokens_ += 1;
        if (r.done >= r.job.output_tokens) {
            pending_.push_back({Progress::Kind::finished, id, 0, 0, 0});
            write_tokens_ -= r.job.prompt_tokens + static_cast<double>(r.done);
            writes_.erase(id);
            fill(when);
            continue;
        }
        r.next = when + interval(when);
        due_.emplace(r.next, id);
        if (write_tokens_ > spec_.memory_tokens && writes_.size() > 1) {
            auto newest = std::prev(writes_.end());
            due_.erase({newest->second.next, newest->first});
            Running back = std::move(newest->second);
            write_tokens_ -= back.job.prompt_tokens + static_cast<double>(back.done);
            back.preempted = true;
            writes_.erase(newest);
            queue_.push_front(std::move(back));
        }
    }
    return std::exchange(pending_, {});
}

std::optional<Time> EngineModel::next() const {
    if (paused_ || !alive_) return std::nullopt;
    std::optional<Time> out;
    if (!due_.empty()) out = due_.begin()->first;
    if (!reads_.empty()) {
        double least = reads_.begin()->second.left;
        for (const auto& [id, r] : reads_) least = std::min(least, r.left);
        const double rate = spec_.read_pace * warmth(at_) / slow_ / static_cast<double>(reads_.size());
        const Time done = at_ + from_seconds(std::max(0.0, least) / rate) + Duration(1);
        out = out ? std::min(*out, done) : done;
    }
    return out;
}

void EngineModel::cancel(Time now, JobId job) {
    advance_prefills(now);
    std::erase_if(queue_, [&](const Running& r) { return r.job.id == job; });
    reads_.erase(job);
    if (const auto it = writes_.find(job); it != writes_.end()) {
        due_.erase({it->second.next, job});
        write_tokens_ -= it->second.job.prompt_tokens + static_cast<double>(it->second.done);
        writes_.erase(it);
    }
    if (alive_ && !paused_) fill(now);
}

const EngineModel::State* EngineModel::state(const std::string& request) const {
    const auto it = states_.find(request);
    return it == states_.end() ? nullptr : &it->second;
}

bool EngineModel::drop_state(const std::string& request) {
    const auto it = states_.find(request);
    if (it == states_.end()) return false;
    state_tokens_ -= it->second.tokens;
    states_.erase(it);
    if (alive_ && !paused_) fill(at_);
    return true;
}

std::vector<EngineModel::State> EngineModel::expire_states(Time now) {
    std::vector<State> out;
    for (const auto& [request, s] : states_)
        if (s.ready + spec_.state_ttl <= now) out.push_back(s);
    for (const auto& s : out) drop_state(s.request);
    return out;
}

void EngineModel::stop() {
    alive_ = false;
    paused_ = false;
    queue_.clear();
    reads_.clear();
    writes_.clear();
    write_tokens_ = 0;
    due_.clear();
    states_.clear();
    state_tokens_ = 0;
    cache_order_.clear();
    cache_.clear();
    cached_tokens_total_ = 0;
    cache_events_.clear();
    pressure_.clear();
    pending_.clear();
}

void EngineModel::start_in_slow_start(Time now) {
    stop();
    alive_ = true;
    draining_ = false;
    slow_ = 1;
    error_share_ = lost_share_ = 0;
    born_ = now;
    at_ = now;
}

void EngineModel::set_paused(Time now, bool paused) {
    advance_prefills(now);
    if (paused_ == paused) return;
    paused_ = paused;
    if (paused) return;
    // Streams go on from where they stood.
    std::set<std::pair<Time, JobId>> moved;
    for (auto& [id, r] : writes_) {
        r.next = std::max(r.next, now + interval(now));
        moved.emplace(r.next, id);
    }
    due_ = std::move(moved);
    if (alive_) fill(now);
}

void EngineModel::set_slow(Time now, double factor) {
    advance_prefills(now);
    slow_ = std::max(0.01, factor);
}

std::optional<double> EngineModel::take_overload() {
    return std::exchange(overloaded_by_notified_, std::nullopt);
}

Duration Links::transfer(Time now, const EngineSpec& from, const EngineSpec& to, double tokens) {
    if (from.cell == to.cell && from.zone == to.zone) return from_seconds(tokens / rates_.in_cell * slow_);
    double length = tokens / rates_.rack * slow_;
    if (from.zone != to.zone) length *= rates_.zone_factor;
    Time& busy = busy_until_[from.cell];
    busy = std::max(busy, now) + from_seconds(length);
    return busy - now;
}

}  // namespace chalksail::lab
