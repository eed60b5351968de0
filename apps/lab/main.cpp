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
#include "checker/account.hpp"
#include "checker/checker.hpp"
#include "report/report.hpp"
#include "scenario/scenario.hpp"
#include "simulation/compare.hpp"
#include "simulation/simulation.hpp"
#include "sockets/scenario_run.hpp"
#include "swarm/search.hpp"
#include "swarm/swarm.hpp"

namespace {

using namespace chalksail;
using namespace chalksail::lab;

std::optional<std::string> read_file(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        std::cerr << file << ": can't be read\n";
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>(in), {}};
}

// A base is found beside the file that names it; one that has a base itself is refused.
std::optional<Scenario> read_scenario(const std::string& file, bool may_have_base = true) {
    const auto text = read_file(file);
    if (!text) return std::nullopt;
    std::optional<Scenario> base;
    if (const auto name = base_of(*text)) {
        if (!may_have_base) {
            std::cerr << file << ": a base can't have a base\n";
            return std::nullopt;
        }
        base = read_scenario((std::filesystem::path(file).parent_path() / *name).string(), false);
        if (!base) return std::nullopt;
    }
    auto scenario = parse_scenario(*text, file, base ? &*base : nullptr);
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
    scenario->faults.clear();
    uv_loop_t loop;
    uv_loop_init(&loop);
    {
        ScenarioRun rehearsal(loop, std::move(*scenario), {beside_this("chalksail-edge"), folder});
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
              << format_duration(scenario->length) << ", " << scenario->faults.size()
              << " troubles; records in " << folder << std::endl;
    for (const auto& t : scenario->faults)
        if (only_in_virtual_time(t.kind))
            std::cout << "'" << name(t.kind) << "' is of virtual time only: nothing happens here"
                      << std::endl;
    uv_loop_t loop;
    uv_loop_init(&loop);
    std::optional<ScenarioResult> result;
    {
        ScenarioRun rehearsal(loop, std::move(*scenario), {beside_this("chalksail-edge"), folder});
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
    const auto classes = scenario->edge.module.classes;
    std::cout << "'" << scenario->name << "' in virtual time, seed " << scenario->seed << ": "
              << scenario->engines.size() << " engines, " << scenario->edges << " edges, "
              << scenario->clients << " clients, " << format_duration(length) << std::endl;
    Simulation day(std::move(*scenario));
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
    Account account(classes, day.begin());
    day.watch([&](const Record& r) { account.add(r); });
    const auto begun = std::chrono::steady_clock::now();
    const auto verdict = day.run();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
    std::cerr << '\n';
    for (const auto& breach : verdict.breaches) std::cout << format(breach) << '\n';
    const auto& f = day.figures();
    const auto& all = account.all();
    const auto whole = [](std::size_t n) { return static_cast<std::int64_t>(n); };
    std::cerr << "took " << took.count() << " s, "
              << std::chrono::duration<double>(length).count() / took.count() << " of real time; "
              << static_cast<double>(verdict.asked) / took.count() << " requests a second; " << f.acts
              << " acts, " << f.steps << " steps of cores\n";
    std::cout << json::ObjectWriter()
                     .flag("simulated", true)
                     .whole("asked", whole(all.asked))
                     .whole("served", whole(all.served))
                     .whole("in_time", whole(all.in_time))
                     .whole("refused", whole(all.refused))
                     .whole("failed", whole(all.failed))
                     .whole("hung_up", whole(all.gone))
                     .number("worth", all.worth_share())
                     .number("first_token_p50_ms", account.first_token_ms().quantile(0.5))
                     .number("first_token_p90_ms", account.first_token_ms().quantile(0.9))
                     .number("first_token_p99_ms", account.first_token_ms().quantile(0.99))
                     .number("attempts_per_request",
                             all.asked == 0
                                 ? 0
                                 : static_cast<double>(account.attempts()) / static_cast<double>(all.asked))
                     .number("waste", account.waste())
                     .whole("cold_servers_fell", whole(f.fell))
                     .whole("guards", whole(f.guards))
                     .whole("open_at_end", whole(f.open_at_end))
                     .whole("dialled", static_cast<std::int64_t>(f.connections.dialled))
                     .whole("dial_failed", static_cast<std::int64_t>(f.connections.dial_failed))
                     .whole("rules_broken", whole(verdict.breaches.size()))
                     .done()
              << std::endl;
    const auto fails = what_fails(verdict, f);
    if (fails) std::cout << "does not hold: " << *fails << std::endl;
    return fails ? 1 : 0;
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

// One line for each size and arm; simulated.
int sweep(const std::string& file, const std::vector<int>& engines, const std::vector<int>& edges,
          std::size_t seeds) {
    auto scenario = read_scenario(file);
    if (!scenario) return 2;
    if (engines.size() != edges.size()) {
        std::cerr << "--engines and --edges need as many sizes each\n";
        return 2;
    }
    if (scenario->arms.empty()) scenario->arms.push_back({"module", std::nullopt, true, std::nullopt, false});
    bool broken = false;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const Scenario s = resized(*scenario, engines[i], edges[i]);
        for (const auto& arm : scenario->arms) {
            Scenario one = s;
            one.arms = {arm};
            const auto begun = std::chrono::steady_clock::now();
            const auto result = compare_arms(one, seeds).front();
            const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
            broken = broken || result.rules_broken > 0;
            double asked = 0;
            for (const double n : result.by_measure[static_cast<std::size_t>(Measure::asked)]) asked += n;
            json::ObjectWriter out;
            out.flag("simulated", true)
                .text("arm", arm.name)
                .whole("engines", static_cast<std::int64_t>(s.engines.size()))
                .whole("edges", s.edges)
                .whole("clients", s.clients)
                .whole("seeds", static_cast<std::int64_t>(seeds));
            for (std::size_t m = 0; m < kMeasures; ++m) {
                const auto e = estimate(result.by_measure[m]);
                out.raw(std::string(name(static_cast<Measure>(m))).c_str(),
                        "[" + std::to_string(e.mean) + "," + std::to_string(e.half_width) + "]");
            }
            out.whole("rules_broken", static_cast<std::int64_t>(result.rules_broken))
                .number("requests_a_second", asked / took.count())
                .number("of_real_time", std::chrono::duration<double>(s.length).count() *
                                            static_cast<double>(seeds) / took.count());
            std::cout << out.done() << std::endl;
        }
    }
    return broken ? 1 : 0;
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

volatile std::sig_atomic_t interrupted = 0;

int search(const std::string& file, std::uint64_t from, std::size_t seeds, const std::string& folder) {
    const auto base = read_scenario(file);
    if (!base) return 2;
    std::signal(SIGINT, [](int) { interrupted = 1; });
    const auto say = [](const char* doing, const Case& c) {
        std::cerr << "\r" << doing << ", seed " << c.scenario.seed << ": module " << c.module << ", "
                  << c.best_name << " " << c.best << "      " << std::flush;
        return interrupted == 0;
    };
    std::cout << "'" << base->name << "': " << seeds << " seeds from " << from
              << "; simulated; an interrupt ends the search with what it has" << std::endl;
    auto worst = search_worst(*base, from, seeds, [&](const Case& c) { return say("searching", c); });
    if (!worst) return 2;
    const double found = worst->regret();
    const auto shrunk = shrink(*base, std::move(*worst), [&](const Case& c) { return say("shrinking", c); });
    std::cerr << '\n';
    std::filesystem::create_directories(folder);
    const auto& what = shrunk.what;
    const auto out = folder + "/worst-" + base->name + "-" + std::to_string(what.scenario.seed) + ".kdl";
    const auto beside = std::filesystem::proximate(file, folder).string();
    std::ofstream(out, std::ios::binary)
        << "// Found by a search, and shrunk: the module is worth " << what.module << ", " << what.best_name
        << " " << what.best << " (simulated).\n"
        << to_kdl(shrunk, beside);
    std::cout << json::ObjectWriter()
                     .flag("simulated", true)
                     .whole("seed", static_cast<std::int64_t>(what.scenario.seed))
                     .number("regret_found", found)
                     .number("module", what.module)
                     .text("best", what.best_name)
                     .number("best_worth", what.best)
                     .whole("engines", static_cast<std::int64_t>(what.scenario.engines.size()))
                     .whole("edges", what.scenario.edges)
                     .whole("clients", what.scenario.clients)
                     .whole("troubles", static_cast<std::int64_t>(what.scenario.faults.size()))
                     .whole("rules_broken", static_cast<std::int64_t>(what.rules_broken))
                     .text("scenario", out)
                     .done()
              << std::endl;
    return 0;
}

std::optional<std::vector<Record>> read_records(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        std::cerr << file << ": can't be read\n";
        return std::nullopt;
    }
    std::vector<Record> records;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        auto record = parse(line);
        if (!record) {
            std::cerr << file << ":" << number << ": " << record.error() << '\n';
            return std::nullopt;
        }
        records.push_back(std::move(*record));
    }
    return records;
}

// From a scenario and the records of one run of it.
int report(const std::string& file, const std::string& wire, const std::string& out) {
    const auto scenario = read_scenario(file);
    if (!scenario) return 2;
    auto records = read_records(wire);
    if (!records) return 2;
    std::stable_sort(records->begin(), records->end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    if (records->empty()) {
        std::cerr << wire << ": holds no record\n";
        return 2;
    }
    Account account(scenario->edge.module.classes, records->front().at);
    for (const auto& r : *records) account.add(r);
    // Only virtual time records what the gateways did.
    const bool simulated =
        std::any_of(records->begin(), records->end(), [](const auto& r) { return r.what == What::sent; });
    RuleFigures figures;
    figures.max_attempts = scenario->edge.module.max_attempts;
    figures.answer_slack = scenario->edge.module.answer_slack;
    figures.release_within = scenario->edge.module.release_within;
    figures.measuring = simulated ? std::chrono::milliseconds(2) : Duration(scenario->measuring);
    const auto verdict = check(*records, figures);
    std::ofstream page(out, std::ios::binary | std::ios::trunc);
    page << html_report(*scenario, account, verdict, simulated);
    if (!page.flush()) {
        std::cerr << out << ": can't be written\n";
        return 2;
    }
    std::cout << out << std::endl;
    return verdict.breaches.empty() ? 0 : 1;
}

int check_records(const std::string& file) {
    auto records = read_records(file);
    if (!records) return 2;
    ScenarioResult result;
    result.verdict = check(std::move(*records), {});
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
    std::vector<int> sweep_engines = {12, 60, 250};
    std::vector<int> sweep_edges = {2, 20, 140};
    auto* sweep_command = app.add_subcommand(
        "sweep", "Play a scenario's arms at several sizes, in virtual time; clients grow with the engines");
    sweep_command->add_option("scenario", file, "A scenario, in KDL")->required();
    sweep_command->add_option("--engines", sweep_engines, "Sizes")->delimiter(',')->capture_default_str();
    sweep_command->add_option("--edges", sweep_edges, "As many")->delimiter(',')->capture_default_str();
    sweep_command->add_option("--seeds", seeds, "How many for each")->check(CLI::Range(1, 1000));
    std::uint64_t from = 1;
    std::size_t swarm_seeds = 20;
    std::string mutation;
    std::string page = "report.html";
    auto* report_command =
        app.add_subcommand("report", "A page with plots, from a scenario and the records of one run of it");
    report_command->add_option("scenario", file, "The scenario")->required();
    report_command->add_option("--wire", wire, "The run's records")->required();
    report_command->add_option("--out", page, "The page")->capture_default_str();
    auto* search_command = app.add_subcommand(
        "search", "Look for the troubles on which the module does worst beside baselines, and shrink them");
    search_command->add_option("scenario", file, "A scenario, in KDL; its troubles are replaced")->required();
    search_command->add_option("--from", from, "The first seed")->capture_default_str();
    search_command->add_option("--seeds", swarm_seeds, "How many")->capture_default_str();
    search_command->add_option("--found", folder, "Folder for the scenario found")->capture_default_str();
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
        if (sweep_command->parsed()) return sweep(file, sweep_engines, sweep_edges, seeds);
        if (report_command->parsed()) return report(file, wire, page);
        if (search_command->parsed()) return search(file, from, swarm_seeds, folder);
        if (swarm_command->parsed()) return swarm(from, swarm_seeds, mutation, folder);
        return check_records(file);
    } catch (const std::exception& error) {
        std::cerr << "chalksail-lab: " << error.what() << '\n';
        return 2;
    }
}
