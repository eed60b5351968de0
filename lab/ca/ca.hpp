// A small certificate authority for stand-ins and tests: makes keys and certificates at run time, good ones
// and bad. Nothing that it makes is ever kept in the repository.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chalksail::lab {

struct CertificateWish {
    std::vector<std::string> names;      // dNSName; wildcards as they are
    std::vector<std::string> addresses;  // iPAddress
    std::int64_t from = 0;               // seconds since 1970
    std::int64_t until = 0;
    bool for_servers = true;  // else its usage is clients only
    int rsa_bits = 0;         // 0: an EC key on P-256
    std::size_t padding = 0;  // bytes of a comment, to make it large
};
struct Issued {
    std::string certificate;  // PEM
    std::string key;          // PEM
    long serial = 0;
};

class Authority {
public:
    // Valid over the times given.
    Authority(const std::string& name, std::int64_t from, std::int64_t until);
    ~Authority();
    Authority(Authority&&) noexcept;
    Authority& operator=(Authority&&) noexcept;

    [[nodiscard]] Issued issue(const CertificateWish& wish);
    [[nodiscard]] static Issued self_signed(const CertificateWish& wish);
    [[nodiscard]] std::string certificate() const;
    // A CRL with these serials.
    [[nodiscard]] std::string revocation(const std::vector<long>& serials, std::int64_t from,
                                         std::int64_t until) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace chalksail::lab
