// The certificates of a fleet of stand-ins: an authority made at the start, a leaf for each engine, ticket
// keys that outlive a restart if so wished. Writes the bundle that edges trust; private keys stay in memory.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "ca/ca.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::lab {

class FleetTls {
public:
    static constexpr const char* kNames = "{name}.engines.example.org";
    // Throws std::runtime_error if the bundle can't be written.
    FleetTls(std::string bundle, bool keeps_tickets);

    // What an engine shows when its process starts.
    [[nodiscard]] std::shared_ptr<net::tls::Context> start(const std::string& engine);
    // New leaves for all from now on, and one more authority in the bundle.
    void renew();
    // A leaf of another name from now on, for this engine; empty: its own again.
    void misname(const std::string& engine, const std::string& name);
    [[nodiscard]] const std::string& bundle() const { return bundle_; }

private:
    void write_bundle();

    std::string bundle_;
    bool keeps_tickets_;
    Authority authority_;
    std::string trust_;
    std::string ticket_keys_;
    std::map<std::string, Issued> leaves_;
    std::map<std::string, std::string> misnamed_;
    int renewals_ = 0;
};

}  // namespace chalksail::lab
