// Stand-ins for the platform around one or more gateways: discovery, model servers and clients. They follow
// the protocol page; a scenario adds the disruption. All addresses are on loopback.
#pragma once

#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdarg>
#include <fstream>
#include <random>
#include <set>

#include "net.hpp"

namespace rig {

class Record {
public:
    explicit Record(const std::string& file) : out_(std::fopen(file.c_str(), "w")) {}
    ~Record() {
        if (out_ != nullptr) std::fclose(out_);
    }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    [[gnu::format(printf, 3, 4)]] void line(double now, const char* format, ...) {
        std::va_list list;
        va_start(list, format);
        std::fprintf(out_, "%9.4f ", now);
        std::vfprintf(out_, format, list);
        std::fputc('\n', out_);
        va_end(list);
    }

private:
    std::FILE* out_;
};

struct Settings {
    bool resume = true;
    double release_within = 0.5;
    double drain_grace = 2;
    double conn_idle = 15;
    int attempts = 5;
    int sockets = 512;
    double cores = 1;
    int memory_mb = 96;
    int gateways = 1;
    std::string order_effect = "once";  // of the class bulk-order
    double chat_deadline = 4;
    double order_deadline = 12;
    double order_window = 0;
    bool one_core = false;  // all gateways share one core
};

inline std::string ns(double seconds) { return std::to_string(static_cast<long long>(seconds * 1e9)); }

// The settings object, with the fields and the order of magnitude of a small deployment.
inline std::string settings_json(const Settings& s, int me) {
    return R"({"az":"a","classes":[{"aim_ns":1000000000,"deadline_ns":)" + ns(s.chat_deadline) +
           R"(,"effect":"repeatable","gain":1.0,"group":"all","late_worth":0.3,"name":"lunch-question","streamed":true,"window_ns":0},)"
           R"({"aim_ns":1000000000,"deadline_ns":)" +
           ns(s.order_deadline) + R"(,"effect":")" + s.order_effect +
           R"(","gain":3.0,"group":"all","late_worth":0.2,"name":"bulk-order","streamed":true,"window_ns":)" +
           ns(s.order_window) +
           R"(}],"clients":{"marks_retry":false},"discovery":"push","extra":{"aim_us_per_1000_prompt_tokens":[60000.0,120000.0],)"
           R"("duty_by_kind":["read","write"],"early_pairing":false,"far_price":0.03,"read_in_place":false,"release_within_ns":)" +
           ns(s.release_within) + R"(,"report_x0":"","report_x1":"","resume":)" +
           (s.resume ? "true" : "false") +
           R"(,"token_aim_ns":[50000000,80000000],"tokens_by_kind":[230000,150000]},"failure_domains":["a"],"fleet_size":)" +
           std::to_string(s.gateways) + R"(,"layer":0,"limits":{"cancel":true,"conn_idle_ns":)" +
           ns(s.conn_idle) +
           R"(,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout_ns":250000000,"max_retry_after_ns":1000000000,)"
           R"("open_cap":20000,"peers":false,"probes":true,"retry_after":true,"second_copies":false,"send_cap":)" +
           std::to_string(s.attempts) + R"(,"streams_per_conn":1},"me":)" + std::to_string(me) +
           R"(,"over_share_worth":0.2,"report":{"fields":[],"how":"silent"},"rules":{"answer_slack_ns":16000000,)"
           R"("ask_within_ns":10000000000,"cold_from":0.35,"cold_ns":13000000000,"fall_multiple":2.5,"fall_ns":3000000000,)"
           R"("stop_sending_within_ns":)" +
           ns(s.drain_grace) +
           R"(},"skus":["reader","writer"],"tenants":[],"tick_ns":2000000,"tiers":["office"],"value_by":"work","weights":"silent"})";
}

class World;

// ---- discovery ----

struct Instance {
    std::string id;
    std::string kind;
    int port = 0;
    std::string state = "up";
    long long started_ms = 0;
    int changed_at = 0;  // the version that changed it
};

class Discovery {
public:
    Discovery(World& world);
    [[nodiscard]] int port() const { return port_; }
    // Adds or changes an entry and tells the open watches.
    void set(Instance instance);
    [[nodiscard]] std::string list(int since, bool complete) const;
    // While silent, calls and watches are accepted, and nothing is sent.
    void set_silent(bool silent);
    // Closes the listener and all connections.
    void stop();

private:
    void on_call(const ConnectionPtr& connection);
    void beat();
    World& world_;
    int port_ = 0;
    int listener_ = -1;
    int version_ = 41;
    bool silent_ = false;
    std::map<std::string, Instance> instances_;
    std::set<ConnectionPtr> open_;
    std::map<ConnectionPtr, int> watches_;  // with the version that each has been told
    std::vector<ConnectionPtr> unanswered_;
};

// ---- model servers ----

struct ServerTimes {
    double read = 0.02;      // until a reader's answer
    double first = 0.02;     // until a writer's first event
    double interval = 0.01;  // between events
    int events = 6;
};

struct Reply;

class ModelServer {
public:
    ModelServer(World& world, std::string id, std::string kind, ServerTimes times);
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const std::string& kind() const { return kind_; }
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] bool reads() const { return kind_ == "reader"; }
    // The process dies: its connections are reset, new ones are refused.
    void die();
    // As SIGSTOP and SIGCONT on its process.
    void set_stopped(bool stopped);
    [[nodiscard]] bool stopped() const { return stopped_; }
    [[nodiscard]] bool alive() const { return listener_ >= 0; }

    struct Exchange {
        ModelServer* server = nullptr;
        ConnectionPtr connection;
        std::string id;
        bool running = true;  // out: not answered whole, not given up
        int sent_events = 0;
    };
    ServerTimes times;

