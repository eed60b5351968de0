#include "simulation/simulated_connections.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::lab {
namespace {

constexpr std::size_t kHeadBytes = 400;  // of a request or an answer, about
constexpr std::size_t kNothing = 40;     // a segment without content

std::size_t size_of(const core::Input& input) {
    if (const auto* body = std::get_if<core::CallBody>(&input)) return body->bytes.size();
    return std::holds_alternative<core::CallHead>(input) ? kHeadBytes : kNothing;
}

}  // namespace

SimulatedConnections::SimulatedConnections(sim::Timeline& timeline, sim::Network& network, Ends& ends,
                                           std::size_t gateways, std::size_t engines, Limits limits,
                                           sim::Stream faults)
    : timeline_(timeline),
      network_(network),
      ends_(ends),
      limits_(limits),
      faults_(faults),
      calls_(gateways),
      dialling_(gateways),
      idle_(gateways * engines),
      process_(engines, 1),
      silencing_(engines),
      breaking_(engines) {}

SimulatedConnections::Wire* SimulatedConnections::find(sim::Connection number) {
    const auto it = connections_.find(number);
    return it == connections_.end() ? nullptr : &it->second;
}

void SimulatedConnections::fail(std::size_t gateway, core::CallId call, engine::ExchangeEnd ending,
                                const char* why) {
    ends_.give(gateway, core::CallFailed{call, ending, why});
}

// Ends the dialling for a call, of which nothing has gone out; false if there is none.
bool SimulatedConnections::undial(std::size_t gateway, core::CallId call) {
    const auto it = dialling_[gateway].find(call.value);
    if (it == dialling_[gateway].end()) return false;
    const Dialling over = std::move(it->second);
    dialling_[gateway].erase(it);
    if (over.engine_request) ends_.closed(gateway, over.engine, *over.engine_request, false);
    return true;
}

void SimulatedConnections::call(std::size_t gateway, std::size_t engine, core::Call call) {
    EngineRequestPtr engine_request;
    if (call.kind == core::CallKind::attempt)
        if (auto read = read_request(call.headers, call.body)) {
            engine_request = std::make_shared<const EngineRequest>(std::move(*read));
            ends_.sent(gateway, engine, *engine_request);
        }
    auto& idle = idle_[gateway * process_.size() + engine];
    while (!idle.empty()) {
        const auto number = idle.back();
        idle.pop_back();
        Wire* w = find(number);
        if (w == nullptr) continue;
        if (timeline_.now() - w->idle_since > limits_.idle) {
            w->gateway_open = false;
            drop(number);
            continue;
        }
        figures_.reused += 1;
        return send(number, std::move(call), std::move(engine_request));
    }
    const core::CallId id = call.call;
    dialling_[gateway][id.value] = {engine, std::move(engine_request)};
    const Time dial_deadline = timeline_.now() + limits_.dial_timeout;
    const auto give_up = [this, gateway, id] {
        if (!undial(gateway, id)) return;
        figures_.dial_failed += 1;
        fail(gateway, id, engine::ExchangeEnd::dial_failed, "not established in time");
    };
    const auto dialled = network_.dial(gateway, engine, timeline_.now(), limits_.dial_timeout);
    if (!dialled) return timeline_.at(dial_deadline, give_up);
    timeline_.at(dialled->stands, [this, gateway, engine, number = dialled->connection, give_up,
                                   dial_deadline, call = std::move(call)]() mutable {
        if (!dialling_[gateway].contains(call.call.value)) return network_.close(number);
        if (!ends_.silent(engine)) return connected(gateway, engine, number, std::move(call));
        network_.close(number);
        timeline_.at(dial_deadline, give_up);
    });
}

void SimulatedConnections::connected(std::size_t gateway, std::size_t engine, sim::Connection number,
                                     core::Call call) {
    if (!ends_.listens(engine)) {
        network_.close(number);
        undial(gateway, call.call);
        figures_.dial_failed += 1;
        return fail(gateway, call.call, engine::ExchangeEnd::dial_failed, "refused");
    }
    figures_.dialled += 1;
    Wire& w = connections_[number];
    w.gateway = gateway;
    w.engine = engine;
    w.process = process_[engine];
    befall(number, engine);
    const auto waiting = dialling_[gateway].find(call.call.value);
    EngineRequestPtr engine_request = std::move(waiting->second.engine_request);
    dialling_[gateway].erase(waiting);
    send(number, std::move(call), std::move(engine_request));
}

void SimulatedConnections::send(sim::Connection number, core::Call call, EngineRequestPtr engine_request) {
    Wire& w = *find(number);
    w.call = call.call;
    w.engine_request = std::move(engine_request);
    calls_[w.gateway][call.call.value] = number;
    ends_.give(w.gateway, core::CallSent{call.call});
    const auto arrives =
        network_.arrival(number, sim::Way::to_engine, timeline_.now(), kHeadBytes + call.body.size());
    if (!arrives) {
        figures_.never_arrived += 1;
        return;
    }
    timeline_.at(*arrives, [this, number, call = std::move(call), engine_request = w.engine_request] {
        Wire* to = find(number);
        if (to == nullptr || !to->engine_open) return;
        if (ends_.silent(to->engine)) return;
        if (to->process != process_[to->engine] || !ends_.listens(to->engine)) {
            to->engine_open = false;
            return reset(number);
        }
        ends_.arrived(number, to->gateway, to->engine, call, engine_request.get());
    });
}

