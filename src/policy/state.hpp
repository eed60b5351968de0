// What a gateway keeps of its servers and requests, and small helpers. It decides nothing: see brain.cpp.
#pragma once

#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace chalksail {

inline Duration from_seconds(double s) {
    return Duration(static_cast<std::int64_t>(std::clamp(s, 0.0, 1e9) * 1e9));
}

// FNV-1a with a finaliser, as a number between 0 and 1: ties fall alike at every gateway.
inline double unit(const std::string& a, const std::string& b) {
    std::uint64_t h = 1469598103934665603ULL;
    for (const std::string* text : {&a, &b})
        for (const char c : *text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    h = (h ^ (h >> 33U)) * 0xff51afd7ed558ccdULL;
    return (static_cast<double>((h ^ (h >> 33U)) >> 11U) + 0.5) * 0x1p-53;
}

struct RunningMean {
    double mean = 0;
    bool heard = false;
    void add(double value, double weight) {
        mean = heard ? mean + weight * (value - mean) : value;
        heard = true;
    }
    [[nodiscard]] double or_else(double value) const { return heard ? mean : value; }
};

struct Server {
    Endpoint entry;
    Role role = Role::mixed;
    bool listed = true;
    double stream_tokens = 0;  // writer: prompts and predicted outputs of our attempts and streams
    double prompt_tokens = 0;  // reader: new prompt tokens of our unfinished reads
    int in_use = 0;            // attempts out and states waiting
    // The adaptive limit, and the last report.
    double memory = 0;
    double limit = 0;
    Time limit_lowered{};
    std::optional<double> reported_tokens;
    double ours_at_report = 0;
    Time reported_at{};
    double error_share = 0;
    Time last_answer{};
    Time last_sent{};
    Time ejected_until{};
    Duration ejection{};  // length of the last one; zero: in good standing
    int trial_passes = 0;
    bool trial_open = false;  // a probe or time has let it back on trial
    bool probing = false;
    Time asked_at{};  // whether it lives, by a probe while it was silent; and what came of it
    Time probe_ok_at{};
    Time probe_failed_at{};
    RunningMean slowness;
    std::vector<std::pair<Time, double>> cold_sends;  // work sent while cold
    Time told_at{};                                   // that it started
    double draw = 0;  // between 0 and 1, by this gateway's seed: gateways come to a cold server one by one
    // Text that this gateway had it read: tokens by session and by prefix, and when.
    std::map<std::string, std::pair<double, Time>> kept;
    bool prefixes_told = false;  // its kept text comes with each request: no guess
};

[[nodiscard]] inline bool in_service(const Server& s) {
    return s.listed && s.entry.state == EndpointState::up;
}
// Kept out after failures, and not yet let back on trial.
[[nodiscard]] inline bool is_ejected(const Server& s) {
    return s.ejection > Duration::zero() && !s.trial_open;
}
[[nodiscard]] inline bool is_cold(const Server& s, Time now, Duration cold_for) {
    return s.entry.started_at != Time{} && now - s.entry.started_at < cold_for;
}

// What the list tells of the servers in service, in all or in one cell.
struct Census {
    std::map<Role, double> count{{Role::prefill, 0}, {Role::decode, 0}, {Role::mixed, 0}}, weight = count;
    void add(const Server& s) {
        count[s.role] += 1;
        weight[s.role] += std::max(0.0, s.entry.weight);
    }
    [[nodiscard]] double readers() const { return count.at(Role::prefill); }
    [[nodiscard]] double mix() const { return count.at(Role::decode) / std::max(0.01, readers()); }
    [[nodiscard]] double mean_weight(Role role) const {
        return weight.at(role) / std::max(1.0, count.at(role));
    }
};

struct Attempt {
    AttemptId id;
    ServerId server;
    Time sent{};
    bool read = false;     // at a prefill server: ends with a state, has no effect
    double fresh = 0;      // prompt tokens that it has to read anew, by our guess
    double ahead = 0;      // such tokens of ours there when it was sent
    bool started = false;  // its stream has begun
    Time started_at{};
    bool cancelled = false;
    Duration patience{};  // without a word from the server; zero: until the client gives up
};

struct Request {
    RequestArrived in;
    std::string prefix_key, session_key;  // of its text, in what a reader keeps
    std::size_t cls = 0;
    Time arrived{};
    Time deadline{};
    Time aim{};
    double output = 0;  // predicted
    bool over_share = false;
    bool ended = false;  // final answer given; kept for an attempt that is still out
    std::optional<Attempt> out;
    std::optional<ServerId> state_at;  // the reader that keeps the read state
    Time untaken_since{};              // since when no attempt is known to have been with a server
    bool state_released = false;       // while an attempt was out: another one can't fetch it
    int sends = 0;
    std::set<ServerId> failed_at;
    // Once an attempt may have run: where and when the first such was sent.
    std::optional<Endpoint> ran_at;
    Time ran_sent{};
    [[nodiscard]] double tokens() const { return in.prompt_tokens + output; }
};

}  // namespace chalksail
