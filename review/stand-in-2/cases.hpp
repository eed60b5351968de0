// What the cases of this review share: their command line and their verdict.
#pragma once

#include "world.hpp"

namespace rig {

struct Options {
    std::string record;
    std::string root;
    std::string run;  // the deploy file's command
    bool trouble = true;
    unsigned seed = 1;
};

// Reads: RECORD ROOT RUN TROUBLE
inline Options read_options(int argc, char** argv) {
    if (argc != 5) {
        std::fprintf(stderr, "usage: %s RECORD ROOT RUN TROUBLE\n", argv[0]);
        std::exit(2);
    }
    Options out;
    out.record = argv[1];
    out.root = argv[2];
    out.run = argv[3];
    out.trouble = std::string(argv[4]) != "0";
    return out;
}

// Prints the result and returns the exit code: 1 if a rule was broken, 0 if not, 2 if the case could not run.
inline int verdict(World& world) {
    world.end_judgement();
    world.stop_gateways();
    std::map<std::string, int> count;
    for (const auto& [id, call] : world.calls)
        count[call->left_at >= 0
                  ? "client left"
                  : "status " + std::to_string(call->status) + (call->whole ? "" : ", not whole")]++;
    std::string text;
    for (const auto& [what, n] : count) text += " " + what + ": " + std::to_string(n) + ";";
    world.record.line(world.now(), "answers:%s the stand-ins were late by %.3f s at most", text.c_str(),
                      world.loop.longest_lag());
    std::printf("answers:%s stand-ins late by %.3f s at most\n", text.c_str(), world.loop.longest_lag());
    for (std::size_t i = 0; i < world.broken.size() && i < 8; ++i)
        std::printf("broken: %s\n", world.broken[i].c_str());
    if (world.broken.size() > 8) std::printf("... %zu in all\n", world.broken.size());
    if (world.calls.empty() || world.loop.longest_lag() > 0.25) {
        std::printf("could not run: the stand-ins themselves were too late\n");
        return 2;
    }
    return world.broken.empty() ? 0 : 1;
}

// Sends requests of usual clients at random times, to all gateways alike, until `end`.
class Traffic {
public:
    Traffic(World& world, double rate, double end) : world_(world), rate_(rate), end_(end) { next(); }
    // Share of bulk-order, and the time left that a request states.
    double bulk = 0.2;
    std::function<double(bool bulk)> left = [](bool is_bulk) { return is_bulk ? 12.0 : 4.0; };

private:
    void next() {
        world_.loop.after(std::exponential_distribution<>(rate_)(world_.random), [this] {
            if (world_.now() > end_) return;
            const bool is_bulk = world_.chance(bulk);
            const int gateway =
                static_cast<int>(world_.uniform(0, static_cast<double>(world_.gateways.size()) - 0.001));
            const auto& to = world_.gateways[static_cast<std::size_t>(gateway)];
            if (!to.exited && !to.ended_by_us)
                world_.send(gateway, is_bulk ? "bulk-order" : "lunch-question", left(is_bulk));
            next();
        });
    }
    World& world_;
    double rate_;
    double end_;
};

}  // namespace rig
