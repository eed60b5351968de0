#include "world.hpp"

namespace rig {

// ================= discovery =================

Discovery::Discovery(World& world) : world_(world) {}

namespace {

std::string entry_json(const Instance& i) {
    return R"({"instanceId":")" + i.id + R"(","hostPort":"127.0.0.1:)" + std::to_string(i.port) +
           R"(","zone":"a","machineType":")" + i.kind + R"(","cell":1,"lifecycle":")" + i.state +
           R"(","weight":1.0,"startedAtMs":)" + std::to_string(i.started_ms) + "}";
}

}  // namespace

std::string Discovery::list(int since, bool complete) const {
    std::string all;
    for (const auto& [id, instance] : instances_) {
        if (complete ? instance.state == "removed" : instance.changed_at <= since) continue;
        all += (all.empty() ? "" : ",") + entry_json(instance);
    }
    return R"({"generation":)" + std::to_string(version_) + R"(,"reset":)" + (complete ? "true" : "false") +
           R"(,"instances":[)" + all + "]}";
}

void Discovery::set(Instance instance) {
    if (listener_ < 0) {
        listener_ = open_listener(port_);
        world_.loop.watch(listener_, false, [this](unsigned) {
            for (;;) {
                const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (fd < 0) return;
                auto connection = std::make_shared<Connection>(world_.loop, fd);
                open_.insert(connection);
                std::weak_ptr<Connection> weak = connection;
                connection->on_input = [this, weak] {
                    if (const auto c = weak.lock()) on_call(c);
                };
                connection->on_end = [this, weak](bool) {
                    const auto c = weak.lock();
                    watches_.erase(c);
                    open_.erase(c);
                };
                connection->start();
            }
        });
        world_.loop.after(2, [this] { beat(); });
    }
    instance.changed_at = ++version_;
    instances_[instance.id] = instance;
    if (silent_) return;
    for (auto& [watch, told] : watches_) {
        watch->send(chunk(list(told, false) + "\n"));
        told = version_;
    }
}

void Discovery::on_call(const ConnectionPtr& connection) {
    Message call;
    if (silent_) {
        unanswered_.push_back(connection);
        return;
    }
    while (take_request(connection->in, call)) {
        const auto follow = call.start.find("since=");
        if (follow == std::string::npos) {
            connection->send(sized_response("200 OK", list(0, true)));
            continue;
        }
        const int since = std::atoi(call.start.c_str() + follow + 6);
        connection->send(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        if (since != version_) connection->send(chunk(list(since, false) + "\n"));
        watches_[connection] = version_;
    }
}

void Discovery::set_silent(bool silent) {
    silent_ = silent;
    if (silent) return;
    for (auto& [watch, told] : watches_) {
        if (told != version_) watch->send(chunk(list(told, false) + "\n"));
        told = version_;
    }
    for (const auto& connection : std::exchange(unanswered_, {}))
        if (connection->open()) on_call(connection);
}

void Discovery::beat() {
    if (listener_ < 0) return;
    if (!silent_)
        for (auto& [watch, told] : watches_) watch->send(chunk("\n"));
    world_.loop.after(2, [this] { beat(); });
}

void Discovery::stop() {
    if (listener_ < 0) return;
    world_.loop.forget(listener_);
    close(std::exchange(listener_, -1));
    watches_.clear();
    for (const auto& connection : std::exchange(open_, {})) connection->close();
}

// ================= model servers =================

ModelServer::ModelServer(World& world, std::string id, std::string kind, ServerTimes server_times)
    : times(server_times), world_(world), id_(std::move(id)), kind_(std::move(kind)) {
    listener_ = open_listener(port_);
    world_.loop.watch(listener_, false, [this](unsigned) { accept_all(); });
}

void ModelServer::accept_all() {
    if (stopped_) return;
    for (;;) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        auto connection = std::make_shared<Connection>(world_.loop, fd);
        open_.insert(connection);
        std::weak_ptr<Connection> weak = connection;
        connection->on_input = [this, weak] {
            if (const auto c = weak.lock()) on_input(c);
        };
        connection->on_end = [this, weak](bool) {
            const auto c = weak.lock();
            if (const auto busy = busy_.find(c); busy != busy_.end()) {
                const auto exchange = busy->second;
                busy_.erase(busy);
                if (std::exchange(exchange->running, false)) world_.attempt_ended(exchange, "given up");
            }
            open_.erase(c);
            c->close();
        };
        connection->start();
    }
}

