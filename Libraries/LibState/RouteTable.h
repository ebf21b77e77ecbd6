#pragma once

#include "LibState/Clock.h"
#include "LibState/Member.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Papaya {

/// A service that a route sends new flows to, and its share among the route's services.
struct WeightedService {
    ServiceId service = 0;
    std::string name;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// Where the new flows of one service address go.
struct Route {
    std::string name;
    Endpoint address;
    std::vector<WeightedService> services;
    /// Whether callers repeat the requests of this route when a flow is reset.
    bool isIdempotent = false;

    bool operator==(const Route &) const = default;
};

/// The routes that are in force, by service address.
struct RouteTable {
    /// The operators' version of the configuration; 0 while none is known. Only rises.
    std::uint64_t version = 0;
    std::unordered_map<Endpoint, Route> routes;
    /// The platform's revision at which this version was written; 0 while unknown.
    std::uint64_t changeRevision = 0;
    /// A flow that was idle for longer may be forgotten.
    Duration idleTimeout {60'000};
};

} // namespace Papaya
