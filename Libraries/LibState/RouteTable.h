#pragma once

#include "LibState/Clock.h"
#include "LibState/Member.h"
#include "LibState/PlatformRevision.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Papaya {

/// A service that a route sends new flows to, and its share among the services of the route.
struct WeightedService {
    ServiceId service = 0;
    std::string name;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// The services that the new flows to one service address go to.
struct Route {
    std::string name;
    Endpoint address;
    std::vector<WeightedService> services;
    /// Whether the requests of this route are idempotent, so that callers repeat them when a flow is reset.
    bool isIdempotent = false;
    /// Priority of the route's new flows when targets lack room; 0 is the most urgent.
    std::uint8_t priority = 0;
    /// How long a caller waits for an answer, and within which time the answer is of full use to the caller; 0 if unknown.
    Duration timeout {0};
    Duration latencyObjective {0};

    bool operator==(const Route &) const = default;
};

/// What the operators state about a service.
struct ServiceTraits {
    /// Number of new flows a second that a cold target of the service bears; 0 means no limit.
    std::uint32_t coldRate = 0;

    bool operator==(const ServiceTraits &) const = default;
};

/// The current routes by service address.
struct RouteTable {
    /// The operators' version number of the configuration, which only increases; 0 before the first one was read.
    std::uint64_t version = 0;
    std::unordered_map<Endpoint, Route> routes;
    /// The platform's revision at which this version was written.
    PlatformRevision changeRevision;
    /// A flow without packets for longer than this may be removed.
    Duration idleTimeout {60'000};
    /// Services whose traits differ from the defaults.
    std::unordered_map<ServiceId, ServiceTraits> services {};
};

} // namespace Papaya