void ModelServer::on_input(const ConnectionPtr& connection) {
    Message request;
    while (connection->open() && !busy_.contains(connection) && take_request(connection->in, request))
        on_request(connection, request);
}

void ModelServer::on_request(const ConnectionPtr& connection, const Message& request) {
    if (request.start.starts_with("GET /health")) return connection->send(sized_response("200 OK", ""));
    if (request.start.starts_with("DELETE /kv/leases/")) {
        const auto id = request.start.substr(18, request.start.find(' ', 18) - 18);
        world_.held.erase(id);
        world_.record.line(world_.now(), "release %s at %s", id.c_str(), id_.c_str());
        return connection->send("HTTP/1.1 204 No Content\r\n\r\n");
    }
    const auto exchange = std::make_shared<Exchange>();
    exchange->server = this;
    exchange->connection = connection;
    exchange->id = request.header("x-correlation-id");
    if (exchange->id.empty()) return connection->send(sized_response("404 Not Found", ""));
    if (!world_.calls.contains(exchange->id)) {
        world_.rule_broken("foreign",
                           "a server got a request with an id that no client sent: " + exchange->id);
        return connection->send(sized_response("400 Bad Request", ""));
    }
    if (world_.now() < resumed_at_ + 0.05 && connection->ended_by_peer()) {
        // It arrived while the process was stopped, and the gateway has given it up since.
        world_.record.line(world_.now(), "attempt %s at %s was given up while the server hung",
                           exchange->id.c_str(), id_.c_str());
        return;
    }
    busy_[connection] = exchange;
    const std::string told = request.header("x-time-left");
    const double unit = told.ends_with('u') ? 1e-6 : 1e-3;
    world_.attempt_arrived(exchange, told.empty() ? -1 : std::atof(told.c_str()) * unit);
    if (world_.instead && world_.instead(*this, exchange, request)) return;
    if (reads()) read(exchange);
    else write(exchange);
}

void ModelServer::read(const std::shared_ptr<Exchange>& exchange) {
    later(times.read, [this, exchange] {
        if (!exchange->running) return;
        world_.held[exchange->id] = id_;
        exchange->connection->send(sized_response("202 Accepted", R"({"cached_tokens":0})"));
        finish(exchange);
    });
}

void ModelServer::write(const std::shared_ptr<Exchange>& exchange) {
    if (!world_.held.contains(exchange->id)) {
        exchange->connection->send(sized_response("410 Gone", "", "X-Unprocessed: 1\r\n"));
        world_.attempt_ended(exchange, "410", true);
        exchange->running = false;
        busy_.erase(exchange->connection);
        return;
    }
    later(times.first, [this, exchange] {
        if (!exchange->running) return;
        world_.held.erase(exchange->id);
        exchange->connection->send(kStreamHead);
        next_event(exchange);
    });
}

namespace {

std::string event_text(const std::string& id, int number) {
    return R"(data: {"choices":[{"index":0,"delta":{"content":")" + id + ":" + std::to_string(number) +
           R"("},"finish_reason":null}]})" + "\n\n";
}
std::string usage_text(int events) {
    return R"(data: {"choices":[],"usage":{"prompt_tokens":500,"completion_tokens":)" +
           std::to_string(events) + R"(,"prompt_tokens_details":{"cached_tokens":0}}})" + "\n\n";
}
std::string whole_stream(const std::string& id, int events) {
    std::string out = kStreamHead;
    for (int i = 0; i < events; ++i) out += chunk(event_text(id, i));
    return out + chunk(usage_text(events)) + chunk("data: [DONE]\n\n") + kLastChunk;
}

}  // namespace

