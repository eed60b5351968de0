// The gateways' connections to engines in virtual time, as their pools manage them: a call is sent on an idle
// connection, or on one that is dialled first; a response arrives in parts; each end learns that the other
// has closed, crashed or gone silent only from what the network delivers. No I/O, no clock of its own, no
// threads.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/edge.hpp"
#include "model/exchange.hpp"
#include "sim/network.hpp"
#include "sim/timeline.hpp"

namespace chalksail::lab {

// All connections of one simulation.
class SimulatedConnections {
public:
    // What the connections join: gateways and engines, by number.
    class Ends {
    public:
        virtual ~Ends() = default;
        virtual void give(std::size_t gateway, core::Input input) = 0;
        // The engine's process listens there; another one after each start.
        [[nodiscard]] virtual bool listens(std::size_t engine) const = 0;
        [[nodiscard]] virtual bool silent(std::size_t engine) const = 0;
        // A call's bytes have arrived whole. `engine_request` is set if it is an attempt.
        virtual void arrived(sim::Connection on, std::size_t gateway, std::size_t engine,
                             const core::Call& call, const EngineRequest* engine_request) = 0;
        // The peer of a call's connection has closed it.
        virtual void left(sim::Connection on) = 0;
        // For the record: the gateway has begun an attempt; it is done with it. `went`: some of it was handed
        // to a connection.
        virtual void sent(std::size_t gateway, std::size_t engine, const EngineRequest& engine_request) = 0;
        virtual void closed(std::size_t gateway, std::size_t engine, const EngineRequest& engine_request,
                            bool went) = 0;
    };
    struct Limits {
        Duration dial_timeout = std::chrono::milliseconds(250);
        Duration idle = std::chrono::seconds(30);
    };

    // All outlive it.
    SimulatedConnections(sim::Timeline& timeline, sim::Network& network, Ends& ends, std::size_t gateways,
                         std::size_t engines, Limits limits, sim::Stream faults);

    // ---- the gateway's side ----
    void call(std::size_t gateway, std::size_t engine, core::Call call);
    void abort(std::size_t gateway, core::CallId call);

    // ---- the engine's side ----
    // Parts of the answer, which arrive together; the last ones end it.
    void answer(sim::Connection on, std::vector<core::Input> parts, bool last);
    // It resets the connection.
    void reset(sim::Connection on);
    // Its process is gone, with all its connections.
    void died(std::size_t engine);

    // ---- faults ----
    // This part of the connections to these engines, of those open now and of those made until then.
    void silence(const std::vector<std::size_t>& engines, double part, Time until);
    void break_later(const std::vector<std::size_t>& engines, double part, Time until);

    struct Figures {
        std::uint64_t dialled = 0, reused = 0, dial_failed = 0, silenced = 0, broken = 0, never_arrived = 0;
    };
    [[nodiscard]] const Figures& figures() const { return figures_; }

private:
    struct Wire {
        std::size_t gateway = 0;
        std::size_t engine = 0;
        std::uint64_t process = 0;                            // of the engine, at its dialling
        core::CallId call;                                    // 0: idle
        std::shared_ptr<const EngineRequest> engine_request;  // nullptr: no attempt
        bool gateway_open = true;
        bool engine_open = true;
        Time idle_since{};
    };
    using EngineRequestPtr = std::shared_ptr<const EngineRequest>;
    struct Dialling {
        std::size_t engine = 0;
        EngineRequestPtr engine_request;
    };
    struct Faults {
        double part = 0;
        Time until{};
    };
    [[nodiscard]] Wire* find(sim::Connection number);
    void send(sim::Connection number, core::Call call, EngineRequestPtr engine_request);
    void connected(std::size_t gateway, std::size_t engine, sim::Connection number, core::Call call);
    bool undial(std::size_t gateway, core::CallId call);
    void fail(std::size_t gateway, core::CallId call, engine::ExchangeEnd ending, const char* why);
    void gateway_sees_end(sim::Connection number, const char* why);
    void engine_sees_end(sim::Connection number);
    void drop(sim::Connection number);
    void befall(sim::Connection number, std::size_t engine);

    sim::Timeline& timeline_;
    sim::Network& network_;
    Ends& ends_;
    Limits limits_;
    sim::Stream faults_;
    std::unordered_map<sim::Connection, Wire> connections_;                  // looked up, never walked
    std::vector<std::unordered_map<std::uint64_t, sim::Connection>> calls_;  // by gateway: call -> wire
    std::vector<std::unordered_map<std::uint64_t, Dialling>> dialling_;      // by gateway: calls
    std::vector<std::vector<sim::Connection>> idle_;                         // by gateway and engine
    std::vector<std::uint64_t> process_;                                     // by engine
    std::vector<Faults> silencing_, breaking_;                               // by engine
    Figures figures_;
};

}  // namespace chalksail::lab
