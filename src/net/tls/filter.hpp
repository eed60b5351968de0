// A TLS filter for a byte stream, using OpenSSL over memory buffers. It takes the peer's bytes and returns
// plaintext and bytes to send to the peer. No socket, no clock (the time of day is an argument), no thread.
//
// A client always verifies the server as described in net/tls/context.hpp, and its name: a SAN of type
// dNSName (RFC 6125 wildcards only for a whole label) or iPAddress; the subject's common name is ignored.
// Verification can't be disabled.
//
// A stream ends properly only with close_notify. A peer that closes without it causes a Fault (truncated),
// never an end of data. Errors are reported as a Step's fault.
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
    verification,  // The peer's certificate was rejected: chain, validity, usage, revocation or name
    protocol,      // The peer violated the TLS protocol, or supports no common version or cipher
    truncated,     // The peer closed without close_notify
};
struct Fault {
    FaultKind kind = FaultKind::protocol;
    std::string text;
};

struct Step {
    std::string plaintext;         // Decrypted bytes from the peer
    std::string to_peer;           // Bytes to send, also with a fault (an alert)
    bool connected = false;        // The handshake has completed in this step, with the peer verified
    bool ended = false;            // close_notify was received: the peer sends no more
    std::unique_ptr<Fault> fault;  // The stream has failed; no further data follows
};

struct PeerFacts {
    std::string protocol;
    std::string cipher;
    std::string alpn;
    bool resumed = false;
    std::vector<std::string> chain;  // Subjects, leaf first; empty if the session was resumed
};

class Filter {
public:
    // `name` is the host name or IP address that the server's certificate must match. `sessions` may be
    // nullptr and must outlive the filter.
    [[nodiscard]] static std::unique_ptr<Filter> client(std::shared_ptr<Context> context,
                                                        const std::string& name, SessionCache* sessions,
                                                        std::int64_t unix_now);
    [[nodiscard]] static std::unique_ptr<Filter> server(std::shared_ptr<Context> context,
                                                        std::int64_t unix_now);
    Filter(const Filter&) = delete;
    Filter& operator=(const Filter&) = delete;

    // Begins a client's handshake; returns the first flight.
    [[nodiscard]] Step start();
    // Processes bytes received from the peer.
    [[nodiscard]] Step from_peer(std::string_view bytes);
    // Encrypts plaintext for the peer. It is buffered until the handshake has completed.
    [[nodiscard]] Step send(std::string_view plaintext);
    // Ends the stream; returns the close_notify alert.
    [[nodiscard]] Step close();
    // Reports that the peer closed the underlying connection.
    [[nodiscard]] Step peer_closed();
    [[nodiscard]] bool connected() const { return connected_; }
    [[nodiscard]] bool resumed() const;
    [[nodiscard]] PeerFacts facts() const;

private:
    struct SslDeleter {
        void operator()(SSL* ssl) const;
    };
    Filter() = default;
    // Makes as much progress as the input allows: handshake, pending plaintext, received records.
    void advance(Step& step);
    void advance_handshake(Step& step);
    void encrypt_pending(Step& step);
    void decrypt_received(Step& step);
    void take_output(Step& step);
    // Handles an unsuccessful OpenSSL call: more input is needed, or the stream has ended or failed.
    void on_ssl_result(Step& step, int result);
    void fail(Step& step, FaultKind kind, std::string text);
    static int store_session(SSL* ssl, SSL_SESSION* session);
    friend class ContextBuilder;

    std::shared_ptr<Context> context_;
    std::string name_;
    SessionCache* sessions_ = nullptr;
    std::int64_t unix_now_ = 0;
    std::unique_ptr<SSL, SslDeleter> ssl_;
    BIO* in_ = nullptr;   // Received bytes; owned by ssl_
    BIO* out_ = nullptr;  // Bytes to send; owned by ssl_
    std::string pending_plaintext_;
    bool connected_ = false;
    bool finished_ = false;
    bool name_unusable_ = false;  // The name can't be verified, so the handshake is not started
};

}  // namespace chalksail::net::tls