void ModelServer::next_event(const std::shared_ptr<Exchange>& exchange) {
    if (!exchange->running) return;
    if (exchange->sent_events < times.events) {
        exchange->connection->send(chunk(event_text(exchange->id, exchange->sent_events++)));
        later(times.interval, [this, exchange] { next_event(exchange); });
        return;
    }
    exchange->connection->send(chunk(usage_text(times.events)) + chunk("data: [DONE]\n\n") + kLastChunk);
    finish(exchange);
}

void ModelServer::finish(const std::shared_ptr<Exchange>& exchange) {
    exchange->running = false;
    const auto connection = exchange->connection;
    busy_.erase(connection);
    world_.attempt_ended(exchange, reads() ? "read" : "served");
    if (const double late = reads() ? -1 : world_.second_answer(exchange->id); late >= 0) {
        const std::string again = whole_stream(exchange->id, times.events);
        world_.record.line(world_.now(), "server %s will send a second answer to %s after %.1f ms",
                           id_.c_str(), exchange->id.c_str(), late * 1000);
        const auto id = exchange->id;
        later(late, [this, connection, again, id] {
            if (!connection->open() || connection->ended_by_peer()) return;
            world_.record.line(world_.now(), "server %s sends the second answer to %s", id_.c_str(),
                               id.c_str());
            connection->send(again);
        });
    }
    if (connection->open() && !connection->in.empty()) on_input(connection);
}

void ModelServer::later(double seconds, std::function<void()> run) {
    world_.loop.after(seconds, [this, run = std::move(run)]() mutable {
        if (!alive()) return;
        if (stopped_) postponed_.push_back(std::move(run));
        else run();
    });
}

void ModelServer::set_stopped(bool stopped) {
    if (!alive() || stopped_ == stopped) return;
    stopped_ = stopped;
    world_.record.line(world_.now(), "server %s %s", id_.c_str(), stopped ? "hangs" : "goes on");
    for (const auto& connection : std::set<ConnectionPtr>(open_)) connection->set_stopped(stopped);
    if (stopped) return world_.loop.mute(listener_);
    resumed_at_ = world_.now();
    world_.loop.watch(listener_, false, [this](unsigned) { accept_all(); });
    for (auto& run : std::exchange(postponed_, {})) run();
}

void ModelServer::die() {
    if (!alive()) return;
    world_.record.line(world_.now(), "server %s dies", id_.c_str());
    world_.loop.forget(listener_);
    close(std::exchange(listener_, -1));
    for (const auto& [connection, exchange] : std::exchange(busy_, {}))
        if (std::exchange(exchange->running, false)) world_.attempt_ended(exchange, "died");
    for (const auto& connection : std::exchange(open_, {})) connection->close(true);
    std::erase_if(world_.held, [this](const auto& state) { return state.second == id_; });
}

// ================= clients =================

