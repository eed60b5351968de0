// chalksail-edge: serves OpenAI-style chat requests and streams the responses of a fleet of prefill and
// decode servers.
#include <uv.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <random>

#include "allocator.hpp"
#include "base/backoff.hpp"
#include "base/json.hpp"
#include "config/settings.hpp"
#include "core/platform_settings.hpp"
#include "net/discovery_watch.hpp"
#include "net/edge_server.hpp"
#include "net/tls/certificate_reloader.hpp"
#include "observe/log.hpp"
#include "tls_probe.hpp"

namespace {

using chalksail::config::EdgeSettings;

// What fails at start-up for lack of file descriptors is retried for a second.
constexpr int kStartAttempts = 50;
constexpr unsigned kStartPauseMs = 20;

// The settings, or nothing after the problems have been written to standard error.
std::optional<EdgeSettings> read_settings(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        std::cerr << file << ": can't be read\n";
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    auto settings = chalksail::config::parse_settings(text, file);
    if (!settings) {
        for (const auto& problem : settings.error()) std::cerr << format(problem) << '\n';
        return std::nullopt;
    }
    return std::move(*settings);
}

int check(const std::string& file) {
    const auto settings = read_settings(file);
    if (!settings) return 1;
    bool good = true;
    for (const auto& kind : settings->kinds) {
        if (!kind.tls) continue;
        chalksail::net::tls::CertificateReloader files(*kind.tls);
        if (files.poll(std::time(nullptr)) == chalksail::net::tls::CertificateReloader::PollResult::replaced)
            continue;
        std::cerr << file << ": kind '" << kind.name << "': " << files.error() << '\n';
        good = false;
    }
    if (settings->listener_tls) {
        chalksail::net::tls::CertificateReloader files(*settings->listener_tls);
        if (files.poll(std::time(nullptr)) !=
            chalksail::net::tls::CertificateReloader::PollResult::replaced) {
            std::cerr << file << ": listener: " << files.error() << '\n';
            good = false;
        }
    }
    if (!good) return 1;
    std::cout << file << ": good: " << settings->classes.size() << " classes, " << settings->kinds.size()
              << " kinds, " << settings->servers.size() << " servers, " << settings->tenants.size()
              << " tenants\n";
    return 0;
}

// SIGTERM and SIGINT start a graceful shutdown, SIGHUP a reload. Signals are caught from before the listener
// opens, so that none ends the program while it has accepted requests. One that arrives before the loop runs
// is handled in its first iteration.
class Signals {
public:
    // Reads the configuration again; the error says why it was not applied.
    using Reload = std::function<tl::expected<void, std::string>()>;

    explicit Signals(chalksail::observe::Log& log) : log_(log) {}
    // Which server and reload the signals are for; call it before the loop runs.
    void serve(chalksail::net::EdgeServer& server, Reload reload) {
        server_ = &server;
        reload_ = std::move(reload);
    }
    void start(uv_loop_t& loop) {
        terminate_.emplace(loop, SIGTERM, [this] { server_->drain(); });
        terminate_->unref();
        interrupt_.emplace(loop, SIGINT, [this] { server_->drain(); });
        interrupt_->unref();
        retry_timer_.emplace(loop, [this] { try_reload(); });
        retry_timer_->unref();
        reload_signal_.emplace(loop, SIGHUP, [this] { on_reload_signal(); });
        reload_signal_->unref();
    }
    // Closes the handles: the loop has to run once more.
    void stop() {
        retry_timer_.reset();
        reload_signal_.reset();
        terminate_.reset();
        interrupt_.reset();
    }

private:
    static constexpr chalksail::Duration kRetryPauseMin = std::chrono::milliseconds(10);
    static constexpr chalksail::Duration kRetryPauseMax = std::chrono::milliseconds(100);
    // A new configuration is in force some seconds after its signal: by then it has been read, or is bad.
    static constexpr chalksail::Duration kRetryTimeout = std::chrono::seconds(3);

