// TLS as a filter over a byte stream, by OpenSSL over memory buffers: bytes of the peer go in, plaintext and
// bytes for the peer come out. No socket, no clock (the time of day is an argument), no thread.
//
// A client always verifies: what net/tls/context.hpp says, and the name (SAN dNSName with RFC 6125 wildcards
// of a whole label, or iPAddress; the subject's common name never counts). There is no way to turn that off.
//
// A stream ends properly only by close_notify: a peer that just closes is a Fault (truncated), never the end
// of data. Errors are a Step's fault.
#pragma once

#include <openssl/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/tls/context.hpp"
#include "net/tls/session_cache.hpp"

namespace chalksail::net::tls {

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
    std::string plaintext;         // for the owner
    std::string to_peer;           // to be sent, also beside a fault (an alert)
    bool connected = false;        // the handshake has just ended, and the peer is verified
    bool ended = false;            // close_notify came: the peer sends no more
    std::unique_ptr<Fault> fault;  // nothing more comes
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
    Filter(const Filter&) = delete;
    Filter& operator=(const Filter&) = delete;

    [[nodiscard]] Step start();  // a client's first flight
    [[nodiscard]] Step from_peer(std::string_view bytes);
    // Plaintext for the peer; it waits until the handshake has ended.
    [[nodiscard]] Step send(std::string_view plaintext);
    [[nodiscard]] Step close();        // close_notify
    [[nodiscard]] Step peer_closed();  // its stream ended
    [[nodiscard]] bool connected() const { return connected_; }
    [[nodiscard]] bool resumed() const;
    [[nodiscard]] PeerFacts facts() const;

private:
    struct SslDeleter {
        void operator()(SSL* ssl) const;
    };
    Filter() = default;
    // Goes on as far as the bytes allow: handshake, what waits to be sent, what was received.
    void advance(Step& step);
    void advance_handshake(Step& step);
    void encrypt_pending(Step& step);
    void decrypt_received(Step& step);
    void take_output(Step& step);
    // After a call of OpenSSL's that did not succeed: it needs more bytes, or the stream has ended or failed.
    void on_ssl_result(Step& step, int result);
    void fail(Step& step, FaultKind kind, std::string text);
    static int keep_session(SSL* ssl, SSL_SESSION* session);
    friend class ContextBuilder;

    std::shared_ptr<Context> context_;
    std::string name_;
    SessionCache* sessions_ = nullptr;
    std::int64_t unix_now_ = 0;
    std::unique_ptr<SSL, SslDeleter> ssl_;
    BIO* in_ = nullptr;   // owned by ssl_
    BIO* out_ = nullptr;  // the same
    std::string pending_plaintext_;
    bool connected_ = false;
    bool finished_ = false;
    bool name_unusable_ = false;  // the name can't be checked: nothing is begun
};

}  // namespace chalksail::net::tls
