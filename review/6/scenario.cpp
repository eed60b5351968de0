// Bad clients send hundreds of requests at once, of a class that does not exist, while usual clients go on.
#include "../stand-in-2/cases.hpp"

using namespace rig;

namespace {

constexpr int kGateways = 3;
constexpr int kBadClients = 2;      // at each gateway
constexpr int kRequests = 990;      // of each bad client, behind a good one
constexpr int kBodyBytes = 11'600;  // of each

// Sends its requests at full speed and reads what it is sent.
void send_much(World& world, int gateway, std::vector<ConnectionPtr>& connections) {
    const auto connection =
        Connection::dial(world.loop, world.gateways[static_cast<std::size_t>(gateway)].port);
    connections.push_back(connection);
    const auto first = std::make_shared<Call>();
    first->id = world.new_id();
    first->service_class = "lunch-question";
    first->left_at = 1e9;  // only the usual clients are judged
    world.calls[first->id] = first;
    std::string all = world.request_bytes(first->id, "lunch-question", 1, "{}");
    const std::string body = R"({"x":")" + std::string(kBodyBytes, 'x') + R"("})";
    for (int i = 0; i < kRequests; ++i) all += world.request_bytes(world.new_id(), "no-such-class", 1, body);
    world.record.line(world.now(), "bad client sends %d requests, %zu bytes, to n%d", kRequests + 1,
                      all.size(), gateway);
    const auto answers = std::make_shared<int>(0);
    Connection* const raw = connection.get();
    connection->on_input = [&world, raw, answers, gateway] {
        for (auto at = raw->in.find("HTTP/1.1 4"); at != std::string::npos; at = raw->in.find("HTTP/1.1 4")) {
            raw->in.erase(0, at + 1);
            *answers += 1;
            if (*answers == 1 || *answers == kRequests)
                world.record.line(world.now(), "bad client at n%d has %d errors", gateway, *answers);
        }
    };
    connection->on_end = [raw](bool) { raw->close(); };
    connection->start();
    connection->send(all);
}

}  // namespace

int main(int argc, char** argv) {
    const Options options = read_options(argc, argv);
    Settings settings;
    settings.gateways = kGateways;
    settings.memory_mb = 192;
    settings.sockets = 1024;
    settings.cores = 1.0 / kGateways;
    settings.one_core = true;
    settings.chat_deadline = 1;
    World world(options.record, options.root, options.run, settings, options.seed);
    const ServerTimes times{0.03, 0.03, 0.02, 40};
    for (int i = 0; i < 3; ++i) world.add_server("r" + std::to_string(i), "reader", times);
    for (int i = 0; i < 3; ++i) world.add_server("w" + std::to_string(i), "writer", times);
    for (int i = 0; i < kGateways; ++i) world.start_gateway(i);
    if (!world.wait_ready(20)) return 2;
    Traffic traffic(world, 60, world.now() + 26);
    traffic.bulk = 0;
    traffic.left = [&](bool) {
        return world.uniform(0.5, 1);
    };  // a try has half of the deadline to all of it
    std::vector<ConnectionPtr> connections;
    for (const double at : {4.0, 14.0})
        if (options.trouble)
            world.loop.after(at, [&] {
                for (int i = 0; i < kGateways * kBadClients; ++i)
                    send_much(world, i % kGateways, connections);
            });
    world.run_for(26 + 6);
    return verdict(world);
}
