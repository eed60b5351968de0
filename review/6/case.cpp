// Some writers send a second answer some milliseconds behind the first.
#include "../stand-in-2/cases.hpp"

int main(int argc, char** argv) {
    using namespace rig;
    const Options options = read_options(argc, argv);
    World world(options.record, options.root, options.run, {}, options.seed);
    const ServerTimes times{0.03, 0.03, 0.02, 6};
    for (int i = 0; i < 3; ++i) world.add_server("r" + std::to_string(i), "reader", times);
    for (int i = 0; i < 3; ++i) world.add_server("w" + std::to_string(i), "writer", times);
    world.start_gateway(0);
    if (!world.wait_ready(20)) return 2;
    // One stream in twenty, 3 to 9 ms late.
    if (options.trouble)
        world.second_answer = [&](const std::string&) {
            return world.chance(0.05) ? world.uniform(0.003, 0.009) : -1;
        };
    Traffic traffic(world, 60, world.now() + 50);
    world.run_for(50 + 13);
    return verdict(world);
}
