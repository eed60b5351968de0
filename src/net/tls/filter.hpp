// TLS as a filter over a byte stream, by OpenSSL over memory buffers: bytes of the peer go in, plain bytes
// and bytes for the peer come out. No socket, no clock (the time of day is an argument), no thread.
//
// Both ends: TLS 1.2 at least, 1.3 preferred, no renegotiation, no compression, keys of security level 2 and
// more. A client always verifies: the chain against the operator's bundle (no system store), each
// certificate's times and usage, the leaf against a revocation list if there is one, and the name (SAN
// dNSName with RFC 6125 wildcards of a whole label, or iPAddress; the subject's common name never counts).
// There is no way to turn that off.
//
// A stream ends properly only by close_notify: a peer that just closes is a Fault (truncated), never the end
// of data.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "net/tls/session_cache.hpp"

typedef struct ssl_ctx_st SSL_CTX;
typedef struct ssl_st SSL;
typedef struct bio_st BIO;

namespace chalksail::net::tls {

// What an operator's files hold: PEM text, not paths.
struct Material {
    std::string trust;  // client: CAs that servers are verified against. Server: those of clients, if wanted
    std::string revocation;   // a CRL of the CA that signs the leaves; empty: none
    std::string certificate;  // own chain, leaf first
    std::string key;
};

struct Limits {
    std::size_t chain_bytes = 64 * 1024;
};

// Settings of many connections; shared by them, and outlives its own replacement.
class Context {
public:
    // Errors say what is wrong with the material: it does not parse, key and certificate do not fit, or the
    // own certificate is not valid now. `unix_now`: seconds since 1970.
    using Result = tl::expected<std::shared_ptr<Context>, std::string>;
    [[nodiscard]] static Result client(const Material& material, std::int64_t unix_now, Limits limits = {});
    [[nodiscard]] static Result server(const Material& material, std::int64_t unix_now, Limits limits = {});
    // Shows the first of these whose leaf fits the name that a client asks for (SNI), else the first. Trust
    // and revocation are the first one's. Errors say which one, by number from 1.
    [[nodiscard]] static Result server(const std::vector<Material>& choice, std::int64_t unix_now,
                                       Limits limits = {});
    // Tickets given by the one are taken by the other: for servers of one fleet, and for one that restarts.
    // 80 bytes of a good random source; false: not a server's, or another length.
    [[nodiscard]] bool set_ticket_keys(std::string_view keys);
    static constexpr std::size_t kTicketKeyBytes = 80;
    ~Context();
    Context(const Context&) = delete;
    Context& operator=(const Context&) = delete;

    // Seconds since 1970 until which all that it holds is valid: own chain, trust, revocation list.
    [[nodiscard]] std::int64_t valid_until() const { return valid_until_; }
    [[nodiscard]] SSL_CTX* raw() const { return raw_; }

private:
    Context() = default;
    SSL_CTX* raw_ = nullptr;
    std::int64_t valid_until_ = 0;
    std::vector<std::shared_ptr<Context>> others_;  // of the choice by SNI
    bool server_ = false;
    friend struct ContextBuilder;
};

enum class FaultKind {
    verification,  // the peer's certificate: chain, time, usage, revocation or name
    protocol,      // the peer does not keep to TLS, or has nothing in common with us
    truncated,     // it closed without close_notify
};
struct Fault {
    FaultKind kind = FaultKind::protocol;
    std::string text;
};

struct Step {
    std::string plain;             // for the owner
    std::string to_peer;           // to be sent, also beside a fault (an alert)
    bool connected = false;        // the handshake has just ended, and the peer is verified
    bool ended = false;            // close_notify came
    std::unique_ptr<Fault> fault;  // nothing more is to be had
};

struct PeerFacts {
    std::string protocol;
    std::string cipher;
    std::string alpn;
    bool resumed = false;
    std::vector<std::string> chain;  // subjects, leaf first; empty where the session was resumed
};

class Filter {
public:
    // `name`: a host name or an IP address that the server must prove. `sessions` may be nullptr; it must
    // outlive this.
    [[nodiscard]] static std::unique_ptr<Filter> client(std::shared_ptr<Context> context,
                                                        const std::string& name, SessionCache* sessions,
                                                        std::int64_t unix_now);
    [[nodiscard]] static std::unique_ptr<Filter> server(std::shared_ptr<Context> context,
                                                        std::int64_t unix_now);
    ~Filter();
    Filter(const Filter&) = delete;
    Filter& operator=(const Filter&) = delete;

    [[nodiscard]] Step start();  // a client's first flight
    [[nodiscard]] Step from_peer(std::string_view bytes);
    // Plain bytes for the peer; they wait until the handshake has ended.
    [[nodiscard]] Step send(std::string_view plain);
    [[nodiscard]] Step close();        // close_notify
    [[nodiscard]] Step peer_closed();  // its stream ended
    [[nodiscard]] bool connected() const { return connected_; }
    [[nodiscard]] bool resumed() const;
    [[nodiscard]] PeerFacts facts() const;

private:
    Filter() = default;
    void turn(Step& step);
    void fail(Step& step, FaultKind kind, std::string text);
    static int keep_session(SSL* ssl, SSL_SESSION* session);
    friend struct ContextBuilder;

    std::shared_ptr<Context> context_;
    std::string name_;
    SessionCache* sessions_ = nullptr;
    std::int64_t unix_now_ = 0;
    SSL* ssl_ = nullptr;
    BIO* in_ = nullptr;   // owned by ssl_
    BIO* out_ = nullptr;  // the same
    std::string waiting_;
    bool connected_ = false;
    bool over_ = false;
    bool unusable_ = false;  // the name can't be checked: nothing is begun
};

}  // namespace chalksail::net::tls