class Client : public std::enable_shared_from_this<Client> {
public:
    Client(World& world, int gateway, int port)
        : world_(world), gateway_(gateway), connection_(Connection::dial(world.loop, port)) {}
    void start() {
        if (!connection_) return;
        std::weak_ptr<Client> weak = weak_from_this();
        connection_->on_input = [weak] {
            if (const auto self = weak.lock()) self->on_input();
        };
        connection_->on_end = [weak](bool reset) {
            if (const auto self = weak.lock()) self->on_end(reset);
        };
        connection_->start();
    }
    [[nodiscard]] bool idle() const { return connection_ && connection_->open() && !call_ && !ended_; }
    [[nodiscard]] bool usable() const { return connection_ != nullptr; }
    [[nodiscard]] bool dead() const { return !connection_ || ended_ || !connection_->open(); }
    void send(const std::shared_ptr<Call>& call, const std::string& bytes) {
        call->fresh = !used_;
        used_ = true;
        call_ = call;
        bytes_ = bytes;
        head_read_ = false;
        call->sent = world_.now();
        connection_->send(bytes);
    }
    // The client goes away.
    void leave() {
        if (!call_ || call_->done) return;
        call_->left_at = world_.now();
        world_.record.line(world_.now(), "client of %s leaves", call_->id.c_str());
        call_.reset();
        ended_ = true;
        connection_->close();
    }
    [[nodiscard]] bool serves(const std::string& id) const { return call_ && call_->id == id; }
    void close() {
        if (connection_) connection_->close();
    }

private:
    void on_input() {
        while (call_ && step()) {
        }
    }
    bool step() {
        auto& in = connection_->in;
        if (!head_read_) {
            Message head;
            if (!take_head(in, head)) return false;
            head_read_ = true;
            call_->status = std::atoi(head.start.c_str() + 9);
            chunked_ = lower(head.header("transfer-encoding")) == "chunked";
            length_ = static_cast<std::size_t>(std::atoll(head.header("content-length").c_str()));
            closes_ = lower(head.header("connection")) == "close";
            events_.clear();
        }
        if (!chunked_) {
            if (in.size() < length_) return false;
            in.erase(0, length_);
            return finish(true);
        }
        const auto line = in.find("\r\n");
        if (line == std::string::npos) return false;
        const auto size = static_cast<std::size_t>(std::strtoull(in.c_str(), nullptr, 16));
        if (in.size() < line + 2 + size + 2) return false;
        const auto data = in.substr(line + 2, size);
        in.erase(0, line + 2 + size + 2);
        if (size == 0) return finish(true);
        events_ += data;
        take_events();
        return true;
    }
    void take_events() {
        for (auto end = events_.find("\n\n"); end != std::string::npos; end = events_.find("\n\n")) {
            const auto event = events_.substr(0, end);
            events_.erase(0, end + 2);
            call_->last_event = world_.now();
            if (call_->first_event < 0) call_->first_event = world_.now();
            if (call_->finished_events) call_->disorder = "an event after [DONE]";
            if (event == "data: [DONE]") {
                call_->finished_events = true;
                continue;
            }
            const auto content = event.find("\"content\":\"");
            if (content == std::string::npos) continue;
            const auto text = event.substr(content + 11, event.find('"', content + 11) - content - 11);
            const auto colon = text.find(':');
            if (text.substr(0, colon) != call_->id) call_->foreign = text;
            else if (std::atoi(text.c_str() + colon + 1) != call_->events)
                call_->disorder = "event " + text + " where " + std::to_string(call_->events) + " was due";
            call_->events += 1;
        }
    }
    bool finish(bool whole) {
        const auto call = std::exchange(call_, nullptr);
        call->done = true;
        call->whole = whole;
        call->done_at = world_.now();
        if (closes_) {
            ended_ = true;
            connection_->close();
        }
        world_.call_done(*call);
        return false;
    }
    void on_end(bool reset) {
        ended_ = true;
        if (!call_) return connection_->close();
        const auto call = call_;
        // A request that crossed the close of a resting connection is sent once more on a new connection.
        if (!call->fresh && !head_read_) {
            world_.record.line(world_.now(), "client of %s: the close crossed the request; sent again",
                               call->id.c_str());
            connection_->close();
            call_.reset();
            auto next = std::make_shared<Client>(world_, gateway_,
                                                 world_.gateways[static_cast<std::size_t>(gateway_)].port);
            if (!next->usable()) return;
            next->start();
            world_.clients[gateway_].push_back(next);
            next->send(call, bytes_);
            return;
        }
        call->ended = true;
        static_cast<void>(reset);
        connection_->close();
        finish(false);
    }

