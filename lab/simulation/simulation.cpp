#include "simulation/simulation.hpp"

#include <algorithm>
#include <deque>
#include <utility>

#include "base/json.hpp"
#include "chat/sse.hpp"
#include "engine/protocol.hpp"

namespace chalksail::lab {
namespace {

RuleFigures rules_of(const Settings& m) {
    RuleFigures out;
    out.answer_slack = m.answer_slack;
    out.release_within = m.release_within;
    out.max_attempts = m.max_attempts;
    out.measuring = std::chrono::milliseconds(2);  // the steps of the timeline, not the way
    return out;
}

}  // namespace

struct Simulation::Gateway {
    std::size_t number = 0;
    std::string name;
    std::unique_ptr<core::Edge> edge;
    std::vector<core::Input> inputs;
    std::optional<Time> wake;                 // for which a step is on the timeline
    Time notified_at{};                       // when it hears the last news of the list that are on their way
    std::vector<bool> receives_cache_events;  // cache events of these engines
};

struct Simulation::Host {
    std::size_t number = 0;
    EngineModel model;
    bool up = true;
    bool vanished = false;
    std::uint64_t process = 1;
    std::string listed = "up";
    Time born{};
    std::optional<Time> wake;
    std::map<JobId, sim::Connection> jobs;
    std::vector<bool> start_known;  // these gateways know that it has started
    sim::Stream draws;
    std::uint64_t next_batch = 0;
    std::deque<std::pair<std::uint64_t, std::string>> past;  // batches that can be replayed
    Host(std::size_t n, const EngineSpec& spec, std::uint64_t seed, std::size_t gateways)
        : number(n), model(spec), start_known(gateways), draws(seed, "engine", n) {}
};

struct Simulation::Exchange {
    JobId job = 0;
    sim::Connection on = 0;
    core::CallId call;
    Host* host = nullptr;
    EngineRequest engine_request;
    bool begun = false;
};

struct Simulation::ClientExchange {
    ClientCall call;
    Gateway* gateway = nullptr;
    Transcript got;
};

Simulation::Simulation(Scenario scenario, std::optional<PlacementPolicy> baseline)
    : scenario_(std::move(scenario)),
      checker_(rules_of(scenario_.edge.router)),
      links_(scenario_.links),
      timeline_(Time(std::chrono::seconds(1000))),
      cache_losses_(scenario_.seed, "cache losses"),
      list_spread_(scenario_.seed, "list"),
      partitions_(scenario_.seed, "partitions"),
      begin_(timeline_.now()),
      client_workload_(scenario_),
      faults_(scenario_, *this),
      lag_(scenario_.list_lag) {
    const auto zone_number = [&](const std::string& zone) {
        return static_cast<std::size_t>(std::find(scenario_.zones.begin(), scenario_.zones.end(), zone) -
                                        scenario_.zones.begin());
    };
    std::vector<std::size_t> gateway_zones, engine_zones;
    const auto gateways = static_cast<std::size_t>(scenario_.edges);
    for (const auto& spec : scenario_.engines) {
        by_name_[spec.name] = hosts_.size();
        engine_zones.push_back(zone_number(spec.zone));
        hosts_.push_back(std::make_unique<Host>(hosts_.size(), spec, scenario_.seed, gateways));
    }
    for (std::size_t i = 0; i < gateways; ++i) {
        auto g = std::make_unique<Gateway>();
        g->number = i;
        g->name = "edge" + std::to_string(i + 1);
        g->receives_cache_events.resize(hosts_.size());
        auto settings = scenario_.edge;
        settings.name = g->name;
        gateway_zones.push_back(i % scenario_.zones.size());
        settings.router.zone = scenario_.zones[gateway_zones.back()];
        settings.seed = scenario_.seed * 1000 + i + 1;
        settings.router.gateways = scenario_.edges;
        settings.router.gateway = static_cast<int>(i);
        g->edge = baseline
                      ? std::make_unique<core::Edge>(
                            settings, std::make_unique<Baseline>(settings.router, settings.seed, *baseline))
                      : std::make_unique<core::Edge>(settings);
        gateways_.push_back(std::move(g));
    }
    network_ =
        std::make_unique<sim::Network>(scenario_.network, std::move(gateway_zones), std::move(engine_zones),
                                       sim::Stream(scenario_.seed, "network"));
    connections_ = std::make_unique<SimulatedConnections>(
        timeline_, *network_, static_cast<SimulatedConnections::Ends&>(*this), gateways, hosts_.size(),
        SimulatedConnections::Limits{scenario_.edge.router.dial_timeout,
                                     scenario_.edge.limits.server_idle_timeout},
        sim::Stream(scenario_.seed, "connections"));
}
Simulation::~Simulation() = default;

Simulation::Host* Simulation::find(const std::string& name) {
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : hosts_[it->second].get();
}

void Simulation::add(Record record) {
    record.at = timeline_.now();
    checker_.add(record);
    for (const auto& watcher : watchers_) watcher(record);
    if (keeps_) records_.push_back(std::move(record));
}

void Simulation::record_attempt(RecordKind what, const Host& host, const EngineRequest& engine_request,
                                const std::string& termination) {
    Record r;
    r.kind = what;
    r.request = engine_request.client_request;
    r.gateway = engine_request.gateway;
    r.server = host.model.spec().name;
    r.zone = host.model.spec().zone;
    r.cell = host.model.spec().cell;
    r.attempt = engine_request.attempt;
    r.read = engine_request.read;
    r.termination = termination;
    add(std::move(r));
}
void Simulation::record_state(RecordKind what, const Host& host, const std::string& edge_request) {
    Record r;
    r.kind = what;
    r.request = client_number_[edge_request];
    r.server = host.model.spec().name;
    add(std::move(r));
}

// ================= gateways =================

void Simulation::give(std::size_t gateway, core::Input input) {
    Gateway& g = *gateways_[gateway];
    if (g.inputs.empty()) timeline_.at(now(), [this, &g] { step(g); });
    g.inputs.push_back(std::move(input));
}

void Simulation::step(Gateway& g) {
    figures_.steps += 1;
    auto inputs = std::exchange(g.inputs, {});
    if (tampering_.before) tampering_.before(inputs);
    auto outputs = g.edge->step(now(), std::move(inputs));
    if (tampering_.after) tampering_.after(outputs);
    for (auto& output : outputs) carry_out(g, output);
    const auto wake = g.edge->next_wake();
    if (!wake || (g.wake && *g.wake <= *wake && *g.wake > now())) return;
    g.wake = std::max(*wake, now() + Duration(1));
    timeline_.at(*g.wake, [this, &g, when = *g.wake] {
        if (g.wake != when) return;  // one that is sooner has been asked for
        g.wake.reset();
        step(g);
    });
}

Simulation::ClientExchange* Simulation::find_client_exchange(core::ClientId client) {
    const auto it = client_exchanges_.find(client.value);
    return it == client_exchanges_.end() ? nullptr : it->second.get();
}

// Its client has its answer: there must be no other.
void Simulation::answered_again(core::ClientId client) {
    const auto it = over_.find(client.value);
    if (it == over_.end()) return;  // it hung up
    Record r;
    r.kind = RecordKind::answered;
    r.request = it->second;
    add(std::move(r));
}

void Simulation::carry_out(Gateway& g, core::Output& output) {
    if (auto* call = std::get_if<core::Call>(&output)) {
        const auto to = by_name_.at(call->server);
        if (call->kind == core::CallKind::release) {
            // Its part is done, though the way to the engine may be cut.
            json::Document doc;
            json::parse(call->body, doc);
            record_state(RecordKind::release_requested, *hosts_[to],
                         std::string(json::text(json::find(doc, "request_id"))));
        }
        connections_->call(g.number, to, std::move(*call));
    } else if (const auto* abort = std::get_if<core::AbortCall>(&output)) {
        connections_->abort(g.number, abort->call);
    } else if (const auto* begin = std::get_if<core::BeginStream>(&output)) {
        if (ClientExchange* exchange = find_client_exchange(begin->client)) exchange->got.head(200, 0);
    } else if (const auto* bytes = std::get_if<core::SendStreamBytes>(&output)) {
        ClientExchange* exchange = find_client_exchange(bytes->client);
        if (exchange == nullptr || !exchange->got.body(exchange->call, bytes->bytes)) return;
        Record r;
        r.kind = RecordKind::first;
        r.request = exchange->call.number;
        add(std::move(r));
    } else if (const auto* end = std::get_if<core::EndStream>(&output)) {
        if (ClientExchange* exchange = find_client_exchange(end->client))
            answered(end->client.value, exchange->got.end(exchange->call));
        else answered_again(end->client);
    } else if (const auto* reply = std::get_if<core::SendResponse>(&output)) {
        ClientExchange* exchange = find_client_exchange(reply->client);
        if (exchange == nullptr) return answered_again(reply->client);
        const std::string advice(reply->headers.get("retry-after-ms"));
        exchange->got.head(reply->status, std::atoll(advice.c_str()));
        exchange->got.body(exchange->call, reply->body);
        answered(reply->client.value, exchange->got.end(exchange->call));
    } else if (const auto* follow = std::get_if<core::SubscribeCacheEvents>(&output)) {
        g.receives_cache_events[by_name_.at(follow->server)] = true;
    } else if (const auto* leave = std::get_if<core::UnsubscribeCacheEvents>(&output)) {
        g.receives_cache_events[by_name_.at(leave->server)] = false;
    } else if (const auto* wanted = std::get_if<core::ReplayCacheEvents>(&output)) {
        replay(g, *wanted);
    } else if (const auto* emitted = std::get_if<core::EmitRecord>(&output)) {
        if (std::holds_alternative<observe::GuardRecord>(emitted->record)) figures_.guards += 1;
    }
}

void Simulation::sent(std::size_t, std::size_t engine, const EngineRequest& engine_request) {
    client_number_[engine_request.request] = engine_request.client_request;
    record_attempt(RecordKind::sent, *hosts_[engine], engine_request, "");
}

void Simulation::closed(std::size_t, std::size_t engine, const EngineRequest& engine_request, bool went) {
    record_attempt(RecordKind::closed, *hosts_[engine], engine_request, went ? "" : "not_run");
}

// ================= engines =================

bool Simulation::listens(std::size_t engine) const { return hosts_[engine]->up; }
bool Simulation::silent(std::size_t engine) const { return hosts_[engine]->vanished; }

void Simulation::arrived(sim::Connection on, std::size_t gateway, std::size_t engine, const core::Call& call,
                         const EngineRequest* engine_request) {
    Host& host = *hosts_[engine];
    if (call.kind == core::CallKind::release) {
        json::Document doc;
        json::parse(call.body, doc);
        const std::string id(json::text(json::find(doc, "request_id")));
        if (host.model.drop_state(id)) record_state(RecordKind::released, host, id);
    }
    if (engine_request == nullptr)
        return connections_->answer(on, {core::CallHead{call.call, 200, {}}, core::CallDone{call.call}},
                                    true);

    auto e = std::make_unique<Exchange>();
    e->job = ++last_job_;
    e->on = on;
    e->call = call.call;
    e->host = &host;
    e->engine_request = *engine_request;
    record_attempt(RecordKind::taken, host, e->engine_request, "");
    Exchange& x = *e;
    exchanges_[on] = std::move(e);

    Job job = job_of(x.engine_request, x.job);
    job.start_known = host.start_known[gateway];
    Host* from = x.engine_request.fetches ? find(x.engine_request.fetch_from) : nullptr;
    if (from != nullptr && (!from->up || from->vanished || network_->apart(from->number, engine, now()) ||
                            from->model.state(x.engine_request.request) == nullptr))
        from = nullptr;
    if (x.engine_request.fetches && from == nullptr) return finish(x, 503, "{}", "no-state");
    if (from != nullptr) {
        job.has_state = true;
        job.transfer =
            links_.transfer(now(), from->model.spec(), host.model.spec(), x.engine_request.prompt_tokens);
    }
    const auto result = host.model.submit(now(), std::move(job), host.draws.uniform());
    if (const auto from_notified = host.model.take_overload()) {
        figures_.overloads += 1;
        Record r;
        r.kind = RecordKind::overloaded;
        r.server = host.model.spec().name;
        r.value = *from_notified;
        add(std::move(r));
        return kill(host.model.spec().name, Duration::zero());
    }
    if (result == SubmitResult::full) return finish(x, 503, "{}", "full");
    if (result == SubmitResult::draining) return finish(x, 503, "{}", "draining");
    if (result == SubmitResult::no_state) return finish(x, 503, "{}", "no-state");
    if (result == SubmitResult::error) return finish(x, 500, "{}");
    if (from != nullptr && result == SubmitResult::accepted) {
        from->model.drop_state(x.engine_request.request);
        record_state(RecordKind::fetched, *from, x.engine_request.request);
        move(*from);  // room there is room for the next read
    }
    host.jobs[x.job] = on;
    move(host);
}

// The whole of an answer, and the end of its exchange.
void Simulation::finish(Exchange& e, int status, const std::string& body, const std::string& not_run) {
    record_attempt(RecordKind::ended, *e.host, e.engine_request,
                   status == 200     ? "done"
                   : not_run.empty() ? "error"
                                     : "not_run");
    http::Headers headers;
    if (!not_run.empty()) headers.add(std::string(engine::kNotRunHeader), not_run);
    connections_->answer(e.on,
                         {core::CallHead{e.call, status, std::move(headers)}, core::CallBody{e.call, body},
                          core::CallDone{e.call}},
                         true);
    e.host->jobs.erase(e.job);
    exchanges_.erase(e.on);
}

// The gateway has gone from it.
void Simulation::left(sim::Connection on) {
    const auto it = exchanges_.find(on);
    if (it == exchanges_.end()) return;
    const std::unique_ptr<Exchange> e = std::move(it->second);
    exchanges_.erase(it);
    record_attempt(RecordKind::ended, *e->host, e->engine_request, "left");
    e->host->model.cancel(now(), e->job);
    e->host->jobs.erase(e->job);
    move(*e->host);
}

// Lets the model catch up, and wakes it when next something happens there.
void Simulation::move(Host& host) {
    if (!host.up || host.vanished) return;
    const auto progress = host.model.advance(now());
    for (std::size_t i = 0; i < progress.size();) {
        // What one job has done goes out together.
        const JobId job = progress[i].job;
        const auto at = host.jobs.find(job);
        if (at == host.jobs.end()) {
            ++i;
            continue;
        }
        Exchange& e = *exchanges_.at(at->second);
        std::vector<core::Input> parts;
        std::string bytes;
        bool over = false;
        for (; !over && i < progress.size() && progress[i].job == job; ++i) {
            const auto& p = progress[i];
            if (p.kind == Progress::Kind::read_done) {
                figures_.read_tokens += e.engine_request.prompt_tokens;
                figures_.cached_tokens += p.cached_tokens;
                record_attempt(RecordKind::state, host, e.engine_request, "");
                finish(e, 200,
                       prefill_answer(e.engine_request, e.job, p.cached_tokens,
                                      {host.model.spec().name, "virtual", 1}));
                over = true;
                break;
            }
            if (p.kind == Progress::Kind::tokens) {
                if (!e.begun) {
                    e.begun = true;
                    parts.emplace_back(core::CallHead{e.call, 200, {}});
                    bytes += chat::format_event(opening_chunk(e.engine_request));
                }
                for (std::size_t t = p.first; t < p.first + p.count; ++t)
                    bytes += chat::format_event(token_chunk(e.engine_request, t));
            } else if (p.kind == Progress::Kind::finished) {
                bytes += chat::format_event(usage_chunk(e.engine_request));
                bytes += chat::format_event(std::string(chat::kDone));
                parts.emplace_back(core::CallBody{e.call, std::move(bytes)});
                parts.emplace_back(core::CallDone{e.call});
                record_attempt(RecordKind::ended, host, e.engine_request, "done");
                connections_->answer(e.on, std::move(parts), true);
                host.jobs.erase(at);
                exchanges_.erase(e.on);
                over = true;
            }
        }
        if (over) {
            while (i < progress.size() && progress[i].job == job) ++i;
            continue;
        }
        if (bytes.empty()) continue;
        parts.emplace_back(core::CallBody{e.call, std::move(bytes)});
        connections_->answer(e.on, std::move(parts), false);
    }
    publish(host);
    for (const auto& s : host.model.expire_states(now())) record_state(RecordKind::expired, host, s.request);
    const auto next = host.model.next();
    if (!next || (host.wake && *host.wake <= *next && *host.wake > now())) return;
    host.wake = std::max(*next, now() + Duration(1));
    timeline_.at(*host.wake, [this, &host, when = *host.wake] {
        if (host.wake != when) return;
        host.wake.reset();
        move(host);
    });
}

// ================= cache events =================

// What it has kept and dropped goes to all that hear it, as one batch; each may lose it by itself.
void Simulation::publish(Host& host) {
    auto events = host.model.take_cache_events();
    if (events.empty()) return;
    const double ts = std::chrono::duration<double>(now().time_since_epoch()).count();
    const std::uint64_t sequence = host.next_batch++;
    const std::string payload = prefix::encode({ts, std::move(events), 0});
    host.past.emplace_back(sequence, payload);
    if (host.past.size() > scenario_.caches.past) host.past.pop_front();
    const std::string& name = host.model.spec().name;
    for (auto& g : gateways_) {
        if (!g->receives_cache_events[host.number]) continue;
        figures_.cache_batches += 1;
        if (cache_losses_.chance(scenario_.caches.lost) || network_->blocked(g->number, host.number, now())) {
            figures_.cache_lost += 1;
            continue;
        }
        core::CacheEventMessage message{name, sequence, payload, false};
        if (scenario_.caches.instant) {
            give(g->number, std::move(message));
            continue;
        }
        timeline_.after(network_->delay(g->number, host.number),
                        [this, to = g->number, message = std::move(message)] { give(to, message); });
    }
}

void Simulation::replay(Gateway& g, const core::ReplayCacheEvents& wanted) {
    const auto number = by_name_.at(wanted.server);
    timeline_.after(network_->delay(g.number, number), [this, &g, number, wanted] {
        const Host& host = *hosts_[number];
        // No answer: the edge's own time-out ends it.
        if (!host.up || host.vanished || network_->blocked(g.number, number, now())) return;
        timeline_.after(network_->delay(g.number, number),
                        [this, &g, name = wanted.server, from = wanted.from, past = host.past] {
                            for (const auto& [sequence, payload] : past)
                                if (sequence >= from)
                                    give(g.number, core::CacheEventMessage{name, sequence, payload, true});
                            give(g.number, core::CacheReplayEnded{name});
                        });
    });
}

// ================= clients =================

// Lets those ask whose time has come, and looks again when the next one's comes.
void Simulation::move_clients() {
    for (auto& call : client_workload_.due(now())) start_call(std::move(call));
    const auto next = client_workload_.next();
    if (!next || (clients_wake_ && *clients_wake_ <= *next && *clients_wake_ > now())) return;
    clients_wake_ = std::max(*next, now() + Duration(1));
    timeline_.at(*clients_wake_, [this, when = *clients_wake_] {
        if (clients_wake_ != when) return;
        clients_wake_.reset();
        move_clients();
    });
}

void Simulation::start_call(ClientCall call) {
    Gateway& g = *gateways_[call.gateway % gateways_.size()];
    add(request_record(call, g.name));
    http::Request request;
    request.method = "POST";
    request.target = engine::kChatPath;
    request.headers = call.headers;
    request.body = std::move(call.body);
    auto a = std::make_unique<ClientExchange>();
    a->gateway = &g;
    const std::uint64_t peer = ++last_peer_;
    if (call.disconnect_at != Time{}) timeline_.at(call.disconnect_at, [this, peer] { disconnect(peer); });
    a->call = std::move(call);
    client_exchanges_[peer] = std::move(a);
    give(g.number, core::ClientRequest{{peer}, std::move(request)});
}

void Simulation::answered(std::uint64_t peer, const Transcript::End& end) {
    const auto it = client_exchanges_.find(peer);
    const std::unique_ptr<ClientExchange> exchange = std::move(it->second);
    client_exchanges_.erase(it);
    over_.emplace(peer, exchange->call.number);
    Record r;
    r.kind = RecordKind::answered;
    r.request = exchange->call.number;
    r.gateway = exchange->gateway->name;
    r.termination = end.termination;
    r.status = exchange->got.status();
    r.intact = end.intact;
    add(std::move(r));
    client_workload_.ended(exchange->call.client, now(), end.termination, exchange->got.text(),
                           exchange->got.retry_after_ms());
    move_clients();
}

void Simulation::disconnect(std::uint64_t peer) {
    const auto it = client_exchanges_.find(peer);
    if (it == client_exchanges_.end()) return;
    const std::unique_ptr<ClientExchange> exchange = std::move(it->second);
    client_exchanges_.erase(it);
    Record r;
    r.kind = RecordKind::client_disconnected;
    r.request = exchange->call.number;
    add(std::move(r));
    give(exchange->gateway->number, core::ClientClosed{{peer}});
    client_workload_.hung_up(exchange->call.client, now());
    move_clients();
}

// ================= the list and the troubles =================

membership::EndpointConfig Simulation::entry(const Host& host) const {
    membership::EndpointConfig out;
    const auto& spec = host.model.spec();
    out.endpoint.id = {spec.name};
    out.endpoint.kind = spec.kind;
    out.endpoint.zone = spec.zone;
    out.endpoint.cell = spec.cell;
    out.endpoint.started_at = host.born;
    out.endpoint.state = host.listed == "up"         ? EndpointState::up
                         : host.listed == "draining" ? EndpointState::draining
                                                     : EndpointState::removed;
    out.address = {"127.0.0.1", 1};
    if (spec.publishes) out.events = out.replay = out.address;
    return out;
}

// The list's service sees this now; each gateway is told after its lag, of one thing after the other.
void Simulation::list(const std::string& server, const std::string& state) {
    Host& host = *find(server);
    host.listed = state == "started" ? "up" : state;
    if (state == "started") host.born = now();
    for (auto& gateway : gateways_) {
        Gateway& g = *gateway;
        const Duration spread(static_cast<std::int64_t>(list_spread_.uniform() *
                                                        static_cast<double>(scenario_.list_spread.count())));
        g.notified_at = std::max(g.notified_at, now() + lag_ + spread);
        timeline_.at(g.notified_at, [this, &g, &host, state, update = entry(host)] {
            Record r;
            r.kind = RecordKind::notified;
            r.gateway = g.name;
            r.server = host.model.spec().name;
            r.termination = state;
            add(std::move(r));
            if (state == "started") host.start_known[g.number] = true;
            give(g.number, membership::EndpointList{EndpointUpdateKind::delta, {update}});
        });
    }
}

EngineModel* Simulation::running(const std::string& server) {
    Host* host = find(server);
    return host != nullptr && host->up ? &host->model : nullptr;
}
void Simulation::changed(const std::string& server) { move(*find(server)); }

// Its process is gone, and all that it had in hand.
void Simulation::forget(Host& host) {
    for (const auto& [job, on] : std::exchange(host.jobs, {})) {
        const std::unique_ptr<Exchange> e = std::move(exchanges_.at(on));
        exchanges_.erase(on);
        record_attempt(RecordKind::ended, host, e->engine_request, "cut");
    }
    for (const auto& s : host.model.expire_states(Time::max() - std::chrono::hours(24)))
        record_state(RecordKind::lost, host, s.request);
    host.model.stop();
    host.process += 1;
    host.next_batch = 0;
    host.past.clear();
    std::fill(host.start_known.begin(), host.start_known.end(), false);
    connections_->died(host.number);
}

void Simulation::kill(const std::string& server, Duration lasts) {
    Host& host = *find(server);
    if (!host.up || host.vanished) return;
    host.up = false;
    forget(host);
    list(server, "removed");
    if (lasts == Duration::zero()) return;  // it stays down
    timeline_.after(lasts, [this, &host, server] {
        host.up = true;
        host.model.start_in_slow_start(now());
        list(server, "started");
    });
}

void Simulation::vanish(const std::string& server, Duration lasts) {
    Host& host = *find(server);
    if (!host.up || host.vanished) return;
    host.vanished = true;
    host.model.set_paused(now(), true);
    list(server, "removed");
    timeline_.after(lasts, [this, &host, server] {
        // Now it answers again, as another process.
        host.vanished = false;
        forget(host);
        host.model.start_in_slow_start(now());
        list(server, "started");
    });
}

std::vector<std::size_t> Simulation::numbers(const std::vector<std::string>& servers) {
    std::vector<std::size_t> out;
    for (const auto& name : servers) out.push_back(by_name_.at(name));
    return out;
}

void Simulation::cut_zone(const std::string& zone, Duration lasts) {
    sim::Network::Cut cut;
    cut.off = true;
    cut.until = now() + lasts;
    for (const auto& g : gateways_)
        cut.gateways.push_back(scenario_.zones[g->number % scenario_.zones.size()] == zone);
    for (const auto& h : hosts_) cut.engines.push_back(h->model.spec().zone == zone);
    network_->cut(std::move(cut));
}

void Simulation::cut_servers(const std::vector<std::string>& servers, double part, Duration lasts) {
    sim::Network::Cut cut;
    cut.until = now() + lasts;
    for (std::size_t i = 0; i < gateways_.size(); ++i) cut.gateways.push_back(partitions_.chance(part));
    cut.engines.resize(hosts_.size());
    for (const auto e : numbers(servers)) cut.engines[e] = true;
    network_->cut(std::move(cut));
}

void Simulation::silence(const std::vector<std::string>& servers, double part, Duration lasts) {
    connections_->silence(numbers(servers), part, now() + lasts);
}
void Simulation::reset(const std::vector<std::string>& servers, double part, Duration lasts) {
    connections_->break_later(numbers(servers), part, now() + lasts);
}

RuleReport Simulation::run(Duration settling_time) {
    end_ = begin_ + scenario_.length;
    membership::EndpointList all;
    for (const auto& h : hosts_) all.endpoints.push_back(entry(*h));
    for (auto& g : gateways_) give(g->number, all);
    client_workload_.begin(begin_);
    move_clients();
    timeline_.at(end_, [this] { client_workload_.stop(); });
    faults_.schedule();
    const Time last = end_ + settling_time;
    Duration seconds{};
    while (timeline_.play_one(last)) {
        if (stops_at_breach_ && !checker_.breaches().empty()) break;
        if (!each_second_) continue;
        const auto over = std::chrono::floor<std::chrono::seconds>(now() - begin_);
        if (over > seconds) each_second_(seconds = over);
    }
    figures_.acts = timeline_.played();
    figures_.connections = connections_->figures();
    for (const auto& g : gateways_) {
        const auto gauges = g->edge->gauges();
        figures_.open_at_end +=
            gauges.open_requests + gauges.calls + gauges.kv_states_held + gauges.tracked_by_router;
        const auto& p = gauges.prefixes;
        figures_.prefixes.servers += p.servers;
        figures_.prefixes.trusted += p.trusted;
        figures_.prefixes.blocks += p.blocks;
        figures_.prefixes.gaps += p.gaps;
        figures_.prefixes.unfilled_gaps += p.unfilled_gaps;
        figures_.prefixes.restarts += p.restarts;
    }
    return checker_.finish();
}

}  // namespace chalksail::lab
