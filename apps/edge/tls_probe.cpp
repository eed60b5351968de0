#include "tls_probe.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <ctime>
#include <iostream>

#include "base/units.hpp"
#include "net/tls/certificate_reloader.hpp"

namespace {

using namespace chalksail;
using namespace chalksail::net;

constexpr int kResponseTimeoutMs = 3000;  // for each message of the server
constexpr int kTicketTimeoutMs = 300;     // for session tickets, which come after the handshake

// A connected socket; -1 if there is none.
int dial(const Address& address) {
    const bool six = address.host.find(':') != std::string::npos;
    const int fd = socket(six ? AF_INET6 : AF_INET, SOCK_STREAM, 0);
    sockaddr_in v4{};
    sockaddr_in6 v6{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(address.port);
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &v4.sin_addr);
    inet_pton(AF_INET6, address.host.c_str(), &v6.sin6_addr);
    const int failed = six ? connect(fd, reinterpret_cast<const sockaddr*>(&v6), sizeof v6)
                           : connect(fd, reinterpret_cast<const sockaddr*>(&v4), sizeof v4);
    if (failed == 0) return fd;
    close(fd);
    return -1;
}

// One handshake, and the tickets that follow it. Prints a failure on standard output.
bool handshake(int fd, tls::Filter& filter) {
    auto step = filter.start();
    for (;;) {
        for (std::size_t sent = 0; sent < step.to_peer.size();) {
            const auto n = write(fd, step.to_peer.data() + sent, step.to_peer.size() - sent);
            if (n <= 0) return false;
            sent += static_cast<std::size_t>(n);
        }
        if (step.fault) {
            if (filter.connected()) return true;
            std::cout << "result: refused: " << step.fault->text << '\n';
            return false;
        }
        if (step.ended) return filter.connected();
        pollfd ready{fd, POLLIN, 0};
        if (poll(&ready, 1, filter.connected() ? kTicketTimeoutMs : kResponseTimeoutMs) <= 0) {
            if (!filter.connected()) std::cout << "result: no answer in time\n";
            return filter.connected();
        }
        std::array<char, 16 * 1024> buffer{};
        const auto n = read(fd, buffer.data(), buffer.size());
        step = n > 0 ? filter.from_peer({buffer.data(), static_cast<std::size_t>(n)}) : filter.peer_closed();
    }
}

}  // namespace

int tls_probe(const std::string& text, const std::string& name, const std::string& trust) {
    const auto address = parse_address(text);
    if (!address || address->port == 0) {
        std::cerr << "tls probe: '" << text << "' is no IP:PORT\n";
        return 2;
    }
    config::TlsConfig config;
    config.trusted_cas = trust;
    tls::CertificateReloader files(config);
    if (files.poll(std::time(nullptr)) != tls::CertificateReloader::PollResult::replaced) {
        std::cerr << "tls probe: " << files.error() << '\n';
        return 2;
    }
    const std::string expected = name.empty() ? address->host : name;
    std::cout << "name expected: " << expected << '\n';
    for (int round = 1; round <= 2; ++round) {
        const int fd = dial(*address);
        if (fd < 0) {
            std::cout << "result: no connection\n";
            return 2;
        }
        const auto filter =
            tls::Filter::client(files.context(), expected, &files.sessions(), std::time(nullptr));
        const bool good = handshake(fd, *filter);
        close(fd);
        const auto facts = filter->facts();
        for (std::size_t i = 0; i < facts.chain.size(); ++i)
            std::cout << "chain " << i << ": " << facts.chain[i] << '\n';
        if (!good) return 1;
        if (round == 1)
            std::cout << "result: verified\nprotocol: " << facts.protocol << ", " << facts.cipher
                      << "\nalpn: " << (facts.alpn.empty() ? "none" : facts.alpn) << '\n';
        else std::cout << "second handshake: " << (facts.resumed ? "resumed" : "full") << '\n';
    }
    return 0;
}
