// Checks of the settings' own consistency, for whoever reads them and for the module that is built with them.
#include <chalksail/chalksail.hpp>
#include <stdexcept>

namespace chalksail {

void validate(const Settings& settings) {
    const auto require = [](bool holds, const std::string& problem) {
        if (!holds) throw std::invalid_argument(problem);
    };
    require(!settings.classes.empty(), "no request classes");
    require(!settings.kinds.empty(), "no kinds of server");
    require(settings.gateways >= 1, "fewer than one gateway");
    require(settings.tick > Duration::zero(), "tick must be above 0");
    require(settings.max_attempts >= 1, "fewer than one attempt allowed");
    for (const auto& c : settings.classes)
        require(c.first_token_objective > Duration::zero() && c.deadline >= c.first_token_objective,
                "class " + c.name + ": aim must be above 0 and within the deadline");
}

}  // namespace chalksail
