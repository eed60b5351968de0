// chalksail-lab: stand-in engines, load and troubles around real edges, on loopback.
#include <uv.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "base/json.hpp"
#include "record/checker.hpp"
#include "scenario/scenario.hpp"
#include "shell/rehearsal.hpp"
#include "swarm/swarm.hpp"
#include "virtual/compare.hpp"
#include "virtual/day.hpp"

namespace {

using namespace chalksail;
using namespace chalksail::lab;

std::optional<Scenario> read_scenario(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        std::cerr << file << ": can't be read\n";
        return std::nullopt;
    }
    auto scenario = parse_scenario(std::string{std::istreambuf_iterator<char>(in), {}}, file);
    if (!scenario) {
        for (const auto& problem : scenario.error()) std::cerr << format(problem) << '\n';
        return std::nullopt;
    }
    return std::move(*scenario);
}

std::string beside_this(const std::string& program) {
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program).string();
}

int up(const std::string& file, const std::string& folder) {
    auto scenario = read_scenario(file);
    if (!scenario) return 2;
    scenario->troubles.clear();
    uv_loop_t loop;
    uv_loop_init(&loop);
    {
        Rehearsal rehearsal(loop, std::move(*scenario), {beside_this("chalksail-edge"), folder});
        rehearsal.start();
        for (const auto& [name, address] : rehearsal.gateways())
            std::cout << name << " serves at http://" << format_address(address) << "/v1" << std::endl;
        std::cout << "records and logs: " << folder << "; end with SIGINT" << std::endl;
        rehearsal.serve();
    }
    uv_loop_close(&loop);
    return 0;
}

int run(const std::string& file, const std::string& folder) {
    auto scenario = read_scenario(file);
    if (!scenario) return 2;
    std::cout << "rehearsal '" << scenario->name << "': " << scenario->engines.size() << " engines, "
              << scenario->edges << " edges, " << scenario->clients << " clients, "
              << format_duration(scenario->length) << ", " << scenario->troubles.size()
              << " troubles; records in " << folder << std::endl;
    uv_loop_t loop;
    uv_loop_init(&loop);
    std::optional<RehearsalResult> result;
    {
        Rehearsal rehearsal(loop, std::move(*scenario), {beside_this("chalksail-edge"), folder});
        rehearsal.start();
        result = rehearsal.run();
    }
    uv_loop_close(&loop);
    for (const auto& breach : result->verdict.breaches) std::cout << format(breach) << '\n';
    std::cout << result->format() << std::endl;
    return result->verdict.breaches.empty() && result->verdict.garbled == 0 && result->edges_well ? 0 : 1;
}

// In virtual time: no socket, no program but this one.
int simulate(const std::string& file, std::optional<std::uint64_t> seed, const std::string& records) {
    auto scenario = read_scenario(file);
    if (!scenario) return 2;
    if (seed) scenario->seed = *seed;
    const auto length = scenario->length;
    std::cout << "'" << scenario->name << "' in virtual time, seed " << scenario->seed << ": "
              << scenario->engines.size() << " engines, " << scenario->edges << " edges, "
              << scenario->clients << " clients, " << format_duration(length) << std::endl;
    VirtualDay day(std::move(*scenario));
    day.keep_records(false);
    std::ofstream out;
    if (!records.empty()) {
        std::filesystem::create_directories(std::filesystem::absolute(records).parent_path());
        out.open(records, std::ios::binary | std::ios::trunc);
        if (!out) {
            std::cerr << records << ": can't be written\n";
            return 2;
        }
        day.watch([&](const Record& r) { out << format(r) << '\n'; });
    }
    day.each_second([&](Duration over) {
        std::cerr << "\r" << format_duration(std::min(over, length)) << " of " << format_duration(length)
                  << "   " << std::flush;
    });
    const auto begun = std::chrono::steady_clock::now();
    RehearsalResult result;
    result.verdict = day.run();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
    std::cerr << '\n';
    for (const auto& breach : result.verdict.breaches) std::cout << format(breach) << '\n';
    const auto& f = day.figures();
    std::cerr << "wall " << took.count() << " s; acts " << f.acts << "; steps of cores " << f.steps
              << "; dialled " << f.wires.dialled << ", reused " << f.wires.reused << ", dial failed "
              << f.wires.dial_failed << '\n';
    std::cout << result.format() << std::endl;
    return result.verdict.breaches.empty() && result.verdict.garbled == 0 && f.open_at_end == 0 ? 0 : 1;
}

int compare(const std::string& file, std::size_t seeds) {
    const auto scenario = read_scenario(file);
    if (!scenario) return 2;
    std::cout << "'" << scenario->name << "' in virtual time: " << scenario->engines.size() << " engines, "
              << scenario->edges << " edges, " << scenario->clients << " clients, "
              << format_duration(scenario->length) << ", " << scenario->arms.size() << " arms, " << seeds
              << " seeds from " << scenario->seed << std::endl;
    const auto arms = compare_arms(*scenario, seeds);
    std::cout << format(arms) << to_json(arms) << std::endl;
    return std::all_of(arms.begin(), arms.end(), [](const auto& a) { return a.rules_broken == 0; }) ? 0 : 1;
}

