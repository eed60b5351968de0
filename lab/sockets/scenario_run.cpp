#include "sockets/scenario_run.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "base/json.hpp"
#include "checker/account.hpp"
#include "checker/tally.hpp"

namespace chalksail::lab {
namespace {

constexpr std::uint64_t kTickMs = 2;

net::PoolLimits admin_limits() {
    net::PoolLimits out;
    out.message = {64 * 1024, 0};
    // One after the other on one connection: two changes of the list must not overtake each other, or an edge
    // would be blamed for what this tool has told it last.
    out.connections_per_server = 1;
    out.dial_timeout = std::chrono::seconds(5);
    return out;
}
std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
// The last value of a metric on an edge's page; 0 where it has none.
double metric(const std::string& page, const std::string& name) {
    const auto at = page.find("\nchalksail_" + name + "{");
    const auto value = at == std::string::npos ? at : page.find("} ", at);
    return value == std::string::npos ? 0 : std::strtod(page.c_str() + value + 2, nullptr);
}

}  // namespace

// An edge, as a process; its first line on standard output says where it listens.
struct ScenarioRun::EdgeProcess {
    std::string name;
    std::string file;
    std::string log;
    uv_process_t process{};
    uv_pipe_t output{};
    std::string first_line;
    bool running = false;
    bool stopping = false;
    std::int64_t exit_status = -1;
    Address address;
    Address admin;
    bool tls = false;  // towards the engines
    std::vector<char> buffer = std::vector<char>(4096);
};

std::string ScenarioResult::format() const {
    json::ObjectWriter out;
    out.integer("asked", static_cast<std::int64_t>(rule_report.requests))
        .integer("served", static_cast<std::int64_t>(rule_report.served))
        .integer("refused", static_cast<std::int64_t>(rule_report.refused))
        .integer("failed", static_cast<std::int64_t>(rule_report.failed))
        .integer("rejected", static_cast<std::int64_t>(rule_report.rejected))
        .integer("hung_up", static_cast<std::int64_t>(rule_report.disconnected))
        .integer("unanswered", static_cast<std::int64_t>(rule_report.unanswered))
        .integer("late", static_cast<std::int64_t>(rule_report.late))
        .integer("garbled", static_cast<std::int64_t>(rule_report.garbled))
        .integer("rules_broken", static_cast<std::int64_t>(rule_report.breaches.size()))
        .integer("clients", static_cast<std::int64_t>(clients))
        .integer("client_retries", static_cast<std::int64_t>(retries))
        .number("attempts_per_request",
                rule_report.requests == 0
                    ? 0
                    : static_cast<double>(rule_report.attempts) / static_cast<double>(rule_report.requests))
        .number("worth", weight_share)
        .integer("in_time", static_cast<std::int64_t>(in_time))
        .number("waste", waste)
        .number("first_token_p50_ms", first_token_p50_ms)
        .number("first_token_p90_ms", first_token_p90_ms)
        .number("first_token_p99_ms", first_token_p99_ms)
        .boolean("edges_well", edges_well);
    if (tls) {
        const auto& t = *tls;
        const double later = t.seen.handshakes - t.first_minute.handshakes;
        const auto whole = [](double d) { return static_cast<std::int64_t>(d); };
        out.integer("tls_handshakes", whole(t.seen.handshakes))
            .integer("tls_handshakes_busiest_second", whole(t.busiest_second))
            .integer("tls_handshakes_failed", whole(t.seen.failed))
            .integer("tls_most_waiting", whole(t.seen.most_waiting))
            .integer("tls_handshakes_after_first_minute", whole(later))
            .number("tls_resumed_after_first_minute",
                    later > 0 ? (t.seen.resumed - t.first_minute.resumed) / later : 0)
            .integer("tls_files_replaced", whole(t.seen.replaced))
            .integer("tls_files_refused", whole(t.seen.refused));
        const auto add = [&](const char* side, const GatewayTally& all) {
            const auto name = [&](const char* what) { return std::string(side) + what; };
            out.integer(name("_asked").c_str(), static_cast<std::int64_t>(all.requests))
                .integer(name("_failed").c_str(), static_cast<std::int64_t>(all.failed))
                .integer(name("_broken_without_a_crash").c_str(), static_cast<std::int64_t>(all.broken))
                .number(name("_first_token_p50_ms").c_str(), quantile(all.first_token_ms, 0.5))
                .number(name("_first_token_p99_ms").c_str(), quantile(all.first_token_ms, 0.99));
        };
        add("tls", t.verified);
        add("clear", t.clear);
    }
    return out.done();
}

ScenarioRun::ScenarioRun(uv_loop_t& loop, Scenario scenario, ScenarioPaths paths)
    : loop_(loop),
      scenario_(std::move(scenario)),
      paths_(std::move(paths)),
      faults_(scenario_, static_cast<FaultTarget&>(*this)) {
    std::filesystem::create_directories(paths_.folder);
    recorder_ = Recorder(paths_.folder + "/wire.jsonl");
    if (scenario_.tls.edges > 0)
        tls_ = std::make_unique<FleetTls>(paths_.folder + "/trust.pem", scenario_.tls.keeps_tickets);
    fleet_ = std::make_unique<EngineFleet>(loop_, scenario_.engines, scenario_.links, scenario_.seed,
                                           recorder_, tls_.get(), scenario_.caches);
    load_ = std::make_unique<Load>(loop_, scenario_, recorder_);
    admin_ = std::make_unique<net::UpstreamPool>(loop_, static_cast<net::UpstreamPool::Handler&>(*this),
                                                 admin_limits());
    lag_ = scenario_.list_lag;
    for (const auto& e : scenario_.engines) list_[e.name] = {};
    // It has to be stopped outside the engine's own turn.
    fleet_->on_overload = [this](EngineHost& host) {
        after(Duration::zero(), [this, &host] {
            host.crash();
            list(host.spec().name, "removed");
        });
    };
    ticker_ = new uv_timer_t;
    uv_timer_init(&loop_, ticker_);
    uv_timer_start(
        ticker_, [](uv_timer_t*) {}, kTickMs, kTickMs);
}

ScenarioRun::~ScenarioRun() {
    stop_edges();
    uv_close(reinterpret_cast<uv_handle_t*>(ticker_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_timer_t*>(h); });
    load_.reset();
    admin_.reset();
    fleet_.reset();
    while (uv_run(&loop_, UV_RUN_NOWAIT) != 0) {
    }
}

std::vector<std::pair<std::string, Address>> ScenarioRun::gateways() const {
    std::vector<std::pair<std::string, Address>> out;
    for (const auto& e : edges_) out.emplace_back(e->name, e->address);
    return out;
}

void ScenarioRun::spawn(EdgeProcess& edge) {
    uv_pipe_init(&loop_, &edge.output, 0);
    edge.output.data = &edge;
    edge.process.data = &edge;
    std::string program = paths_.edge_program, serve = "serve", file = edge.file;
    char* arguments[] = {program.data(), serve.data(), file.data(), nullptr};
    uv_fs_t open{};
    const int log = uv_fs_open(&loop_, &open, edge.log.c_str(),
                               UV_FS_O_CREAT | UV_FS_O_WRONLY | UV_FS_O_TRUNC, 0644, nullptr);
    uv_fs_req_cleanup(&open);
    if (log < 0) throw std::runtime_error(edge.log + ": can't be written");
    uv_stdio_container_t stdio[3] = {};
    stdio[0].flags = UV_IGNORE;
    stdio[1].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
    stdio[1].data.stream = reinterpret_cast<uv_stream_t*>(&edge.output);
    stdio[2].flags = UV_INHERIT_FD;
    stdio[2].data.fd = log;
    uv_process_options_t options{};
    options.file = arguments[0];
    options.args = arguments;
    options.stdio = stdio;
    options.stdio_count = 3;
    options.exit_cb = [](uv_process_t* p, std::int64_t status, int signal) {
        auto& e = *static_cast<EdgeProcess*>(p->data);
        e.running = false;
        e.exit_status = signal != 0 ? 128 + signal : status;
        uv_close(reinterpret_cast<uv_handle_t*>(p), nullptr);
    };
    const int error = uv_spawn(&loop_, &edge.process, &options);
    uv_fs_t close{};
    uv_fs_close(&loop_, &close, log, nullptr);
    uv_fs_req_cleanup(&close);
    if (error != 0) throw std::runtime_error(paths_.edge_program + ": " + uv_strerror(error));
    edge.running = true;
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&edge.output),
        [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
            auto& e = *static_cast<EdgeProcess*>(h->data);
            *b = uv_buf_init(e.buffer.data(), static_cast<unsigned>(e.buffer.size()));
        },
        [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
            auto& e = *static_cast<EdgeProcess*>(s->data);
            if (n > 0) e.first_line.append(b->base, static_cast<std::size_t>(n));
            else if (n < 0) uv_close(reinterpret_cast<uv_handle_t*>(s), nullptr);
        });
}

