// A fixture for the gateway on the users' platform: real sockets, scripted discovery and servers.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include "core/platform_settings.hpp"
#include "net/discovery_watch.hpp"
#include "net/rig.hpp"
#include "platform/platform_fixture.hpp"

namespace chalksail::net::testing {

namespace messages = platform::testing;

inline const std::string kEvent = "data: {\"choices\":[]}\n\n";
inline const std::string kStream = kStreamHead + chunked(kEvent) + chunked("data: [DONE]\n\n") + "0\r\n\r\n";
inline const std::string kAcceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
inline const std::string kNoContentResponse = "HTTP/1.1 204 No Content\r\n\r\n";

// Returns whether the last call to a stand-in for discovery requests a watch; otherwise it requests the list.
inline bool is_watch_request(const RawServer& discovery) {
    return discovery.last.find("follow=1") != std::string::npos;
}

class PlatformRig : public Rig {
protected:
    ~PlatformRig() override { stop(); }
    void stop() {
        clients.clear();
        edge.reset();
        discovery.reset();
    }
    // Starts discovery, a correct reader, a writer that answers with `write`, and the gateway.
    void begin(
        std::function<void(RawServer::Peer&)> write,
        const std::function<void(config::EdgeSettings&)>& change = [](auto&) {}) {
        reader = std::make_unique<RawServer>(loop, [](RawServer::Peer& p) {
            p.send(p.server->last.starts_with("DELETE") ? kNoContentResponse : kAcceptedResponse);
        });
        writer = std::make_unique<RawServer>(loop, std::move(write));
        discovery = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            if (!quiet) answer_discovery(p);
        });
        open(std::nullopt, change);
    }
    void answer_discovery(RawServer::Peer& p) {
        if (!is_watch_request(*p.server)) {
            list_responses += 1;
            return p.send(sized(200, complete_list(41)));
        }
        watch_requests += 1;
        open_watch = &p;
        p.send(kStreamHead);
    }
    void open(std::optional<platform::EndpointListUpdate> known,
              const std::function<void(config::EdgeSettings&)>& change) {
        const auto configuration = platform::parse_configuration(
            messages::configuration_text(format_address(discovery->address)), {});
        auto settings = core::platform_settings(configuration.value());
        settings.router.dial_timeout = 5s;  // a busy machine must not cause dial time-outs
        change(settings);
        log = std::make_unique<observe::Log>("t", "off");
        auto list = std::make_unique<DiscoveryWatch>(loop, *log, configuration->discovery, std::move(known),
                                                     watch_limits);
        watch = list.get();
        edge = std::make_unique<EdgeServer>(loop, settings, *log, std::move(list));
    }
    WatchLimits watch_limits;
    [[nodiscard]] std::string complete_list(int generation) const {
        return messages::list_text(messages::instance("r1", "reader", format_address(reader->address)) + "," +
                                       messages::instance("w1", "writer", format_address(writer->address)),
                                   generation);
    }
    // Waits until the client has received a response with `text` in it, or its connection is closed.
    bool answered(RawClient& c, const std::string& text) {
        return until([&] { return c.got().find(text) != std::string::npos || c.closed(); }) &&
               c.got().find(text) != std::string::npos;
    }
    // Waits for the response to a request for which no server is in service. The gateway refuses it with 503
    // just before its deadline, or answers 504 at the deadline if the machine is too busy for that.
    bool answered_without_a_server(RawClient& c) {
        return answered(c, "HTTP/1.1 50") &&
               (c.got().starts_with("HTTP/1.1 503") || c.got().starts_with("HTTP/1.1 504"));
    }
    // Sends a request on a new connection, and returns whether its complete stream arrives. The gateway holds
    // requests until it has a list, so the first one served shows that the list is in force.
    bool served(const std::string& id) {
        RawClient& c = client();
        c.send(messages::post(id));
        return answered(c, "0\r\n\r\n") && c.got().find("[DONE]") != std::string::npos;
    }
    [[nodiscard]] bool in_service(const std::string& server) const {
        const auto all = edge->endpoints();
        return std::any_of(all.begin(), all.end(), [&](const auto& config) {
            return config.endpoint.id.value == server && config.endpoint.state == EndpointState::up;
        });
    }
    std::unique_ptr<RawServer> discovery;
    int list_responses = 0;
    int watch_requests = 0;
    RawServer::Peer* open_watch = nullptr;  // connection of the last watch
    DiscoveryWatch* watch = nullptr;
    bool quiet = false;  // discovery does not respond
};

// A client that uses its socket directly, without the loop. What it does between two turns of the loop is
// complete before the gateway's next turn.
class DirectClient {
public:
    explicit DirectClient(const Address& address) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in peer{};
        uv_ip4_addr(address.host.c_str(), address.port, &peer);
        EXPECT_EQ(connect(socket_, reinterpret_cast<const sockaddr*>(&peer), sizeof peer), 0);
    }
    ~DirectClient() { close(); }
    DirectClient(const DirectClient&) = delete;
    DirectClient& operator=(const DirectClient&) = delete;

    void send(const std::string& bytes) const {
        EXPECT_EQ(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }
    // Sends without checking the result, as the other side may have closed the connection.
    void try_send(const std::string& bytes) const {
        (void)::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void half_close() const { shutdown(socket_, SHUT_WR); }
    void close() {
        if (socket_ >= 0) ::close(std::exchange(socket_, -1));
    }
    void reset() {
        const linger reset_on_close{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        close();
    }
    // Reads the available bytes into `got`. Returns false once the other side has ended the connection.
    bool read() {
        std::string bytes(65536, '\0');
        for (;;) {
            const auto n = recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (n > 0) {
                got.append(bytes, 0, static_cast<std::size_t>(n));
                continue;
            }
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
            // A reset after the end of the stream leaves an error on the socket that recv() does not return.
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
            in_good_order = n == 0 && error == 0;
            return false;
        }
    }
    std::string got;
    bool in_good_order = false;  // the connection ended with a FIN, not with a reset

private:
    int socket_ = -1;
};

}  // namespace chalksail::net::testing
