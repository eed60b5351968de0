// Owning pointers for OpenSSL objects, and conversions of its errors, times and names.
#pragma once

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/types.h>
#include <openssl/x509.h>

#include <cstdint>
#include <memory>
#include <string>

namespace chalksail::net::tls {

struct BioDeleter {
    void operator()(BIO* bio) const { BIO_free(bio); }
};
struct CertificateDeleter {
    void operator()(X509* certificate) const { X509_free(certificate); }
};
struct RevocationListDeleter {
    void operator()(X509_CRL* list) const { X509_CRL_free(list); }
};
struct KeyDeleter {
    void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};
using Bio = std::unique_ptr<BIO, BioDeleter>;
using Certificate = std::unique_ptr<X509, CertificateDeleter>;
using RevocationList = std::unique_ptr<X509_CRL, RevocationListDeleter>;
using Key = std::unique_ptr<EVP_PKEY, KeyDeleter>;

// Returns the last error in this thread's OpenSSL error queue, and empties the queue.
[[nodiscard]] std::string last_openssl_error();
// Returns the Unix time in seconds, or the maximum value if `time` can't be parsed.
[[nodiscard]] std::int64_t unix_time(const ASN1_TIME* time);
// Returns the certificate's subject in one line.
[[nodiscard]] std::string subject_of(X509* certificate);

}  // namespace chalksail::net::tls
