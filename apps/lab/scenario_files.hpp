// Reads the laboratory's input files. Errors are printed on standard error, with the file's name.
#pragma once

#include <optional>
#include <string>

#include "scenario/scenario.hpp"

namespace chalksail::lab {

// The whole file; nothing after an error.
[[nodiscard]] std::optional<std::string> read_file(const std::string& file);
// A scenario, with its base where it names one; nothing after an error. A base is looked up beside the file
// that names it, and must not have a base itself.
[[nodiscard]] std::optional<Scenario> read_scenario(const std::string& file);

}  // namespace chalksail::lab
