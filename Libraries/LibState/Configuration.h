#pragma once

#include "LibState/Endpoint.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Papaya {

/// The protocol of a service.
enum class ServiceProtocol {
    /// Long-lived TCP connections whose content is not parsed.
    Tcp,
    /// HTTP requests with slots, a queue, deadlines and outcomes.
    Http,
};

/// One service of the operators' configuration text.
struct ServiceConfiguration {
    std::string name;
    std::vector<Endpoint> addresses;
    ServiceProtocol protocol = ServiceProtocol::Tcp;
    /// The group of target VMs that serves this service, as named in the platform's VM list.
    std::string targetGroup;
    /// Number of requests that a target runs concurrently.
    int slots = 1;
    /// Number of requests that queue at an agent before it sheds further ones.
    int queueLimit = 64;
    /// Number of open connections at one target before its agent refuses new ones.
    int connectionLimit = 4096;
    /// The deadline of a request whose caller states none.
    std::chrono::milliseconds deadline {10'000};
    /// Names of services that must be ready before this one reports ready.
    std::vector<std::string> dependsOn;

    bool operator==(const ServiceConfiguration &) const = default;
};

/// A parsed and fully validated configuration.
struct Configuration {
    std::uint64_t revision = 0;
    std::vector<ServiceConfiguration> services;
};

/// Returns the service that has this address, or nothing.
[[nodiscard]] const ServiceConfiguration *serviceAt(const Configuration &configuration, const Endpoint &address);

/// Returns the service that this group of targets serves, or nothing.
[[nodiscard]] const ServiceConfiguration *serviceOfGroup(const Configuration &configuration, std::string_view targetGroup);

} // namespace Papaya
