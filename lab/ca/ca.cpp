#include "ca/ca.hpp"

#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509v3.h>

#include <stdexcept>

namespace chalksail::lab {
namespace {

void must(bool good, const char* what) {
    if (!good) throw std::runtime_error(std::string("certificate authority: ") + what);
}

struct KeyFree {
    void operator()(EVP_PKEY* k) const { EVP_PKEY_free(k); }
};
struct X509Free {
    void operator()(X509* x) const { X509_free(x); }
};
using Key = std::unique_ptr<EVP_PKEY, KeyFree>;
using Certificate = std::unique_ptr<X509, X509Free>;

Key make_key(int rsa_bits) {
    Key out(rsa_bits > 0 ? EVP_RSA_gen(static_cast<unsigned>(rsa_bits)) : EVP_EC_gen("P-256"));
    must(out != nullptr, "no key");
    return out;
}

template <class Write>
std::string pem(Write write) {
    BIO* const bio = BIO_new(BIO_s_mem());
    must(write(bio) == 1, "no PEM");
    char* text = nullptr;
    const long n = BIO_get_mem_data(bio, &text);
    std::string out(text, static_cast<std::size_t>(n));
    BIO_free(bio);
    return out;
}
std::string pem(X509* x) {
    return pem([&](BIO* b) { return PEM_write_bio_X509(b, x); });
}
std::string pem(EVP_PKEY* k) {
    return pem([&](BIO* b) { return PEM_write_bio_PrivateKey(b, k, nullptr, nullptr, 0, nullptr, nullptr); });
}

void extend(X509* x, X509* issuer, int nid, const std::string& value) {
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, issuer, x, nullptr, nullptr, 0);
    X509_EXTENSION* const e = X509V3_EXT_conf_nid(nullptr, &context, nid, value.c_str());
    must(e != nullptr, "bad extension");
    X509_add_ext(x, e, -1);
    X509_EXTENSION_free(e);
}

Certificate blank(const std::string& name, long serial, std::int64_t from, std::int64_t until,
                  EVP_PKEY* key) {
    Certificate x(X509_new());
    X509_set_version(x.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(x.get()), serial);
    ASN1_TIME_set(X509_getm_notBefore(x.get()), from);
    ASN1_TIME_set(X509_getm_notAfter(x.get()), until);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(x.get()), "CN", MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_pubkey(x.get(), key);
    return x;
}

// The issuer is itself where `issuer` is nullptr.
Issued make(const CertificateWish& wish, long serial, X509* issuer, EVP_PKEY* issuer_key) {
    const Key key = make_key(wish.rsa_bits);
    const auto x = blank("stand-in", serial, wish.from, wish.until, key.get());
    X509* const by = issuer == nullptr ? x.get() : issuer;
    X509_set_issuer_name(x.get(), X509_get_subject_name(by));
    extend(x.get(), by, NID_basic_constraints, "critical,CA:FALSE");
    extend(x.get(), by, NID_key_usage, "critical,digitalSignature");
    extend(x.get(), by, NID_ext_key_usage, wish.for_servers ? "serverAuth,clientAuth" : "clientAuth");
    std::string names;
    for (const auto& n : wish.names) names += (names.empty() ? "DNS:" : ",DNS:") + n;
    for (const auto& a : wish.addresses) names += (names.empty() ? "IP:" : ",IP:") + a;
    if (!names.empty()) extend(x.get(), by, NID_subject_alt_name, names);
    if (wish.padding > 0) extend(x.get(), by, NID_netscape_comment, std::string(wish.padding, 'x'));
    must(X509_sign(x.get(), issuer == nullptr ? key.get() : issuer_key, EVP_sha256()) > 0, "not signed");
    return {pem(x.get()), pem(key.get()), serial};
}

}  // namespace

struct Authority::State {
    Key key;
    Certificate certificate;
    long last_serial = 1;
};

Authority::Authority(const std::string& name, std::int64_t from, std::int64_t until)
    : state_(std::make_unique<State>()) {
    state_->key = make_key(0);
    state_->certificate = blank(name, 1, from, until, state_->key.get());
    X509* const x = state_->certificate.get();
    X509_set_issuer_name(x, X509_get_subject_name(x));
    extend(x, x, NID_basic_constraints, "critical,CA:TRUE");
    extend(x, x, NID_key_usage, "critical,keyCertSign,cRLSign");
    extend(x, x, NID_subject_key_identifier, "hash");
    must(X509_sign(x, state_->key.get(), EVP_sha256()) > 0, "not signed");
}
Authority::~Authority() = default;
Authority::Authority(Authority&&) noexcept = default;
Authority& Authority::operator=(Authority&&) noexcept = default;

Issued Authority::issue(const CertificateWish& wish) {
    return make(wish, ++state_->last_serial, state_->certificate.get(), state_->key.get());
}
Issued Authority::self_signed(const CertificateWish& wish) { return make(wish, 1, nullptr, nullptr); }
std::string Authority::certificate() const { return pem(state_->certificate.get()); }

std::string Authority::revocation(const std::vector<long>& serials, std::int64_t from,
                                  std::int64_t until) const {
    X509_CRL* const crl = X509_CRL_new();
    X509_CRL_set_version(crl, 1);
    X509_CRL_set_issuer_name(crl, X509_get_subject_name(state_->certificate.get()));
    ASN1_TIME* const begin = ASN1_TIME_set(nullptr, from);
    ASN1_TIME* const end = ASN1_TIME_set(nullptr, until);
    X509_CRL_set1_lastUpdate(crl, begin);
    X509_CRL_set1_nextUpdate(crl, end);
    for (const long serial : serials) {
        X509_REVOKED* const r = X509_REVOKED_new();
        ASN1_INTEGER* const n = ASN1_INTEGER_new();
        ASN1_INTEGER_set(n, serial);
        X509_REVOKED_set_serialNumber(r, n);
        X509_REVOKED_set_revocationDate(r, begin);
        X509_CRL_add0_revoked(crl, r);
        ASN1_INTEGER_free(n);
    }
    X509_CRL_sort(crl);
    must(X509_CRL_sign(crl, state_->key.get(), EVP_sha256()) > 0, "list not signed");
    const auto out = pem([&](BIO* b) { return PEM_write_bio_X509_CRL(b, crl); });
    ASN1_TIME_free(begin);
    ASN1_TIME_free(end);
    X509_CRL_free(crl);
    return out;
}

}  // namespace chalksail::lab
