// chalksail-lab: runs scenarios of simulated engines, client workload and faults, either around real edges on
// loopback or in virtual time, and checks the records against the five rules.
#include <uv.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

#include "base/json.hpp"
#include "checker/account.hpp"
#include "checker/checker.hpp"
#include "lab/scenario_files.hpp"
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
        ScenarioRun scenario_run(loop, std::move(*scenario), {beside_this("chalksail-edge"), folder});
        scenario_run.start();
        for (const auto& [name, address] : scenario_run.gateways())
            std::cout << name << " serves at http://" << format_address(address) << "/v1" << std::endl;
        std::cout << "records and logs: " << folder << "; end with SIGINT" << std::endl;
        scenario_run.serve();
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
        ScenarioRun scenario_run(loop, std::move(*scenario), {beside_this("chalksail-edge"), folder});
        scenario_run.start();
        result = scenario_run.run();
    }
    uv_loop_close(&loop);
    for (const auto& breach : result->rule_report.breaches) std::cout << format(breach) << '\n';
    std::cout << result->format() << std::endl;
    return result->rule_report.breaches.empty() && result->rule_report.garbled == 0 && result->edges_well ? 0
                                                                                                          : 1;
}

// Opens the file for the records, with its folder. False after a message on standard error.
bool open_records(const std::string& file, std::ofstream& out) {
    std::filesystem::create_directories(std::filesystem::absolute(file).parent_path());
    out.open(file, std::ios::binary | std::ios::trunc);
    if (!out) std::cerr << file << ": can't be written\n";
    return static_cast<bool>(out);
}

// The last line of a simulation: one JSON object.
std::string format_summary(const RuleReport& rule_report, const VirtualFigures& figures,
                           const Account& account) {
    const auto& all = account.all();
    const auto whole = [](std::size_t n) { return static_cast<std::int64_t>(n); };
    const double attempts_per_request =
        all.requests == 0 ? 0 : static_cast<double>(account.attempts()) / static_cast<double>(all.requests);
    return json::ObjectWriter()
        .boolean("simulated", true)
        .integer("asked", whole(all.requests))
        .integer("served", whole(all.served))
        .integer("in_time", whole(all.in_time))
        .integer("refused", whole(all.refused))
        .integer("failed", whole(all.failed))
        .integer("hung_up", whole(all.disconnected))
        .number("worth", all.weight_share())
        .number("first_token_p50_ms", account.first_token_ms().quantile(0.5))
        .number("first_token_p90_ms", account.first_token_ms().quantile(0.9))
        .number("first_token_p99_ms", account.first_token_ms().quantile(0.99))
        .number("attempts_per_request", attempts_per_request)
        .number("waste", account.waste())
        .integer("cold_servers_fell", whole(figures.overloads))
        .integer("guards", whole(figures.guards))
        .integer("open_at_end", whole(figures.open_at_end))
        .integer("dialled", static_cast<std::int64_t>(figures.connections.dialled))
        .integer("dial_failed", static_cast<std::int64_t>(figures.connections.dial_failed))
        .integer("rules_broken", whole(rule_report.breaches.size()))
        .done();
}

// In virtual time: no socket, no program but this one.
int simulate(const std::string& file, std::optional<std::uint64_t> seed, const std::string& records) {
    auto scenario = read_scenario(file);
    if (!scenario) return 2;
    if (seed) scenario->seed = *seed;
    const auto length = scenario->length;
    const auto classes = scenario->edge.router.classes;
    std::cout << "'" << scenario->name << "' in virtual time, seed " << scenario->seed << ": "
              << scenario->engines.size() << " engines, " << scenario->edges << " edges, "
              << scenario->clients << " clients, " << format_duration(length) << std::endl;
    Simulation simulation(std::move(*scenario));
    simulation.keep_records(false);
    std::ofstream out;
    if (!records.empty()) {
        if (!open_records(records, out)) return 2;
        simulation.watch([&](const Record& r) { out << format(r) << '\n'; });
    }
    simulation.each_second([&](Duration elapsed) {
        std::cerr << "\r" << format_duration(std::min(elapsed, length)) << " of " << format_duration(length)
                  << "   " << std::flush;
    });
    Account account(classes, simulation.begin());
    simulation.watch([&](const Record& r) { account.add(r); });
    const auto started = std::chrono::steady_clock::now();
    const auto rule_report = simulation.run();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started;
    const auto& figures = simulation.figures();
    std::cerr << '\n';
    for (const auto& breach : rule_report.breaches) std::cout << format(breach) << '\n';
    std::cerr << "took " << elapsed.count() << " s, "
              << std::chrono::duration<double>(length).count() / elapsed.count() << " of real time; "
              << static_cast<double>(rule_report.requests) / elapsed.count() << " requests a second; "
              << figures.acts << " acts, " << figures.steps << " steps of cores\n";
    std::cout << format_summary(rule_report, figures, account) << std::endl;
    const auto failure = what_fails(rule_report, figures);
    if (failure) std::cout << "does not hold: " << *failure << std::endl;
    return failure ? 1 : 0;
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
            const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begun;
            broken = broken || result.rules_broken > 0;
            double requests = 0;
            for (const double n : result.by_measure[static_cast<std::size_t>(Measure::requests)])
                requests += n;
            json::ObjectWriter out;
            out.boolean("simulated", true)
                .text("arm", arm.name)
                .integer("engines", static_cast<std::int64_t>(s.engines.size()))
                .integer("edges", s.edges)
                .integer("clients", s.clients)
                .integer("seeds", static_cast<std::int64_t>(seeds));
            for (std::size_t m = 0; m < kMeasures; ++m) {
                const auto e = estimate(result.by_measure[m]);
                out.raw(std::string(name(static_cast<Measure>(m))).c_str(),
                        "[" + std::to_string(e.mean) + "," + std::to_string(e.half_width) + "]");
            }
            out.integer("rules_broken", static_cast<std::int64_t>(result.rules_broken))
                .number("requests_a_second", requests / elapsed.count())
                .number("of_real_time", std::chrono::duration<double>(s.length).count() *
                                            static_cast<double>(seeds) / elapsed.count());
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
                     .boolean("simulated", true)
                     .integer("from", static_cast<std::int64_t>(from))
                     .integer("seeds", static_cast<std::int64_t>(seeds))
                     .integer("found", static_cast<std::int64_t>(found))
                     .done()
              << std::endl;
    return found == 0 ? 0 : 1;
}

