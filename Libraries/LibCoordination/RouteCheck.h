#pragma once

#include "LibCoordination/RouteFinding.h"
#include "LibState/RouteTable.h"

#include <optional>

/// Checks a configuration of routes before it is published, and compares it with the one in force.
namespace Papaya {

/// A value and the JSON path at which the configuration states it.
template <typename T>
struct Stated {
    T value {};
    std::string place;
};

/// A service of a route as the configuration states it.
struct StatedShare {
    Stated<std::string> service;
    std::uint32_t weight = 1;
};

/// A route as the configuration states it. Values that are missing or invalid are not set.
struct StatedRoute {
    std::string place;
    std::optional<Stated<Endpoint>> address;
    std::vector<StatedShare> services;
    std::optional<Stated<Duration>> timeout;
    std::optional<Stated<Duration>> latencyObjective;
};

/// A service in the configuration's list of services.
struct StatedService {
    std::string name;
    /// How long a target is cold after its start; 0 if the configuration does not state it.
    Duration coldTime {0};
    /// Number of new flows a second that a cold target bears; 0 means no limit.
    std::optional<Stated<double>> coldRate;
};

/// A configuration with the places of its values.
struct StatedConfiguration {
    std::vector<StatedRoute> routes;
    std::vector<StatedService> services;
    /// The idle timeout that daemons use: the stated one or their default.
    Duration idleTimeout = RouteTable {}.idleTimeout;
};

/// Returns warnings on routes that can never match and on limits that contradict each other.
[[nodiscard]] std::vector<RouteFinding> checkConfiguration(const StatedConfiguration &configuration);

/// Returns the differences of a configuration from the one in force, sorted by address and name, one for each changed value. Reports
/// VersionNotHigher first if daemons would ignore the configuration because of its version. Services are those that routes name.
[[nodiscard]] std::vector<RouteFinding> compareRoutes(const RouteTable &inForce, const RouteTable &offered);

} // namespace Papaya
