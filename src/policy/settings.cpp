// Checks the consistency of the settings, for the router and for the code that reads settings files.
#include <chalksail/chalksail.hpp>
#include <stdexcept>

namespace chalksail {

void validate(const Settings& settings) {
    const auto require = [](bool holds, const std::string& problem) {
        if (!holds) throw std::invalid_argument(problem);
    };
    require(!settings.classes.empty(), "settings define no request class");
    require(!settings.kinds.empty(), "settings define no server kind");
    require(settings.gateways >= 1, "gateways must be at least 1");
    require(settings.tick > Duration::zero(), "tick must be above 0");
    require(settings.max_attempts >= 1, "max_attempts must be at least 1");
    for (const auto& c : settings.classes)
        require(c.first_token_objective > Duration::zero() && c.deadline >= c.first_token_objective,
                "class " + c.name + ": first-token objective must be above 0 and within the deadline");
}

}  // namespace chalksail
