// Injects a scenario's faults into a fleet, on sockets or in virtual time. The affected engines are drawn
// from a stream of their own, so that both have the same. No I/O, no clock, no threads.
#pragma once

#include <chalksail/chalksail.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "model/engine.hpp"
#include "scenario/scenario.hpp"
#include "sim/random.hpp"
#include "workload/client_workload.hpp"

namespace chalksail::lab {

// A fleet that faults can be injected into.
class FaultTarget {
public:
    virtual ~FaultTarget() = default;
    [[nodiscard]] virtual Time now() const = 0;
    virtual void after(Duration delay, std::function<void()> act) = 0;
    // nullptr: it is down.
    [[nodiscard]] virtual EngineModel* running(const std::string& server) = 0;
    // Its model was changed from outside.
    virtual void changed(const std::string& server) = 0;
    // It crashes with all its connections; the endpoint list is notified. It restarts after `lasts`.
    virtual void kill(const std::string& server, Duration lasts) = 0;
    // It goes silent, and the endpoint list is notified; it restarts as a new process after `lasts`.
    virtual void vanish(const std::string& server, Duration lasts) = 0;
    virtual void list(const std::string& server, const std::string& state) = 0;
    virtual void set_list_lag(Duration lag) = 0;
    [[nodiscard]] virtual Duration list_lag() const = 0;
    [[nodiscard]] virtual Links& links() = 0;
    [[nodiscard]] virtual ClientWorkload& client_workload() = 0;
    // The client workload's parameters were changed.
    virtual void client_workload_changed() = 0;
    // Does nothing where there is no TLS.
    virtual void misname(const std::string&, Duration) {}
    // These do nothing on a real network. `servers` are engines' names.
    virtual void cut_zone(const std::string&, Duration) {}
    virtual void cut_servers(const std::vector<std::string>&, double, Duration) {}
    virtual void silence(const std::vector<std::string>&, double, Duration) {}
    virtual void reset(const std::vector<std::string>&, double, Duration) {}
};

// Schedules the faults of one scenario.
class FaultInjector {
public:
    // Both outlive it.
    FaultInjector(const Scenario& scenario, FaultTarget& fault_target)
        : scenario_(scenario), fault_target_(fault_target), draws_(scenario.seed, "troubles") {}
    // Puts all faults of the scenario on the target's timeline.
    void schedule();

private:
    using Engines = std::vector<std::string>;
    void begin(const Fault& fault);
    [[nodiscard]] Engines victims(const Fault& fault);
    // `begin` on each victim that runs, `end` after the fault's duration on those that still run as the same
    // process; of faults of one kind that overlap on an engine only the last one's end counts.
    void each(const Fault& fault, const Engines& victims, const std::function<void(EngineModel&)>& begin,
              const std::function<void(EngineModel&)>& end);
    void whole(const Fault& fault, const std::function<void()>& begin, const std::function<void()>& end);

    const Scenario& scenario_;
    FaultTarget& fault_target_;
    sim::Stream draws_;
    std::map<std::pair<FaultKind, std::string>, int> under_way_;
};

}  // namespace chalksail::lab