volatile std::sig_atomic_t interrupted = 0;

int search(const std::string& file, std::uint64_t from, std::size_t seeds, const std::string& folder) {
    const auto base = read_scenario(file);
    if (!base) return 2;
    std::signal(SIGINT, [](int) { interrupted = 1; });
    const auto print_progress = [](const char* doing, const Case& c) {
        std::cerr << "\r" << doing << ", seed " << c.scenario.seed << ": module " << c.module << ", "
                  << c.best_name << " " << c.best << "      " << std::flush;
        return interrupted == 0;
    };
    std::cout << "'" << base->name << "': " << seeds << " seeds from " << from
              << "; simulated; an interrupt ends the search with what it has" << std::endl;
    auto worst =
        search_worst(*base, from, seeds, [&](const Case& c) { return print_progress("searching", c); });
    if (!worst) return 2;
    const double found = worst->regret();
    const auto shrunk =
        shrink(*base, std::move(*worst), [&](const Case& c) { return print_progress("shrinking", c); });
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
                     .boolean("simulated", true)
                     .integer("seed", static_cast<std::int64_t>(what.scenario.seed))
                     .number("regret_found", found)
                     .number("module", what.module)
                     .text("best", what.best_name)
                     .number("best_worth", what.best)
                     .integer("engines", static_cast<std::int64_t>(what.scenario.engines.size()))
                     .integer("edges", what.scenario.edges)
                     .integer("clients", what.scenario.clients)
                     .integer("troubles", static_cast<std::int64_t>(what.scenario.faults.size()))
                     .integer("rules_broken", static_cast<std::int64_t>(what.rules_broken))
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
    Account account(scenario->edge.router.classes, records->front().at);
    for (const auto& r : *records) account.add(r);
    // Only virtual time records what the gateways did.
    const bool simulated = std::any_of(records->begin(), records->end(),
                                       [](const auto& r) { return r.kind == RecordKind::sent; });
    RuleFigures figures;
    figures.max_attempts = scenario->edge.router.max_attempts;
    figures.answer_slack = scenario->edge.router.answer_slack;
    figures.release_within = scenario->edge.router.release_within;
    figures.measuring = simulated ? std::chrono::milliseconds(2) : Duration(scenario->measuring);
    const auto rule_report = check(*records, figures);
    std::ofstream page(out, std::ios::binary | std::ios::trunc);
    page << html_report(*scenario, account, rule_report, simulated);
    if (!page.flush()) {
        std::cerr << out << ": can't be written\n";
        return 2;
    }
    std::cout << out << std::endl;
    return rule_report.breaches.empty() ? 0 : 1;
}

int check_records(const std::string& file) {
    auto records = read_records(file);
    if (!records) return 2;
    ScenarioResult result;
    result.rule_report = check(std::move(*records), {});
    for (const auto& breach : result.rule_report.breaches) std::cout << format(breach) << '\n';
    std::cout << result.format() << std::endl;
    return result.rule_report.breaches.empty() ? 0 : 1;
}

// ---- the command line ----

// What the options of all commands set.
struct Options {
    std::string file;  // a scenario, or records to check
    std::string folder = "found/lab";
    std::string wire;  // the file of a run's records
    std::string page = "report.html";
    std::string mutation;
    bool virtual_time = false;
    std::optional<std::uint64_t> seed;
    std::uint64_t from = 1;
    std::size_t seeds = 5;
    std::size_t swarm_seeds = 20;
    std::vector<int> sweep_engines = {12, 60, 250};
    std::vector<int> sweep_edges = {2, 20, 140};
};

struct Commands {
    CLI::App* up = nullptr;
    CLI::App* run = nullptr;
    CLI::App* compare = nullptr;
    CLI::App* check = nullptr;
    CLI::App* sweep = nullptr;
    CLI::App* report = nullptr;
    CLI::App* search = nullptr;
    CLI::App* swarm = nullptr;
};

