// Some answers of writers never end: good events go on beyond the size that a body may have.
#include "../stand-in-2/cases.hpp"

using namespace rig;

namespace {

constexpr std::size_t kLargestBody = 256 * 1024;
constexpr double kMayTake = 5.05;  // until the client's connection has to have ended
constexpr int kEndless = 5;

struct Endless {
    std::shared_ptr<ModelServer::Exchange> exchange;
    std::size_t sent = 0;
    double over_at = -1;  // when the body became larger than a body may be
};

// Sends events of some 1 KB, 200 a second, until the gateway ends the connection.
void go_on(World& world, const std::shared_ptr<Endless>& endless) {
    const auto& exchange = *endless->exchange;
    if (!exchange.running || exchange.connection->ended_by_peer()) return;
    const std::string event = R"(data: {"choices":[{"index":0,"delta":{"text":")" + std::string(1000, 'x') +
                              R"("},"finish_reason":null}]})" + "\n\n";
    exchange.connection->send(chunk(event));
    endless->sent += event.size();
    if (endless->over_at < 0 && endless->sent > kLargestBody) {
        endless->over_at = world.now();
        world.record.line(world.now(), "the answer to %s is larger than 256 KiB", exchange.id.c_str());
    }
    world.loop.after(0.005, [&world, endless] { go_on(world, endless); });
}

}  // namespace

int main(int argc, char** argv) {
    const Options options = read_options(argc, argv);
    World world(options.record, options.root, options.run, {}, options.seed);
    const ServerTimes times{0.03, 0.03, 0.02, 6};
    for (int i = 0; i < 3; ++i) world.add_server("r" + std::to_string(i), "reader", times);
    for (int i = 0; i < 3; ++i) world.add_server("w" + std::to_string(i), "writer", times);
    world.start_gateway(0);
    if (!world.wait_ready(20)) return 2;
    std::vector<std::shared_ptr<Endless>> all;
    if (options.trouble)
        world.instead = [&](ModelServer& server, const std::shared_ptr<ModelServer::Exchange>& exchange,
                            const Message&) {
            if (server.reads() || all.size() >= kEndless || !world.held.contains(exchange->id) ||
                !world.chance(0.1))
                return false;
            world.held.erase(exchange->id);
            world.record.line(world.now(), "the answer to %s will not end", exchange->id.c_str());
            all.push_back(std::make_shared<Endless>(Endless{exchange}));
            exchange->connection->send(kStreamHead);
            go_on(world, all.back());
            return true;
        };
    Traffic traffic(world, 20, world.now() + 12);
    world.run_for(12 + 14);
    for (const auto& endless : all) {
        Call& call = *world.calls.at(endless->exchange->id);
        const double ended = call.done ? call.done_at : world.now();
        if (endless->over_at >= 0 && ended > endless->over_at + kMayTake)
            world.rule_broken("lost", call.id + ": its spoilt answer goes on, " +
                                          std::to_string(endless->sent) + " bytes, " +
                                          std::to_string(ended - endless->over_at) +
                                          " s after it became too large");
    }
    return verdict(world);
}