int swarm(std::uint64_t from, std::size_t seeds, const std::string& mutation, const std::string& folder) {
    std::optional<Mutation> mutant;
    for (std::size_t i = 0; i < kMutations; ++i)
        if (name(static_cast<Mutation>(i)) == mutation) mutant = static_cast<Mutation>(i);
    if (!mutation.empty() && !mutant) {
        std::cerr << "no mutation is called '" << mutation << "'\n";
        return 2;
    }
    std::size_t found = 0;
    for (std::uint64_t seed = from; seed < from + seeds; ++seed) {
        std::cerr << "\rseed " << seed << std::flush;
        const auto one = try_seed(seed, mutant);
        if (!one) continue;
        found += 1;
        const auto file = folder + "/swarm-" + std::to_string(seed) + ".kdl";
        std::filesystem::create_directories(folder);
        std::ofstream(file, std::ios::binary) << one->scenario;
        std::cout << "\rseed " << seed << ": " << one->what << "\n"
                  << one->trace << "again: chalksail-lab run --virtual " << file << std::endl;
        if (mutant) break;
    }
    std::cout << json::ObjectWriter()
                     .flag("simulated", true)
                     .whole("from", static_cast<std::int64_t>(from))
                     .whole("seeds", static_cast<std::int64_t>(seeds))
                     .whole("found", static_cast<std::int64_t>(found))
                     .done()
              << std::endl;
    return found == 0 ? 0 : 1;
}

int check_records(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        std::cerr << file << ": can't be read\n";
        return 2;
    }
    std::vector<Record> records;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        auto record = parse(line);
        if (!record) {
            std::cerr << file << ":" << number << ": " << record.error() << '\n';
            return 2;
        }
        records.push_back(std::move(*record));
    }
    RehearsalResult result;
    result.verdict = check(std::move(records), {});
    for (const auto& breach : result.verdict.breaches) std::cout << format(breach) << '\n';
    std::cout << result.format() << std::endl;
    return result.verdict.breaches.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app{"chalksail-lab: rehearsals of real edges against stand-in engines, on loopback"};
    app.require_subcommand(1);
    std::string file;
    std::string folder = "found/lab";
    auto* up_command = app.add_subcommand("up", "Start engines and edges and serve until SIGINT");
    auto* run_command = app.add_subcommand(
        "run", "Play a scenario; the last line is one JSON object; exit 1 if a rule broke");
    std::size_t seeds = 5;
    auto* compare_command = app.add_subcommand(
        "compare", "Play a scenario's arms in virtual time, each over some seeds; exit 1 if a rule broke");
    compare_command->add_option("scenario", file, "A scenario with arms, in KDL")->required();
    compare_command->add_option("--seeds", seeds, "How many")
        ->capture_default_str()
        ->check(CLI::Range(1, 1000));
    auto* check_command = app.add_subcommand("check", "Check recorded wires against the five rules");
    for (auto* command : {up_command, run_command}) {
        command->add_option("scenario", file, "A scenario, in KDL")->required();
        command->add_option("--records", folder, "Folder for records, settings and logs")
            ->capture_default_str();
    }
    bool virtual_time = false;
    std::optional<std::uint64_t> seed;
    run_command->add_flag("--virtual", virtual_time, "In virtual time, without sockets; simulated figures");
    run_command->add_option("--seed", seed, "In place of the scenario's; in virtual time");
    std::string wire;
    run_command->add_option("--wire", wire, "In virtual time: file for the records; none without it");
    check_command->add_option("records", file, "A wire.jsonl")->required();
    std::uint64_t from = 1;
    std::size_t swarm_seeds = 20;
    std::string mutation;
    auto* swarm_command = app.add_subcommand(
        "swarm",
        "Play random fleets and troubles in virtual time; exit 1 if anything that must hold does not");
    swarm_command->add_option("--from", from, "The first seed")->capture_default_str();
    swarm_command->add_option("--seeds", swarm_seeds, "How many")->capture_default_str();
    swarm_command->add_option("--mutation", mutation, "Break the core on purpose, until it is caught");
    swarm_command->add_option("--found", folder, "Folder for the scenarios of what is found")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        if (up_command->parsed()) return up(file, folder);
        if (run_command->parsed()) return virtual_time ? simulate(file, seed, wire) : run(file, folder);
        if (compare_command->parsed()) return compare(file, seeds);
        if (swarm_command->parsed()) return swarm(from, swarm_seeds, mutation, folder);
        return check_records(file);
    } catch (const std::exception& error) {
        std::cerr << "chalksail-lab: " << error.what() << '\n';
        return 2;
    }
}
