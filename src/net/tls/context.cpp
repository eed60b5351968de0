#include "net/tls/context.hpp"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509_vfy.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <array>
#include <climits>
#include <limits>

#include "net/tls/filter.hpp"
#include "net/tls/openssl.hpp"

namespace chalksail::net::tls {
namespace {

using Status = tl::expected<void, std::string>;

constexpr std::array<unsigned char, 9> kAlpnProtocols = {8, 'h', 't', 't', 'p', '/', '1', '.', '1'};
constexpr std::array<unsigned char, 9> kSessionIdContext = {'c', 'h', 'a', 'l', 'k', 's', 'a', 'i', 'l'};
constexpr int kSecurityLevel = 2;  // OpenSSL: keys with at least 112 bits of security

Bio memory_bio(const std::string& text) {
    return Bio(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

std::vector<Certificate> read_certificates(const std::string& pem) {
    std::vector<Certificate> out;
    const auto bio = memory_bio(pem);
    while (X509* certificate = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr))
        out.emplace_back(certificate);
    ERR_clear_error();  // reaching the end of the text is reported as an error
    return out;
}

Status error(std::string text) { return tl::unexpected(std::move(text)); }

int select_alpn(SSL*, const unsigned char** chosen, unsigned char* length, const unsigned char* offered,
                unsigned size, void*) {
    unsigned char* protocol = nullptr;
    const int found =
        SSL_select_next_proto(&protocol, length, kAlpnProtocols.data(), kAlpnProtocols.size(), offered, size);
    *chosen = protocol;
    return found == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_NOACK;
}

bool matches_host(SSL_CTX* context, const char* name) {
    return X509_check_host(SSL_CTX_get0_certificate(context), name, 0,
                           X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS | X509_CHECK_FLAG_NEVER_CHECK_SUBJECT,
                           nullptr) == 1;
}

// Checks that each certificate is valid now and signed by the next one in the chain.
Status check_chain(const std::vector<Certificate>& chain, std::int64_t unix_now) {
    for (const auto& certificate : chain) {
        if (unix_time(X509_get0_notAfter(certificate.get())) <= unix_now)
            return error("certificate: expired: " + subject_of(certificate.get()));
        if (unix_time(X509_get0_notBefore(certificate.get())) > unix_now)
            return error("certificate: not yet valid: " + subject_of(certificate.get()));
    }
    for (std::size_t i = 0; i + 1 < chain.size(); ++i) {
        X509* const subject = chain[i].get();
        X509* const issuer = chain[i + 1].get();
        if (X509_check_issued(issuer, subject) == X509_V_OK &&
            X509_verify(subject, X509_get0_pubkey(issuer)) == 1)
            continue;
        ERR_clear_error();
        return error("certificate: the next certificate in the chain is not the issuer of " +
                     subject_of(subject));
    }
    return {};
}

}  // namespace

void SslContextDeleter::operator()(SSL_CTX* context) const { SSL_CTX_free(context); }

enum class Role { client, server };

// Builds one context in steps; the first failed step determines the error.
class ContextBuilder {
public:
    ContextBuilder(const Material& material, std::int64_t unix_now, Role role)
        : material_(material), unix_now_(unix_now), server_(role == Role::server), out_(new Context) {
        out_->server_ = server_;
        out_->valid_until_ = std::numeric_limits<std::int64_t>::max();
    }

    Context::Result build(Limits limits) {
        out_->raw_.reset(SSL_CTX_new(server_ ? TLS_server_method() : TLS_client_method()));
        if (out_->raw_ == nullptr)
            return tl::unexpected("cannot create a TLS context: " + last_openssl_error());
        set_protocol(limits);
        for (const auto step : {&ContextBuilder::add_trusted_cas, &ContextBuilder::add_revocation_list,
                                &ContextBuilder::add_own_certificate})
            if (const auto done = (this->*step)(); !done) return tl::unexpected(done.error());
        if (server_) set_server_role();
        else set_client_role();
        return out_;
    }

private:
    [[nodiscard]] SSL_CTX* raw() const { return out_->raw(); }
    void limit_validity(std::int64_t until) { out_->valid_until_ = std::min(out_->valid_until_, until); }

    void set_protocol(Limits limits) {
        SSL_CTX_set_min_proto_version(raw(), TLS1_2_VERSION);
        SSL_CTX_set_security_level(raw(), kSecurityLevel);
        SSL_CTX_set_options(
            raw(), SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION | SSL_OP_CIPHER_SERVER_PREFERENCE);
        SSL_CTX_set_mode(raw(), SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                                    SSL_MODE_RELEASE_BUFFERS);
        SSL_CTX_set_max_cert_list(raw(),
                                  static_cast<long>(std::min<std::size_t>(limits.chain_bytes, INT_MAX)));
    }

    Status add_trusted_cas() {
        const auto trusted = read_certificates(material_.trusted_cas);
        if (trusted.empty() && (!server_ || !material_.trusted_cas.empty()))
            return error("trust: no certificate in the CA bundle");
        if (trusted.empty()) return {};
        std::int64_t latest = 0;
        for (const auto& ca : trusted) {
            if (X509_STORE_add_cert(SSL_CTX_get_cert_store(raw()), ca.get()) != 1)
                return error("trust: " + last_openssl_error());
            latest = std::max(latest, unix_time(X509_get0_notAfter(ca.get())));
        }
        // One CA may expire while its successor is already in the bundle, so the last expiry counts.
        if (latest <= unix_now_) return error("trust: every certificate in the CA bundle has expired");
        limit_validity(latest);
        verifies_clients_ = server_;
        return {};
    }

