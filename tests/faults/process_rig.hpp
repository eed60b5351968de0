// Runs `chalksail-edge platform` as a separate process. Discovery, readers, writers and clients are stand-ins
// in the test's process; all connections are on loopback. Only the gateway loads the fault shim.
#pragma once

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

#include "net/platform_rig.hpp"

namespace chalksail::faults::testing {

using net::testing::chunked;
using net::testing::DirectClient;
using net::testing::kAcceptedResponse;
using net::testing::kNoContentResponse;
using net::testing::kStream;
using net::testing::kStreamHead;
using net::testing::RawServer;
namespace platform_messages = platform::testing;

// A server whose process hangs: the kernel completes connections to it and buffers their bytes, but no
// process reads them.
class HungServer {
public:
    HungServer() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in bound{};
        uv_ip4_addr("127.0.0.1", 0, &bound);
        EXPECT_EQ(bind(socket_, reinterpret_cast<const sockaddr*>(&bound), sizeof bound), 0);
        EXPECT_EQ(listen(socket_, 64), 0);
        socklen_t size = sizeof bound;
        getsockname(socket_, reinterpret_cast<sockaddr*>(&bound), &size);
        address_ = {"127.0.0.1", ntohs(bound.sin_port)};
    }
    ~HungServer() { ::close(socket_); }
    HungServer(const HungServer&) = delete;
    HungServer& operator=(const HungServer&) = delete;
    [[nodiscard]] const Address& address() const { return address_; }

private:
    int socket_ = -1;
    Address address_;
};

class ProcessRig : public ::testing::Test {
protected:
    static constexpr auto kTestTimeout = std::chrono::seconds(30);  // maximum duration of one until()

    ProcessRig() {
        std::signal(SIGPIPE, SIG_IGN);
        uv_loop_init(&loop);
        char name[] = "/tmp/chalksail-faults-XXXXXX";
        folder = mkdtemp(name);
    }
    ~ProcessRig() override {
        stop_all();
        for (int i = 0; i < 1000 && uv_run(&loop, UV_RUN_NOWAIT) != 0; ++i) {
        }
        uv_loop_close(&loop);
        std::filesystem::remove_all(folder);
    }

    // Stops the gateway and its stand-ins. start() may be called again afterwards.
    void stop_all() {
        end_gateway_process();
        discovery.reset();
        reader.reset();
        writer.reset();
        releases = 0;
    }
    void start_reader() {
        reader = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            const bool release = p.server->last.starts_with("DELETE");
            releases += release ? 1 : 0;
            p.send(release ? kNoContentResponse : kAcceptedResponse);
        });
    }
    void start_writer() {
        writer = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            const bool release = p.server->last.starts_with("DELETE");
            releases += release ? 1 : 0;
            p.send(release ? kNoContentResponse : kStream);
        });
    }
    // Starts the gateway with a list of one reader and one writer, and waits until it listens.
    void start(const Address& reader_address, const Address& writer_address, const std::string& plan) {
        start_with_list(
            platform_messages::list_text(
                platform_messages::instance("r1", "reader", format_address(reader_address)) + "," +
                platform_messages::instance("w1", "writer", format_address(writer_address))),
            plan);
    }
    // Starts the gateway and a discovery service with this list. The configuration's cached list is `known`,
    // or the same list by default.
    void start_with_list(const std::string& list, const std::string& plan,
                         const std::optional<std::string>& known = {}) {
        discovery = std::make_unique<RawServer>(loop, [list](RawServer::Peer& p) {
            p.send(net::testing::is_watch_request(*p.server) ? kStreamHead : net::testing::sized(200, list));
        });
        start_with_discovery(discovery->address, known.value_or(list), plan);
    }
    // Starts the gateway with a discovery service at this address and a cached list in its configuration.
    void start_with_discovery(const Address& discovery_address, const std::string& known,
                              const std::string& plan) {
        write_configuration(discovery_address, known);
        spawn(configuration_file(), plan);
        ASSERT_TRUE(until([this] { return out.find("listening") != std::string::npos || exited; }));
        ASSERT_FALSE(exited) << log();
        const auto at = out.find("127.0.0.1:");
        address = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(out.substr(at + 10)))};
    }
    // Runs the loop until `condition` holds. Returns false if it does not within kTestTimeout.
    bool until(const std::function<bool()>& condition) {
        const auto end = std::chrono::steady_clock::now() + kTestTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) return false;
            uv_run(&loop, UV_RUN_NOWAIT);
            usleep(500);
        }
        return true;
    }
    [[nodiscard]] std::string configuration_file() const { return folder + "/config.json"; }
    void write_configuration(const Address& discovery_address, const std::string& known) const {
        std::string text = platform_messages::configuration_text(format_address(discovery_address), known);
        // A busy machine must not cause dial time-outs.
        const std::string dial_timeout = "\"dial_timeout_ns\":250000000";
        text.replace(text.find(dial_timeout), dial_timeout.size(), "\"dial_timeout_ns\":5000000000");
        for (const auto& [from, to] : settings) {
            ASSERT_NE(text.find(from), std::string::npos) << from;
            text.replace(text.find(from), from.size(), to);
        }
        std::ofstream(configuration_file()) << text;
    }
    void reload() { uv_process_kill(&process_, SIGHUP); }
    void terminate() { uv_process_kill(&process_, SIGTERM); }
    void kill() { uv_process_kill(&process_, SIGKILL); }
    [[nodiscard]] pid_t gateway() const { return process_.pid; }
    // Sends `count` requests, each on a connection of its own, and returns how many receive a complete
    // stream.
    int count_served(int count, const std::string& id_prefix) {
        std::vector<std::unique_ptr<DirectClient>> clients;
        for (int i = 0; i < count; ++i) {
            clients.push_back(std::make_unique<DirectClient>(address));
            clients.back()->send(
                platform_messages::post(id_prefix + std::to_string(i), "chat", "", "20000m"));
        }
        int served = 0;
        for (auto& client : clients)
            served += answered_completely(*client) && client->got.find("[DONE]") != std::string::npos ? 1 : 0;
        return served;
    }
    // Waits until the client has a complete response or its connection has ended, and returns whether it has
    // one.
    bool answered_completely(DirectClient& client) {
        bool open = true;
        const auto complete = [&] {
            return client.got.find("0\r\n\r\n") != std::string::npos ||
                   client.got.find("\"error\"") != std::string::npos;
        };
        until([&] {
            open = client.read();
            return complete() || !open;
        });
        return complete();
    }
    [[nodiscard]] std::string log() const {
        std::ifstream in(folder + "/log");
        return {std::istreambuf_iterator<char>(in), {}};
    }

    uv_loop_t loop{};
    std::string folder;
    // Parts of the configuration's text and their replacements.
    std::vector<std::pair<std::string, std::string>> settings;
    std::string out;  // the gateway's standard output
    Address address;
    std::unique_ptr<RawServer> discovery, reader, writer;
    int releases = 0;  // number of release calls received by a reader or writer
    bool exited = false;

    void end_gateway_process() {
        end_gateway();
        out.clear();
        exited = started_ = false;
    }

