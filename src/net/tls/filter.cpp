#include "net/tls/filter.hpp"

#include <arpa/inet.h>
#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509_vfy.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <array>
#include <climits>
#include <limits>

namespace chalksail::net::tls {
namespace {

struct BioFree {
    void operator()(BIO* b) const { BIO_free(b); }
};
struct X509Free {
    void operator()(X509* x) const { X509_free(x); }
};
struct CrlFree {
    void operator()(X509_CRL* x) const { X509_CRL_free(x); }
};
struct KeyFree {
    void operator()(EVP_PKEY* k) const { EVP_PKEY_free(k); }
};
using Bio = std::unique_ptr<BIO, BioFree>;
using Certificate = std::unique_ptr<X509, X509Free>;

Bio reader(const std::string& text) {
    return Bio(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

std::string last_error() {
    std::string out;
    for (auto code = ERR_get_error(); code != 0; code = ERR_get_error()) {
        std::array<char, 256> text{};
        ERR_error_string_n(code, text.data(), text.size());
        out = text.data();
    }
    return out.empty() ? "unknown" : out;
}

// Seconds since 1970 of an ASN.1 time; the largest number if it can't be read.
std::int64_t unix_time(const ASN1_TIME* time) {
    int days = 0, seconds = 0;
    ASN1_TIME* const epoch = ASN1_TIME_set(nullptr, 0);
    const bool good = ASN1_TIME_diff(&days, &seconds, epoch, time) == 1;
    ASN1_TIME_free(epoch);
    return good ? std::int64_t{days} * 86'400 + seconds : std::numeric_limits<std::int64_t>::max();
}

std::vector<Certificate> read_certificates(const std::string& pem) {
    std::vector<Certificate> out;
    const auto bio = reader(pem);
    while (X509* x = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)) out.emplace_back(x);
    ERR_clear_error();  // the end of the text is no error
    return out;
}

std::string subject(X509* x) {
    std::array<char, 512> text{};
    X509_NAME_oneline(X509_get_subject_name(x), text.data(), text.size());
    return text.data();
}

constexpr std::array<unsigned char, 9> kAlpn = {8, 'h', 't', 't', 'p', '/', '1', '.', '1'};

}  // namespace

struct ContextBuilder {
    static Context::Result build(const Material& m, std::int64_t now, Limits limits, bool server) {
        const auto wrong = [](const std::string& text) { return tl::unexpected(text); };
        std::shared_ptr<Context> out(new Context);
        out->server_ = server;
        out->valid_until_ = std::numeric_limits<std::int64_t>::max();
        out->raw_ = SSL_CTX_new(server ? TLS_server_method() : TLS_client_method());
        if (out->raw_ == nullptr) return wrong("no context: " + last_error());
        SSL_CTX* const ctx = out->raw_;
        SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
        SSL_CTX_set_security_level(ctx, 2);
        SSL_CTX_set_options(
            ctx, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION | SSL_OP_CIPHER_SERVER_PREFERENCE);
        SSL_CTX_set_mode(ctx, SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                                  SSL_MODE_RELEASE_BUFFERS);
        SSL_CTX_set_max_cert_list(ctx, static_cast<long>(std::min<std::size_t>(limits.chain_bytes, INT_MAX)));

        const auto until = [&](const ASN1_TIME* time) {
            out->valid_until_ = std::min(out->valid_until_, unix_time(time));
        };
        X509_STORE* const store = SSL_CTX_get_cert_store(ctx);
        const auto trust = read_certificates(m.trust);
        if (trust.empty() && (!server || !m.trust.empty()))
            return wrong("trust: no certificate in the bundle");
        bool any_valid = trust.empty();
        std::int64_t latest = 0;
        for (const auto& ca : trust) {
            if (X509_STORE_add_cert(store, ca.get()) != 1) return wrong("trust: " + last_error());
            const auto end = unix_time(X509_get0_notAfter(ca.get()));
            any_valid = any_valid || end > now;
            latest = std::max(latest, end);
        }
        // One CA may run out while its follower is in the bundle already: the last of them counts.
        if (!any_valid) return wrong("trust: every certificate in the bundle has expired");
        if (!trust.empty()) out->valid_until_ = std::min(out->valid_until_, latest);
        if (!m.revocation.empty()) {
            const auto bio = reader(m.revocation);
            const std::unique_ptr<X509_CRL, CrlFree> crl(
                PEM_read_bio_X509_CRL(bio.get(), nullptr, nullptr, nullptr));
            if (crl == nullptr) return wrong("revocation list: " + last_error());
            if (const auto* next = X509_CRL_get0_nextUpdate(crl.get())) {
                if (unix_time(next) <= now) return wrong("revocation list: its time is over");
                until(next);
            }
            X509_STORE_add_crl(store, crl.get());
            X509_VERIFY_PARAM_set_flags(SSL_CTX_get0_param(ctx), X509_V_FLAG_CRL_CHECK);
        }
        if (!m.certificate.empty() || !m.key.empty() || server) {
            const auto chain = read_certificates(m.certificate);
            if (chain.empty()) return wrong("certificate: none in the file");
            const auto bio = reader(m.key);
            const std::unique_ptr<EVP_PKEY, KeyFree> key(
                PEM_read_bio_PrivateKey(bio.get(), nullptr, nullptr, nullptr));
            if (key == nullptr) return wrong("key: " + last_error());
            if (X509_check_private_key(chain.front().get(), key.get()) != 1) {
                ERR_clear_error();
                return wrong("key and certificate do not fit");
            }
            for (const auto& c : chain) {
                if (unix_time(X509_get0_notAfter(c.get())) <= now)
                    return wrong("certificate: expired: " + subject(c.get()));
                if (unix_time(X509_get0_notBefore(c.get())) > now)
                    return wrong("certificate: not yet valid: " + subject(c.get()));
                until(X509_get0_notAfter(c.get()));
            }
            for (std::size_t i = 0; i + 1 < chain.size(); ++i)
                if (X509_check_issued(chain[i + 1].get(), chain[i].get()) != X509_V_OK ||
                    X509_verify(chain[i].get(), X509_get0_pubkey(chain[i + 1].get())) != 1) {
                    ERR_clear_error();
                    return wrong("certificate: the chain breaks after " + subject(chain[i].get()));
                }
            if (SSL_CTX_use_certificate(ctx, chain.front().get()) != 1)
                return wrong("certificate: " + last_error());
            if (SSL_CTX_use_PrivateKey(ctx, key.get()) != 1) return wrong("key: " + last_error());
            for (std::size_t i = 1; i < chain.size(); ++i)
                if (SSL_CTX_add1_chain_cert(ctx, chain[i].get()) != 1)
                    return wrong("certificate: " + last_error());
        }
        if (server) {
            SSL_CTX_set_verify(
                ctx, trust.empty() ? SSL_VERIFY_NONE : SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                nullptr);
            static constexpr std::array<unsigned char, 9> id = {'c', 'h', 'a', 'l', 'k', 's', 'a', 'i', 'l'};
            SSL_CTX_set_session_id_context(ctx, id.data(), id.size());
            SSL_CTX_set_alpn_select_cb(
                ctx,
                [](SSL*, const unsigned char** chosen, unsigned char* length, const unsigned char* offered,
                   unsigned n, void*) {
                    unsigned char* at = nullptr;
                    const int found =
                        SSL_select_next_proto(&at, length, kAlpn.data(), kAlpn.size(), offered, n);
                    *chosen = at;
                    return found == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_NOACK;
                },
                nullptr);
        } else {
            SSL_CTX_set_verify(ctx, SSL_VERIFY_PEER, nullptr);
            SSL_CTX_set_alpn_protos(ctx, kAlpn.data(), kAlpn.size());
            SSL_CTX_set_session_cache_mode(ctx, SSL_SESS_CACHE_CLIENT | SSL_SESS_CACHE_NO_INTERNAL);
            SSL_CTX_sess_set_new_cb(ctx, &Filter::keep_session);
        }
        return out;
    }
};

Context::~Context() { SSL_CTX_free(raw_); }
Context::Result Context::client(const Material& m, std::int64_t now, Limits limits) {
    return ContextBuilder::build(m, now, limits, false);
}
Context::Result Context::server(const Material& m, std::int64_t now, Limits limits) {
    return ContextBuilder::build(m, now, limits, true);
}
Context::Result Context::server(const std::vector<Material>& choice, std::int64_t now, Limits limits) {
    std::shared_ptr<Context> first;
    for (std::size_t i = 0; i < choice.size(); ++i) {
        auto one = server(choice[i], now, limits);
        if (!one) return tl::unexpected("certificate " + std::to_string(i + 1) + ": " + one.error());
        if (first == nullptr) {
            first = std::move(*one);
            continue;
        }
        first->valid_until_ = std::min(first->valid_until_, (*one)->valid_until_);
        first->others_.push_back(std::move(*one));
    }
    if (first == nullptr) return tl::unexpected(std::string("no certificate"));
    if (first->others_.empty()) return first;
    SSL_CTX_set_tlsext_servername_arg(first->raw_, first.get());
    SSL_CTX_set_tlsext_servername_callback(
        first->raw_, +[](SSL* ssl, int*, void* arg) -> int {
            const char* name = SSL_get_servername(ssl, TLSEXT_NAMETYPE_host_name);
            if (name == nullptr) return SSL_TLSEXT_ERR_NOACK;
            const auto& self = *static_cast<Context*>(arg);
            const auto fits = [&](SSL_CTX* ctx) {
                return X509_check_host(
                           SSL_CTX_get0_certificate(ctx), name, 0,
                           X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS | X509_CHECK_FLAG_NEVER_CHECK_SUBJECT,
                           nullptr) == 1;
            };
            if (fits(self.raw_)) return SSL_TLSEXT_ERR_OK;
            for (const auto& other : self.others_) {
                if (!fits(other->raw_)) continue;
                // Only the certificate: who may be a client stays the first one's to say.
                SSL_set_SSL_CTX(ssl, other->raw_);
                return SSL_TLSEXT_ERR_OK;
            }
            return SSL_TLSEXT_ERR_NOACK;
        });
    return first;
}

bool Context::set_ticket_keys(std::string_view keys) {
    return server_ && keys.size() == kTicketKeyBytes &&
           SSL_CTX_set_tlsext_ticket_keys(raw_, const_cast<char*>(keys.data()), kTicketKeyBytes) == 1;
}

std::unique_ptr<Filter> Filter::client(std::shared_ptr<Context> context, const std::string& name,
                                       SessionCache* sessions, std::int64_t unix_now) {
    auto out = server(std::move(context), unix_now);
    out->name_ = name;
    out->sessions_ = sessions;
    SSL_set_connect_state(out->ssl_);
    // Guards against names that OpenSSL takes for more than a name: an empty one checks none at all, and one
    // that begins with a dot fits every host below it.
    out->unusable_ =
        name.empty() || name.size() > 253 || name.front() == '.' ||
        name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:") !=
            std::string::npos;
    if (out->unusable_) return out;
    X509_VERIFY_PARAM* const param = SSL_get0_param(out->ssl_);
    std::array<unsigned char, 16> address{};
    if (inet_pton(AF_INET, name.c_str(), address.data()) == 1 ||
        inet_pton(AF_INET6, name.c_str(), address.data()) == 1) {
        X509_VERIFY_PARAM_set1_ip_asc(param, name.c_str());
    } else {
        X509_VERIFY_PARAM_set_hostflags(
            param, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS | X509_CHECK_FLAG_NEVER_CHECK_SUBJECT);
        X509_VERIFY_PARAM_set1_host(param, name.c_str(), name.size());
        SSL_set_tlsext_host_name(out->ssl_, name.c_str());
    }
    if (sessions != nullptr)
        if (const auto session = sessions->take(name, unix_now)) SSL_set_session(out->ssl_, session.get());
    return out;
}

std::unique_ptr<Filter> Filter::server(std::shared_ptr<Context> context, std::int64_t unix_now) {
    std::unique_ptr<Filter> out(new Filter);
    out->unix_now_ = unix_now;
    out->ssl_ = SSL_new(context->raw());
    out->context_ = std::move(context);
    out->in_ = BIO_new(BIO_s_mem());
    out->out_ = BIO_new(BIO_s_mem());
    BIO_set_mem_eof_return(out->in_, -1);
    BIO_set_mem_eof_return(out->out_, -1);
    SSL_set_bio(out->ssl_, out->in_, out->out_);
    SSL_set_app_data(out->ssl_, out.get());
    SSL_set_accept_state(out->ssl_);
    X509_VERIFY_PARAM_set_time(SSL_get0_param(out->ssl_), unix_now);
    return out;
}

Filter::~Filter() {
    // Without this OpenSSL takes a session whose connection was not closed in both directions for a bad one.
    SSL_set_shutdown(ssl_, SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
    SSL_free(ssl_);
}

int Filter::keep_session(SSL* ssl, SSL_SESSION* session) {
    auto* const filter = static_cast<Filter*>(SSL_get_app_data(ssl));
    if (filter == nullptr || filter->sessions_ == nullptr || SSL_get_verify_result(ssl) != X509_V_OK)
        return 0;
    X509* const leaf = SSL_SESSION_get0_peer(session);
    filter->sessions_->put(filter->name_, Session(session), filter->unix_now_,
                           leaf == nullptr ? 0 : unix_time(X509_get0_notAfter(leaf)));
    return 1;  // it is ours now
}

void Filter::fail(Step& step, FaultKind kind, std::string text) {
    over_ = true;
    if (step.fault == nullptr) step.fault = std::make_unique<Fault>(Fault{kind, std::move(text)});
}

// Moves on as far as the bytes go: handshake, what waits to be sent, what came.
void Filter::turn(Step& step) {
    ERR_clear_error();
    const auto failed = [&](int result) {
        const int why = SSL_get_error(ssl_, result);
        if (why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE) return false;
        if (why == SSL_ERROR_ZERO_RETURN) {
            step.ended = true;
            over_ = true;
            return true;
        }
        const long verified = SSL_get_verify_result(ssl_);
        if (!connected_ && verified != X509_V_OK)
            fail(step, FaultKind::verification, X509_verify_cert_error_string(verified));
        else fail(step, FaultKind::protocol, last_error());
        return true;
    };
    if (!over_ && !connected_ && !unusable_) {
        const int result = SSL_do_handshake(ssl_);
        if (result == 1) {
            connected_ = true;
            step.connected = true;
        } else {
            failed(result);
        }
    }
    std::size_t written = 0;
    while (!over_ && connected_ && written < waiting_.size()) {
        std::size_t done = 0;
        const int result = SSL_write_ex(ssl_, waiting_.data() + written, waiting_.size() - written, &done);
        if (result != 1) {
            failed(result);
            break;
        }
        written += done;
    }
    if (written == waiting_.size()) waiting_.clear();
    else waiting_.erase(0, written);
    while (!over_ && connected_) {
        std::array<char, 16 * 1024> buffer;  // NOLINT: only what was read is looked at
        std::size_t got = 0;
        const int result = SSL_read_ex(ssl_, buffer.data(), buffer.size(), &got);
        if (result != 1) {
            failed(result);
            break;
        }
        step.plain.append(buffer.data(), got);
    }
    char* bytes = nullptr;
    const long n = BIO_get_mem_data(out_, &bytes);
    if (n > 0) step.to_peer.append(bytes, static_cast<std::size_t>(n));
    BIO_reset(out_);
}

Step Filter::start() {
    Step step;
    if (unusable_) fail(step, FaultKind::verification, "'" + name_ + "' is no name that can be proved");
    turn(step);
    return step;
}

Step Filter::from_peer(std::string_view bytes) {
    Step step;
    if (over_) return step;
    // In parts, so that a flood of small records does not stand in memory twice.
    while (!bytes.empty() && !over_) {
        const auto part = bytes.substr(0, 64 * 1024);
        BIO_write(in_, part.data(), static_cast<int>(part.size()));
        bytes.remove_prefix(part.size());
        turn(step);
    }
    return step;
}

Step Filter::send(std::string_view plain) {
    Step step;
    if (over_) return step;
    waiting_ += plain;
    turn(step);
    return step;
}

Step Filter::close() {
    Step step;
    if (!over_ && connected_) SSL_shutdown(ssl_);
    over_ = true;
    turn(step);
    return step;
}

Step Filter::peer_closed() {
    Step step;
    if (!over_) fail(step, FaultKind::truncated, "closed without close_notify");
    return step;
}

bool Filter::resumed() const { return SSL_session_reused(ssl_) == 1; }

PeerFacts Filter::facts() const {
    PeerFacts out;
    out.protocol = SSL_get_version(ssl_);
    if (const char* cipher = SSL_get_cipher_name(ssl_)) out.cipher = cipher;
    const unsigned char* alpn = nullptr;
    unsigned length = 0;
    SSL_get0_alpn_selected(ssl_, &alpn, &length);
    if (alpn != nullptr) out.alpn.assign(reinterpret_cast<const char*>(alpn), length);
    out.resumed = resumed();
    if (const auto* chain = SSL_get_peer_cert_chain(ssl_))
        for (int i = 0; i < sk_X509_num(chain); ++i) out.chain.push_back(subject(sk_X509_value(chain, i)));
    return out;
}

}  // namespace chalksail::net::tls
