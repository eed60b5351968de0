// An edge on real sockets in the test's own process and loop, with raw clients and servers around it.
#pragma once

#include <gtest/gtest.h>
#include <uv.h>

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/exchange.hpp"
#include "net/edge_server.hpp"
#include "net/http_server.hpp"

namespace chalksail::net::testing {

using namespace std::chrono_literals;

// A client connection that sends raw bytes and records the received ones.
class RawClient {
public:
    RawClient(uv_loop_t& loop, const Address& address) : state_(new State) {
        state_->self = state_;
        uv_tcp_init(&loop, &state_->socket);
        uv_tcp_nodelay(&state_->socket, 1);  // a request is sent even if an earlier one was not acknowledged
        state_->socket.data = state_;
        state_->connect.data = state_;
        sockaddr_in where{};
        uv_ip4_addr(address.host.c_str(), address.port, &where);
        const int error =
            uv_tcp_connect(&state_->connect, &state_->socket, reinterpret_cast<const sockaddr*>(&where),
                           [](uv_connect_t* c, int status) {
                               auto* s = static_cast<State*>(c->data);
                               if (status != 0) {
                                   s->closed = true;
                                   return;
                               }
                               s->connected = true;
                               if (s->reading) s->read();
                               s->flush();
                           });
        if (error != 0) state_->closed = true;  // this machine has no descriptor for it
    }
    ~RawClient() { close(); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    void send(std::string bytes) {
        state_->out += bytes;
        if (state_->connected) state_->flush();
    }
    void stop_reading() {
        state_->reading = false;
        if (state_->connected) uv_read_stop(reinterpret_cast<uv_stream_t*>(&state_->socket));
    }
    void resume_reading() {
        state_->reading = true;
        if (state_->connected) state_->read();
    }
    void close() {
        if (state_ == nullptr) return;
        uv_close(reinterpret_cast<uv_handle_t*>(&state_->socket),
                 [](uv_handle_t* h) { delete static_cast<State*>(h->data); });
        state_ = nullptr;
    }
    [[nodiscard]] const std::string& got() const { return state_->got; }
    [[nodiscard]] bool closed() const { return state_->closed; }

private:
    struct State {
        uv_tcp_t socket{};
        uv_connect_t connect{};
        State* self = nullptr;
        std::string out, got;
        std::vector<char> buffer = std::vector<char>(65536);
        bool connected = false, closed = false, reading = true;
        void read() {
            uv_read_start(
                reinterpret_cast<uv_stream_t*>(&socket),
                [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
                    auto* s = static_cast<State*>(h->data);
                    *b = uv_buf_init(s->buffer.data(), static_cast<unsigned>(s->buffer.size()));
                },
                [](uv_stream_t* st, ssize_t n, const uv_buf_t* b) {
                    auto* s = static_cast<State*>(st->data);
                    if (n > 0) s->got.append(b->base, static_cast<std::size_t>(n));
                    else if (n < 0) s->closed = true;
                });
        }
        void flush() {
            if (out.empty()) return;
            struct Job {
                uv_write_t w{};
                std::string bytes;
            };
            auto* job = new Job;
            job->bytes.swap(out);
            job->w.data = job;
            uv_buf_t b = uv_buf_init(job->bytes.data(), static_cast<unsigned>(job->bytes.size()));
            uv_write(&job->w, reinterpret_cast<uv_stream_t*>(&socket), &b, 1,
                     [](uv_write_t* w, int) { delete static_cast<Job*>(w->data); });
        }
    };
    State* state_;
};

// A server that calls `on_bytes` with the connection after each complete request; `last` is that request.
class RawServer {
public:
    struct Peer {
        uv_tcp_t socket{};
        RawServer* server = nullptr;
        std::string got;
        std::vector<char> buffer = std::vector<char>(65536);
        bool disconnected = false;
        std::size_t written = 0;  // Bytes of completed writes
        void send(std::string bytes) {
            if (disconnected) return;
            struct Job {
                uv_write_t w{};
                std::string bytes;
                Peer* peer = nullptr;
            };
            auto* job = new Job{{}, std::move(bytes), this};
            job->w.data = job;
            uv_buf_t b = uv_buf_init(job->bytes.data(), static_cast<unsigned>(job->bytes.size()));
            uv_write(&job->w, reinterpret_cast<uv_stream_t*>(&socket), &b, 1, [](uv_write_t* w, int status) {
                auto* done = static_cast<Job*>(w->data);
                if (status == 0) done->peer->written += done->bytes.size();
                delete done;
            });
        }
        void close() {
            if (disconnected) return;
            disconnected = true;
            uv_close(reinterpret_cast<uv_handle_t*>(&socket), nullptr);
        }
    };