private:
    void spawn(const std::string& config, const std::string& plan) {
        uv_pipe_init(&loop, &pipe_, 0);
        pipe_.data = this;
        log_file_ = ::open((folder + "/log").c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
        uv_stdio_container_t stdio[3];
        stdio[0].flags = UV_IGNORE;
        stdio[1].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
        stdio[1].data.stream = reinterpret_cast<uv_stream_t*>(&pipe_);
        stdio[2].flags = UV_INHERIT_FD;
        stdio[2].data.fd = log_file_;
        std::vector<std::string> environment = {"EDGE_CONFIG=" + config, "FAULT_PLAN=" + plan,
                                                "LD_PRELOAD=" FAULT_SHIM,
                                                "ASAN_OPTIONS=verify_asan_link_order=0"};
        std::vector<char*> environment_pointers;
        for (auto& e : environment) environment_pointers.push_back(e.data());
        environment_pointers.push_back(nullptr);
        std::string program = EDGE_PROGRAM, command = "platform";
        char* arguments[] = {program.data(), command.data(), nullptr};
        uv_process_options_t options{};
        options.file = program.c_str();
        options.args = arguments;
        options.env = environment_pointers.data();
        options.stdio = stdio;
        options.stdio_count = 3;
        options.exit_cb = [](uv_process_t* p, std::int64_t, int) {
            static_cast<ProcessRig*>(p->data)->exited = true;
        };
        process_.data = this;
        started_ = uv_spawn(&loop, &process_, &options) == 0;
        ASSERT_TRUE(started_);
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(&pipe_),
            [](uv_handle_t*, std::size_t size, uv_buf_t* b) {
                *b = uv_buf_init(new char[size], static_cast<unsigned>(size));
            },
            [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
                if (n > 0)
                    static_cast<ProcessRig*>(s->data)->out.append(b->base, static_cast<std::size_t>(n));
                else if (n < 0) uv_read_stop(s);
                delete[] b->base;
            });
    }
    void end_gateway() {
        if (!started_) return;
        if (!exited) uv_process_kill(&process_, SIGKILL);
        until([this] { return exited; });
        close_handle(reinterpret_cast<uv_handle_t*>(&process_));
        close_handle(reinterpret_cast<uv_handle_t*>(&pipe_));
        ::close(log_file_);
    }

    // Closes a handle and waits until it is closed, so that it can be initialized again.
    void close_handle(uv_handle_t* handle) {
        handle->data = &handles_closed_;
        const int before = handles_closed_;
        uv_close(handle, [](uv_handle_t* closed) { *static_cast<int*>(closed->data) += 1; });
        until([&] { return handles_closed_ > before; });
    }

    int handles_closed_ = 0;
    uv_process_t process_{};
    uv_pipe_t pipe_{};
    int log_file_ = -1;
    bool started_ = false;
};

}  // namespace chalksail::faults::testing