    World& world_;
    int gateway_;
    ConnectionPtr connection_;
    std::shared_ptr<Call> call_;
    std::string bytes_;
    std::string events_;
    bool used_ = false;
    bool ended_ = false;
    bool head_read_ = false;
    bool chunked_ = false;
    bool closes_ = false;
    std::size_t length_ = 0;
};

// ================= the world =================

namespace {

// Whether an ordinary user, as whom the gateways run, may enter the folder.
bool open_to_all(const std::string& folder) {
    for (std::size_t end = folder.find('/', 1);; end = folder.find('/', end + 1)) {
        struct stat found {};
        if (stat(folder.substr(0, end).c_str(), &found) != 0 || (found.st_mode & S_IXOTH) == 0) return false;
        if (end == std::string::npos) return true;
    }
}

}  // namespace

World::World(const std::string& record_file, std::string root, std::string run_command, Settings all,
             unsigned seed)
    : record(record_file),
      settings(std::move(all)),
      random(seed),
      discovery(*this),
      root_(std::move(root)),
      run_command_(std::move(run_command)) {
    signal(SIGPIPE, SIG_IGN);
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    umask(022);
    const char* const temporary = std::getenv("TMPDIR");
    std::string name = temporary != nullptr && open_to_all(temporary) ? temporary : "/tmp";
    name += "/review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) std::exit(2);
    folder_ = name;
    const int unused = std::system(("chmod 755 " + folder_).c_str());
    static_cast<void>(unused);
}

World::~World() {
    stop_gateways();
    const int unused = std::system(("rm -rf " + folder_).c_str());
    static_cast<void>(unused);
}

ModelServer& World::add_server(const std::string& id, const std::string& kind, ServerTimes times, bool cold) {
    auto server = std::make_unique<ModelServer>(*this, id, kind, times);
    const long long started = cold ? std::chrono::duration_cast<std::chrono::milliseconds>(
                                         std::chrono::system_clock::now().time_since_epoch())
                                         .count()
                                   : 0;
    auto& out = *server;
    servers[id] = std::move(server);
    discovery.set({id, kind, out.port(), "up", started, 0});
    return out;
}

void World::tell(const std::string& id, const std::string& state) {
    const auto& server = *servers.at(id);
    record.line(now(), "discovery: %s is %s", id.c_str(), state.c_str());
    discovery.set({id, server.kind(), server.port(), state, 0, 0});
}

void World::write_configuration(int number, const std::string& known, int discovery_port) {
    const auto& gateway = gateways[static_cast<std::size_t>(number)];
    const std::string file = gateway.folder + "/config.json";
    std::ofstream(file + ".new") << R"({"name":"n)" << number << R"(","listen":"127.0.0.1:)" << gateway.port
                                 << R"(","discovery":"127.0.0.1:)" << discovery_port
                                 << R"(","seed":"8c1f30d27a5be96)" << number % 10 << R"(","limits":{"cores":)"
                                 << settings.cores << R"(,"memory_mb":)" << settings.memory_mb
                                 << R"(,"sockets":)" << settings.sockets << R"(},"known":)" << known
                                 << R"(,"settings":)" << settings_json(settings, number) << "}";
    std::rename((file + ".new").c_str(), file.c_str());
}

