// Determines which prefill servers cache a shared prefix: the highest ranked by a hash with the prefix, as
// many as its traffic needs. Each session uses one of them. Gateways that estimate different numbers still
// agree on most sessions. Used with sparse observations, where no gateway sees all requests with a prefix.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <string>

#include "endpoint_table.hpp"

namespace chalksail::policy {

class PrefixPlacement {
public:
    explicit PrefixPlacement(const EndpointTable& endpoints) : endpoints_(endpoints) {}

    // Records the arrival of a request with this prefix, or without a prefix if it is empty.
    void record_arrival(const std::string& prefix);
    // Discards the ranking after a change of the endpoint list.
    void endpoints_changed() { ranked_.clear(); }
    // Returns the lowest rank, a hash of prefix and server, of the servers that cache the prefix. Zero means
    // that all servers cache it.
    [[nodiscard]] double lowest_rank(const std::string& prefix);

private:
    struct RankedPrefix {
        double copies = 0;
        double lowest_rank = 0;  // lowest rank of the servers that cache the prefix
    };
    [[nodiscard]] double rank_of_copy(const std::string& prefix, double copies) const;

    const EndpointTable& endpoints_;
    std::map<std::string, double> arrivals_by_prefix_;
    double arrivals_ = 0;
    std::map<std::string, RankedPrefix> ranked_;
};

}  // namespace chalksail::policy
