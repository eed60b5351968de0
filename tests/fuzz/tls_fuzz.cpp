// Fuzzes TLS: the contents of an operator's files, the matching of certificate names (against a simple
// implementation of RFC 6125), and the bytes between two filters, reordered, split and modified.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "ca/ca.hpp"
#include "net/tls/filter.hpp"

using namespace chalksail;
using namespace chalksail::net::tls;

namespace {

constexpr std::int64_t kNow = 1'800'000'000;
constexpr std::int64_t kDay = 86'400;
const std::string kName = "decode-7.example.org";

void require(bool condition) {
    if (!condition) std::abort();
}

struct TlsFixture {
    TlsFixture() : ca("fuzz", kNow - kDay, kNow + kDay) {
        client = *Context::client({ca.certificate(), "", "", ""}, kNow);
        server = make({kName});
    }
    std::shared_ptr<Context> make(const std::vector<std::string>& names) {
        const auto issued = ca.issue({names, {}, kNow - kDay, kNow + kDay, true, 0, 0});
        return *Context::server({"", "", issued.certificate, issued.key}, kNow);
    }
    lab::Authority ca;
    std::shared_ptr<Context> client, server;
};
TlsFixture& fixture() {
    static TlsFixture w;
    return w;
}

// Loads the bytes as an operator's file, which must be accepted or rejected with an error text.
void files(const std::string& bytes) {
    const std::string pem = "-----BEGIN CERTIFICATE-----\n" + bytes + "\n-----END CERTIFICATE-----\n";
    for (const auto& text : {bytes, pem, fixture().ca.certificate() + bytes}) {
        const auto trust = Context::client({text, "", "", ""}, kNow);
        if (!trust) require(!trust.error().empty());
        const auto list = Context::client({fixture().ca.certificate(), text, "", ""}, kNow);
        if (!list) require(!list.error().empty());
        const auto own = Context::server({"", "", text, bytes}, kNow);
        if (!own) require(!own.error().empty());
    }
}

// Returns true if a certificate for `shown` is valid for `wanted`. Names are compared as a whole and
// case-insensitively. A wildcard must be the whole first label, matches exactly one label, and must not be
// directly below a top-level domain.
bool certificate_matches(std::string shown, std::string wanted) {
    const auto lower = [](std::string& s) {
        std::transform(s.begin(), s.end(), s.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    };
    lower(shown);
    lower(wanted);
    if (shown == wanted) return true;
    if (!shown.starts_with("*.")) return false;
    const std::string suffix = shown.substr(1);
    if (std::count(suffix.begin(), suffix.end(), '.') < 2 || suffix.find('*') != std::string::npos)
        return false;
    const auto dot = wanted.find('.');
    return dot != std::string::npos && dot > 0 && wanted.substr(dot) == suffix;
}

void names(const std::string& bytes) {
    // Uses few letters, so that names often match.
    std::string all;
    for (const char c : bytes.substr(0, 24)) all += "ab.*A-"[static_cast<unsigned char>(c) % 6];
    const auto half = all.size() / 2;
    const std::string shown = all.substr(0, half) + ".ab.a", wanted = all.substr(half) + ".ab.a";
    const auto server = fixture().make({shown});
    const auto c = Filter::client(fixture().client, wanted, nullptr, kNow);
    const auto s = Filter::server(server, kNow);
    std::string to_server = c->start().to_peer;
    for (int i = 0; i < 8 && !to_server.empty(); ++i)
        to_server = c->from_peer(s->from_peer(to_server).to_peer).to_peer;
    // A connection requires a matching name. The reverse is not checked, as OpenSSL is stricter on what is a
    // valid host name.
    if (c->connected()) require(certificate_matches(shown, wanted));
}

// Runs a session between a client and a server whose bytes are split, delayed, modified and inserted.
void session(const std::string& bytes) {
    auto c = Filter::client(fixture().client, kName, nullptr, kNow);
    auto s = Filter::server(fixture().server, kNow);
    std::string to_server, to_client, sent, received;
    bool client_ended = false, server_ended = false, changed = false;
    const auto on_client_step = [&](Step step) {
        require(!client_ended || (step.plaintext.empty() && !step.connected));
        require(step.plaintext.empty() || c->connected());
        to_server += step.to_peer;
        received += step.plaintext;
        client_ended = client_ended || step.fault != nullptr || step.ended;
    };
    const auto on_server_step = [&](Step step) {
        require(!server_ended || (step.plaintext.empty() && !step.connected));
        to_client += step.to_peer;
        server_ended = server_ended || step.fault != nullptr || step.ended;
    };
    on_client_step(c->start());
    for (std::size_t i = 0; i + 1 < bytes.size() && i < 400; i += 2) {
        const auto what = static_cast<unsigned char>(bytes[i]) % 10;
        const auto much = static_cast<unsigned char>(bytes[i + 1]);
        std::string& pipe = what % 2 == 0 ? to_client : to_server;
        if (what < 4) {
            const auto n = std::min<std::size_t>(pipe.size(), much < 250 ? 1 + much * 8U : pipe.size());
            const std::string part = pipe.substr(0, n);
            pipe.erase(0, n);
            if (what % 2 == 0) on_client_step(c->from_peer(part));
            else on_server_step(s->from_peer(part));
        } else if (what < 6 && !pipe.empty()) {
            pipe[much * 7U % pipe.size()] ^= static_cast<char>(1 + much % 255);
            changed = true;
        } else if (what == 6) {
            pipe.insert(much % (pipe.size() + 1), bytes.substr(i, 9));
            changed = true;
        } else if (what == 7) {
            on_client_step(c->send("question"));
        } else if (what == 8) {
            sent += "answer" + std::to_string(much);
            on_server_step(s->send("answer" + std::to_string(much)));
        } else if (much < 40) {
            on_client_step(c->peer_closed());
        } else if (much < 80) {
            on_server_step(s->close());
            server_ended = true;
        }
    }
    // However the bytes were changed, the received plaintext is a prefix of the sent plaintext.
    require(sent.starts_with(received));
    if (!changed && !client_ended && !server_ended) {
        // A session whose bytes were only split and delayed must complete.
        while (!to_client.empty() || !to_server.empty()) {
            on_server_step(s->from_peer(std::exchange(to_server, {})));
            on_client_step(c->from_peer(std::exchange(to_client, {})));
        }
        require(c->connected() && received == sent);
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 2) return 0;
    const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 4) {
        case 0: files(bytes); break;
        case 1: names(bytes); break;
        default: session(bytes); break;
    }
    return 0;
}
