// The TLS configuration that many connections share, built from an operator's certificates. No socket, no
// clock (the time of day is an argument). May be shared between threads only while no thread modifies it.
//
// Clients and servers require TLS 1.2, prefer 1.3, use neither renegotiation nor compression, and require
// keys of OpenSSL's security level 2. A client verifies the chain against the operator's CA bundle (never the
// system's), each certificate's validity and usage, and the leaf against a revocation list if one is
// configured. Verification can't be disabled. Errors are texts that describe the fault in the material.
#pragma once

#include <openssl/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace chalksail::net::tls {

// The contents of an operator's files as PEM text.
struct Material {
    // CAs that the peer is verified against. A server without them accepts clients without certificates.
    std::string trusted_cas;
    std::string revocation;   // CRL of the CA that signs the leaf certificates; may be empty
    std::string certificate;  // Own certificate chain, leaf first
    std::string key;
};

struct Limits {
    std::size_t chain_bytes = 64 * 1024;
};

struct SslContextDeleter {
    void operator()(SSL_CTX* context) const;
};

// Shared ownership keeps a replaced context alive while connections use it.
class Context {
public:
    // A context, or a text that describes the fault in the material: it can't be parsed, key and certificate
    // do not match, or the own certificate is not valid at `unix_now` (seconds since 1970).
    using Result = tl::expected<std::shared_ptr<Context>, std::string>;
    [[nodiscard]] static Result client(const Material& material, std::int64_t unix_now, Limits limits = {});
    [[nodiscard]] static Result server(const Material& material, std::int64_t unix_now, Limits limits = {});
    // Creates a context with several certificates. It presents the first one that matches the name a client
    // requests (SNI), or else the first of all. Trusted CAs and revocation are taken from the first material.
    // Errors name the faulty material by its number, counted from 1.
    [[nodiscard]] static Result server(const std::vector<Material>& materials, std::int64_t unix_now,
                                       Limits limits = {});
    // Sets the keys of session tickets. Servers with the same keys accept each other's tickets, as does a
    // restarted server. `keys` must be 80 cryptographically random bytes. Returns false if the length differs
    // or this is not a server's context.
    [[nodiscard]] bool set_ticket_keys(std::string_view keys);
    static constexpr std::size_t kTicketKeyBytes = 80;

    // Returns the Unix time until which the own chain, the trusted CAs and the revocation list are all valid.
    [[nodiscard]] std::int64_t valid_until() const { return valid_until_; }
    [[nodiscard]] SSL_CTX* raw() const { return raw_.get(); }

private:
    Context() = default;
    static int select_certificate(SSL* ssl, int* alert, void* context);

    std::unique_ptr<SSL_CTX, SslContextDeleter> raw_;
    std::int64_t valid_until_ = 0;
    std::vector<std::shared_ptr<Context>> alternatives_;  // Further certificates, selected by SNI
    bool server_ = false;
    friend class ContextBuilder;
};

}  // namespace chalksail::net::tls