    RawServer(uv_loop_t& loop, std::function<void(Peer&)> on_bytes) : on_bytes_(std::move(on_bytes)) {
        listener_ = new uv_tcp_t;
        uv_tcp_init(&loop, listener_);
        listener_->data = this;
        sockaddr_in where{};
        uv_ip4_addr("127.0.0.1", 0, &where);
        uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&where), 0);
        uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 64, [](uv_stream_t* l, int) {
            auto& server = *static_cast<RawServer*>(l->data);
            server.peers.push_back(std::make_unique<Peer>());
            Peer& p = *server.peers.back();
            p.server = &server;
            uv_tcp_init(l->loop, &p.socket);
            p.socket.data = &p;
            uv_accept(l, reinterpret_cast<uv_stream_t*>(&p.socket));
            uv_read_start(
                reinterpret_cast<uv_stream_t*>(&p.socket),
                [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
                    auto* peer = static_cast<Peer*>(h->data);
                    *b = uv_buf_init(peer->buffer.data(), static_cast<unsigned>(peer->buffer.size()));
                },
                [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
                    auto& peer = *static_cast<Peer*>(s->data);
                    if (n < 0) return peer.close();
                    peer.got.append(b->base, static_cast<std::size_t>(n));
                    // The request is complete if its head and Content-Length bytes of body were received.
                    const auto head = peer.got.find("\r\n\r\n");
                    if (head == std::string::npos) return;
                    const auto length = peer.got.find("Content-Length: ");
                    const std::size_t body = length < head ? std::stoul(peer.got.substr(length + 16)) : 0;
                    if (peer.got.size() >= head + 4 + body) {
                        peer.server->requests += 1;
                        peer.server->last = peer.got;
                        peer.got.erase(0, head + 4 + body);
                        peer.server->on_bytes_(peer);
                    }
                });
        });
        sockaddr_storage bound{};
        int n = sizeof bound;
        uv_tcp_getsockname(listener_, reinterpret_cast<sockaddr*>(&bound), &n);
        address = {"127.0.0.1", ntohs(reinterpret_cast<sockaddr_in&>(bound).sin_port)};
    }
    ~RawServer() {
        for (auto& p : peers) p->close();
        uv_close(reinterpret_cast<uv_handle_t*>(listener_),
                 [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
        auto* loop = listener_->loop;
        while (std::any_of(peers.begin(), peers.end(), [](const auto& p) {
            return uv_is_active(reinterpret_cast<uv_handle_t*>(&p->socket)) != 0;
        }))
            uv_run(loop, UV_RUN_NOWAIT);
        uv_run(loop, UV_RUN_NOWAIT);
    }
    Address address;
    std::vector<std::unique_ptr<Peer>> peers;
    int requests = 0;
    std::string last;

private:
    std::function<void(Peer&)> on_bytes_;
    uv_tcp_t* listener_ = nullptr;
};

inline std::string sized(int status, const std::string& body, const std::string& more = "") {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           more + "\r\n" + body;
}
inline const std::string kReadOk = sized(
    200,
    R"({"usage":{"prompt_tokens":9},"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"r","remote_block_ids":[1]}})");
inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string chunked(const std::string& bytes) { return http::format_chunk(bytes); }
inline std::string token(const std::string& text) {
    return "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
}
inline const std::string kWriteOk =
    kStreamHead + chunked(token("hello")) + chunked("data: [DONE]\n\n") + "0\r\n\r\n";

inline std::string post(const std::string& model, const std::string& more = R"(,"stream":true)") {
    const std::string body = R"({"model":")" + model +
                             R"(","messages":[{"role":"user","content":"hi"}],"max_tokens":9)" + more + "}";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

class Rig : public ::testing::Test {
protected:
    Rig() {
        std::signal(SIGPIPE, SIG_IGN);  // as in the program: a peer may have closed its connection
        uv_loop_init(&loop);
    }
    ~Rig() override {
        clients.clear();
        edge.reset();
        writer.reset();
        reader.reset();
        for (int i = 0; i < 1000 && uv_run(&loop, UV_RUN_NOWAIT) != 0; ++i) {
        }
        EXPECT_EQ(uv_loop_close(&loop), 0) << "a handle is still open";
    }
    // Starts a well-behaved reader, a writer that runs `write` for each request, and the edge.
    void start(std::function<void(RawServer::Peer&)> write, const std::string& more = "") {
        reader = std::make_unique<RawServer>(loop, [](RawServer::Peer& p) {
            p.send(p.server->last.find("kv_transfer/release") == std::string::npos ? kReadOk
                                                                                   : sized(200, "{}"));
        });
        writer = std::make_unique<RawServer>(loop, std::move(write));
        // A long dial time-out, so that a slow machine does not look like an unreachable server.
        std::string rest = more.find("rules {") == std::string::npos ? more + "\nrules { }" : more;
        rest.replace(rest.find("rules {"), 7, "rules { dial-timeout \"5s\";");
        const std::string text = R"(name "t"
            seed 1
            class "once" { when model="once"; aim "1s"; deadline "5s"; effect "once"; }
            class "chat" { aim "1s"; deadline "5s"; }
            kind "r" { role "prefill"; }
            kind "w" { role "decode"; }
            log-level "error"
            server "r1" kind="r" address=")" +
                                 format_address(reader->address) + R"("
            server "w1" kind="w" address=")" +
                                 format_address(writer->address) + "\"\n" + rest;
        auto parsed = config::parse_settings(text, "t");
        if (!parsed) throw std::runtime_error(format(parsed.error().front()));
        log = std::make_unique<observe::Log>("t", "error");
        edge = std::make_unique<EdgeServer>(loop, *parsed, *log);
    }
    RawClient& client() {
        clients.push_back(std::make_unique<RawClient>(loop, edge->address()));
        return *clients.back();
    }
    // Runs the loop until the condition holds. The time limit only keeps a broken build from hanging.
    bool until(const std::function<bool()>& condition) {
        const auto limit = uv_hrtime() + 60'000'000'000ULL;
        while (!condition() && uv_hrtime() < limit) uv_run(&loop, UV_RUN_ONCE);
        return condition();
    }
    // Waits until connections whose response has ended by now may be reused.
    void pass_reuse_delay() {
        const Time end = uv_now_time() + config::EdgeLimits{}.server_reuse_delay;
        until([end] { return uv_now_time() > end; });
    }
    bool served(const std::string& bytes = post("m")) {
        RawClient& c = client();
        c.send(bytes);
        return until([&] { return c.got().find("0\r\n\r\n") != std::string::npos || c.closed(); }) &&
               c.got().find("[DONE]") != std::string::npos;
    }

    uv_loop_t loop{};
    std::unique_ptr<observe::Log> log;
    std::unique_ptr<RawServer> reader, writer;
    std::unique_ptr<EdgeServer> edge;
    std::vector<std::unique_ptr<RawClient>> clients;
};

}  // namespace chalksail::net::testing