    void on_reload_signal() {
        retry_until_ = chalksail::net::uv_now_time() + kRetryTimeout;
        backoff_.reset();
        logged_error_.clear();
        try_reload();
    }
    // Guards against giving up a reload because the file is being replaced or written at that moment, or no
    // file descriptor is free.
    void try_reload() {
        // The server may have ended in this iteration; what a reload would change no longer exists then.
        if (server_->finished()) return;
        const auto reloaded = reload_();
        if (reloaded) return;
        if (reloaded.error() != logged_error_)
            log_.error("configuration", reloaded.error() + "; the old one stays");
        logged_error_ = reloaded.error();
        if (chalksail::net::uv_now_time() >= retry_until_) return;
        retry_timer_->start_once(std::chrono::duration_cast<std::chrono::milliseconds>(backoff_.next()));
    }

    chalksail::observe::Log& log_;
    chalksail::net::EdgeServer* server_ = nullptr;
    Reload reload_;
    std::optional<chalksail::net::SignalHandle> terminate_;
    std::optional<chalksail::net::SignalHandle> interrupt_;
    std::optional<chalksail::net::SignalHandle> reload_signal_;
    std::optional<chalksail::net::Timer> retry_timer_;
    chalksail::Backoff backoff_{kRetryPauseMin, kRetryPauseMax};
    chalksail::Time retry_until_{};
    std::string logged_error_;  // of this reload, the last one logged
};

// Where the endpoint list and a new configuration come from. Both may need the loop.
struct Origin {
    std::unique_ptr<chalksail::membership::EndpointSource> list;
    Signals::Reload reload;
};
// Guards against a gateway that does not start because its machine is short of file descriptors at that
// moment. Returns 0 or an error of libuv's.
int open_loop(uv_loop_t& loop) {
    int error = 0;
    for (int attempts = 0; attempts < kStartAttempts; ++attempts) {
        error = uv_loop_init(&loop);
        if (error == 0) return 0;
        uv_sleep(kStartPauseMs);
    }
    return error;
}
// Serves until a signal ends it.
int serve(const EdgeSettings& settings,
          const std::function<Origin(uv_loop_t&, chalksail::observe::Log&)>& origin_of) {
    std::signal(SIGPIPE, SIG_IGN);
    chalksail::observe::Log log(settings.name, settings.log_level);
    uv_loop_t loop;
    if (const int error = open_loop(loop); error != 0) {
        std::cerr << "chalksail-edge: no event loop: " << uv_strerror(error) << '\n';
        return 1;
    }
    int status = 0;
    Signals signals(log);
    signals.start(loop);
    try {
        Origin origin = origin_of(loop, log);
        chalksail::net::EdgeServer server(loop, settings, log, std::move(origin.list));
        const auto reload_tls = [&server]() -> tl::expected<void, std::string> {
            server.reload_tls();
            return {};
        };
        signals.serve(server, origin.reload ? std::move(origin.reload) : reload_tls);
        chalksail::json::ObjectWriter line;
        line.text("event", "listening").text("address", format_address(server.address()));
        if (settings.admin) line.text("admin", format_address(server.admin_address()));
        std::cout << line.done() << std::endl;
        uv_run(&loop, UV_RUN_DEFAULT);
    } catch (const std::exception& error) {
        std::cerr << "chalksail-edge: " << error.what() << '\n';
        status = 1;
    }
    signals.stop();
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    uv_loop_close(&loop);
    return status;
}

int serve(const std::string& file) {
    auto settings = read_settings(file);
    if (!settings) return 1;
    if (settings->seed == 0) settings->seed = std::random_device()() | 1U;
    return serve(*settings, [](uv_loop_t&, chalksail::observe::Log&) { return Origin{}; });
}

// ---- the users' platform ----

// An environment variable; empty if it is not set.
std::string variable(const char* name) {
    const char* const value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

constexpr std::string_view kUnreadable = "can't be read";

// A reload reads the file alone: the variables override only at the start.
tl::expected<chalksail::platform::Configuration, std::string> read_configuration(
    const std::string& file, const chalksail::platform::Environment& environment) {
    std::ifstream in(file, std::ios::binary);
    if (!in) return tl::unexpected(std::string(kUnreadable));
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    auto out = chalksail::platform::parse_configuration(text, environment);
    if (!out) return out;
    try {
        chalksail::validate(out->settings);
    } catch (const std::invalid_argument& error) {
        return tl::unexpected("field 'settings': " + std::string(error.what()));
    }
    return out;
}

int serve_platform() {
    const std::string file = variable("EDGE_CONFIG");
    if (file.empty()) {
        std::cerr << "chalksail-edge: EDGE_CONFIG is not set\n";
        return 1;
    }
    const chalksail::platform::Environment environment{variable("EDGE_NAME"), variable("EDGE_LISTEN"),
                                                       variable("EDGE_DISCOVERY")};
    auto configuration = read_configuration(file, environment);
    // The same retries for a file that can't be opened at that moment.
    for (int tries = 0; !configuration && configuration.error() == kUnreadable && tries < kStartAttempts;
         ++tries) {
        uv_sleep(kStartPauseMs);
        configuration = read_configuration(file, environment);
    }
    if (!configuration) {
        std::cerr << file << ": " << configuration.error() << '\n';
        return 1;
    }
    const auto settings = chalksail::core::platform_settings(*configuration);
    return serve(settings, [&](uv_loop_t& loop, chalksail::observe::Log& log) {
        const auto& l = configuration->limits;
        log.info("configuration",
                 "gateway " + std::to_string(settings.router.gateway) + " of " +
                     std::to_string(settings.router.gateways) + "; " + std::to_string(l.memory_mb) + " MB, " +
                     std::to_string(l.sockets) + " descriptors: " +
                     std::to_string(settings.limits.client_connections) + " for clients, " +
                     std::to_string(settings.limits.server_connections) + " for servers; streams " +
                     (settings.router.stream_resumption_enabled ? "can" : "can't") + " be resumed");
        auto watch = std::make_unique<chalksail::net::DiscoveryWatch>(loop, log, configuration->discovery,
                                                                      std::move(configuration->known));
        auto* const list = watch.get();
        const auto reload = [list, file]() -> tl::expected<void, std::string> {
            const auto now = read_configuration(file, {});
            if (!now) return tl::unexpected(file + ": " + now.error());
            list->move(now->discovery);
            return {};
        };
        return Origin{std::move(watch), reload};
    });
}

}  // namespace

int main(int argc, char** argv) {
    chalksail::configure_allocator();
    CLI::App app{
        "chalksail-edge: a router for language-model serving with separate prefill and decode engines"};
    app.require_subcommand(1);
    std::string file;
    auto* serve_command =
        app.add_subcommand("serve", "Serve until SIGTERM or SIGINT; then finish what is open and exit 0");
    serve_command->add_option("settings", file, "The settings, a KDL file")->required();
    auto* platform_command = app.add_subcommand(
        "platform",
        "Serve as a gateway of the platform that EDGE_CONFIG and the other EDGE_ variables describe");
    auto* check_command = app.add_subcommand(
        "check", "Check a settings file: exit 0 if it is good, 1 with each problem's place");
    check_command->add_option("settings", file, "The settings, a KDL file")->required();
    auto* tls_command = app.add_subcommand("tls", "TLS to servers");
    tls_command->require_subcommand(1);
    auto* probe_command =
        tls_command->add_subcommand("probe", "Show what a server presents, and whether it would be taken");
    std::string server, name, trust;
    probe_command->add_option("address", server, "IP:PORT of the server")->required();
    probe_command->add_option("--name", name, "The name that it must prove; else its address");
    probe_command->add_option("--trust", trust, "PEM bundle of the CAs that may sign for it")->required();
    CLI11_PARSE(app, argc, argv);
    if (probe_command->parsed()) return tls_probe(server, name, trust);
    if (platform_command->parsed()) return serve_platform();
    return check_command->parsed() ? check(file) : serve(file);
}
