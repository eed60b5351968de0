// Which prefill servers cache a shared prefix: the first few by its hash, as many as its traffic needs, and a
// session at one of these. Gateways that estimate another number still agree on most sessions. Used with
// sparse observations, where no gateway sees all of a prefix's traffic.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <string>

#include "endpoint_table.hpp"

namespace chalksail::policy {

class PrefixPlacement {
public:
    explicit PrefixPlacement(const EndpointTable& endpoints) : endpoints_(endpoints) {}

    // An arrival with this prefix; empty: with none.
    void record_arrival(const std::string& prefix);
    // The list has changed: servers are ranked anew.
    void endpoints_changed() { ranked_.clear(); }
    // Servers whose hash with the prefix is at least this cache it; zero: all do.
    [[nodiscard]] double lowest_rank(const std::string& prefix);

private:
    struct RankedPrefix {
        double copies = 0;
        double lowest_rank = 0;  // of the servers that cache it
    };
    [[nodiscard]] double rank_of_copy(const std::string& prefix, double copies) const;

    const EndpointTable& endpoints_;
    std::map<std::string, double> arrivals_by_prefix_;
    double arrivals_ = 0;
    std::map<std::string, RankedPrefix> ranked_;
};

}  // namespace chalksail::policy
