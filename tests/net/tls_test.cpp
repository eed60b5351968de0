// The TLS filter with both ends in memory: verification, session resumption, and input in parts of any size.
#include <gtest/gtest.h>
#include <openssl/ssl.h>

#include <functional>

#include "ca/ca.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::net::tls {
namespace {

constexpr std::int64_t kNow = 1'800'000'000;
constexpr std::int64_t kDay = 86'400;
const std::string kName = "decode-7.servers.example.org";

lab::CertificateWish good_wish() { return {{kName}, {"127.0.0.1"}, kNow - kDay, kNow + kDay, true, 0, 0}; }

class Tls : public ::testing::Test {
protected:
    Tls() : ca("test", kNow - 100 * kDay, kNow + 100 * kDay) {}
    std::shared_ptr<Context> client_context(const std::string& revocation = "") {
        auto out = Context::client({ca.certificate(), revocation, "", ""}, kNow);
        if (!out) throw std::runtime_error(out.error());
        return *out;
    }
    // `now` is the time of the server's checks of its own certificate, so that an invalid one can be
    // presented.
    static std::shared_ptr<Context> server_context(const lab::Issued& issued, std::int64_t now = kNow) {
        auto out = Context::server({"", "", issued.certificate, issued.key}, now);
        if (!out) throw std::runtime_error(out.error());
        return *out;
    }

    struct Exchange {
        std::string client_got, server_got;
        std::unique_ptr<Fault> client_fault, server_fault;
        bool client_connected = false, client_ended = false;
    };
    // Passes bytes between the two until none are left, `cut` bytes at a time; 0 means all at once.
    static void transfer(Filter& client, Filter& server, Step from_client, Step from_server,
                         Exchange& exchange, std::size_t cut = 0) {
        const auto take = [](Step& step, std::string& got, std::unique_ptr<Fault>& fault) {
            got += step.plaintext;
            if (step.fault && !fault) fault = std::move(step.fault);
        };
        std::string to_server, to_client;
        const auto of_client = [&](Step step) {
            take(step, exchange.client_got, exchange.client_fault);
            exchange.client_connected = exchange.client_connected || step.connected;
            exchange.client_ended = exchange.client_ended || step.ended;
            to_server += step.to_peer;
        };
        const auto of_server = [&](Step step) {
            take(step, exchange.server_got, exchange.server_fault);
            to_client += step.to_peer;
        };
        of_client(std::move(from_client));
        of_server(std::move(from_server));
        while (!to_server.empty() || !to_client.empty()) {
            const auto part = [&](std::string& all) {
                const auto n = cut == 0 ? all.size() : std::min(cut, all.size());
                const std::string out = all.substr(0, n);
                all.erase(0, n);
                return out;
            };
            if (!to_server.empty()) of_server(server.from_peer(part(to_server)));
            if (!to_client.empty()) of_client(client.from_peer(part(to_client)));
        }
    }
    // Performs a handshake, a request and a response.
    static Exchange exchange_messages(Filter& client, Filter& server, std::size_t cut = 0) {
        Exchange out;
        Step first = client.start();
        Step question = client.send("question");
        first.to_peer += question.to_peer;
        transfer(client, server, std::move(first), {}, out, cut);
        if (out.server_got == "question") transfer(client, server, {}, server.send("answer"), out, cut);
        return out;
    }
    Exchange try_server(const std::shared_ptr<Context>& server, const std::string& name = kName,
                        SessionCache* sessions = nullptr, std::int64_t now = kNow,
                        std::shared_ptr<Context> context = nullptr) {
        client = Filter::client(context ? context : client_context(), name, sessions, now);
        peer = Filter::server(server, now);
        return exchange_messages(*client, *peer);
    }
    // Expects that the server was refused before any byte of the request was sent.
    void expect_refused(const Exchange& t, FaultKind kind = FaultKind::verification) {
        ASSERT_NE(t.client_fault, nullptr);
        EXPECT_EQ(t.client_fault->kind, kind) << t.client_fault->text;
        EXPECT_FALSE(t.client_connected);
        EXPECT_EQ(t.server_got, "");
    }

