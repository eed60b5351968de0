// Verified TLS between the edge and its engines, and TLS of the listener, on real sockets.
#include <filesystem>
#include <fstream>

#include "ca/ca.hpp"
#include "net/rig.hpp"

namespace chalksail::net::testing {
namespace {

// An engine with TLS that counts the decrypted requests.
class TlsEngine : HttpServer::Handler {
public:
    TlsEngine(uv_loop_t& loop, std::shared_ptr<tls::Context> context)
        : server(loop, static_cast<HttpServer::Handler&>(*this), {}) {
        server.set_tls(std::move(context));
        address = server.listen({"127.0.0.1", 0}, HttpServer::Transport::tls);
    }
    HttpServer server;
    Address address;
    int requests = 0;
    bool hold = false;  // Keeps the first stream open until finish()
    HttpServer::Peer held = 0;
    void finish() {
        server.stream(held, "data: [DONE]\n\n");
        server.end_stream(held);
        server.flush();
    }
    bool cut = false;  // Resets the connection after the first chunk, without close_notify

private:
    void on_request(HttpServer::Peer peer, http::Request request, Time) override {
        ++requests;
        if (request.target == "/health" || request.target.ends_with("release")) {
            server.reply(peer, 200, {}, "{}");
        } else if (request.body.find("\"do_remote_decode\":true") != std::string::npos) {
            server.reply(peer, 200, {},
                         R"({"kv_transfer_params":{"remote_engine_id":"r","remote_block_ids":[1]}})");
        } else {
            http::Headers headers;
            headers.add("Content-Type", "text/event-stream");
            server.begin_stream(peer, headers);
            server.stream(peer, token("hello"));
            if (cut) {
                server.flush();
                server.abort(peer, true);
                return;
            }
            if (hold && held == 0) {
                held = peer;
                server.flush();
                return;
            }
            server.stream(peer, "data: [DONE]\n\n");
            server.end_stream(peer);
        }
        server.flush();
    }
    void on_closed(HttpServer::Peer, const ConnectionEnd&) override {}
};

class TlsRig : public Rig {
protected:
    TlsRig() : now(std::time(nullptr)), ca("test", now - 1000, now + 100'000) {
        folder = std::filesystem::temp_directory_path() / ("chalksail-tls-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        write("ca.pem", ca.certificate());
    }
    ~TlsRig() override {
        clients.clear();
        edge.reset();
        engines.clear();
        std::filesystem::remove_all(folder);
    }
    void write(const std::string& name, const std::string& text) { std::ofstream(folder / name) << text; }
    TlsEngine& engine(const std::string& name) {
        const auto issued = ca.issue({{name}, {}, now - 1000, now + 10'000, true, 0, 0});
        engines.push_back(std::make_unique<TlsEngine>(
            loop, *tls::Context::server({"", "", issued.certificate, issued.key}, now)));
        return *engines.back();
    }
    config::EdgeSettings settings(const TlsEngine& read, const TlsEngine& written) {
        const std::string tls =
            "tls { name \"{name}.servers.example.org\"; trust \"" + (folder / "ca.pem").string() + "\"; }";
        const std::string text = R"(name "t"
            seed 1
            class "once" { when model="once"; aim "1s"; deadline "5s"; effect "once"; }
            class "chat" { aim "1s"; deadline "5s"; }
            kind "r" { role "prefill"; )" +
                                 tls + R"( }
            kind "w" { role "decode"; )" +
                                 tls + R"( }
            rules { read-in-place #false; dial-timeout "5s"; }
            server "prefill-1" kind="r" address=")" +
                                 format_address(read.address) + R"("
            server "decode-7" kind="w" address=")" +
                                 format_address(written.address) + "\"\n";
        auto parsed = config::parse_settings(text, "t");
        if (!parsed) throw std::runtime_error(format(parsed.error().front()));
        return std::move(*parsed);
    }
    void begin(const TlsEngine& read, const TlsEngine& written) {
        log = std::make_unique<observe::Log>("t", "error");
        edge = std::make_unique<EdgeServer>(loop, settings(read, written), *log);
    }
    std::string metrics() {
        RawClient admin(loop, edge->admin_address());
        admin.send("GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
        until([&] { return admin.closed(); });
        return admin.got();
    }

    std::int64_t now;
    lab::Authority ca;
    std::filesystem::path folder;
    std::vector<std::unique_ptr<TlsEngine>> engines;
};

TEST_F(TlsRig, ServesThroughVerifiedEngines) {
    begin(engine("prefill-1.servers.example.org"), engine("decode-7.servers.example.org"));
    EXPECT_TRUE(served());
    pass_reuse_delay();
    EXPECT_TRUE(served());
    const auto page = metrics();
    EXPECT_NE(page.find("chalksail_tls_handshakes{gateway=\"t\"} 2\n"), std::string::npos)
        << page;  // the second request reuses the connections
    EXPECT_NE(page.find("chalksail_tls_valid_seconds_w"), std::string::npos);
}

// A connection with TLS stays idle after a response like any other, on both stages.
TEST_F(TlsRig, ConnectionsAreNotReusedBeforeTheReuseDelayIsOver) {
    auto s = settings(engine("prefill-1.servers.example.org"), engine("decode-7.servers.example.org"));
    s.limits.server_reuse_delay = 1h;
    log = std::make_unique<observe::Log>("t", "error");
    edge = std::make_unique<EdgeServer>(loop, s, *log);
    EXPECT_TRUE(served());
    EXPECT_TRUE(served());
    EXPECT_NE(metrics().find("chalksail_tls_handshakes{gateway=\"t\"} 4\n"), std::string::npos);
}

// A server whose certificate has a different name is refused and receives no byte of a request.
TEST_F(TlsRig, ServerWithADifferentNameGetsNoByteOfARequest) {
    TlsEngine& wrong = engine("decode-8.servers.example.org");
    begin(engine("prefill-1.servers.example.org"), wrong);
    RawClient& c = client();
    c.send(post("once"));
    // The request can't have run, so the client may retry it although its class must not run twice.
    ASSERT_TRUE(until([&] { return c.got().find("HTTP/1.1 503") != std::string::npos; })) << c.got();
    EXPECT_EQ(wrong.requests, 0);
    EXPECT_GT(wrong.server.counts().accepted, 0U);
}

TEST_F(TlsRig, ServerWithoutTlsIsRefused) {
    int bytes = 0;
    writer = std::make_unique<RawServer>(loop, [&](RawServer::Peer&) { ++bytes; });
    TlsEngine& read = engine("prefill-1.servers.example.org");
    auto s = settings(read, read);
    s.servers[1].address = writer->address;
    log = std::make_unique<observe::Log>("t", "error");
    edge = std::make_unique<EdgeServer>(loop, s, *log);
    RawClient& c = client();
    c.send(post("m"));
    ASSERT_TRUE(until([&] { return c.got().find("HTTP/1.1 5") != std::string::npos; }));
    EXPECT_EQ(bytes, 0);
}

TEST_F(TlsRig, CloseWithoutCloseNotifyDoesNotEndAStream) {
    TlsEngine& written = engine("decode-7.servers.example.org");
    written.cut = true;
    begin(engine("prefill-1.servers.example.org"), written);
    RawClient& c = client();
    c.send(post("m"));
    ASSERT_TRUE(until([&] { return c.got().find("\"error\"") != std::string::npos; })) << c.got();
    EXPECT_EQ(c.got().find("[DONE]"), std::string::npos);
}

// Files are replaced in service: new connections use valid files; invalid ones are refused and the last valid
// ones stay in use. An open stream continues throughout.
TEST_F(TlsRig, FilesAreReplacedInServiceAndInvalidOnesRefused) {
    TlsEngine& read = engine("prefill-1.servers.example.org");
    TlsEngine& written = engine("decode-7.servers.example.org");
    written.hold = true;
    begin(read, written);
    RawClient& c = client();
    c.send(post("m"));
    ASSERT_TRUE(until([&] { return c.got().find("hello") != std::string::npos; }));
    const auto good = ca.certificate();
    for (int i = 0; i < 50; ++i) {
        write("ca.pem", i % 2 == 0 ? good.substr(0, 40 + static_cast<std::size_t>(i))
                                   : good + std::string(static_cast<std::size_t>(i), '\n'));
        edge->reload_tls();
        if (i % 10 == 0) {
            ASSERT_TRUE(until([&] { return served(post("m", R"(,"stream":true,"user":"quick")")); }));
        }
    }
    const auto page = metrics();
    EXPECT_NE(page.find("chalksail_tls_files_refused{gateway=\"t\"} 50\n"), std::string::npos)
        << page;  // 25 for each kind
    written.finish();
    EXPECT_TRUE(until([&] { return c.got().find("[DONE]") != std::string::npos; }));
}

// Key and certificate can't be replaced in one step. Whichever is replaced first, the two don't match until
// the other one follows; meanwhile the last valid pair is used.
TEST_F(TlsRig, KeyReplacedBeforeCertificateAndTheReverse) {
    const auto make = [&] { return ca.issue({{"edge"}, {}, now - 10, now + 10'000, false, 0, 0}); };
    auto issued = make();
    write("edge.pem", issued.certificate);
    write("edge.key", issued.key);
    const auto path = [&](const char* name) { return (folder / name).string(); };
    tls::CertificateReloader certificate_reloader(
        config::TlsConfig{"n", path("ca.pem"), "", path("edge.pem"), path("edge.key")});
    ASSERT_EQ(certificate_reloader.poll(now), tls::CertificateReloader::PollResult::replaced);
    for (const bool key_first : {true, false}) {
        const auto before = certificate_reloader.context();
        issued = make();
        write(key_first ? "edge.key" : "edge.pem", key_first ? issued.key : issued.certificate);
        EXPECT_EQ(certificate_reloader.poll(now), tls::CertificateReloader::PollResult::refused);
        EXPECT_NE(certificate_reloader.error().find("do not match"), std::string::npos)
            << certificate_reloader.error();
        EXPECT_EQ(certificate_reloader.poll(now),
                  tls::CertificateReloader::PollResult::unchanged);  // reported once
        EXPECT_EQ(certificate_reloader.context(), before);
        write(key_first ? "edge.pem" : "edge.key", key_first ? issued.certificate : issued.key);
        EXPECT_EQ(certificate_reloader.poll(now), tls::CertificateReloader::PollResult::replaced);
        EXPECT_NE(certificate_reloader.context(), before);
    }
    std::filesystem::remove(folder / "edge.key");
    EXPECT_EQ(certificate_reloader.poll(now), tls::CertificateReloader::PollResult::refused);
    EXPECT_NE(certificate_reloader.error().find("edge.key: can't be read"), std::string::npos)
        << certificate_reloader.error();
    EXPECT_NE(certificate_reloader.context(), nullptr);
}

// Sessions survive a CA bundle that grows, but are dropped when a CA is removed.
TEST_F(TlsRig, NarrowerTrustDropsSessions) {
    const auto path = [&](const char* name) { return (folder / name).string(); };
    const lab::Authority next("next", now - 10, now + 10'000);
    tls::CertificateReloader certificate_reloader(config::TlsConfig{"n", path("ca.pem"), "", "", ""});
    ASSERT_EQ(certificate_reloader.poll(now), tls::CertificateReloader::PollResult::replaced);
    const auto issued = ca.issue({{"n"}, {}, now - 10, now + 10'000, true, 0, 0});
    const auto server = *tls::Context::server({"", "", issued.certificate, issued.key}, now);
    const auto handshake = [&] {
        const auto c =
            tls::Filter::client(certificate_reloader.context(), "n", &certificate_reloader.sessions(), now);
        const auto s = tls::Filter::server(server, now);
        std::string to_server = c->start().to_peer;
        while (!to_server.empty()) to_server = c->from_peer(s->from_peer(to_server).to_peer).to_peer;
        EXPECT_TRUE(c->connected());
        return c->resumed();
    };
    EXPECT_FALSE(handshake());
    write("ca.pem", next.certificate() + ca.certificate());
    ASSERT_EQ(certificate_reloader.poll(now), tls::CertificateReloader::PollResult::replaced);
    EXPECT_TRUE(handshake());
    write("ca.pem", ca.certificate());
    ASSERT_EQ(certificate_reloader.poll(now), tls::CertificateReloader::PollResult::replaced);
    EXPECT_EQ(certificate_reloader.sessions().size(), 0U);
}

// A server that accepts the connection and stays silent: the call fails within the dial time-out as not run.
TEST_F(TlsRig, StalledHandshakeFailsWithinTheDialTimeOut) {
    writer = std::make_unique<RawServer>(loop, [](RawServer::Peer&) {});
    TlsEngine& read = engine("prefill-1.servers.example.org");
    auto s = settings(read, read);
    s.servers[1].address = writer->address;
    s.router.dial_timeout = 100ms;
    log = std::make_unique<observe::Log>("t", "error");
    edge = std::make_unique<EdgeServer>(loop, s, *log);
    RawClient& c = client();
    c.send(post("once"));
    ASSERT_TRUE(until([&] { return c.got().find("HTTP/1.1 503") != std::string::npos; })) << c.got();
    EXPECT_EQ(writer->requests, 0);
    EXPECT_FALSE(writer->peers.empty());
}

// A server with the wrong name is out of service until it presents the right certificate.
TEST_F(TlsRig, ServerReturnsOnceItsCertificateMatches) {
    TlsEngine& wrong = engine("decode-8.servers.example.org");
    TlsEngine& read = engine("prefill-1.servers.example.org");
    auto s = settings(read, wrong);
    s.limits.unverified_backoff = 10ms;
    s.limits.unverified_backoff_max = 20ms;
    log = std::make_unique<observe::Log>("t", "error");
    edge = std::make_unique<EdgeServer>(loop, s, *log);
    RawClient& c = client();
    c.send(post("m"));
    ASSERT_TRUE(until([&] { return edge->gauges().unverified_servers == 1; }));
    const auto trials = wrong.server.counts().handshakes_failed;
    ASSERT_TRUE(until([&] { return wrong.server.counts().handshakes_failed > trials + 2; }));
    EXPECT_EQ(wrong.requests, 0);
    const auto issued = ca.issue({{"decode-7.servers.example.org"}, {}, now - 10, now + 10'000, true, 0, 0});
    wrong.server.set_tls(*tls::Context::server({"", "", issued.certificate, issued.key}, now));
    ASSERT_TRUE(until([&] { return edge->gauges().unverified_servers == 0; }));
    ASSERT_TRUE(until([&] { return served(); }));
    EXPECT_GT(wrong.requests, 0);
}

// Many simultaneous requests to new servers: concurrent handshakes stay within the limit, all requests are
// served, and waiting ones reuse connections that become idle.
TEST_F(TlsRig, ManyRequestsShareFewHandshakes) {
    TlsEngine& read = engine("prefill-1.servers.example.org");
    TlsEngine& written = engine("decode-7.servers.example.org");
    auto s = settings(read, written);
    s.limits.handshakes_per_server = 1;
    s.limits.handshakes = 2;
    log = std::make_unique<observe::Log>("t", "error");
    edge = std::make_unique<EdgeServer>(loop, s, *log);
    std::vector<RawClient*> all;
    for (int i = 0; i < 40; ++i) {
        all.push_back(&client());
        all.back()->send(post("m"));
    }
    for (auto* c : all) {
        ASSERT_TRUE(until([&] { return c->got().find("0\r\n\r\n") != std::string::npos; }));
        EXPECT_NE(c->got().find("[DONE]"), std::string::npos) << c->got();
    }
    EXPECT_LT(read.server.counts().handshakes, 40U);
    const auto page = metrics();
    EXPECT_NE(page.find("chalksail_tls_handshakes_waiting{gateway=\"t\"} 0\n"), std::string::npos) << page;
    EXPECT_NE(page.find("chalksail_tls_handshakes_under_way{gateway=\"t\"} 0\n"), std::string::npos);
}

// ---- the listener ----

// A TLS client that connects through the pool.
struct PoolClient : UpstreamPool::Handler {
    std::string got;
    int status = 0;
    bool done = false;
    std::string failed;
    void on_head(UpstreamPool::Call, int s, http::Headers) override { status = s; }
    void on_body(UpstreamPool::Call, std::string bytes) override { got += bytes; }
    void on_done(UpstreamPool::Call) override { done = true; }
    void on_failed(UpstreamPool::Call, engine::ExchangeEnd, std::string detail) override { failed = detail; }
};

// A call that waits for a handshake is sent on a connection whose reuse delay ends meanwhile.
TEST_F(TlsRig, WaitingHandshakeIsReplacedByAConnectionThatBecomesReusable) {
    const std::string name = "decode-7.servers.example.org";
    RawServer silent(loop, [](RawServer::Peer&) {});  // never answers the handshake
    tls::SessionCache sessions;
    const auto target = [&](const Address& address) {
        Target to(address);
        to.tls = *tls::Context::client({ca.certificate(), "", "", ""}, now);
        to.tls_name = name;
        to.sessions = &sessions;
        return to;
    };
    const Target served_from = target(engine(name).address);
    PoolClient c;
    PoolLimits limits;
    limits.handshakes = {1, 1};
    limits.dial_timeout = 60s;
    limits.reuse_delay.normal = 200ms;
    UpstreamPool pool(loop, c, limits);
    pool.start(1, served_from, {"GET", "/health", {}, {}});
    ASSERT_TRUE(until([&] { return c.done; }));
    c.done = false;
    pool.start(2, target(silent.address), {"GET", "/health", {}, {}});
    ASSERT_TRUE(until([&] { return pool.counts().handshakes_under_way == 1; }));
    pool.start(3, served_from, {"GET", "/health", {}, {}});
    ASSERT_TRUE(until([&] { return c.done || !c.failed.empty(); }));
    EXPECT_EQ(c.failed, "");
    EXPECT_EQ(pool.counts().reused, 1U);
    pool.close_all();
}

TEST_F(TlsRig, ListenerPresentsTheRequestedCertificateAndReplacesIt) {
    const auto put = [&](const std::string& file, const std::string& name) {
        const auto issued = ca.issue({{name}, {}, now - 10, now + 10'000, true, 0, 0});
        write(file + ".pem", issued.certificate);
        write(file + ".key", issued.key);
    };
    put("a", "api.example.org");
    put("b", "*.tenants.example.org");
    TlsEngine& one = engine("prefill-1.servers.example.org");
    auto s = settings(one, engine("decode-7.servers.example.org"));
    const auto path = [&](const char* name) { return (folder / name).string(); };
    s.listener_tls =
        config::ListenerTls{{{path("a.pem"), path("a.key")}, {path("b.pem"), path("b.key")}}, ""};
    log = std::make_unique<observe::Log>("t", "error");
    edge = std::make_unique<EdgeServer>(loop, s, *log);
    tls::SessionCache sessions;
    const auto send_request = [&](const std::string& name) {
        PoolClient c;
        UpstreamPool pool(loop, c, {});
        Target to(edge->address());
        to.tls = *tls::Context::client({ca.certificate(), "", "", ""}, now);
        to.tls_name = name;
        to.sessions = &sessions;
        http::Headers headers;
        headers.add("Content-Type", "application/json");
        const std::string request = post("m");
        pool.start(1, to,
                   {"POST", "/v1/chat/completions", headers, request.substr(request.find("\r\n\r\n") + 4)});
        EXPECT_TRUE(until([&] { return c.done || !c.failed.empty(); }));
        return c.done && c.got.find("[DONE]") != std::string::npos ? std::string("served") : c.failed;
    };
    EXPECT_EQ(send_request("api.example.org"), "served");
    EXPECT_EQ(send_request("acme.tenants.example.org"), "served");
    EXPECT_NE(send_request("other.example.org").find("not verified"), std::string::npos);
    put("a", "new.example.org");
    edge->reload_tls();
    EXPECT_EQ(send_request("new.example.org"), "served");
    write("a.key", "nonsense");
    edge->reload_tls();
    EXPECT_EQ(send_request("new.example.org"), "served");  // the last valid files
    RawClient& plain = client();
    plain.send(post("m"));
    EXPECT_TRUE(until([&] { return plain.closed(); }));
    EXPECT_EQ(plain.got().find("HTTP/1.1 200"), std::string::npos);
}

// Closes each connection after its first response.
struct ClosingHandler : HttpServer::Handler {
    HttpServer* server = nullptr;
    void on_request(HttpServer::Peer peer, http::Request, Time) override {
        http::Headers headers;
        headers.add("Connection", "close");
        server->reply(peer, 200, std::move(headers), "x");
        server->flush();
    }
    void on_closed(HttpServer::Peer, const ConnectionEnd&) override {}
};

// Guards against a closed connection that stays in the list of idle ones, where the next sweep would look it
// up in vain.
TEST_F(TlsRig, ConnectionClosedAfterItsResponseIsRemoved) {
    ServerLimits limits;
    limits.idle_connections.linger = std::chrono::milliseconds(1);
    ClosingHandler handler;
    HttpServer server(loop, handler, limits);
    handler.server = &server;
    const auto issued = ca.issue({{"api.example.org"}, {}, now - 10, now + 10'000, true, 0, 0});
    server.set_tls(*tls::Context::server({"", "", issued.certificate, issued.key}, now));
    PoolClient c;
    UpstreamPool pool(loop, c, {});
    Target to(server.listen({"127.0.0.1", 0}, HttpServer::Transport::tls));
    to.tls = *tls::Context::client({ca.certificate(), "", "", ""}, now);
    to.tls_name = "api.example.org";
    pool.start(1, to, {"GET", "/", {}, {}});
    EXPECT_TRUE(until([&] { return c.done && server.counts().connections == 0; }));
    // Longer than two sweep intervals of the server.
    const Time later = uv_now_time() + std::chrono::milliseconds(600);
    EXPECT_TRUE(until([&] { return uv_now_time() > later; }));
}

TEST_F(TlsRig, InvalidFilesAreRefusedAtTheStart) {
    TlsEngine& one = engine("x");
    const auto s = settings(one, one);
    write("ca.pem", "half a certifi");
    observe::Log quiet("t", "error");
    try {
        EdgeServer gateway(loop, s, quiet);
        FAIL() << "started";
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("ca.pem: trust"), std::string::npos) << error.what();
    }
}

}  // namespace
}  // namespace chalksail::net::testing
