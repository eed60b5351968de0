// Settings of TLS connections, made once of an operator's certificates and shared by many connections. No
// socket, no clock (the time of day is an argument). Shared between threads only where nobody changes it.
//
// Both ends: TLS 1.2 at least, 1.3 preferred, no renegotiation, no compression, keys of security level 2 and
// more. A client verifies the chain against the operator's bundle (no system store), each certificate's times
// and usage, and the leaf against a revocation list if there is one. There is no way to turn that off.
// Errors: text that says what is wrong with the material.
#pragma once

#include <openssl/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

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

struct SslContextDeleter {
    void operator()(SSL_CTX* context) const;
};

// Outlives its own replacement while connections use it.
class Context {
public:
    // Errors say what is wrong with the material: it does not parse, key and certificate do not fit, or the
    // own certificate is not valid now. `unix_now`: seconds since 1970.
    using Result = tl::expected<std::shared_ptr<Context>, std::string>;
    [[nodiscard]] static Result client(const Material& material, std::int64_t unix_now, Limits limits = {});
    [[nodiscard]] static Result server(const Material& material, std::int64_t unix_now, Limits limits = {});
    // Shows the first of these whose leaf fits the name that a client requests (SNI), else the first. Trust
    // and revocation are the first one's. Errors say which one, by number from 1.
    [[nodiscard]] static Result server(const std::vector<Material>& choice, std::int64_t unix_now,
                                       Limits limits = {});
    // Tickets issued by the one are accepted by the other: for servers of one fleet, and for one that
    // restarts. 80 bytes of a good random source; false: not a server's, or another length.
    [[nodiscard]] bool set_ticket_keys(std::string_view keys);
    static constexpr std::size_t kTicketKeyBytes = 80;

    // Seconds since 1970 until which all that it holds is valid: own chain, trust, revocation list.
    [[nodiscard]] std::int64_t valid_until() const { return valid_until_; }
    [[nodiscard]] SSL_CTX* raw() const { return raw_.get(); }

private:
    Context() = default;
    static int select_certificate(SSL* ssl, int* alert, void* context);

    std::unique_ptr<SSL_CTX, SslContextDeleter> raw_;
    std::int64_t valid_until_ = 0;
    std::vector<std::shared_ptr<Context>> others_;  // of the choice by SNI
    bool server_ = false;
    friend class ContextBuilder;
};

}  // namespace chalksail::net::tls
