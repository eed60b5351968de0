#include "lab/scenario_files.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

namespace chalksail::lab {

std::optional<std::string> read_file(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        std::cerr << file << ": can't be read\n";
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>(in), {}};
}

namespace {

std::optional<Scenario> read_scenario(const std::string& file, bool may_have_base) {
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

}  // namespace

std::optional<Scenario> read_scenario(const std::string& file) { return read_scenario(file, true); }

}  // namespace chalksail::lab