void World::start_gateway(int number, const std::string& known) {
    const auto index = static_cast<std::size_t>(number);
    if (gateways.size() <= index) gateways.resize(index + 1);
    auto& gateway = gateways[index];
    gateway.number = number;
    if (gateway.port == 0) {
        const int probe = open_listener(gateway.port);
        close(probe);
        gateway.folder = folder_ + "/n" + std::to_string(number);
        const int unused = std::system(("mkdir -p -m 755 " + gateway.folder).c_str());
        static_cast<void>(unused);
    }
    write_configuration(number, known.empty() ? discovery.list(0, true) : known, discovery.port());
    const std::string log = gateway.folder + "/log";
    const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    gateway.pid = fork();
    if (gateway.pid == 0) {
        dup2(out, 1);
        dup2(out, 2);
        rlimit files{static_cast<rlim_t>(settings.sockets), static_cast<rlim_t>(settings.sockets)};
        setrlimit(RLIMIT_NOFILE, &files);
        if (settings.one_core) {
            cpu_set_t allowed;
            cpu_set_t one;
            CPU_ZERO(&one);
            sched_getaffinity(0, sizeof allowed, &allowed);
            for (std::size_t core = 0; core < CPU_SETSIZE && CPU_COUNT(&one) == 0; ++core)
                if (CPU_ISSET(core, &allowed)) CPU_SET(core, &one);
            sched_setaffinity(0, sizeof one, &one);
        }
        for (int fd = 3; fd < settings.sockets + 64; ++fd) ::close(fd);
        if (chdir(root_.c_str()) != 0) _exit(127);
        const std::string at = gateway.folder + "/config.json";
        clearenv();
        setenv("PATH", "/usr/local/bin:/usr/bin:/bin", 1);
        setenv("EDGE_CONFIG", at.c_str(), 1);
        setenv("EDGE_NAME", ("n" + std::to_string(number)).c_str(), 1);
        setenv("EDGE_LISTEN", ("127.0.0.1:" + std::to_string(gateway.port)).c_str(), 1);
        setenv("EDGE_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery.port())).c_str(), 1);
        if (getuid() == 0 && (setgid(65534) != 0 || setuid(65534) != 0)) _exit(127);
        prctl(PR_SET_PDEATHSIG, SIGKILL);  // behind setuid(), which clears it
        execl("/bin/sh", "sh", "-c", run_command_.c_str(), nullptr);
        _exit(127);
    }
    ::close(out);
    gateway.ready = gateway.exited = gateway.ended_by_us = false;
    gateway.term_at = -1;
    record.line(now(), "gateway n%d starts, port %d", number, gateway.port);
}

void World::signal_gateway(int number, int signal) {
    auto& gateway = gateways[static_cast<std::size_t>(number)];
    if (gateway.pid <= 0 || gateway.exited) return;
    record.line(now(), "signal %d to gateway n%d", signal, number);
    if (signal == SIGTERM || signal == SIGKILL) gateway.ended_by_us = true;
    if (signal == SIGTERM) gateway.term_at = now();
    kill(gateway.pid, signal);
}

void World::reap() {
    for (auto& gateway : gateways) {
        int status = 0;
        if (gateway.pid <= 0 || gateway.exited || waitpid(gateway.pid, &status, WNOHANG) != gateway.pid)
            continue;
        gateway.exited = true;
        record.line(now(), "gateway n%d ended, status %d", gateway.number, status);
        if (!gateway.ended_by_us)
            rule_broken("crash", "gateway n" + std::to_string(gateway.number) + " ended by itself");
    }
}

bool World::wait_ready(double seconds) {
    const double until = now() + seconds;
    for (auto& gateway : gateways) {
        while (!gateway.ready && !gateway.exited) {
            if (now() > until) return false;
            reap();
            auto connection = Connection::dial(loop, gateway.port);
            bool end = connection == nullptr;
            if (connection) {
                connection->on_end = [&](bool) { end = true; };
                connection->on_input = [&] {
                    gateway.ready = connection->in.starts_with("HTTP/1.1 200");
                    end = true;
                };
                connection->start();
                connection->send("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                const double call_until = now() + 1;
                loop.run_until([&] { return end || now() > call_until; });
                connection->close();
            }
            const double next = now() + 0.02;
            loop.run_until([&] { return now() > next; });
        }
        if (gateway.exited) return false;
    }
    return true;
}

void World::stop_gateways() {
    for (auto& gateway : gateways) {
        if (gateway.pid <= 0 || gateway.exited) continue;
        gateway.ended_by_us = true;
        kill(gateway.pid, SIGKILL);
        waitpid(gateway.pid, nullptr, 0);
        gateway.exited = true;
    }
    if (!gateways.empty() && std::getenv("KEEP_LOG") != nullptr)
        for (const auto& gateway : gateways) {
            const int unused = std::system(("cp " + gateway.folder + "/log " + std::getenv("KEEP_LOG") +
                                            "-n" + std::to_string(gateway.number))
                                               .c_str());
            static_cast<void>(unused);
        }
}

std::string World::new_id() {
    char id[32];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(random()), ++last_id_);
    return id;
}

std::string World::request_bytes(const std::string& id, const std::string& service_class, double limit,
                                 const std::string& body) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id +
           "\r\nX-Service-Class: " + service_class + "\r\nX-Session-Key: s" + id +
           "\r\nX-Time-Left: " + std::to_string(static_cast<long long>(limit * 1000)) +
           "m\r\nX-Facts: prompt_len=500,max_out=80\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::shared_ptr<Call> World::send(int gateway, const std::string& service_class, double limit,
                                  double leave_after) {
    auto& known = clients[gateway];
    std::erase_if(known, [](const auto& client) { return client->dead(); });
    const auto call = std::make_shared<Call>();
    call->id = new_id();
    call->service_class = service_class;
    call->limit = limit;
    call->gateway = gateway;
    const std::string body =
        R"({"model":"m","stream":true,"max_tokens":80,"messages":[{"role":"user","content":")" +
        std::string(static_cast<std::size_t>(uniform(100, 2000)), 'x') + R"("}]})";
    const std::string bytes = request_bytes(call->id, service_class, limit, body);
    std::shared_ptr<Client> client;
    for (const auto& one : known)
        if (one->idle()) client = one;
    if (!client) {
        client = std::make_shared<Client>(*this, gateway, gateways[static_cast<std::size_t>(gateway)].port);
        if (!client->usable()) return nullptr;
        client->start();
        known.push_back(client);
    }
    calls[call->id] = call;
    record.line(now(), "client sends %s %s to n%d", service_class.c_str(), call->id.c_str(), gateway);
    client->send(call, bytes);
    if (leave_after >= 0) {
        std::weak_ptr<Client> weak = client;
        const auto name = call->id;
        loop.after(leave_after, [weak, name] {
            const auto one = weak.lock();
            if (one && one->serves(name)) one->leave();
        });
    }
    return call;
}