void SimulatedConnections::abort(std::size_t gateway, core::CallId call) {
    if (undial(gateway, call)) return;
    const auto it = calls_[gateway].find(call.value);
    if (it == calls_[gateway].end()) return;
    const auto number = it->second;
    calls_[gateway].erase(it);
    Wire& w = *find(number);
    w.gateway_open = false;
    w.call = {};
    if (w.engine_request) ends_.closed(w.gateway, w.engine, *w.engine_request, true);
    const auto arrives = network_.arrival(number, sim::Way::to_engine, timeline_.now(), kNothing);
    if (arrives) timeline_.at(*arrives, [this, number] { engine_sees_end(number); });
}

void SimulatedConnections::engine_sees_end(sim::Connection number) {
    Wire* w = find(number);
    if (w == nullptr || ends_.silent(w->engine)) return;
    const bool open = std::exchange(w->engine_open, false);
    if (open && w->process == process_[w->engine]) ends_.left(number);
    drop(number);
}

void SimulatedConnections::answer(sim::Connection on, std::vector<core::Input> parts, bool last) {
    Wire* w = find(on);
    if (w == nullptr) return;
    std::size_t bytes = 0;
    for (const auto& p : parts) bytes += size_of(p);
    const auto arrives = network_.arrival(on, sim::Way::to_gateway, timeline_.now(), bytes);
    if (!arrives) return;
    timeline_.at(*arrives, [this, on, call = w->call, last, parts = std::move(parts)]() mutable {
        Wire* to = find(on);
        if (to == nullptr || !to->gateway_open || to->call != call || call.value == 0) return;
        const auto gateway = to->gateway;
        if (last) {
            if (to->engine_request) ends_.closed(gateway, to->engine, *to->engine_request, true);
            calls_[gateway].erase(call.value);
            to->call = {};
            to->engine_request.reset();
            to->idle_since = timeline_.now();
            idle_[gateway * process_.size() + to->engine].push_back(on);
        }
        for (auto& p : parts) ends_.give(gateway, std::move(p));
    });
}

void SimulatedConnections::gateway_sees_end(sim::Connection number, const char* why) {
    Wire* w = find(number);
    if (w == nullptr) return;
    if (std::exchange(w->gateway_open, false) && w->call.value != 0) {
        const auto call = std::exchange(w->call, {});
        calls_[w->gateway].erase(call.value);
        if (w->engine_request) ends_.closed(w->gateway, w->engine, *w->engine_request, true);
        fail(w->gateway, call, engine::ExchangeEnd::connection_closed, why);
    }
    drop(number);
}

void SimulatedConnections::reset(sim::Connection on) {
    Wire* w = find(on);
    if (w == nullptr) return;
    w->engine_open = false;
    const auto arrives = network_.arrival(on, sim::Way::to_gateway, timeline_.now(), kNothing);
    if (arrives) timeline_.at(*arrives, [this, on] { gateway_sees_end(on, "reset"); });
}

void SimulatedConnections::died(std::size_t engine) {
    process_[engine] += 1;
    for (const auto number : network_.connections_of(engine)) reset(number);
}

// Forgets a wire whose gateway has closed it; what the engine still does on it goes nowhere.
void SimulatedConnections::drop(sim::Connection number) {
    const Wire* w = find(number);
    if (w == nullptr || w->gateway_open) return;
    network_.close(number);
    connections_.erase(number);
}

void SimulatedConnections::befall(sim::Connection number, std::size_t engine) {
    const Time now = timeline_.now();
    const auto& s = silencing_[engine];
    if (s.until > now && faults_.chance(s.part)) {
        figures_.silenced += 1;
        network_.silence(number);
    }
    const auto& b = breaking_[engine];
    if (b.until <= now || !faults_.chance(b.part)) return;
    // In the dialling's first second, mostly while something is on it.
    timeline_.after(Duration(static_cast<std::int64_t>(faults_.uniform() * 1e9)), [this, number] {
        Wire* w = find(number);
        if (w == nullptr) return;
        figures_.broken += 1;
        if (std::exchange(w->engine_open, false) && w->process == process_[w->engine]) ends_.left(number);
        gateway_sees_end(number, "reset on the way");
    });
}

void SimulatedConnections::silence(const std::vector<std::size_t>& engines, double part, Time until) {
    for (const auto e : engines) {
        silencing_[e] = {part, until};
        for (const auto number : network_.connections_of(e))
            if (faults_.chance(part)) {
                figures_.silenced += 1;
                network_.silence(number);
            }
    }
}

void SimulatedConnections::break_later(const std::vector<std::size_t>& engines, double part, Time until) {
    for (const auto e : engines) breaking_[e] = {part, until};
}

}  // namespace chalksail::lab
