#pragma once

#include "LibState/Endpoint.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Papaya {

/// What a service carries.
enum class ServiceProtocol {
    /// Opaque standing connections.
    Tcp,
    /// Requests with slots, a queue, deadlines and outcomes.
    Http,
};

/// One service of the operators' text.
struct ServiceConfiguration {
    std::string name;
    std::vector<Endpoint> addresses;
    ServiceProtocol protocol = ServiceProtocol::Tcp;
    /// The group of target VMs, as the platform's VM list names it, that serves this service.
    std::string targetGroup;
    /// Requests that a target runs at once.
    int slots = 1;
    /// Requests that wait at an agent before further ones are shed.
    int queueLimit = 64;
    /// Open connections at one target before new ones are refused.
    int connectionLimit = 4096;
    /// The time a request has when its caller states none.
    std::chrono::milliseconds deadline {10'000};
    /// Services that must be ready before this one reports ready.
    std::vector<std::string> dependsOn;

    bool operator==(const ServiceConfiguration &) const = default;
};

/// The operators' text as accepted: whole and valid.
struct Configuration {
    std::uint64_t revision = 0;
    std::vector<ServiceConfiguration> services;
};

/// Returns the service that has this address, or nothing.
[[nodiscard]] const ServiceConfiguration *serviceAt(const Configuration &configuration, const Endpoint &address);

/// Returns the service that is served by this group of targets, or nothing.
[[nodiscard]] const ServiceConfiguration *serviceOfGroup(const Configuration &configuration, std::string_view targetGroup);

} // namespace Papaya