void World::attempt_arrived(const std::shared_ptr<ModelServer::Exchange>& exchange, double told) {
    const auto& id = exchange->id;
    const auto& server = exchange->server->id();
    record.line(now(), "attempt %s at %s", id.c_str(), server.c_str());
    const auto& call = *calls.at(id);
    if (call.left_at >= 0 && now() > call.left_at + 0.1 + 0.05)
        rule_broken("lost", "an attempt of " + id + " arrived " + std::to_string(now() - call.left_at) +
                                " s after its client left");
    if (call.done && now() > call.done_at + 0.05)
        rule_broken("lost", "an attempt of " + id + " arrived after its final answer");
    // What is left to the client, with 0.15 s of slack and 50 ms as for each time limit.
    const double left = call.sent + call.limit - now();
    if (judge_told && call.left_at < 0 && told > std::max(0.0, left) + 0.15 + 0.05)
        rule_broken("lost", "an attempt of " + id + " told its server " + std::to_string(told) +
                                " s, where " + std::to_string(left) + " s were left");
    auto& all = attempts[id];
    for (const auto& earlier : all) {
        if (earlier.exchange->running && !earlier.exchange->connection->ended_by_peer())
            rule_broken("duplicate",
                        "two attempts of " + id + " are out: at " + earlier.server + " and " + server);
        if (call.service_class == "bulk-order" && !earlier.exchange->server->reads() &&
            !earlier.proves_not_run && settings.order_effect == "once")
            rule_broken("duplicate",
                        id + " was sent to " + earlier.server + ", may have run, and was sent to " + server);
        if (call.service_class == "bulk-order" && !earlier.exchange->server->reads() &&
            !earlier.proves_not_run && settings.order_effect == "by_key" &&
            now() > earlier.at + settings.order_window + 0.05)
            rule_broken("duplicate", id + " was sent on " + std::to_string(now() - earlier.at) +
                                         " s after an attempt that may have run");
    }
    all.push_back({now(), server, exchange, "", false});
}