constexpr int kSeedsMost = 1000;

void add_run_commands(CLI::App& app, Commands& commands, Options& options) {
    commands.up = app.add_subcommand("up", "Start engines and edges and serve until SIGINT");
    commands.run = app.add_subcommand(
        "run", "Play a scenario; the last line is one JSON object; exit 1 if a rule broke");
    commands.compare = app.add_subcommand(
        "compare", "Play a scenario's arms in virtual time, each over some seeds; exit 1 if a rule broke");
    commands.compare->add_option("scenario", options.file, "A scenario with arms, in KDL")->required();
    commands.compare->add_option("--seeds", options.seeds, "How many")
        ->capture_default_str()
        ->check(CLI::Range(1, kSeedsMost));
    commands.check = app.add_subcommand("check", "Check recorded wires against the five rules");
    for (auto* command : {commands.up, commands.run}) {
        command->add_option("scenario", options.file, "A scenario, in KDL")->required();
        command->add_option("--records", options.folder, "Folder for records, settings and logs")
            ->capture_default_str();
    }
    commands.run->add_flag("--virtual", options.virtual_time,
                           "In virtual time, without sockets; simulated figures");
    commands.run->add_option("--seed", options.seed, "In place of the scenario's; in virtual time");
    commands.run->add_option("--wire", options.wire,
                             "In virtual time: file for the records; none without it");
    commands.check->add_option("records", options.file, "A wire.jsonl")->required();
}

void add_sweep_command(CLI::App& app, Commands& commands, Options& options) {
    commands.sweep = app.add_subcommand(
        "sweep", "Play a scenario's arms at several sizes, in virtual time; clients grow with the engines");
    commands.sweep->add_option("scenario", options.file, "A scenario, in KDL")->required();
    commands.sweep->add_option("--engines", options.sweep_engines, "Sizes")
        ->delimiter(',')
        ->capture_default_str();
    commands.sweep->add_option("--edges", options.sweep_edges, "As many")
        ->delimiter(',')
        ->capture_default_str();
    commands.sweep->add_option("--seeds", options.seeds, "How many for each")
        ->check(CLI::Range(1, kSeedsMost));
}

void add_report_command(CLI::App& app, Commands& commands, Options& options) {
    commands.report =
        app.add_subcommand("report", "A page with plots, from a scenario and the records of one run of it");
    commands.report->add_option("scenario", options.file, "The scenario")->required();
    commands.report->add_option("--wire", options.wire, "The run's records")->required();
    commands.report->add_option("--out", options.page, "The page")->capture_default_str();
}

void add_search_commands(CLI::App& app, Commands& commands, Options& options) {
    commands.search = app.add_subcommand(
        "search", "Look for the troubles on which the module does worst beside baselines, and shrink them");
    commands.search->add_option("scenario", options.file, "A scenario, in KDL; its troubles are replaced")
        ->required();
    commands.search->add_option("--from", options.from, "The first seed")->capture_default_str();
    commands.search->add_option("--seeds", options.swarm_seeds, "How many")->capture_default_str();
    commands.search->add_option("--found", options.folder, "Folder for the scenario found")
        ->capture_default_str();
    commands.swarm = app.add_subcommand(
        "swarm",
        "Play random fleets and troubles in virtual time; exit 1 if anything that must hold does not");
    commands.swarm->add_option("--from", options.from, "The first seed")->capture_default_str();
    commands.swarm->add_option("--seeds", options.swarm_seeds, "How many")->capture_default_str();
    commands.swarm->add_option("--mutation", options.mutation,
                               "Break the core on purpose, until it is caught");
    commands.swarm->add_option("--found", options.folder, "Folder for the scenarios of what is found")
        ->capture_default_str();
}

int run_command(const Commands& commands, const Options& o) {
    if (commands.up->parsed()) return up(o.file, o.folder);
    if (commands.run->parsed())
        return o.virtual_time ? simulate(o.file, o.seed, o.wire) : run(o.file, o.folder);
    if (commands.compare->parsed()) return compare(o.file, o.seeds);
    if (commands.sweep->parsed()) return sweep(o.file, o.sweep_engines, o.sweep_edges, o.seeds);
    if (commands.report->parsed()) return report(o.file, o.wire, o.page);
    if (commands.search->parsed()) return search(o.file, o.from, o.swarm_seeds, o.folder);
    if (commands.swarm->parsed()) return swarm(o.from, o.swarm_seeds, o.mutation, o.folder);
    return check_records(o.file);
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app{"chalksail-lab: rehearsals of real edges against stand-in engines, on loopback"};
    app.require_subcommand(1);
    Options options;
    Commands commands;
    add_run_commands(app, commands, options);
    add_sweep_command(app, commands, options);
    add_report_command(app, commands, options);
    add_search_commands(app, commands, options);
    CLI11_PARSE(app, argc, argv);
    try {
        return run_command(commands, options);
    } catch (const std::exception& error) {
        std::cerr << "chalksail-lab: " << error.what() << '\n';
        return 2;
    }
}
