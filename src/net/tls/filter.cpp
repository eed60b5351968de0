#include "net/tls/filter.hpp"

#include <arpa/inet.h>
#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509_vfy.h>
#include <openssl/x509v3.h>

#include <array>
#include <utility>

#include "net/tls/openssl.hpp"

namespace chalksail::net::tls {
namespace {

constexpr std::size_t kMaxNameBytes = 253;          // Maximum length of a host name (RFC 1035)
constexpr std::size_t kReadBytes = 16 * 1024;       // Maximum size of a TLS record
constexpr std::size_t kInputPartBytes = 64 * 1024;  // Input copied into OpenSSL at a time

// Rejects names with a special meaning for OpenSSL: an empty name disables the check, and a name that begins
// with a dot matches every subdomain.
bool can_be_verified(const std::string& name) {
    constexpr auto kAllowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:";
    return !name.empty() && name.size() <= kMaxNameBytes && name.front() != '.' &&
           name.find_first_not_of(kAllowed) == std::string::npos;
}

bool is_ip_address(const std::string& name) {
    std::array<unsigned char, 16> address{};
    return inet_pton(AF_INET, name.c_str(), address.data()) == 1 ||
           inet_pton(AF_INET6, name.c_str(), address.data()) == 1;
}

// Requires the peer's certificate to match this name.
void require_name(SSL* ssl, const std::string& name) {
    X509_VERIFY_PARAM* const parameters = SSL_get0_param(ssl);
    if (is_ip_address(name)) {
        X509_VERIFY_PARAM_set1_ip_asc(parameters, name.c_str());
        return;
    }
    X509_VERIFY_PARAM_set_hostflags(
        parameters, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS | X509_CHECK_FLAG_NEVER_CHECK_SUBJECT);
    X509_VERIFY_PARAM_set1_host(parameters, name.c_str(), name.size());
    SSL_set_tlsext_host_name(ssl, name.c_str());
}

}  // namespace

std::unique_ptr<Filter> Filter::client(std::shared_ptr<Context> context, const std::string& name,
                                       SessionCache* sessions, std::int64_t unix_now) {
    auto out = server(std::move(context), unix_now);
    out->name_ = name;
    out->sessions_ = sessions;
    SSL* const ssl = out->ssl_.get();
    SSL_set_connect_state(ssl);
    out->name_unusable_ = !can_be_verified(name);
    if (out->name_unusable_) return out;
    require_name(ssl, name);
    if (sessions != nullptr)
        if (const auto session = sessions->take(name, unix_now)) SSL_set_session(ssl, session.get());
    return out;
}

std::unique_ptr<Filter> Filter::server(std::shared_ptr<Context> context, std::int64_t unix_now) {
    std::unique_ptr<Filter> out(new Filter);
    out->unix_now_ = unix_now;
    out->ssl_.reset(SSL_new(context->raw()));
    out->context_ = std::move(context);
    out->in_ = BIO_new(BIO_s_mem());
    out->out_ = BIO_new(BIO_s_mem());
    BIO_set_mem_eof_return(out->in_, -1);
    BIO_set_mem_eof_return(out->out_, -1);
    SSL* const ssl = out->ssl_.get();
    SSL_set_bio(ssl, out->in_, out->out_);
    SSL_set_app_data(ssl, out.get());
    SSL_set_accept_state(ssl);
    X509_VERIFY_PARAM_set_time(SSL_get0_param(ssl), unix_now);
    return out;
}

void Filter::SslDeleter::operator()(SSL* ssl) const {
    // Otherwise OpenSSL marks the session of a connection not closed in both directions as not resumable.
    SSL_set_shutdown(ssl, SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN);
    SSL_free(ssl);
}

int Filter::store_session(SSL* ssl, SSL_SESSION* session) {
    auto* const filter = static_cast<Filter*>(SSL_get_app_data(ssl));
    if (filter == nullptr || filter->sessions_ == nullptr || SSL_get_verify_result(ssl) != X509_V_OK)
        return 0;
    X509* const leaf = SSL_SESSION_get0_peer(session);
    filter->sessions_->put(filter->name_, Session(session), filter->unix_now_,
                           leaf == nullptr ? 0 : unix_time(X509_get0_notAfter(leaf)));
    return 1;  // the cache owns the session now
}

void Filter::fail(Step& step, FaultKind kind, std::string text) {
    finished_ = true;
    if (step.fault == nullptr) step.fault = std::make_unique<Fault>(Fault{kind, std::move(text)});
}

void Filter::advance(Step& step) {
    ERR_clear_error();
    if (!finished_ && !connected_ && !name_unusable_) advance_handshake(step);
    encrypt_pending(step);
    decrypt_received(step);
    take_output(step);
}

void Filter::advance_handshake(Step& step) {
    const int result = SSL_do_handshake(ssl_.get());
    if (result != 1) return on_ssl_result(step, result);
    connected_ = true;
    step.connected = true;
}

void Filter::encrypt_pending(Step& step) {
    std::size_t written = 0;
    while (!finished_ && connected_ && written < pending_plaintext_.size()) {
        std::size_t size = 0;
        const int result = SSL_write_ex(ssl_.get(), pending_plaintext_.data() + written,
                                        pending_plaintext_.size() - written, &size);
        if (result != 1) {
            on_ssl_result(step, result);
            break;
        }
        written += size;
    }
    if (written == pending_plaintext_.size()) pending_plaintext_.clear();
    else pending_plaintext_.erase(0, written);
}

void Filter::decrypt_received(Step& step) {
    while (!finished_ && connected_) {
        std::array<char, kReadBytes> buffer;  // NOLINT: uninitialized, as only bytes that were read are used
        std::size_t size = 0;
        const int result = SSL_read_ex(ssl_.get(), buffer.data(), buffer.size(), &size);
        if (result != 1) return on_ssl_result(step, result);
        step.plaintext.append(buffer.data(), size);
    }
}

void Filter::take_output(Step& step) {
    char* bytes = nullptr;
    const long size = BIO_get_mem_data(out_, &bytes);
    if (size > 0) step.to_peer.append(bytes, static_cast<std::size_t>(size));
    BIO_reset(out_);
}

void Filter::on_ssl_result(Step& step, int result) {
    const int reason = SSL_get_error(ssl_.get(), result);
    if (reason == SSL_ERROR_WANT_READ || reason == SSL_ERROR_WANT_WRITE) return;
    if (reason == SSL_ERROR_ZERO_RETURN) {
        step.ended = true;
        finished_ = true;
        return;
    }
    const long verified = SSL_get_verify_result(ssl_.get());
    if (!connected_ && verified != X509_V_OK)
        fail(step, FaultKind::verification, X509_verify_cert_error_string(verified));
    else fail(step, FaultKind::protocol, last_openssl_error());
}

Step Filter::start() {
    Step step;
    if (name_unusable_)
        fail(step, FaultKind::verification,
             "'" + name_ + "' is not a host name or IP address that can be verified");
    advance(step);
    return step;
}

Step Filter::from_peer(std::string_view bytes) {
    Step step;
    if (finished_) return step;
    // Processed in parts, so that a large input is not held in memory twice.
    while (!bytes.empty() && !finished_) {
        const auto part = bytes.substr(0, kInputPartBytes);
        BIO_write(in_, part.data(), static_cast<int>(part.size()));
        bytes.remove_prefix(part.size());
        advance(step);
    }
    return step;
}

Step Filter::send(std::string_view plaintext) {
    Step step;
    if (finished_) return step;
    pending_plaintext_ += plaintext;
    advance(step);
    return step;
}

Step Filter::close() {
    Step step;
    if (!finished_ && connected_) SSL_shutdown(ssl_.get());
    finished_ = true;
    advance(step);
    return step;
}

Step Filter::peer_closed() {
    Step step;
    if (!finished_) fail(step, FaultKind::truncated, "connection closed without close_notify");
    return step;
}

bool Filter::resumed() const { return SSL_session_reused(ssl_.get()) == 1; }

PeerFacts Filter::facts() const {
    PeerFacts out;
    out.protocol = SSL_get_version(ssl_.get());
    if (const char* cipher = SSL_get_cipher_name(ssl_.get())) out.cipher = cipher;
    const unsigned char* alpn = nullptr;
    unsigned length = 0;
    SSL_get0_alpn_selected(ssl_.get(), &alpn, &length);
    if (alpn != nullptr) out.alpn.assign(reinterpret_cast<const char*>(alpn), length);
    out.resumed = resumed();
    if (const auto* chain = SSL_get_peer_cert_chain(ssl_.get()))
        for (int i = 0; i < sk_X509_num(chain); ++i) out.chain.push_back(subject_of(sk_X509_value(chain, i)));
    return out;
}

}  // namespace chalksail::net::tls
