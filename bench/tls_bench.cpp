// What TLS costs, on one machine in one run: CPU for each handshake beside the bare operations that it is
// made of (those of `openssl speed ecdsap256 ecdhx25519`), and bytes a second through the pool and the
// server, in the clear and through the filter.
//
//   build/bin/chalksail-tls-bench      some 20 s; prints one JSON object
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "base/json.hpp"
#include "ca/ca.hpp"
#include "net/http_server.hpp"
#include "net/tls/filter.hpp"
#include "net/upstream_pool.hpp"

using namespace chalksail;

namespace {

constexpr int kHandshakes = 2000;
constexpr std::size_t kBytes = std::size_t{512} * 1024 * 1024;

double cpu_us() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}
double each_us(int times, const std::function<void()>& act) {
    const double begin = cpu_us();
    for (int i = 0; i < times; ++i) act();
    return (cpu_us() - begin) / times;
}

// ---- handshakes ----

struct Sides {
    double client_us = 0;
    double server_us = 0;
    double resumed = 0;
};
Sides handshakes(const std::shared_ptr<net::tls::Context>& client,
                 const std::shared_ptr<net::tls::Context>& server, net::tls::SessionCache* sessions) {
    Sides out;
    const auto now = std::time(nullptr);
    for (int i = 0; i < kHandshakes; ++i) {
        const auto timed = [](double& into, const std::function<std::string()>& act) {
            const double begin = cpu_us();
            auto bytes = act();
            into += cpu_us() - begin;
            return bytes;
        };
        std::unique_ptr<net::tls::Filter> c, s;
        std::string to_server = timed(out.client_us, [&] {
            c = net::tls::Filter::client(client, "engine.example.org", sessions, now);
            return c->start().to_peer;
        });
        timed(out.server_us, [&] {
            s = net::tls::Filter::server(server, now);
            return std::string();
        });
        while (!to_server.empty()) {
            const std::string to_client =
                timed(out.server_us, [&] { return s->from_peer(to_server).to_peer; });
            to_server = timed(out.client_us, [&] { return c->from_peer(to_client).to_peer; });
        }
        out.resumed += c->resumed() ? 1 : 0;
    }
    out.client_us /= kHandshakes;
    out.server_us /= kHandshakes;
    out.resumed /= kHandshakes;
    return out;
}

struct Bare {
    double sign = 0, verify = 0, make_share = 0, derive = 0;
};
Bare bare() {
    Bare out;
    EVP_PKEY* const key = EVP_EC_gen("P-256");
    const std::string text(130, 't');
    std::string signature(256, '\0');
    std::size_t length = 0;
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    auto* sig = reinterpret_cast<unsigned char*>(signature.data());
    out.sign = each_us(kHandshakes, [&] {
        EVP_MD_CTX* const ctx = EVP_MD_CTX_new();
        length = signature.size();
        EVP_DigestSignInit(ctx, nullptr, EVP_sha256(), nullptr, key);
        EVP_DigestSign(ctx, sig, &length, bytes, text.size());
        EVP_MD_CTX_free(ctx);
    });
    bool good = true;
    out.verify = each_us(kHandshakes, [&] {
        EVP_MD_CTX* const ctx = EVP_MD_CTX_new();
        EVP_DigestVerifyInit(ctx, nullptr, EVP_sha256(), nullptr, key);
        good = good && EVP_DigestVerify(ctx, sig, length, bytes, text.size()) == 1;
        EVP_MD_CTX_free(ctx);
    });
    out.make_share =
        each_us(kHandshakes, [] { EVP_PKEY_free(EVP_PKEY_Q_keygen(nullptr, nullptr, "X25519")); });
    EVP_PKEY* const a = EVP_PKEY_Q_keygen(nullptr, nullptr, "X25519");
    EVP_PKEY* const b = EVP_PKEY_Q_keygen(nullptr, nullptr, "X25519");
    out.derive = each_us(kHandshakes, [&] {
        unsigned char secret[32];
        std::size_t n = sizeof secret;
        EVP_PKEY_CTX* const ctx = EVP_PKEY_CTX_new(a, nullptr);
        EVP_PKEY_derive_init(ctx);
        EVP_PKEY_derive_set_peer(ctx, b);
        EVP_PKEY_derive(ctx, secret, &n);
        EVP_PKEY_CTX_free(ctx);
    });
    for (auto* k : {key, a, b}) EVP_PKEY_free(k);
    if (!good) throw std::runtime_error("the bare operations failed");
    return out;
}

// ---- bytes ----

