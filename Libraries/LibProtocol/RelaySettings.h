#pragma once

#include "LibState/Endpoint.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace Papaya {

/// The relay program that reads the settings, which determines the required keys.
enum class RelayRole {
    Entry,
    Agent,
};

/// Settings that a relay daemon needs at start-up.
struct RelaySettings {
    /// The name of the VM.
    std::string name;
    std::string failureDomain;
    /// UDP address on which this daemon receives from other daemons. The port is the same on all VMs.
    Endpoint daemon;
    /// Address of this daemon's HTTP interface for readiness, status and metrics.
    Endpoint operators;
    /// UDP address of this VM for callers' packets. An entry VM receives the packets on this address. Callers receive packets on
    /// the same port number.
    Endpoint callers;
    /// Entry VM only: maximum time until the daemon has detected a dead connection to the platform and read the changes
    /// missed meanwhile.
    std::chrono::milliseconds stalenessLimit {4'000};
    /// Entry VM only: bandwidth of the VM's link in megabits per second, which limits the rate of searches. 0 means no limit.
    double linkMegabits = 0;
    /// Entry VM only: address of the platform's metadata store.
    Endpoint platform;
    /// Entry VM only: other entry daemons that may provide routes and targets while the platform cannot be read. Only the IP
    /// addresses are used. The port is that of `operators`, which is the same on all VMs.
    std::vector<Endpoint> peers;
    /// Target VM only: name of the service to which the target belongs.
    std::string service;
    /// Target VM only: UDP address on which the target receives packets.
    Endpoint target;
    /// Target VM only: UDP address on which the agent receives the target's packets.
    Endpoint outbound;
    /// Target VM only: whether the whole system starts for the first time, in which case no flow is older than this process.
    bool isFirstStart = false;
    /// Target VM only: time in seconds between the stop signal and the forced end of the process.
    double stopGraceSeconds = 6;
    /// Target VM only: a cold target gets at most its service's cold rate times `coldExcess`, plus `coldSlack`, new flows in any second,
    /// and at least 1.
    double coldExcess = 1;
    double coldSlack = 0;
    /// Target VM only: number of concurrent requests that a target gets at first after a start or a recovery; 0 turns slow start off. It
    /// is applied when the agent starts.
    std::uint32_t slowStartCapacity = 0;

    bool operator==(const RelaySettings &) const = default;
};

/// Parses a settings file, which consists of one `[relay]` section. Every failure is appended to `failures` with its line number.
[[nodiscard]] RelaySettings readRelaySettings(std::string_view text, RelayRole role, std::vector<Failure> &failures);

} // namespace Papaya