    lab::Authority ca;
    std::unique_ptr<Filter> client, peer;
};

TEST_F(Tls, VerifiesTheServerAndPrefersTls13) {
    const auto t = try_server(server_context(ca.issue(good_wish())));
    EXPECT_EQ(t.server_got, "question");
    EXPECT_EQ(t.client_got, "answer");
    const auto facts = client->facts();
    EXPECT_EQ(facts.protocol, "TLSv1.3");
    EXPECT_EQ(facts.alpn, "http/1.1");
    EXPECT_EQ(facts.chain.size(), 1U);
    EXPECT_FALSE(facts.resumed);
}

TEST_F(Tls, AcceptsInputInPartsOfAnySize) {
    const auto context = server_context(ca.issue(good_wish()));
    for (const std::size_t cut : {1U, 2U, 3U, 5U, 100U}) {
        auto c = Filter::client(client_context(), kName, nullptr, kNow);
        auto s = Filter::server(context, kNow);
        const auto t = exchange_messages(*c, *s, cut);
        EXPECT_EQ(t.client_got, "answer") << cut;
    }
}

TEST_F(Tls, RecordsOfOneByte) {
    (void)try_server(server_context(ca.issue(good_wish())));
    Exchange t;
    std::string wanted;
    for (int i = 0; i < 500; ++i) {
        const std::string one(1, static_cast<char>('a' + i % 26));
        wanted += one;
        transfer(*client, *peer, {}, peer->send(one), t);
    }
    EXPECT_EQ(t.client_got, wanted);
}

TEST_F(Tls, LargeStreamsBothWays) {
    (void)try_server(server_context(ca.issue(good_wish())));
    Exchange t;
    const std::string big(3'000'000, 'x');
    transfer(*client, *peer, client->send(big), peer->send(big), t);
    EXPECT_EQ(t.client_got.size(), big.size());
    EXPECT_EQ(t.server_got.size(), big.size());
}

// ---- names ----

TEST_F(Tls, DifferentNameIsRefused) {
    expect_refused(try_server(server_context(ca.issue(good_wish())), "decode-8.servers.example.org"));
}

TEST_F(Tls, NamesMatchByRfc6125) {
    const auto connects = [&](const std::vector<std::string>& names,
                              const std::vector<std::string>& addresses, const std::string& wanted) {
        auto wish = good_wish();
        wish.names = names;
        wish.addresses = addresses;
        return try_server(server_context(ca.issue(wish)), wanted).client_connected;
    };
    EXPECT_TRUE(connects({"*.servers.example.org"}, {}, kName));
    EXPECT_FALSE(connects({"*.example.org"}, {}, kName));                 // a wildcard matches one label
    EXPECT_FALSE(connects({"decode-*.servers.example.org"}, {}, kName));  // and only a whole label
    EXPECT_FALSE(connects({"*"}, {}, kName));
    EXPECT_FALSE(connects({}, {}, "stand-in"));  // the common name is ignored
    EXPECT_TRUE(connects({"DECODE-7.Servers.Example.ORG"}, {}, kName));
    EXPECT_TRUE(connects({}, {"10.0.0.7"}, "10.0.0.7"));
    EXPECT_FALSE(connects({}, {"10.0.0.7"}, "10.0.0.8"));
    EXPECT_FALSE(connects({"10.0.0.7"}, {}, "10.0.0.7"));  // an IP address needs a SAN of type iPAddress
    EXPECT_TRUE(connects({}, {"::1"}, "::1"));
}

// ---- certificates ----

TEST_F(Tls, NamesThatCannotBeVerifiedAreRefused) {
    for (const std::string& name : {std::string(), std::string(".example.org"), std::string(".org"),
                                    std::string("a\0b", 3), std::string("*.servers.example.org")}) {
        auto c = Filter::client(client_context(), name, nullptr, kNow);
        const auto step = c->start();
        ASSERT_NE(step.fault, nullptr) << name;
        EXPECT_EQ(step.fault->kind, FaultKind::verification);
        EXPECT_EQ(step.to_peer, "");
        EXPECT_EQ(c->send("question").to_peer, "");
    }
}

TEST_F(Tls, SelfSignedAndUnknownAuthoritiesAreRefused) {
    expect_refused(try_server(server_context(lab::Authority::self_signed(good_wish()))));
    lab::Authority other("test", kNow - kDay, kNow + kDay);  // a different CA with the same name
    expect_refused(try_server(server_context(other.issue(good_wish()))));
}

TEST_F(Tls, ValidityPeriodIsChecked) {
    auto wish = good_wish();
    wish.until = kNow - 1;
    expect_refused(try_server(server_context(ca.issue(wish), kNow - 10)));
    wish = good_wish();
    wish.from = kNow + 100;
    expect_refused(try_server(server_context(ca.issue(wish), kNow + 200)));
    // The same certificate after it has expired.
    const auto context = server_context(ca.issue(good_wish()));
    EXPECT_TRUE(try_server(context).client_connected);
    expect_refused(try_server(context, kName, nullptr, kNow + 2 * kDay));
}

TEST_F(Tls, CertificateUsageIsChecked) {
    auto wish = good_wish();
    wish.for_servers = false;
    expect_refused(try_server(server_context(ca.issue(wish))));
}

TEST_F(Tls, WeakKeysAreRefused) {
    auto wish = good_wish();
    wish.rsa_bits = 1024;
    const auto issued = ca.issue(wish);
    EXPECT_FALSE(Context::server({"", "", issued.certificate, issued.key}, kNow));
    EXPECT_FALSE(Context::client({ca.certificate(), "", issued.certificate, issued.key}, kNow));
}

TEST_F(Tls, RevokedCertificateIsRefused) {
    const auto issued = ca.issue(good_wish());
    const auto context = server_context(issued);
    const auto fresh = ca.revocation({}, kNow - kDay, kNow + kDay);
    EXPECT_TRUE(try_server(context, kName, nullptr, kNow, client_context(fresh)).client_connected);
    const auto with = ca.revocation({issued.serial}, kNow - kDay, kNow + kDay);
    expect_refused(try_server(context, kName, nullptr, kNow, client_context(with)));
}

TEST_F(Tls, OversizedChainIsRefused) {
    auto wish = good_wish();
    wish.padding = 100'000;
    expect_refused(try_server(server_context(ca.issue(wish))), FaultKind::protocol);
}

TEST_F(Tls, EachPartOfTheMaterialIsChecked) {
    const auto issued = ca.issue(good_wish()), other = ca.issue(good_wish());
    const auto error = [&](const Material& m) {
        const auto out = Context::client(m, kNow);
        return out ? std::string("good") : out.error();
    };
    EXPECT_EQ(error({ca.certificate(), "", issued.certificate, issued.key}), "good");
    EXPECT_NE(error({ca.certificate(), "", issued.certificate, other.key}).find("do not match"),
              std::string::npos);  // only one of the two was replaced
    EXPECT_NE(error({"", "", "", ""}).find("trust"), std::string::npos);
    EXPECT_NE(error({ca.certificate().substr(0, 100), "", "", ""}).find("trust"),
              std::string::npos);  // partly written
    EXPECT_NE(error({ca.certificate(), "junk", "", ""}).find("revocation"), std::string::npos);
    EXPECT_NE(error({ca.certificate(), ca.revocation({}, kNow - 9, kNow - 1), "", ""})
                  .find("nextUpdate has passed"),
              std::string::npos);
    EXPECT_NE(error({ca.certificate(), "", issued.certificate, issued.key.substr(0, 60)}).find("key"),
              std::string::npos);
    auto old = good_wish();
    old.until = kNow - 1;
    const auto expired = ca.issue(old);
    EXPECT_NE(error({ca.certificate(), "", expired.certificate, expired.key}).find("expired"),
              std::string::npos);
    EXPECT_EQ((*Context::client({ca.certificate(), "", issued.certificate, issued.key}, kNow))->valid_until(),
              kNow + kDay);
}

TEST_F(Tls, ClientsAuthenticateIfRequired) {
    const auto issued = ca.issue(good_wish());
    const auto server = *Context::server({ca.certificate(), "", issued.certificate, issued.key}, kNow);
    EXPECT_EQ(try_server(server).server_got, "");  // no certificate
    const auto own = ca.issue(good_wish());
    const auto with = *Context::client({ca.certificate(), "", own.certificate, own.key}, kNow);
    EXPECT_EQ(try_server(server, kName, nullptr, kNow, with).client_got, "answer");
}

// ---- sessions ----

TEST_F(Tls, EachSessionIsResumedOnce) {
    const auto context = server_context(ca.issue(good_wish()));
    const auto reused_context = client_context();
    SessionCache sessions;
    EXPECT_EQ(try_server(context, kName, &sessions, kNow, reused_context).client_got, "answer");
    EXPECT_FALSE(client->facts().resumed);
    const auto before = sessions.size();
    EXPECT_GT(before, 0U);
    EXPECT_EQ(try_server(context, kName, &sessions, kNow, reused_context).client_got, "answer");
    EXPECT_TRUE(client->facts().resumed);
    const auto first = sessions.take(kName, kNow), second = sessions.take(kName, kNow);
    EXPECT_NE(first.get(), second.get());  // no session is returned twice
}

TEST_F(Tls, RestartedServerCostsOneFullHandshakeAndNoError) {
    const auto issued = ca.issue(good_wish());
    const auto reused_context = client_context();
    SessionCache sessions;
    (void)try_server(server_context(issued), kName, &sessions, kNow, reused_context);
    EXPECT_EQ(try_server(server_context(issued), kName, &sessions, kNow, reused_context).client_got,
              "answer");  // new ticket keys
    EXPECT_FALSE(client->facts().resumed);
}

TEST_F(Tls, TicketsAreUsedForTheirNameOnly) {
    auto wish = good_wish();
    wish.names = {kName, "decode-8.servers.example.org"};
    const auto context = server_context(ca.issue(wish));
    const auto reused_context = client_context();
    SessionCache sessions;
    (void)try_server(context, kName, &sessions, kNow, reused_context);
    (void)try_server(context, "decode-8.servers.example.org", &sessions, kNow, reused_context);
    EXPECT_FALSE(client->facts().resumed);
}

TEST_F(Tls, SessionsAreBoundedAndExpire) {
    const auto context = server_context(ca.issue(good_wish()));
    SessionCache sessions({2, 3, 100});
    for (int i = 0; i < 10; ++i) (void)try_server(context, kName, &sessions);
    EXPECT_LE(sessions.size(), 3U);
    EXPECT_NE(sessions.take(kName, kNow + 99), nullptr);
    EXPECT_EQ(sessions.take(kName, kNow + 100), nullptr);
    EXPECT_EQ(sessions.size(), 0U);
    (void)try_server(context, kName, &sessions);
    sessions.clear();
    EXPECT_EQ(sessions.size(), 0U);
}

// ---- server certificates and ticket keys ----

TEST_F(Tls, ServerPresentsTheCertificateThatTheClientRequests) {
    const auto material = [&](const std::string& name) {
        const auto issued = ca.issue({{name}, {}, kNow - kDay, kNow + kDay, true, 0, 0});
        return Material{"", "", issued.certificate, issued.key};
    };
    const auto context = Context::server(
        std::vector<Material>{material("api.example.org"), material("*.tenants.example.org")}, kNow);
    ASSERT_TRUE(context) << context.error();
    const auto connects = [&](const std::string& name) {
        const auto client = Filter::client(client_context(), name, nullptr, kNow);
        const auto server = Filter::server(*context, kNow);
        Exchange exchange;
        transfer(*client, *server, client->start(), {}, exchange);
        return exchange.client_connected;
    };
    EXPECT_TRUE(connects("api.example.org"));
    EXPECT_TRUE(connects("acme.tenants.example.org"));
    EXPECT_FALSE(connects("a.b.tenants.example.org"));
    EXPECT_FALSE(
        connects("elsewhere.example.org"));  // the server presents the first one, which the client refuses
    auto bad = std::vector<Material>{material("a"), material("b")};
    bad[1].key = bad[0].key;
    const auto broken = Context::server(bad, kNow);
    ASSERT_FALSE(broken);
    EXPECT_EQ(broken.error(), "certificate 2: key and certificate do not match");
}

TEST_F(Tls, TicketsWithSharedKeysSurviveARestart) {
    const auto issued = ca.issue(good_wish());
    const auto client = client_context();
    SessionCache sessions;
    const auto resumed = [&](const std::string& keys) {
        const auto restarted = server_context(issued);  // a new context, as after a restart
        EXPECT_TRUE(restarted->set_ticket_keys(keys));
        const auto c = Filter::client(client, kName, &sessions, kNow);
        const auto s = Filter::server(restarted, kNow);
        Exchange exchange;
        transfer(*c, *s, c->start(), {}, exchange);
        EXPECT_TRUE(exchange.client_connected);
        return c->resumed();
    };
    const std::string keys(Context::kTicketKeyBytes, 'k');
    EXPECT_FALSE(resumed(keys));
    EXPECT_TRUE(resumed(keys));
    EXPECT_TRUE(resumed(keys));
    EXPECT_FALSE(resumed(std::string(Context::kTicketKeyBytes, 'n')));
    EXPECT_FALSE(server_context(issued)->set_ticket_keys("short"));
    EXPECT_FALSE(client->set_ticket_keys(keys));
}

TEST_F(Tls, OwnChainMustBeConsistent) {
    const auto leaf = ca.issue(good_wish());
    lab::Authority stranger("stranger", kNow - kDay, kNow + kDay);
    EXPECT_TRUE(Context::server({"", "", leaf.certificate + ca.certificate(), leaf.key}, kNow));
    const auto broken = Context::server({"", "", leaf.certificate + stranger.certificate(), leaf.key}, kNow);
    ASSERT_FALSE(broken);
    EXPECT_NE(broken.error().find("the next certificate in the chain is not the issuer of"),
              std::string::npos)
        << broken.error();
}

// ---- the end of a stream ----

TEST_F(Tls, CloseNotifyEndsAStreamAndItsAbsenceIsAFault) {
    const auto context = server_context(ca.issue(good_wish()));
    (void)try_server(context);
    Exchange t;
    transfer(*client, *peer, {}, peer->close(), t);
    EXPECT_TRUE(t.client_ended);
    EXPECT_EQ(client->peer_closed().fault, nullptr);
    (void)try_server(context);
    const auto cut = client->peer_closed();
    ASSERT_NE(cut.fault, nullptr);
    EXPECT_EQ(cut.fault->kind, FaultKind::truncated);
}

TEST_F(Tls, CloseDuringTheHandshakeIsAFault) {
    auto c = Filter::client(client_context(), kName, nullptr, kNow);
    (void)c->start();
    EXPECT_EQ(c->peer_closed().fault->kind, FaultKind::truncated);
}

TEST_F(Tls, GarbageAndAlertsMidStream) {
    const auto context = server_context(ca.issue(good_wish()));
    (void)try_server(context);
    EXPECT_EQ(client->from_peer(std::string("\x17\x03\x03\x00\x20", 5) + std::string(32, 'x')).fault->kind,
              FaultKind::protocol);
    EXPECT_EQ(client->from_peer("more").plaintext, "");  // the stream has failed
    (void)try_server(context);
    Step bad = peer->from_peer(std::string("\x17\x03\x03\x00\x20", 5) + std::string(32, 'x'));
    ASSERT_NE(bad.fault, nullptr);
    EXPECT_EQ(client->from_peer(bad.to_peer).fault->kind, FaultKind::protocol);  // its alert
    auto plain = Filter::client(client_context(), kName, nullptr, kNow);
    (void)plain->start();
    EXPECT_EQ(plain->from_peer("HTTP/1.1 200 OK\r\n\r\n").fault->kind, FaultKind::protocol);
}

TEST_F(Tls, NoPartOfTheRequestIsSentWhileTheHandshakeIsIncomplete) {
    const auto context = server_context(ca.issue(good_wish()));
    auto whole = Filter::server(context, kNow);
    auto first = Filter::client(client_context(), kName, nullptr, kNow);
    const std::string flight = whole->from_peer(first->start().to_peer).to_peer;
    ASSERT_GT(flight.size(), 500U);
    for (std::size_t some = 0; some < flight.size(); some += 37) {
        auto c = Filter::client(client_context(), kName, nullptr, kNow);
        auto s = Filter::server(context, kNow);
        const std::string answer = s->from_peer(c->start().to_peer).to_peer;
        EXPECT_EQ(c->send("question").to_peer, "");
        if (some >= answer.size()) break;  // signatures differ in length
        const Step step = c->from_peer(answer.substr(0, some));
        EXPECT_FALSE(c->connected());
        EXPECT_EQ(step.plaintext, "");
    }
}

// Sends an alert before the first record of the server's flight, and after each of them.
TEST_F(Tls, AlertInAnyStepOfTheHandshakeIsAFault) {
    const std::string alert("\x15\x03\x03\x00\x02\x02\x28", 7);  // handshake_failure
    const auto context = server_context(ca.issue(good_wish()));
    std::size_t steps = 0;
    for (;; ++steps) {
        auto c = Filter::client(client_context(), kName, nullptr, kNow);
        auto s = Filter::server(context, kNow);
        const std::string flight = s->from_peer(c->start().to_peer).to_peer;
        EXPECT_EQ(c->send("question").to_peer, "");
        std::size_t until = 0;
        for (std::size_t record = 0; record < steps; ++record)
            until += 5 + static_cast<unsigned char>(flight.at(until + 3)) * 256U +
                     static_cast<unsigned char>(flight.at(until + 4));
        if (until >= flight.size()) break;  // the handshake is complete
        EXPECT_EQ(c->from_peer(flight.substr(0, until)).fault, nullptr);
        const auto step = c->from_peer(alert);
        ASSERT_NE(step.fault, nullptr) << "after " << until << " bytes";
        EXPECT_EQ(step.fault->kind, FaultKind::protocol);
        EXPECT_FALSE(c->connected());
        EXPECT_EQ(step.plaintext, "");
    }
    EXPECT_GE(steps, 3U);
}

TEST_F(Tls, OldProtocolsAreRefused) {
    const auto context = server_context(ca.issue(good_wish()));
    SSL_CTX_set_security_level(context->raw(), 0);
    SSL_CTX_set_min_proto_version(context->raw(), TLS1_VERSION);
    SSL_CTX_set_max_proto_version(context->raw(), TLS1_1_VERSION);
    expect_refused(try_server(context), FaultKind::protocol);
}

TEST_F(Tls, Tls12IsAcceptedAndResumed) {
    const auto context = server_context(ca.issue(good_wish()));
    SSL_CTX_set_max_proto_version(context->raw(), TLS1_2_VERSION);
    const auto reused_context = client_context();
    SessionCache sessions;
    EXPECT_EQ(try_server(context, kName, &sessions, kNow, reused_context).client_got, "answer");
    EXPECT_EQ(client->facts().protocol, "TLSv1.2");
    (void)try_server(context, kName, &sessions, kNow, reused_context);
    EXPECT_TRUE(client->facts().resumed);
}

// A server that requests renegotiation gets an alert and no second handshake.
TEST_F(Tls, RenegotiationIsRefused) {
    const auto context = server_context(ca.issue(good_wish()));
    SSL_CTX_set_max_proto_version(context->raw(), TLS1_2_VERSION);
    SSL_CTX_clear_options(context->raw(), SSL_OP_NO_RENEGOTIATION);
    SSL* const server = SSL_new(context->raw());
    BIO* const in = BIO_new(BIO_s_mem());
    BIO* const out = BIO_new(BIO_s_mem());
    SSL_set_bio(server, in, out);
    SSL_set_accept_state(server);
    const auto sent = [&] {
        std::string bytes(static_cast<std::size_t>(BIO_pending(out)), '\0');
        BIO_read(out, bytes.data(), static_cast<int>(bytes.size()));
        return bytes;
    };
    const auto take = [&](const std::string& bytes) {
        BIO_write(in, bytes.data(), static_cast<int>(bytes.size()));
    };
    const auto c = Filter::client(client_context(), kName, nullptr, kNow);
    take(c->start().to_peer);
    for (int i = 0; i < 4 && !c->connected(); ++i) {
        SSL_do_handshake(server);
        take(c->from_peer(sent()).to_peer);
    }
    SSL_do_handshake(server);
    ASSERT_TRUE(c->connected());
    const std::string finished = sent();  // the server's last handshake bytes, if any
    take(c->from_peer(finished).to_peer);

    ASSERT_EQ(SSL_renegotiate(server), 1);
    SSL_do_handshake(server);
    const std::string asks = sent();
    ASSERT_FALSE(asks.empty());
    const auto answer = c->from_peer(asks);
    EXPECT_EQ(answer.plaintext, "");
    ASSERT_GT(answer.to_peer.size(), 5U);
    EXPECT_EQ(answer.to_peer[0], '\x15');  // an alert and not a ClientHello
    take(answer.to_peer);
    char byte = 0;
    EXPECT_LE(SSL_read(server, &byte, 1), 0);  // the server sees the refusal
    SSL_free(server);
}

// When a certificate expires, open streams continue. New handshakes are refused, also with a resumable
// session, until the server presents a new certificate.
TEST_F(Tls, CertificateThatExpiresWhileStreamsAreOpen) {
    auto wish = good_wish();
    wish.until = kNow + 100;
    const auto old = server_context(ca.issue(wish));
    const auto reused_context = client_context();
    SessionCache sessions;
    (void)try_server(old, kName, &sessions, kNow, reused_context);
    const auto stream = std::move(client), server_end = std::move(peer);
    ASSERT_GT(sessions.size(), 0U);
    expect_refused(try_server(old, kName, &sessions, kNow + 100, reused_context), FaultKind::verification);
    Exchange t;
    transfer(*stream, *server_end, {}, server_end->send("still here"), t);
    EXPECT_EQ(t.client_got, "still here");
    const auto next = server_context(ca.issue(good_wish()));
    EXPECT_EQ(try_server(next, kName, &sessions, kNow + 100, reused_context).client_got, "answer");
    transfer(*stream, *server_end, {}, server_end->send(", to the end"), t);
    EXPECT_EQ(t.client_got, "still here, to the end");
}

// Open streams continue with their old context after it was replaced.
TEST_F(Tls, ReplacedContextDoesNotAffectOpenStreams) {
    auto old = server_context(ca.issue(good_wish()));
    (void)try_server(old);
    old.reset();
    old = server_context(ca.issue(good_wish()));
    Exchange t;
    transfer(*client, *peer, client->send("more"), {}, t);
    transfer(*client, *peer, {}, peer->send("still here"), t);
    EXPECT_EQ(t.server_got, "more");
    EXPECT_EQ(t.client_got, "still here");
}

}  // namespace
}  // namespace chalksail::net::tls