struct Flood : net::HttpServer::Handler, net::UpstreamPool::Handler {
    Flood(uv_loop_t& l, std::shared_ptr<net::tls::Context> context)
        : loop(l),
          server(l, static_cast<net::HttpServer::Handler&>(*this), {}),
          pool(l, static_cast<net::UpstreamPool::Handler&>(*this), {}) {
        server.set_tls(std::move(context));
        clear = server.listen({"127.0.0.1", 0});
        tls = server.listen({"127.0.0.1", 0}, net::HttpServer::Transport::tls);
    }
    void on_request(net::HttpServer::Peer p, http::Request, Time) override {
        peer = p;
        server.begin_stream(p, {});
    }
    void on_closed(net::HttpServer::Peer, const net::ConnectionEnd&) override { peer = 0; }
    void on_backlog(net::HttpServer::Peer, bool is_full) override { full = is_full; }
    void on_head(net::UpstreamPool::Call, int, http::Headers) override {}
    void on_body(net::UpstreamPool::Call, std::string bytes) override { got += bytes.size(); }
    void on_done(net::UpstreamPool::Call) override { done = true; }
    void on_failed(net::UpstreamPool::Call, engine::ExchangeEnd, std::string why) override {
        throw std::runtime_error(why);
    }
    // Bytes for each CPU second of both ends together, in pieces of this size.
    double run(const net::Target& to, std::size_t piece, std::size_t bytes) {
        got = 0;
        done = false;
        full = false;
        peer = 0;
        const std::string part(piece, 'x');
        const double begin = cpu_us();
        pool.start(++last, to, {"GET", "/", {}, {}});
        std::size_t sent = 0;
        while (!done) {
            uv_run(&loop, UV_RUN_NOWAIT);
            for (int i = 0; i < 64 && peer != 0 && !full && sent < bytes; ++i, sent += piece) {
                server.stream(peer, part);
                server.flush();
            }
            if (peer != 0 && sent >= bytes) {
                server.end_stream(peer);
                server.flush();
                peer = 0;
            }
        }
        return static_cast<double>(got) / (cpu_us() - begin) * 1e6;
    }
    uv_loop_t& loop;
    net::HttpServer server;
    net::UpstreamPool pool;
    Address clear, tls;
    net::HttpServer::Peer peer = 0;
    net::UpstreamPool::Call last = 0;
    bool full = false, done = false;
    std::size_t got = 0;
};

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    const auto now = std::time(nullptr);
    lab::Authority ca("bench", now - 100, now + 100'000);
    const auto issued = ca.issue({{"engine.example.org"}, {}, now - 100, now + 10'000, true, 0, 0});
    const auto client = *net::tls::Context::client({ca.certificate(), "", "", ""}, now);
    const auto server = *net::tls::Context::server({"", "", issued.certificate, issued.key}, now);

    const auto full = handshakes(client, server, nullptr);
    net::tls::SessionCache sessions;
    (void)handshakes(client, server, &sessions);
    const auto resumed = handshakes(client, server, &sessions);
    const auto parts = bare();
    // A full handshake's public-key work: the client makes a share, derives, and verifies the leaf and the
    // server's own signature; the server makes a share, derives and signs.
    const double client_bare = parts.make_share + parts.derive + 2 * parts.verify;
    const double server_bare = parts.make_share + parts.derive + parts.sign;

    uv_loop_t loop;
    uv_loop_init(&loop);
    Flood flood(loop, server);
    net::Target verified(flood.tls);
    verified.tls = client;
    verified.tls_name = "engine.example.org";
    const auto ratio = [&](std::size_t piece, std::size_t bytes) {
        // Turn about, so that whatever else the machine does meets both.
        double clear = 0, tls = 0;
        for (int i = 0; i < 3; ++i) {
            clear += flood.run(flood.clear, piece, bytes);
            tls += flood.run(verified, piece, bytes);
        }
        return std::pair{tls / clear, tls / 3};
    };
    const auto large = ratio(64 * 1024, kBytes);
    const auto small = ratio(256, kBytes / 16);

    std::cout << json::ObjectWriter()
                     .number("full_client_us", full.client_us)
                     .number("full_server_us", full.server_us)
                     .number("resumed_client_us", resumed.client_us)
                     .number("resumed_server_us", resumed.server_us)
                     .number("resumed_share", resumed.resumed)
                     .number("bare_p256_sign_us", parts.sign)
                     .number("bare_p256_verify_us", parts.verify)
                     .number("bare_x25519_keygen_us", parts.make_share)
                     .number("bare_x25519_derive_us", parts.derive)
                     .number("full_client_over_bare", full.client_us / client_bare)
                     .number("full_server_over_bare", full.server_us / server_bare)
                     .number("bytes_per_cpu_s_64KiB_ratio", large.first)
                     .number("bytes_per_cpu_s_64KiB_tls", large.second)
                     .number("bytes_per_cpu_s_256B_ratio", small.first)
                     .done()
              << std::endl;
    _exit(0);
}
