// Measures one step of the router without events, with 324 gateways, 100 servers and many tracked requests.
// In `held`, requests exceed the capacity and wait at the gateway; in `out`, all of them have been sent.
//
//   build/bin/chalksail-policy-bench
#include <benchmark/benchmark.h>

#include <chalksail/chalksail.hpp>
#include <string>
#include <vector>

using namespace chalksail;
using namespace std::chrono_literals;

namespace {

Settings fleet_settings(bool has_capacity) {
    Settings s;
    RequestClassSettings c;
    c.name = "talk";
    c.first_token_objective = 1s;
    c.deadline = 1h;  // no request ends during the measurement
    c.inter_token_objective = 50ms;
    s.classes = {c};
    s.kinds = {{"reader", Role::prefill, 200'000}, {"writer", Role::decode, has_capacity ? 1e9 : 100'000}};
    s.zone = "north";
    s.gateways = 324;
    s.tick = 2ms;
    s.release_within = 500ms;
    s.slow_start_duration = 10s;
    s.max_attempts = 5;
    return s;
}

EndpointUpdate endpoint_list(int servers) {
    EndpointUpdate out;
    const std::vector<std::string> zones = {"north", "south", "east"};
    for (int i = 0; i < servers; ++i) {
        Endpoint e;
        e.id = {"s-" + std::to_string(10'000'000 + i)};
        e.kind = i % 2 == 0 ? "reader" : "writer";
        e.zone = zones[static_cast<std::size_t>(i) % zones.size()];
        e.cell = i / 6;
        out.endpoints.push_back(std::move(e));
    }
    return out;
}

void step(benchmark::State& state, bool has_capacity) {
    Router router(fleet_settings(has_capacity), 1);
    Time now{10s};
    (void)router.step(now, std::vector<Event>{endpoint_list(100)});
    for (std::uint64_t id = 1; id <= static_cast<std::uint64_t>(state.range(0)); ++id) {
        RequestArrived a;
        a.id = {id};
        a.class_name = "talk";
        a.session = "7f3a9c21e0b4d" + std::to_string(id);
        a.prefix = "5c0f6e1a2b3d4c" + std::to_string(id % 20);
        a.time_remaining = 1h;
        a.prompt_tokens = 3000;
        a.shared_tokens = 1000;
        a.max_output = 800;
        (void)router.step(now += 1ms, std::vector<Event>{a});
    }
    for (auto _ : state) benchmark::DoNotOptimize(router.step(now += 4ms, {}));
    state.counters["tracked"] = static_cast<double>(router.tracked_requests());
}

void held(benchmark::State& state) { step(state, false); }
void out(benchmark::State& state) { step(state, true); }

}  // namespace

BENCHMARK(held)->Arg(50)->Arg(200)->Arg(400)->Unit(benchmark::kMicrosecond);
BENCHMARK(out)->Arg(50)->Arg(200)->Arg(400)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