    Status add_revocation_list() {
        if (material_.revocation.empty()) return {};
        const auto bio = memory_bio(material_.revocation);
        const RevocationList list(PEM_read_bio_X509_CRL(bio.get(), nullptr, nullptr, nullptr));
        if (list == nullptr) return error("revocation list: " + last_openssl_error());
        if (const auto* next = X509_CRL_get0_nextUpdate(list.get())) {
            if (unix_time(next) <= unix_now_)
                return error("revocation list: expired (nextUpdate has passed)");
            limit_validity(unix_time(next));
        }
        X509_STORE_add_crl(SSL_CTX_get_cert_store(raw()), list.get());
        X509_VERIFY_PARAM_set_flags(SSL_CTX_get0_param(raw()), X509_V_FLAG_CRL_CHECK);
        return {};
    }

    Status add_own_certificate() {
        if (material_.certificate.empty() && material_.key.empty() && !server_) return {};
        const auto chain = read_certificates(material_.certificate);
        if (chain.empty()) return error("certificate: no certificate in the file");
        const auto bio = memory_bio(material_.key);
        const Key key(PEM_read_bio_PrivateKey(bio.get(), nullptr, nullptr, nullptr));
        if (key == nullptr) return error("key: " + last_openssl_error());
        if (X509_check_private_key(chain.front().get(), key.get()) != 1) {
            ERR_clear_error();
            return error("key and certificate do not match");
        }
        if (auto checked = check_chain(chain, unix_now_); !checked) return checked;
        for (const auto& certificate : chain)
            limit_validity(unix_time(X509_get0_notAfter(certificate.get())));
        return use_own_certificate(chain, key);
    }

    Status use_own_certificate(const std::vector<Certificate>& chain, const Key& key) {
        if (SSL_CTX_use_certificate(raw(), chain.front().get()) != 1)
            return error("certificate: " + last_openssl_error());
        if (SSL_CTX_use_PrivateKey(raw(), key.get()) != 1) return error("key: " + last_openssl_error());
        for (std::size_t i = 1; i < chain.size(); ++i)
            if (SSL_CTX_add1_chain_cert(raw(), chain[i].get()) != 1)
                return error("certificate: " + last_openssl_error());
        return {};
    }

    void set_server_role() {
        const int verify_clients = SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT;
        SSL_CTX_set_verify(raw(), verifies_clients_ ? verify_clients : SSL_VERIFY_NONE, nullptr);
        SSL_CTX_set_session_id_context(raw(), kSessionIdContext.data(), kSessionIdContext.size());
        SSL_CTX_set_alpn_select_cb(raw(), &select_alpn, nullptr);
    }

    void set_client_role() {
        SSL_CTX_set_verify(raw(), SSL_VERIFY_PEER, nullptr);
        SSL_CTX_set_alpn_protos(raw(), kAlpnProtocols.data(), kAlpnProtocols.size());
        SSL_CTX_set_session_cache_mode(raw(), SSL_SESS_CACHE_CLIENT | SSL_SESS_CACHE_NO_INTERNAL);
        SSL_CTX_sess_set_new_cb(raw(), &Filter::store_session);
    }

    const Material& material_;
    std::int64_t unix_now_;
    bool server_;
    bool verifies_clients_ = false;
    std::shared_ptr<Context> out_;
};

Context::Result Context::client(const Material& material, std::int64_t unix_now, Limits limits) {
    return ContextBuilder(material, unix_now, Role::client).build(limits);
}
Context::Result Context::server(const Material& material, std::int64_t unix_now, Limits limits) {
    return ContextBuilder(material, unix_now, Role::server).build(limits);
}

Context::Result Context::server(const std::vector<Material>& materials, std::int64_t unix_now,
                                Limits limits) {
    std::shared_ptr<Context> first;
    for (std::size_t i = 0; i < materials.size(); ++i) {
        auto context = server(materials[i], unix_now, limits);
        if (!context) return tl::unexpected("certificate " + std::to_string(i + 1) + ": " + context.error());
        if (first == nullptr) {
            first = std::move(*context);
            continue;
        }
        first->valid_until_ = std::min(first->valid_until_, (*context)->valid_until_);
        first->alternatives_.push_back(std::move(*context));
    }
    if (first == nullptr) return tl::unexpected(std::string("no certificate configured"));
    if (first->alternatives_.empty()) return first;
    SSL_CTX_set_tlsext_servername_arg(first->raw(), first.get());
    SSL_CTX_set_tlsext_servername_callback(first->raw(), &Context::select_certificate);
    return first;
}

int Context::select_certificate(SSL* ssl, int*, void* context) {
    const char* const name = SSL_get_servername(ssl, TLSEXT_NAMETYPE_host_name);
    if (name == nullptr) return SSL_TLSEXT_ERR_NOACK;
    const auto& self = *static_cast<Context*>(context);
    if (matches_host(self.raw(), name)) return SSL_TLSEXT_ERR_OK;
    for (const auto& other : self.alternatives_) {
        if (!matches_host(other->raw(), name)) continue;
        // Switches the certificate only: clients are verified against the first context's trusted CAs.
        SSL_set_SSL_CTX(ssl, other->raw());
        return SSL_TLSEXT_ERR_OK;
    }
    return SSL_TLSEXT_ERR_NOACK;
}

bool Context::set_ticket_keys(std::string_view keys) {
    return server_ && keys.size() == kTicketKeyBytes &&
           SSL_CTX_set_tlsext_ticket_keys(raw(), const_cast<char*>(keys.data()), kTicketKeyBytes) == 1;
}

}  // namespace chalksail::net::tls