void World::attempt_ended(const std::shared_ptr<ModelServer::Exchange>& exchange, const std::string& outcome,
                          bool proves_not_run) {
    record.line(now(), "attempt %s at %s ends: %s", exchange->id.c_str(), exchange->server->id().c_str(),
                outcome.c_str());
    for (auto& attempt : attempts[exchange->id])
        if (attempt.exchange == exchange) {
            attempt.outcome = outcome;
            attempt.proves_not_run = proves_not_run;
        }
}

void World::finish_early(ModelServer& server, const std::shared_ptr<ModelServer::Exchange>& exchange,
                         const std::string& outcome, bool proves_not_run) {
    exchange->running = false;
    server.busy_.erase(exchange->connection);
    attempt_ended(exchange, outcome, proves_not_run);
}

void World::call_done(Call& call) {
    const auto& gateway = gateways[static_cast<std::size_t>(call.gateway)];
    record.line(now(), "client of %s: status %d, %d events%s%s, after %.3f s", call.id.c_str(), call.status,
                call.events, call.finished_events ? ", [DONE]" : "",
                call.whole ? ", whole" : ", connection ended", now() - call.sent);
    if (!call.foreign.empty())
        rule_broken("lost", call.id + " was served with the events of another request: " + call.foreign);
    if (!call.disorder.empty()) rule_broken("lost", call.id + ": " + call.disorder);
    const bool killed = gateway.exited || gateway.ended_by_us;
    if (call.status == 0 && call.fresh && !killed)
        rule_broken("lost", "the gateway closed the connection of " + call.id + " without an answer");
    if (call.status == 200 && call.whole && !call.finished_events)
        rule_broken("lost", call.id + ": a stream that is not whole was ended with the last chunk");
    if (call.first_event > call.sent + call.limit + 0.5 + 0.05)
        rule_broken("lost", call.id + " got its first event " +
                                std::to_string(call.first_event - call.sent - call.limit) +
                                " s after its time");
    if (call.first_event < 0 && call.status != 0 && now() > call.sent + call.limit + 0.5 + 0.05)
        rule_broken("lost", call.id + " was answered " + std::to_string(now() - call.sent - call.limit) +
                                " s after its time");
    if (call.status == 429 || call.status == 503)
        for (const auto& attempt : attempts[call.id])
            if (call.service_class == "bulk-order" && settings.order_effect == "once" &&
                !attempt.exchange->server->reads() && !attempt.proves_not_run)
                rule_broken("duplicate",
                            call.id + " was refused although it may have run at " + attempt.server);
}

void World::run_for(double seconds) {
    const double until = now() + seconds;
    double reaped = now();
    loop.run_until([&] {
        if (now() > reaped + 0.1) {
            reaped = now();
            reap();
        }
        return now() > until;
    });
}

void World::end_judgement() {
    for (const auto& [id, call] : calls) {
        if (call->done || call->left_at >= 0) continue;
        const auto& gateway = gateways[static_cast<std::size_t>(call->gateway)];
        if (gateway.ended_by_us && (gateway.term_at < 0 || call->sent < gateway.term_at + 0.7)) continue;
        if (call->first_event < 0 && now() > call->sent + call->limit + 0.55)
            rule_broken("lost", id + " never got an answer");
        if (call->first_event >= 0 && now() > call->last_event + 5.05)
            rule_broken("lost", id + ": left waiting after its last event");
    }
}

}  // namespace rig