void ScenarioRun::turn() {
    uv_run(&loop_, UV_RUN_ONCE);
    const Time now = net::uv_now_time();
    while (!timeline_.empty() && timeline_.begin()->first <= now) {
        const auto act = std::move(timeline_.begin()->second);
        timeline_.erase(timeline_.begin());
        act();
    }
    fleet_->tick(now);
    load_->tick(now);
}

void ScenarioRun::turn_until(const std::function<bool()>& done, Duration most, const std::string& what) {
    const Time limit = net::uv_now_time() + most;
    while (!done()) {
        if (net::uv_now_time() > limit) throw std::runtime_error("not in time: " + what);
        turn();
    }
}

void ScenarioRun::after(Duration delay, std::function<void()> act) {
    timeline_.emplace(net::uv_now_time() + delay, std::move(act));
}

void ScenarioRun::start() {
    for (int i = 0; i < scenario_.edges; ++i) {
        auto e = std::make_unique<EdgeProcess>();
        e->name = "edge" + std::to_string(i + 1);
        e->file = paths_.folder + "/" + e->name + ".kdl";
        e->log = paths_.folder + "/" + e->name + ".log";
        std::ofstream file(e->file);
        file << "name " << kdl::quote(e->name) << "\nzone "
             << kdl::quote(scenario_.zones[static_cast<std::size_t>(i) % scenario_.zones.size()])
             << "\nlisten \"127.0.0.1:0\"\nadmin \"127.0.0.1:0\"\nseed "
             << scenario_.seed * 100 + static_cast<std::uint64_t>(i) + 1 << "\ngateways {\n  count "
             << scenario_.edges << "\n  number " << i << "\n}\n"
             << scenario_.edge_text << '\n';
        e->tls = i < scenario_.tls.edges;
        if (e->tls)
            file << "tls { name " << kdl::quote(FleetTls::kNames) << "; trust " << kdl::quote(tls_->bundle())
                 << "; }\n";
        file.close();
        spawn(*e);
        edges_.push_back(std::move(e));
    }
    for (auto& e : edges_) {
        turn_until([&] { return e->first_line.find('\n') != std::string::npos || !e->running; },
                   std::chrono::seconds(20), e->name + " starts");
        json::Document doc;
        if (!e->running ||
            !json::parse(std::string_view(e->first_line).substr(0, e->first_line.find('\n')), doc))
            throw std::runtime_error(e->name + " did not start; see " + e->log);
        const auto address = parse_address(json::text(json::find(doc, "address")));
        const auto admin = parse_address(json::text(json::find(doc, "admin")));
        if (!address || !admin) throw std::runtime_error(e->name + " said no address");
        e->address = *address;
        e->admin = *admin;
    }
    for (std::size_t i = 0; i < edges_.size(); ++i) push_list(i, true);
    turn_until([&] { return pushes_.empty(); }, std::chrono::seconds(10), "the list is told");
    load_->set_gateways(gateways());
}

