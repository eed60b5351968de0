// A run's report: one HTML page with plots in SVG, by a Mustache template. It shows what the account holds
// and decides nothing. No I/O.
#pragma once

#include <string>

#include "checker/account.hpp"
#include "checker/checker.hpp"
#include "scenario/scenario.hpp"

namespace chalksail::lab {

// `simulated`: the run was in virtual time; the page says so. Text of the scenario is escaped.
[[nodiscard]] std::string html_report(const Scenario& scenario, const Account& account,
                                      const RuleReport& rule_report, bool simulated);

}  // namespace chalksail::lab
