#include "virtual/day.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

#include "base/json.hpp"
#include "chat/sse.hpp"

namespace chalksail::lab {
namespace {

constexpr Duration kWay = std::chrono::microseconds(500);  // one way between any two

}  // namespace

struct VirtualDay::Gateway {
    std::size_t number = 0;
    std::string name;
    std::unique_ptr<core::Edge> edge;
    std::vector<core::Input> inputs;
    std::optional<Time> wake;  // for which a step is on the timeline
    bool stepping = false;
    std::map<std::uint64_t, std::string> clients;  // peer -> the client's number
    std::set<std::string> hears;                   // cache events of these engines
};

struct VirtualDay::Host {
    EngineModel model;
    bool up = true;
    bool vanished = false;
    std::string listed = "up";
    Time born{};
    std::optional<Time> wake;
    std::map<JobId, std::uint64_t> jobs;
    std::uint64_t next_batch = 0;
    std::deque<std::pair<std::uint64_t, std::string>> past;  // batches that can be replayed
    explicit Host(const EngineSpec& spec) : model(spec) {}
};

struct VirtualDay::Exchange {
    std::uint64_t id = 0;
    Gateway* gateway = nullptr;
    Host* host = nullptr;
    core::CallId call;
    Asked asked;
    bool begun = false;
};

struct VirtualDay::Ask {
    ClientAsk what;
    Gateway* gateway = nullptr;
    std::uint64_t peer = 0;
    Transcript got;
};

VirtualDay::VirtualDay(Scenario scenario, std::optional<Placing> baseline)
    : scenario_(std::move(scenario)),
      links_(scenario_.links),
      random_(scenario_.seed),
      now_(std::chrono::seconds(1000)),
      crowd_(scenario_),
      lag_(scenario_.list_lag) {
    for (const auto& spec : scenario_.engines) hosts_.push_back(std::make_unique<Host>(spec));
    for (int i = 0; i < scenario_.edges; ++i) {
        auto g = std::make_unique<Gateway>();
        g->number = static_cast<std::size_t>(i);
        g->name = "edge" + std::to_string(i + 1);
        auto settings = scenario_.edge;
        settings.name = g->name;
        settings.module.zone = scenario_.zones[static_cast<std::size_t>(i) % scenario_.zones.size()];
        settings.seed = scenario_.seed * 1000 + static_cast<std::uint64_t>(i) + 1;
        settings.module.gateways = scenario_.edges;
        settings.module.gateway = i;
        g->edge = baseline
                      ? std::make_unique<core::Edge>(
                            settings, std::make_unique<Baseline>(settings.module, settings.seed, *baseline))
                      : std::make_unique<core::Edge>(settings);
        gateways_.push_back(std::move(g));
    }
}
VirtualDay::~VirtualDay() = default;

void VirtualDay::at(Time when, std::function<void()> act) {
    timeline_.emplace(std::max(now_, when), std::move(act));
}

VirtualDay::Host* VirtualDay::find(const std::string& name) {
    const auto it = std::find_if(hosts_.begin(), hosts_.end(),
                                 [&](const auto& h) { return h->model.spec().name == name; });
    return it == hosts_.end() ? nullptr : it->get();
}

void VirtualDay::note(What what, const Host& host, const Asked& asked, const std::string& fate) {
    Record r;
    r.at = now_;
    r.what = what;
    r.request = asked.client_request;
    r.gateway = asked.gateway;
    r.server = host.model.spec().name;
    r.zone = host.model.spec().zone;
    r.cell = host.model.spec().cell;
    r.attempt = asked.attempt;
    r.read = asked.read;
    r.fate = fate;
    recorder_.add(std::move(r));
}
void VirtualDay::note_state(What what, const Host& host, const std::string& edge_request) {
    Record r;
    r.at = now_;
    r.what = what;
    r.request = client_number_[edge_request];
    r.server = host.model.spec().name;
    recorder_.add(std::move(r));
}

// ================= gateways =================

void VirtualDay::give(Gateway& g, core::Input input) {
    if (g.inputs.empty()) at(now_, [this, &g] { step(g); });
    g.inputs.push_back(std::move(input));
}

void VirtualDay::step(Gateway& g) {
    auto inputs = std::exchange(g.inputs, {});
    if (tampering_.before) tampering_.before(inputs);
    auto outputs = g.edge->step(now_, std::move(inputs));
    if (tampering_.after) tampering_.after(outputs);
    for (auto& output : outputs) carry_out(g, output);
    const auto wake = g.edge->next_wake();
    if (!wake || (g.wake && *g.wake <= *wake && *g.wake > now_)) return;
    g.wake = std::max(*wake, now_ + Duration(1));
    at(*g.wake, [this, &g, when = *g.wake] {
        if (g.wake == when) g.wake.reset();
        step(g);
    });
}

void VirtualDay::carry_out(Gateway& g, core::Output& output) {
    const auto ask_of = [&](core::ClientId client) -> Ask* {
        const auto number = g.clients.find(client.value);
        if (number == g.clients.end()) return nullptr;
        const auto it = asks_.find(number->second);
        return it == asks_.end() ? nullptr : it->second.get();
    };
    if (auto* call = std::get_if<core::Call>(&output)) {
        give(g, core::CallSent{call->call});
        at(now_ + kWay, [this, &g, call = std::move(*call)] { reach(g, call); });
    } else if (const auto* abort = std::get_if<core::CallAbort>(&output)) {
        at(now_ + kWay, [this, key = std::pair(g.number, abort->call.value)] {
            const auto it = by_call_.find(key);
            if (it == by_call_.end()) return;
            Exchange& e = *exchanges_.at(it->second);
            note(What::ended, *e.host, e.asked, "left");
            e.host->model.cancel(now_, e.id);
            e.host->jobs.erase(e.id);
            Host& host = *e.host;
            exchanges_.erase(it->second);
            by_call_.erase(it);
            move(host);
        });
    } else if (const auto* begin = std::get_if<core::StreamBegin>(&output)) {
        if (Ask* ask = ask_of(begin->client)) ask->got.head(200, 0);
    } else if (const auto* bytes = std::get_if<core::StreamBytes>(&output)) {
        Ask* ask = ask_of(bytes->client);
        if (ask == nullptr || !ask->got.body(ask->what, bytes->bytes)) return;
        Record r;
        r.at = now_;
        r.what = What::first;
        r.request = ask->what.number;
        recorder_.add(std::move(r));
    } else if (const auto* end = std::get_if<core::StreamEnd>(&output)) {
        if (Ask* ask = ask_of(end->client)) answered(ask->what.number, ask->got.end(ask->what));
    } else if (const auto* reply = std::get_if<core::Reply>(&output)) {
        Ask* ask = ask_of(reply->client);
        if (ask == nullptr) return;
        const std::string advice(reply->headers.get("retry-after-ms"));
        ask->got.head(reply->status, std::atoll(advice.c_str()));
        ask->got.body(ask->what, reply->body);
        answered(ask->what.number, ask->got.end(ask->what));
    } else if (const auto* follow = std::get_if<core::CacheFollow>(&output)) {
        g.hears.insert(follow->server);
    } else if (const auto* leave = std::get_if<core::CacheLeave>(&output)) {
        g.hears.erase(leave->server);
    } else if (const auto* wanted = std::get_if<core::CacheReplay>(&output)) {
        replay(g, *wanted);
    } else if (const auto* told = std::get_if<core::Note>(&output)) {
        if (std::holds_alternative<observe::GuardRecord>(told->record)) figures_.guards += 1;
    }
}

// ================= engines =================

// A call reaches its server.
void VirtualDay::reach(Gateway& g, const core::Call& call) {
    Host& host = *find(call.server);
    const auto later = [&](core::Input input) {
        at(now_ + kWay, [this, &g, input = std::move(input)] { give(g, input); });
    };
    if (!host.up) return later(core::CallFailed{call.call, engine::Ending::closed, "down"});
    if (call.kind == core::CallKind::release) {
        json::Document doc;
        json::parse(call.body, doc);
        const std::string id(json::text(json::find(doc, "request_id")));
        if (host.model.drop_state(id)) note_state(What::released, host, id);
    }
    if (call.kind != core::CallKind::attempt) {
        if (host.vanished) return;
        later(core::CallHead{call.call, 200, {}});
        return later(core::CallDone{call.call});
    }
    auto asked = read_request(call.headers, call.body);
    auto e = std::make_unique<Exchange>();
    e->id = ++last_exchange_;
    e->gateway = &g;
    e->host = &host;
    e->call = call.call;
    e->asked = std::move(*asked);
    client_number_[e->asked.request] = e->asked.client_request;
    note(What::taken, host, e->asked, "");
    Exchange& x = *e;
    by_call_[{g.number, call.call.value}] = x.id;
    exchanges_.emplace(x.id, std::move(e));

    Job job = job_of(x.asked, x.id);
    job.told_cold = told_cold_.contains({g.name, host.model.spec().name});
    Host* from = x.asked.fetches ? find(x.asked.fetch_from) : nullptr;
    if (from != nullptr && (!from->up || from->vanished || from->model.state(x.asked.request) == nullptr))
        from = nullptr;
    if (x.asked.fetches && from == nullptr && !host.vanished) return answer(x, 503, "{}", "no-state");
    if (from != nullptr) {
        job.has_state = true;
        job.transfer = links_.transfer(now_, from->model.spec(), host.model.spec(), x.asked.prompt_tokens);
    }
    const auto verdict = host.model.submit(now_, std::move(job), draw());
    if (const auto told = host.model.take_fall()) {
        figures_.fell += 1;
        Record r;
        r.at = now_;
        r.what = What::fell;
        r.server = host.model.spec().name;
        r.value = *told;
        recorder_.add(std::move(r));
        kill(host.model.spec().name, Duration::zero());
        return;
    }
    if (!host.vanished) {
        if (verdict == Verdict::full) return answer(x, 503, "{}", "full");
        if (verdict == Verdict::draining) return answer(x, 503, "{}", "draining");
        if (verdict == Verdict::no_state) return answer(x, 503, "{}", "no-state");
        if (verdict == Verdict::error) return answer(x, 500, "{}");
    }
    if (from != nullptr && verdict == Verdict::taken) {
        from->model.drop_state(x.asked.request);
        note_state(What::fetched, *from, x.asked.request);
    }
    host.jobs[x.id] = x.id;
    move(host);
}

// The whole of an answer, and the end of its exchange.
void VirtualDay::answer(Exchange& e, int status, const std::string& body, const std::string& not_run) {
    note(What::ended, *e.host, e.asked, status == 200 ? "done" : not_run.empty() ? "error" : "not_run");
    http::Headers headers;
    if (!not_run.empty()) headers.add(std::string(engine::kNotRunHeader), not_run);
    Gateway& g = *e.gateway;
    const auto call = e.call;
    at(now_ + kWay, [this, &g, call, status, headers, body] {
        give(g, core::CallHead{call, status, headers});
        give(g, core::CallBody{call, body});
        give(g, core::CallDone{call});
    });
    by_call_.erase({g.number, call.value});
    e.host->jobs.erase(e.id);
    exchanges_.erase(e.id);
}

// Its connection breaks.
void VirtualDay::cut(std::uint64_t id) {
    const Exchange& e = *exchanges_.at(id);
    note(What::ended, *e.host, e.asked, "cut");
    Gateway& g = *e.gateway;
    at(now_ + kWay, [this, &g, call = e.call] {
        give(g, core::CallFailed{call, engine::Ending::closed, "cut"});
    });
    by_call_.erase({g.number, e.call.value});
    exchanges_.erase(id);
}

// Lets the model catch up, and wakes it when next something happens there.
void VirtualDay::move(Host& host) {
    if (!host.up) return;
    if (!host.vanished)
        for (const auto& p : host.model.advance(now_)) {
            const auto it = exchanges_.find(p.job);
            if (it == exchanges_.end()) continue;
            Exchange& e = *it->second;
            Gateway& g = *e.gateway;
            const auto send = [&](std::string data) {
                at(now_ + kWay, [this, &g, call = e.call, bytes = chat::format_event(data)] {
                    give(g, core::CallBody{call, bytes});
                });
            };
            switch (p.what) {
                case Progress::What::read_done:
                    figures_.read_tokens += e.asked.prompt_tokens;
                    figures_.kept_tokens += p.kept;
                    note_state(What::state, host, e.asked.request);
                    answer(e, 200,
                           read_answer(e.asked, e.id, p.kept, {host.model.spec().name, "virtual", 1}));
                    break;
                case Progress::What::tokens:
                    if (!e.begun) {
                        e.begun = true;
                        at(now_ + kWay, [this, &g, call = e.call] {
                            give(g, core::CallHead{call, 200, {}});
                        });
                        send(opening_chunk(e.asked));
                    }
                    for (std::size_t i = p.first; i < p.first + p.count; ++i) send(token_chunk(e.asked, i));
                    break;
                case Progress::What::finished:
                    note(What::ended, host, e.asked, "done");
                    send(usage_chunk(e.asked));
                    send(std::string(chat::kDone));
                    at(now_ + kWay, [this, &g, call = e.call] { give(g, core::CallDone{call}); });
                    by_call_.erase({g.number, e.call.value});
                    host.jobs.erase(e.id);
                    exchanges_.erase(e.id);
                    break;
                case Progress::What::dropped: break;
            }
        }
    publish(host);
    for (const auto& s : host.model.expire_states(now_)) note_state(What::expired, host, s.request);
    const auto next = host.model.next();
    if (!next || host.vanished || (host.wake && *host.wake <= *next && *host.wake > now_)) return;
    host.wake = std::max(*next, now_ + Duration(1));
    at(*host.wake, [this, &host, when = *host.wake] {
        if (host.wake != when) return;
        host.wake.reset();
        move(host);
    });
}

// ================= cache events =================

// What it has kept and dropped goes to all that hear it, as one batch; each may lose it by itself.
void VirtualDay::publish(Host& host) {
    auto events = host.model.take_cache_events();
    if (events.empty()) return;
    const double ts = std::chrono::duration<double>(now_.time_since_epoch()).count();
    const std::uint64_t sequence = host.next_batch++;
    const std::string payload = prefix::encode({ts, std::move(events), 0});
    host.past.emplace_back(sequence, payload);
    if (host.past.size() > scenario_.caches.past) host.past.pop_front();
    const std::string& name = host.model.spec().name;
    for (auto& g : gateways_) {
        if (!g->hears.contains(name)) continue;
        figures_.cache_batches += 1;
        if (draw() < scenario_.caches.lost) {
            figures_.cache_lost += 1;
            continue;
        }
        core::CacheMessage message{name, sequence, payload, false};
        if (scenario_.caches.instant) give(*g, std::move(message));
        else at(now_ + kWay, [this, g = g.get(), message = std::move(message)] { give(*g, message); });
    }
}

void VirtualDay::replay(Gateway& g, const core::CacheReplay& wanted) {
    at(now_ + kWay, [this, &g, wanted] {
        const Host& host = *find(wanted.server);
        if (!host.up || host.vanished) return;  // no answer: the edge's own time-out ends it
        at(now_ + kWay, [this, &g, name = wanted.server, from = wanted.from, past = host.past] {
            for (const auto& [sequence, payload] : past)
                if (sequence >= from) give(g, core::CacheMessage{name, sequence, payload, true});
            give(g, core::CacheReplayEnded{name});
        });
    });
}

// ================= clients =================

// Lets those ask whose time has come, and looks again when the next one's comes.
void VirtualDay::move_clients() {
    for (auto& ask : crowd_.due(now_)) this->ask(std::move(ask));
    const auto next = crowd_.next();
    if (!next || (clients_wake_ && *clients_wake_ <= *next && *clients_wake_ > now_)) return;
    clients_wake_ = std::max(*next, now_ + Duration(1));
    at(*clients_wake_, [this, when = *clients_wake_] {
        if (clients_wake_ != when) return;
        clients_wake_.reset();
        move_clients();
    });
}

void VirtualDay::ask(ClientAsk what) {
    Gateway& g = *gateways_[what.gateway % gateways_.size()];
    recorder_.add(asked_record(what, g.name));
    http::Request request;
    request.method = "POST";
    request.target = engine::kChatPath;
    request.headers = what.headers;
    request.body = what.body;
    auto a = std::make_unique<Ask>();
    a->gateway = &g;
    a->peer = ++last_peer_;
    const std::uint64_t peer = a->peer;
    const std::string number = what.number;
    g.clients[peer] = number;
    if (what.hang_up_at != Time{}) at(what.hang_up_at, [this, number] { hang_up(number); });
    a->what = std::move(what);
    asks_[number] = std::move(a);
    give(g, core::ClientRequest{{peer}, std::move(request)});
}

void VirtualDay::answered(const std::string& number, const Transcript::End& end) {
    const auto it = asks_.find(number);
    const std::unique_ptr<Ask> ask = std::move(it->second);
    asks_.erase(it);
    ask->gateway->clients.erase(ask->peer);
    Record r;
    r.at = now_;
    r.what = What::answered;
    r.request = number;
    r.gateway = ask->gateway->name;
    r.fate = end.fate;
    r.status = ask->got.status();
    r.intact = end.intact;
    recorder_.add(std::move(r));
    crowd_.ended(ask->what.client, now_, end.fate, ask->got.text(), ask->got.retry_after_ms());
    move_clients();
}

void VirtualDay::hang_up(const std::string& number) {
    const auto it = asks_.find(number);
    if (it == asks_.end()) return;
    Gateway& g = *it->second->gateway;
    Record r;
    r.at = now_;
    r.what = What::hung_up;
    r.request = number;
    recorder_.add(std::move(r));
    const auto peer = it->second->peer;
    const auto client = it->second->what.client;
    g.clients.erase(peer);
    asks_.erase(it);
    give(g, core::ClientClosed{{peer}});
    crowd_.hung_up(client, now_);
    move_clients();
}

// ================= the list and the troubles =================

core::ListedServer VirtualDay::entry(const Host& host) const {
    core::ListedServer out;
    const auto& spec = host.model.spec();
    out.entry.id = {spec.name};
    out.entry.kind = spec.kind;
    out.entry.zone = spec.zone;
    out.entry.cell = spec.cell;
    out.entry.born = host.born;
    out.entry.state = host.listed == "up"         ? ServerState::up
                      : host.listed == "draining" ? ServerState::draining
                                                  : ServerState::removed;
    out.address = {"127.0.0.1", 1};
    if (spec.publishes) out.events = out.replay = out.address;
    return out;
}

// The list's service sees this now; the gateways are told after its lag.
void VirtualDay::tell(const std::string& server, const std::string& state) {
    const Time born = state == "started" ? now_ : Time{};
    at(now_ + lag_, [this, server, state, born] {
        Host& host = *find(server);
        host.listed = state == "started" ? "up" : state;
        if (born != Time{}) host.born = born;
        for (auto& g : gateways_) {
            Record r;
            r.at = now_;
            r.what = What::told;
            r.gateway = g->name;
            r.server = server;
            r.fate = state;
            recorder_.add(std::move(r));
            if (state == "started") told_cold_.emplace(g->name, server);
            give(*g, core::ServerList{ListScope::changes, {entry(host)}});
        }
    });
}

void VirtualDay::kill(const std::string& server, Duration lasts) {
    Host& host = *find(server);
    if (!host.up) return;
    host.up = false;
    host.vanished = false;
    std::vector<std::uint64_t> gone;
    for (const auto& [id, e] : exchanges_)
        if (e->host == &host) gone.push_back(id);
    for (const auto id : gone) cut(id);
    host.jobs.clear();
    for (const auto& s : host.model.expire_states(Time::max() - std::chrono::hours(24)))
        note_state(What::lost, host, s.request);
    host.model.stop();
    host.next_batch = 0;
    host.past.clear();
    std::erase_if(told_cold_, [&](const auto& p) { return p.second == server; });
    tell(server, "removed");
    if (lasts == Duration::zero()) return;  // it stays down
    at(now_ + lasts, [this, server] {
        Host& back = *find(server);
        back.up = true;
        back.model.start_cold(now_);
        tell(server, "started");
    });
}

void VirtualDay::trouble(const Trouble& t) {
    std::vector<std::string> victims;
    if (!t.server.empty()) victims = {t.server};
    else {
        for (const auto& e : scenario_.engines)
            if ((t.engines.empty() || e.kind == t.engines) && (t.zone.empty() || e.zone == t.zone))
                victims.push_back(e.name);
        if (t.kind != TroubleKind::zone_loss) {
            for (std::size_t i = victims.size(); i > 1; --i)
                std::swap(victims[i - 1], victims[static_cast<std::size_t>(draw() * static_cast<double>(i))]);
            victims.resize(std::min(victims.size(), static_cast<std::size_t>(std::ceil(
                                                        t.share * static_cast<double>(victims.size())))));
        }
    }
    const auto each = [&](const std::function<void(Host&)>& begin, const std::function<void(Host&)>& end) {
        for (const auto& name : victims) {
            Host* host = find(name);
            if (!host->up) continue;
            begin(*host);
            move(*host);
            at(now_ + t.lasts, [this, host, end] {
                if (!host->up) return;
                end(*host);
                move(*host);
            });
        }
    };
    const auto later = [&](std::function<void()> act) { at(now_ + t.lasts, std::move(act)); };
    switch (t.kind) {
        case TroubleKind::crash:
        case TroubleKind::zone_loss:
            for (const auto& name : victims) kill(name, t.lasts);
            break;
        case TroubleKind::vanish:
            each(
                [&](Host& h) {
                    h.vanished = true;
                    h.model.set_paused(now_, true);
                    tell(h.model.spec().name, "removed");
                },
                [this](Host& h) { kill(h.model.spec().name, std::chrono::milliseconds(1)); });
            break;
        case TroubleKind::hang:
            each([&](Host& h) { h.model.set_paused(now_, true); },
                 [this](Host& h) { h.model.set_paused(now_, false); });
            break;
        case TroubleKind::slow:
        case TroubleKind::ageing:
            each([&](Host& h) { h.model.set_slow(now_, t.factor); },
                 [this](Host& h) { h.model.set_slow(now_, 1); });
            break;
        case TroubleKind::fast_errors:
            each([&](Host& h) { h.model.set_error_share(t.part); },
                 [](Host& h) { h.model.set_error_share(0); });
            break;
        case TroubleKind::answer_lost:
            each([&](Host& h) { h.model.set_lost_share(t.part); },
                 [](Host& h) { h.model.set_lost_share(0); });
            break;
        case TroubleKind::origin_slow:
            links_.set_slow(t.factor);
            later([this] { links_.set_slow(1); });
            break;
        case TroubleKind::discovery_stale:
            lag_ = t.lag;
            later([this] { lag_ = scenario_.list_lag; });
            break;
        case TroubleKind::preempt:
            for (const auto& name : victims) {
                tell(name, "draining");
                at(now_ + t.notice + lag_, [this, name, lasts = t.lasts] { kill(name, lasts); });
            }
            break;
        case TroubleKind::burst:
            crowd_.set_burst(t.factor);
            move_clients();
            later([this] { crowd_.set_burst(1); });
            break;
        case TroubleKind::heavy_tail:
            crowd_.set_heavy_tail(t.part, t.factor);
            later([this] { crowd_.set_heavy_tail(0, 1); });
            break;
        case TroubleKind::wrong_name: break;  // there is no TLS in virtual time
        case TroubleKind::give_up:
            crowd_.set_give_up(t.part);
            later([this] { crowd_.set_give_up(0); });
            break;
    }
}

Verdict5 VirtualDay::run(Duration rest) {
    end_ = now_ + scenario_.length;
    core::ServerList list;
    for (const auto& h : hosts_) list.servers.push_back(entry(*h));
    for (auto& g : gateways_) give(*g, list);
    crowd_.begin(now_);
    move_clients();
    at(end_, [this] { crowd_.stop(); });
    for (const auto& t : scenario_.troubles) at(now_ + t.at, [this, t] { trouble(t); });
    const Time last = end_ + rest;
    while (!timeline_.empty() && timeline_.begin()->first <= last) {
        now_ = timeline_.begin()->first;
        const auto act = std::move(timeline_.begin()->second);
        timeline_.erase(timeline_.begin());
        act();
    }
    for (const auto& g : gateways_) {
        const auto gauges = g->edge->gauges();
        figures_.open_at_end +=
            gauges.open_requests + gauges.calls + gauges.states_held + gauges.tracked_by_module;
        const auto& p = gauges.prefixes;
        figures_.prefixes.servers += p.servers;
        figures_.prefixes.told += p.told;
        figures_.prefixes.blocks += p.blocks;
        figures_.prefixes.gaps += p.gaps;
        figures_.prefixes.unfilled += p.unfilled;
        figures_.prefixes.restarts += p.restarts;
    }
    RuleFigures figures;
    const Settings& m = scenario_.edge.module;
    figures.answer_slack = m.answer_slack;
    figures.release_within = m.release_within;
    figures.max_attempts = m.max_attempts;
    figures.measuring = std::chrono::milliseconds(2);  // the way between gateway and engine, and back
    return check(recorder_.all(), figures);
}

}  // namespace chalksail::lab
