// A model of one inference engine: slots, a queue, KV memory, prefill rate and token interval, a prefix
// cache, slow start, overload, and faults. No I/O, no clock, no threads: the owner passes the time. The same
// model runs behind sockets and in virtual time. Deterministic: the only randomness is what the caller passes
// in.
//
// Prefills share the engine's rate equally. Decodes produce a token each interval, which grows with the
// streams in flight. A decode engine that runs out of memory preempts its newest stream: it is queued again
// and its prompt is prefilled anew.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model/text.hpp"
#include "prefix/cache_events.hpp"

namespace chalksail::lab {

// What an engine can do. Memory and caches in tokens.
struct EngineSpec {
    std::string name;
    std::string kind;
    Role role = Role::mixed;
    std::string zone;
    std::int64_t cell = 0;
    int slots = 8;
    int queue = 32;
    double memory_tokens = 200'000;
    double read_pace = 15'000;                                // prompt tokens a second
    Duration token_interval = std::chrono::milliseconds(20);  // of a stream that is alone
    double crowding = 1;                     // the interval grows by this part when all slots are in use
    double cache_capacity_tokens = 400'000;  // of the prefix cache
    Duration slow_start_duration = std::chrono::seconds(12);
    double slow_start_initial_capacity = 0.33;
    double overload_factor = 3;
    Duration overload_window = std::chrono::seconds(2);
    // After that a KV state that nobody has fetched is dropped.
    Duration state_ttl = std::chrono::seconds(30);
    bool publishes = false;     // cache events
    bool read_in_place = true;  // decode: it prefills requests that come without a KV state
};

using JobId = std::uint64_t;

// One request at the engine: a prefill (`read`), or a decode.
struct Job {
    JobId id = 0;
    bool read = false;
    std::string request;       // X-Request-Id
    std::string gateway;       // that sent it
    bool start_known = false;  // that gateway knew that this engine had restarted
    double prompt_tokens = 0;
    std::vector<PrefixBlock> blocks;
    std::string text;  // the text of these; needed only if cache events are published
    std::size_t output_tokens = 0;
    bool has_state = false;  // a state comes with it ...
    Duration transfer{};     // ... and takes so long to arrive once the job has its slot
};

// What becomes of a submitted job: accepted, rejected for a reason, or lost without an answer.
enum class SubmitResult { accepted, full, draining, no_state, error, lost };

// A step that a job has made.
struct Progress {
    enum class Kind { read_done, tokens, finished, dropped } kind = Kind::tokens;
    JobId job = 0;
    std::size_t first = 0;     // tokens: from this one ...
    std::size_t count = 0;     // ... so many
    double cached_tokens = 0;  // read_done: prompt tokens found in the cache
};

// One engine. Call advance() at the times that next() names.
class EngineModel {
public:
    explicit EngineModel(EngineSpec spec) : spec_(std::move(spec)) {}

    [[nodiscard]] const EngineSpec& spec() const { return spec_; }
    // `draw`: uniform in [0, 1), for the faults that hit a part of the requests.
    [[nodiscard]] SubmitResult submit(Time now, Job job, double draw);
    void cancel(Time now, JobId job);
    // The progress of all jobs up to `now`, in order.
    [[nodiscard]] std::vector<Progress> advance(Time now);
    // When something happens next by itself; nullopt while idle or paused.
    [[nodiscard]] std::optional<Time> next() const;

    // ---- KV states that wait to be fetched ----
    struct State {
        std::string request;
        double tokens = 0;
        Time ready{};
    };
    [[nodiscard]] const State* state(const std::string& request) const;
    bool drop_state(const std::string& request);  // fetched or released
    [[nodiscard]] std::vector<State> expire_states(Time now);

    // ---- restarts and faults ----
    void start_in_slow_start(Time now);      // restarted, empty and in slow start
    void stop();                             // crash: it loses everything
    void set_paused(Time now, bool paused);  // stall, vanish: nothing proceeds
    void set_slow(Time now, double factor);  // times as long; 1: healthy
    void set_error_share(double share) { error_share_ = share; }
    void set_lost_share(double share) { lost_share_ = share; }
    void set_draining(bool draining) { draining_ = draining; }
    [[nodiscard]] bool alive() const { return alive_; }
    [[nodiscard]] bool paused() const { return paused_; }
    // If it failed of overload since the last call: the share of the load from gateways that knew of its
    // start.
    [[nodiscard]] std::optional<double> take_overload();

    [[nodiscard]] double warmth(Time now) const;  // the share of its capacity that it has in slow start
    [[nodiscard]] std::size_t running() const { return reads_.size() + writes_.size(); }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] double memory_share() const;
    // Cache events since the last call; empty unless it publishes them.
    [[nodiscard]] std::vector<prefix::Event> take_cache_events() { return std::exchange(cache_events_, {}); }

private:
    struct Running {
        Job job;
        double left = 0;  // read: tokens still to read
        double cached_tokens = 0;
        std::size_t done = 0;  // write: tokens given
        Time next{};           // write: when the next one comes
        bool preempted = false;
    };
    void advance_prefills(Time now);
    void fill(Time now);
    void begin(Time now, Running r);
    [[nodiscard]] double cached_tokens_of(const Job& job) const;
    void cache_prefix(const Job& job);
    [[nodiscard]] Duration interval(Time now) const;
    void press(Time now, const Job& job);
    [[nodiscard]] double capacity() const;  // work a second when warm
    static double work_of(const Job& job, double cached_tokens);

    EngineSpec spec_;
    bool alive_ = true;
    bool paused_ = false;
    bool draining_ = false;
    double slow_ = 1;
    double error_share_ = 0;
    double lost_share_ = 0;
    std::optional<Time> born_;  // cold start; nothing: long ago
    Time at_{};                 // prefills have been advanced up to here
    std::deque<Running> queue_;
    std::map<JobId, Running> reads_;
    std::map<JobId, Running> writes_;
    double write_tokens_ = 0;  // prompts and tokens given of these
    std::set<std::pair<Time, JobId>> due_;
    std::map<std::string, State> states_;
    double state_tokens_ = 0;
    // The prefix cache, least recently used first.
    std::list<PrefixBlock> cache_order_;
    std::unordered_map<std::uint64_t, std::list<PrefixBlock>::iterator> cache_;
    double cached_tokens_total_ = 0;
    std::vector<prefix::Event> cache_events_;
    struct Press {
        Time at{};
        double work = 0;
        bool notified = false;
    };
    std::deque<Press> pressure_;
    std::optional<double> overloaded_by_notified_;
    std::vector<Progress> pending_;
};

// The links between racks. Inside a cell, KV states are transferred at one rate; otherwise they use the link
// of the prefill engine's rack, which is shared first come first served, and slower into another zone.
class Links {
public:
    struct Rates {
        double in_cell = 280'000;  // tokens a second
        double rack = 120'000;
        double zone_factor = 2;  // into another zone a token takes so many times as long
    };
    explicit Links(Rates rates) : rates_(rates) {}
    // How long from `now` until the state has arrived.
    [[nodiscard]] Duration transfer(Time now, const EngineSpec& from, const EngineSpec& to, double tokens);
    void set_slow(double factor) { slow_ = factor; }

private:
    Rates rates_;
    double slow_ = 1;
    std::map<std::int64_t, Time> busy_until_;  // by cell
};

}  // namespace chalksail::lab