private:
    friend class World;
    void accept_all();
    void on_input(const ConnectionPtr& connection);
    void on_request(const ConnectionPtr& connection, const Message& request);
    void read(const std::shared_ptr<Exchange>& exchange);
    void write(const std::shared_ptr<Exchange>& exchange);
    void next_event(const std::shared_ptr<Exchange>& exchange);
    void finish(const std::shared_ptr<Exchange>& exchange);
    // Runs it now, or once the process goes on.
    void later(double seconds, std::function<void()> run);

    World& world_;
    std::string id_;
    std::string kind_;
    int port_ = 0;
    int listener_ = -1;
    bool stopped_ = false;
    double resumed_at_ = -1;
    std::set<ConnectionPtr> open_;
    std::map<ConnectionPtr, std::shared_ptr<Exchange>> busy_;
    std::vector<std::function<void()>> postponed_;
};

// ---- gateways ----

struct Gateway {
    int number = 0;
    int port = 0;
    pid_t pid = -1;
    bool ready = false;
    bool exited = false;
    bool ended_by_us = false;  // told to end, or killed
    double term_at = -1;
    std::string folder;
};

// ---- clients ----

struct Call {
    std::string id;
    std::string service_class;
    double sent = 0;      // last byte written
    double limit = 0;     // X-Time-Left
    double left_at = -1;  // the client has closed its connection
    bool fresh = true;    // first request of its connection
    int gateway = 0;
    int status = 0;      // 0: no head
    bool done = false;   // whole answer, or the connection has ended
    bool whole = false;  // the last chunk, or all of a sized body
    bool ended = false;  // the connection ended
    double done_at = 0;
    double first_event = -1;
    double last_event = -1;
    int events = 0;
    bool finished_events = false;  // [DONE]
    std::string foreign;           // what another request's answer brought
    std::string disorder;
};

class Client;

class World {
public:
    World(const std::string& record_file, std::string root, std::string run_command, Settings settings,
          unsigned seed);
    ~World();

    Loop loop;
    Record record;
    Settings settings;
    std::mt19937 random;
    Discovery discovery;
    std::map<std::string, std::unique_ptr<ModelServer>> servers;
    std::vector<Gateway> gateways;
    std::map<std::string, std::shared_ptr<Call>> calls;
    std::map<std::string, std::string> held;  // read states: request and its reader
    std::map<std::string, int> ran;           // answers begun by writers, by request
    struct Attempt {
        double at = 0;
        std::string server;
        std::shared_ptr<ModelServer::Exchange> exchange;
        std::string outcome;  // empty: none yet
        bool proves_not_run = false;
    };
    std::map<std::string, std::vector<Attempt>> attempts;
    std::vector<std::string> broken;  // sentences on broken rules
    bool judge_told = false;          // the time that attempts tell their servers

    [[nodiscard]] double now() const { return loop.now(); }
    double uniform(double from, double to) { return std::uniform_real_distribution<>(from, to)(random); }
    bool chance(double p) { return uniform(0, 1) < p; }
    void rule_broken(const std::string& rule, const std::string& what) {
        broken.push_back(rule + ": " + what);
        record.line(now(), "BROKEN %s: %s", rule.c_str(), what.c_str());
    }

    ModelServer& add_server(const std::string& id, const std::string& kind, ServerTimes times,
                            bool cold = false);
    void tell(const std::string& id, const std::string& state);
    // Starts a gateway; the scenario waits for `ready`.
    void start_gateway(int number, const std::string& known = "");
    void signal_gateway(int number, int signal);
    void write_configuration(int number, const std::string& known, int discovery_port);
    bool wait_ready(double seconds);
    void reap();
    void stop_gateways();

    // Sends a request, on an idle connection of that gateway or on a new one.
    std::shared_ptr<Call> send(int gateway, const std::string& service_class, double limit,
                               double leave_after = -1);
    // The bytes of a request.
    std::string request_bytes(const std::string& id, const std::string& service_class, double limit,
                              const std::string& body);
    std::string new_id();
    void end_judgement();  // what is left without an answer
    // Called by the parts.
    // `told`: the seconds that X-Time-Left states; below 0: none.
    void attempt_arrived(const std::shared_ptr<ModelServer::Exchange>& exchange, double told);
    void attempt_ended(const std::shared_ptr<ModelServer::Exchange>& exchange, const std::string& outcome,
                       bool proves_not_run = false);
    void call_done(Call& call);
    // For `instead`: the server has answered in another way.
    void finish_early(ModelServer& server, const std::shared_ptr<ModelServer::Exchange>& exchange,
                      const std::string& outcome, bool proves_not_run);

    // ---- the scenario's disruptions ----
    // A second answer right behind a writer's answer, this many seconds late; below 0: none.
    std::function<double(const std::string& id)> second_answer = [](const std::string&) { return -1.0; };
    // Replaces a server's handling of a request; returns whether it has.
    std::function<bool(ModelServer&, const std::shared_ptr<ModelServer::Exchange>&, const Message&)> instead;

    std::map<int, std::vector<std::shared_ptr<Client>>> clients;
    // Runs the stand-ins for so long.
    void run_for(double seconds);

private:
    std::string root_;
    std::string run_command_;
    std::string folder_;
    int last_id_ = 0;
};

}  // namespace rig
