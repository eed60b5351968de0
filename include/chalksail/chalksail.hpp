// chalksail: the decisions of a request router in front of separate prefill and decode servers.
//
// One Brain is one gateway. Feed it, batch by batch, what the gateway has seen; carry out the actions it
// returns, in order. Ownership: a Brain owns all its state and copies what it needs from the events.
// Threading: one instance, one thread; instances share nothing. Clock: the time given to step() is the only
// clock and must not go backwards. Errors: the constructor throws std::invalid_argument when the settings
// make no sense; step() never throws for any order of legal events. The embedder owes one AttemptEnded for
// each Send, and calls step() again no later than the time of each Wake.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chalksail {

struct GatewayClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<GatewayClock>;
    static constexpr bool is_steady = true;
};
using Duration = GatewayClock::duration;
using Time = GatewayClock::time_point;
inline double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

template <class Tag, class Value>
struct Strong {
    Value value{};
    friend auto operator<=>(const Strong&, const Strong&) = default;
};
using RequestId = Strong<struct RequestTag, std::uint64_t>;
using AttemptId = Strong<struct AttemptTag, std::int64_t>;  // numbered from 0 within a request
using ServerId = Strong<struct ServerTag, std::string>;
using TimerId = Strong<struct TimerTag, std::uint64_t>;

// ---- settings ----

enum class Effect { repeatable, by_key, once };
enum class Group { all, zone, cell };
enum class Role { prefill, decode, mixed };
enum class ReportField { other, active, memory_share, prompt_backlog };

struct ClassSettings {
    std::string name;
    Duration aim{};                  // first token wanted within this ...
    Duration aim_per_1000_tokens{};  // ... and this much for each 1,000 prompt tokens
    Duration token_aim{};            // wanted mean interval between tokens
    Duration deadline{};
    Effect effect = Effect::repeatable;
    Group group = Group::all;  // by_key only: the servers that drop repeats
    Duration window{};         // by_key only: for how long they do
    double worth = 1;
    double late_worth = 0;
};
struct KindSettings {
    std::string name;
    Role role = Role::mixed;
    double memory_tokens = 0;  // 0: not told
};
struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // over all gateways
};
struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<KindSettings> kinds;
    std::vector<TenantSettings> tenants;
    std::vector<ReportField> report_fields;
    std::string zone;
    int gateway = 0;   // this gateway's number
    int gateways = 1;  // how many there are
    Duration tick{};
    Duration answer_slack{};
    Duration release_within{};
    Duration cold_for{};
    double cold_from = 1;
    double fall_multiple = 1;
    Duration fall_window{};
    Duration dial_timeout{};
    Duration max_retry_after{};  // 0: clients take no advice
    Duration ask_within{};
    int max_attempts = 1;
    double over_share_worth = 1;
    double far_price = 0;
    double cross_zone_price = 0;
    bool worth_by_work = false;  // worth counts for each unit of work, not for each request
    bool must_ask_for_list = false;
    bool may_cancel = false;
    bool may_probe = false;
    bool second_copies = false;
    bool early_pairing = false;
    bool read_in_place = false;
    bool resume = false;
};
// Throws std::invalid_argument, with the reason, where the settings make no sense.
void validate(const Settings& settings);

// ---- events: what the gateway has seen ----

enum class ServerState { up, draining, removed };
struct ServerEntry {
    ServerId id;
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    ServerState state = ServerState::up;
    double weight = 1;
    Time born{};  // zero: long ago
};
enum class ListScope { changes, complete, recalled, lost };
struct ListChanged {
    ListScope scope = ListScope::complete;
    std::vector<ServerEntry> entries;
};
// Tokens of this request's prompt, from its beginning, that a server holds.
struct KnownPrefix {
    ServerId server;
    double tokens = 0;
};
struct Arrived {
    RequestId id;
    std::string class_name;
    std::string tenant;
    std::string session;
    std::string prefix;
    Duration time_left{};
    Duration length_hint{};  // zero: none
    double prompt_tokens = 0;
    double shared_tokens = 0;
    double max_output = 0;  // zero: not told
    // By servers whose cache is told (PrefixesTold); one of them that is not here holds nothing of it.
    std::vector<KnownPrefix> known;
    bool retry = false;
    bool again = false;
};
struct StreamStarted {
    RequestId id;
    AttemptId attempt;
    ServerId server;
    Duration taken{};
};
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, moot, read };
struct AttemptEnded {
    RequestId id;
    AttemptId attempt;
    ServerId server;
    Outcome outcome = Outcome::error;
    Duration taken{};
    bool finished = false;  // the request is over
    double remark = 0;      // full: 1 if there was no state; ok and read: prompt tokens found kept
    std::vector<double> report;
};
struct LeaseAnswer {
    RequestId id;
    ServerId server;
    bool held = false;
};
// The embedder has released what waited for this request at a server, as the attempt that is out did not
// prove in time to have come to one. That attempt may still end well; for another one the prompt is read
// anew.
struct StateReleased {
    RequestId id;
};
struct ClientGone {
    RequestId id;
};
struct TimerFired {
    TimerId id;
};
struct ProbeEnded {
    ServerId server;
    Outcome outcome = Outcome::error;
    Duration taken{};
    std::vector<double> report;
};
// From now on a server's kept text is told with each request, or again left to the module's own guess.
struct PrefixesTold {
    ServerId server;
    bool told = false;
};
struct PeerMessage {
    std::int64_t from = 0;
    std::string hex;
};
using Event = std::variant<ListChanged, Arrived, StreamStarted, AttemptEnded, LeaseAnswer, StateReleased,
                           ClientGone, TimerFired, ProbeEnded, PrefixesTold, PeerMessage>;

// ---- actions: what the gateway does ----

struct Send {
    RequestId id;
    ServerId server;
    Duration timeout{};  // zero: until the client gives up
};
struct Refuse {
    RequestId id;
    Duration retry_after{};  // zero: no advice
};
struct Fail {
    RequestId id;
};
struct CancelAttempt {
    RequestId id;
    AttemptId attempt;
};
struct Release {
    RequestId id;
};
struct MoveStream {
    RequestId id;
};
struct RequestLease {
    RequestId id;
    ServerId server;
};
struct Probe {
    ServerId server;
};
struct Wake {
    Time at{};
    TimerId id;
};
struct FollowList {
    bool on = true;
};
using Action = std::variant<Send, Refuse, Fail, CancelAttempt, Release, MoveStream, RequestLease, Probe, Wake,
                            FollowList>;

class Brain {
public:
    Brain(const Settings& settings, std::uint64_t seed);
    ~Brain();
    Brain(Brain&&) noexcept;
    Brain& operator=(Brain&&) noexcept;
    Brain(const Brain&) = delete;
    Brain& operator=(const Brain&) = delete;

    [[nodiscard]] std::vector<Action> step(Time now, std::span<const Event> events);
    // Requests of which anything is still kept: open ones, and ended ones with an attempt still out.
    [[nodiscard]] std::size_t tracked_requests() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace chalksail
