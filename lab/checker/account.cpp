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
    for (const auto& c : classes) worth_[c.name] = {c.priority_weight, c.late_weight_factor};
}

Account::Second& Account::second(Time at) {
    const auto i = static_cast<std::size_t>(
        std::max<std::int64_t>(0, std::chrono::floor<std::chrono::seconds>(at - begin_).count()));
    if (seconds_.size() <= i) seconds_.resize(i + 1);
    return seconds_[i];
}

void Account::add(const Record& r) {
    switch (r.what) {
        case What::asked: {
            Asked a;
            a.at = r.at;
            a.aim = r.aim;
            a.cls = r.cls;
            if (const auto it = worth_.find(r.cls); it != worth_.end())
                std::tie(a.worth, a.late_worth) = it->second;
            for (Counts* c : {&all_, &by_class_[r.cls], &second(r.at).counts}) {
                c->asked += 1;
                c->worth_most += a.worth;
            }
            open_[r.request] = std::move(a);
            break;
        }
        case What::first: {
            const auto it = open_.find(r.request);
            if (it == open_.end() || it->second.first) break;
            it->second.first = r.at;
            first_token_ms_.add(milliseconds(r.at - it->second.at));
            second(it->second.at).first_token_ms.add(milliseconds(r.at - it->second.at));
            break;
        }
        case What::answered:
        case What::hung_up: end(r.request, r); break;
        case What::taken: {
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
        case What::ended: {
            Server& s = servers_[r.server];
            if (r.fate == "done") s.done += 1;
            else if (r.fate == "not_run") s.not_run += 1;
            else if (r.fate == "error") s.errors += 1;
            else if (r.fate == "cut") s.cut += 1;
            else s.left += 1;
            if (const auto it = open_.find(r.request); it != open_.end() && r.fate == "done")
                it->second.attempts += 1;
            break;
        }
        default: break;
    }
}

void Account::end(const std::string& request, const Record& r) {
    const auto it = open_.find(request);
    if (it == open_.end()) return;
    const Asked a = std::move(it->second);
    open_.erase(it);
    const bool served = r.what == What::answered && r.fate == "served";
    const bool in_time = served && a.first.value_or(r.at) - a.at <= a.aim;
    if (served) useful_ += std::min<std::size_t>(2, a.attempts);  // one read, one write
    for (Counts* c : {&all_, &by_class_[a.cls], &second(a.at).counts}) {
        if (r.what == What::hung_up) c->gone += 1;
        else if (served) c->served += 1;
        else if (r.fate == "refused") c->refused += 1;
        else c->failed += 1;
        if (!served) continue;
        c->in_time += in_time ? 1 : 0;
        c->worth += in_time ? a.worth : a.worth * a.late_worth;
    }
}

double Account::waste() const {
    return attempts_ == 0 ? 0 : 1 - static_cast<double>(useful_) / static_cast<double>(attempts_);
}

}  // namespace chalksail::lab
