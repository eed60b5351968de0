#include "checker/account.hpp"

#include <algorithm>

namespace chalksail::lab {
namespace {

constexpr unsigned kSteps = 1400;  // of a factor of 1.01 each
double milliseconds(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

}  // namespace

Latencies::Latencies() : counts_(boost::histogram::make_histogram(Axis(kSteps, 0.1, 100'000.0))) {}

std::size_t Latencies::count() const {
    double all = 0;
    for (const double c : counts_) all += c;
    return static_cast<std::size_t>(all);
}

double Latencies::quantile(double part) const {
    double all = 0;
    for (auto&& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) all += *bin;
    double below = 0;
    for (auto&& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
        below += *bin;
        if (all > 0 && below >= part * all) return std::min(bin.bin().upper(), 100'000.0);
    }
    return 0;
}

Account::Account(const std::vector<RequestClassSettings>& classes, Time begin) : begin_(begin) {
    for (const auto& c : classes) weights_[c.name] = {c.priority_weight, c.late_weight_factor};
}

Account::Second& Account::second(Time at) {
    const auto i = static_cast<std::size_t>(
        std::max<std::int64_t>(0, std::chrono::floor<std::chrono::seconds>(at - begin_).count()));
    if (seconds_.size() <= i) seconds_.resize(i + 1);
    return seconds_[i];
}

void Account::add(const Record& r) {
    switch (r.kind) {
        case RecordKind::requested: {
            OpenRequest a;
            a.at = r.at;
            a.first_token_objective = r.first_token_objective;
            a.cls = r.cls;
            if (const auto it = weights_.find(r.cls); it != weights_.end())
                std::tie(a.weight, a.late_weight) = it->second;
            for (Counts* c : {&all_, &by_class_[r.cls], &second(r.at).counts}) {
                c->requests += 1;
                c->total_weight += a.weight;
            }
            open_[r.request] = std::move(a);
            break;
        }
        case RecordKind::first: {
            const auto it = open_.find(r.request);
            if (it == open_.end() || it->second.first) break;
            it->second.first = r.at;
            first_token_ms_.add(milliseconds(r.at - it->second.at));
            second(it->second.at).first_token_ms.add(milliseconds(r.at - it->second.at));
            break;
        }
        case RecordKind::answered:
        case RecordKind::client_disconnected: end(r.request, r); break;
        case RecordKind::taken: {
            attempts_ += 1;
            second(r.at).attempts += 1;
            Server& s = servers_[r.server];
            s.attempts += 1;
            const auto i = static_cast<std::size_t>(
                std::max<std::int64_t>(0, std::chrono::floor<std::chrono::seconds>(r.at - begin_).count()));
            if (s.by_second.size() <= i) s.by_second.resize(i + 1);
            s.by_second[i] += 1;
            break;
        }
        case RecordKind::ended: {
            Server& s = servers_[r.server];
            if (r.termination == "done") s.done += 1;
            else if (r.termination == "not_run") s.not_run += 1;
            else if (r.termination == "error") s.errors += 1;
            else if (r.termination == "cut") s.cut += 1;
            else s.left += 1;
            if (const auto it = open_.find(r.request); it != open_.end() && r.termination == "done")
                it->second.attempts += 1;
            break;
        }
        default: break;
    }
}

void Account::end(const std::string& request, const Record& r) {
    const auto it = open_.find(request);
    if (it == open_.end()) return;
    const OpenRequest a = std::move(it->second);
    open_.erase(it);
    const bool served = r.kind == RecordKind::answered && r.termination == "served";
    const bool in_time = served && a.first.value_or(r.at) - a.at <= a.first_token_objective;
    if (served) useful_ += std::min<std::size_t>(2, a.attempts);  // one read, one write
    for (Counts* c : {&all_, &by_class_[a.cls], &second(a.at).counts}) {
        if (r.kind == RecordKind::client_disconnected) c->disconnected += 1;
        else if (served) c->served += 1;
        else if (r.termination == "refused") c->refused += 1;
        else c->failed += 1;
        if (!served) continue;
        c->in_time += in_time ? 1 : 0;
        c->served_weight += in_time ? a.weight : a.weight * a.late_weight;
    }
}

double Account::waste() const {
    return attempts_ == 0 ? 0 : 1 - static_cast<double>(useful_) / static_cast<double>(attempts_);
}

}  // namespace chalksail::lab
