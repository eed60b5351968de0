#include "net/tls/openssl.hpp"

#include <openssl/err.h>

#include <array>
#include <limits>

namespace chalksail::net::tls {

std::string last_openssl_error() {
    std::string out;
    for (auto code = ERR_get_error(); code != 0; code = ERR_get_error()) {
        std::array<char, 256> text{};
        ERR_error_string_n(code, text.data(), text.size());
        out = text.data();
    }
    return out.empty() ? "unknown" : out;
}

std::int64_t unix_time(const ASN1_TIME* time) {
    constexpr std::int64_t kSecondsPerDay = 86'400;
    int days = 0, seconds = 0;
    ASN1_TIME* const epoch = ASN1_TIME_set(nullptr, 0);
    const bool good = ASN1_TIME_diff(&days, &seconds, epoch, time) == 1;
    ASN1_TIME_free(epoch);
    return good ? days * kSecondsPerDay + seconds : std::numeric_limits<std::int64_t>::max();
}

std::string subject_of(X509* certificate) {
    std::array<char, 512> text{};
    X509_NAME_oneline(X509_get_subject_name(certificate), text.data(), text.size());
    return text.data();
}

}  // namespace chalksail::net::tls