std::string ScenarioRun::entry_json(const std::string& server, bool tls) const {
    const auto* host = const_cast<EngineFleet&>(*fleet_).find(server);
    const auto& listed = list_.at(server);
    json::ObjectWriter out;
    out.text("name", server)
        .text("address", format_address(tls ? host->tls_address() : host->address()))
        .text("kind", host->spec().kind);
    out.text("zone", host->spec().zone).integer("cell", host->spec().cell).text("state", listed.state);
    if (const auto* caches = host->caches())
        out.text("events", format_address(caches->events())).text("replay", format_address(caches->replay()));
    if (listed.started_unix_ms != 0) out.integer("started_unix_ms", listed.started_unix_ms);
    return out.done();
}

void ScenarioRun::push_list(std::size_t edge, bool complete) {
    EdgeProcess& e = *edges_[edge];
    if (!e.running) return;
    std::string items;
    std::vector<std::pair<std::string, Listed>> notified;
    for (const auto& [server, listed] : list_) {
        if (complete && listed.state == "removed") continue;
        items += (items.empty() ? "" : ",") + entry_json(server, e.tls);
        notified.emplace_back(server, listed);
    }
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    const net::UpstreamPool::Call call = ++last_push_;
    pushes_[call] = {e.name, std::move(notified)};
    admin_->start(call, e.admin,
                  {"POST", "/servers", std::move(headers),
                   std::string(R"({"scope":")") + (complete ? "complete" : "changes") + R"(","servers":[)" +
                       items + "]}"});
}

void ScenarioRun::on_head(net::UpstreamPool::Call call, int status, http::Headers) {
    if (status == 200) return;
    std::cerr << "the list was refused (" << status << ")\n";
    pushes_.erase(call);
}
void ScenarioRun::on_body(net::UpstreamPool::Call call, std::string bytes) {
    if (const auto it = pages_.find(call); it != pages_.end()) it->second.second += bytes;
}

// Looks at what the edges say of their handshakes, a second at a time.
void ScenarioRun::poll_edges() {
    for (const auto& e : edges_) {
        if (!e->running || !e->tls) continue;
        const net::UpstreamPool::Call call = ++last_push_;
        pages_[call] = {e->name, ""};
        admin_->start(call, e->admin, {"GET", "/metrics", {}, {}});
    }
}
void ScenarioRun::take_page(const std::string& edge, const std::string& page) {
    const TlsFigures now{metric(page, "tls_handshakes"),        metric(page, "tls_handshakes_resumed"),
                         metric(page, "tls_handshakes_failed"), metric(page, "tls_files_replaced"),
                         metric(page, "tls_files_refused"),     metric(page, "tls_handshakes_waiting_most")};
    auto& [first_minute, seen] = tls_figures_[edge];
    // What happened before the first minute was over is kept apart: sessions have to be had first.
    if (net::uv_now_time() - begun_ < std::chrono::minutes(1)) first_minute = now;
    tls_busiest_ = std::max(tls_busiest_, now.handshakes - seen.handshakes);
    seen = now;
}

void ScenarioRun::on_done(net::UpstreamPool::Call call) {
    if (const auto page = pages_.find(call); page != pages_.end()) {
        take_page(page->second.first, page->second.second);
        pages_.erase(page);
        return;
    }
    const auto it = pushes_.find(call);
    if (it == pushes_.end()) return;
    const auto& [gateway, notified] = it->second;
    for (const auto& [server, listed] : notified) {
        Record r;
        r.at = net::uv_now_time();
        r.kind = RecordKind::notified;
        r.gateway = gateway;
        r.server = server;
        r.termination = listed.state == "up" && listed.started_unix_ms != 0 ? "started" : listed.state;
        if (r.termination == "started") fleet_->start_known.emplace(gateway, server);
        recorder_.add(std::move(r));
    }
    pushes_.erase(it);
}
void ScenarioRun::on_failed(net::UpstreamPool::Call call, engine::ExchangeEnd, std::string) {
    pushes_.erase(call);
    pages_.erase(call);
}

void ScenarioRun::list(const std::string& server, const std::string& state) {
    // What the list service sees now is told to the edges after the lag that there is now.
    const std::int64_t started = state == "started" ? unix_ms() : 0;
    after(lag_, [this, server, state, started] {
        auto& listed = list_[server];
        listed.state = state == "started" ? "up" : state;
        if (started != 0) listed.started_unix_ms = started;
        for (std::size_t i = 0; i < edges_.size(); ++i) push_list(i, false);
    });
}

void ScenarioRun::kill(const std::string& server, Duration lasts) {
    EngineHost* host = fleet_->find(server);
    if (host == nullptr || !host->up()) return;
    host->crash();
    std::erase_if(fleet_->start_known, [&](const auto& p) { return p.second == server; });
    list(server, "removed");
    after(lasts, [this, host, server] {
        host->restart(net::uv_now_time());
        list(server, "started");
    });
}

void ScenarioRun::vanish(const std::string& server, Duration lasts) {
    EngineHost* host = fleet_->find(server);
    if (host == nullptr || !host->up()) return;
    host->vanish(true);
    // The list sees that its process is gone no sooner than at the end of its lag.
    list(server, "removed");
    after(lasts, [this, host, server] {
        std::erase_if(fleet_->start_known, [&](const auto& p) { return p.second == server; });
        host->restart(net::uv_now_time());
        list(server, "started");
    });
}

void ScenarioRun::misname(const std::string& server, Duration lasts) {
    if (tls_ == nullptr) return;
    EngineHost* host = fleet_->find(server);
    tls_->misname(server, "elsewhere.engines.example.org");
    kill(server, std::chrono::milliseconds(100));
    after(lasts, [this, host, server] {
        tls_->misname(server, "");
        host->show(tls_->start(server));
    });
}

Time ScenarioRun::now() const { return net::uv_now_time(); }

EngineModel* ScenarioRun::running(const std::string& server) {
    EngineHost* host = fleet_->find(server);
    return host != nullptr && host->up() ? &host->model() : nullptr;
}

void ScenarioRun::schedule_tls() {
    if (tls_ == nullptr) return;
    const auto length = scenario_.length;
    for (Duration at{}; at < length; at += std::chrono::seconds(1)) after(at, [this] { poll_edges(); });
    for (int i = 1; i <= scenario_.tls.renewals; ++i)
        after(length * i / (scenario_.tls.renewals + 1), [this] {
            tls_->renew();
            for (const auto& host : fleet_->all()) host->show(tls_->start(host->spec().name));
            for (const auto& e : edges_)
                if (e->running && e->tls) uv_process_kill(&e->process, SIGHUP);
        });
}

TlsFigures& TlsFigures::operator+=(const TlsFigures& other) {
    handshakes += other.handshakes;
    resumed += other.resumed;
    failed += other.failed;
    replaced += other.replaced;
    refused += other.refused;
    most_waiting = std::max(most_waiting, other.most_waiting);
    return *this;
}

ScenarioResult ScenarioRun::run() {
    const Time begin = net::uv_now_time();
    begun_ = begin;
    load_->begin(begin);
    faults_.schedule();
    schedule_tls();
    const Time end = begin + scenario_.length;
    while (net::uv_now_time() < end) {
        turn();
        for (const auto& e : edges_)
            if (!e->running) throw std::runtime_error(e->name + " has ended by itself; see " + e->log);
    }
    load_->stop();
    Duration longest{};
    for (const auto& c : scenario_.edge.router.classes) longest = std::max(longest, c.deadline);
    const Time last = net::uv_now_time() + longest + std::chrono::seconds(30);
    while (load_->in_hand() > 0 && net::uv_now_time() < last) turn();
    load_->disconnect_all(net::uv_now_time());
    // What the gateways still let go of is recorded too.
    const Time release_deadline = net::uv_now_time() + std::chrono::seconds(1);
    while (net::uv_now_time() < release_deadline) turn();
    poll_edges();
    turn_until([&] { return pages_.empty(); }, std::chrono::seconds(10), "the edges' last figures");
    stop_edges();
    recorder_.flush();

    ScenarioResult out;
    RuleFigures figures;
    const Settings& m = scenario_.edge.router;
    figures.answer_slack = m.answer_slack;
    figures.release_within = m.release_within;
    figures.max_attempts = m.max_attempts;
    figures.measuring = scenario_.measuring;
    out.rule_report = check(recorder_.all(), figures);
    out.clients = static_cast<std::size_t>(scenario_.clients);
    out.retries = load_->figures().retries;
    Account account(m.classes, begin);
    for (const auto& r : recorder_.all()) account.add(r);
    out.weight_share = account.all().weight_share();
    out.in_time = account.all().in_time;
    out.waste = account.waste();
    out.first_token_p50_ms = account.first_token_ms().quantile(0.5);
    out.first_token_p90_ms = account.first_token_ms().quantile(0.9);
    out.first_token_p99_ms = account.first_token_ms().quantile(0.99);
    if (tls_ != nullptr) {
        out.tls.emplace();
        auto& t = *out.tls;
        for (const auto& [edge, figures] : tls_figures_) {
            t.first_minute += figures.first;
            t.seen += figures.second;
        }
        t.busiest_second = tls_busiest_;
        auto all = tally(recorder_.all());
        for (const auto& e : edges_) {
            auto& one = all[e->name];
            auto& side = e->tls ? t.verified : t.clear;
            side.requests += one.requests;
            side.failed += one.failed;
            side.broken += one.broken;
            side.first_token_ms.insert(side.first_token_ms.end(), one.first_token_ms.begin(),
                                       one.first_token_ms.end());
        }
    }
    for (const auto& e : edges_) out.edges_well = out.edges_well && e->exit_status == 0;
    return out;
}

void ScenarioRun::serve() {
    uv_signal_t handles[2];
    for (int i = 0; i < 2; ++i) {
        uv_signal_init(&loop_, &handles[i]);
        handles[i].data = this;
        uv_signal_start(
            &handles[i], [](uv_signal_t* s, int) { static_cast<ScenarioRun*>(s->data)->interrupted_ = true; },
            i == 0 ? SIGINT : SIGTERM);
    }
    while (!interrupted_) turn();
    for (auto& h : handles) uv_close(reinterpret_cast<uv_handle_t*>(&h), nullptr);
    stop_edges();
}

void ScenarioRun::stop_edges() {
    for (auto& e : edges_)
        if (e->running && !e->stopping) {
            e->stopping = true;
            uv_process_kill(&e->process, SIGTERM);
        }
    const Time limit = net::uv_now_time() + scenario_.edge.limits.drain_timeout + std::chrono::seconds(5);
    const auto any = [&] {
        return std::any_of(edges_.begin(), edges_.end(), [](const auto& e) { return e->running; });
    };
    while (any() && net::uv_now_time() < limit) turn();
    for (auto& e : edges_)
        if (e->running) uv_process_kill(&e->process, SIGKILL);
    while (any()) turn();
    turn();
}

}  // namespace chalksail::lab
