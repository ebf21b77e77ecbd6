#pragma once

#include "LibState/Endpoint.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace Papaya {

/// Which relaying program the settings are for: it decides the required keys.
enum class RelayRole {
    Entry,
    Agent,
};

/// What a relaying daemon must know to start.
struct RelaySettings {
    /// The name of the VM.
    std::string name;
    std::string failureDomain;
    /// UDP address of this daemon for other daemons. The port is the same on all VMs.
    Endpoint daemon;
    /// HTTP address for readiness, status and metrics.
    Endpoint operators;
    /// This VM's UDP address for packets of callers. Entry VM: they arrive there. Callers take packets on the same port.
    Endpoint callers;
    /// Entry VM: how long a connection to the platform that went silent may stay unnoticed.
    std::chrono::milliseconds stalenessLimit {4'000};
    /// Entry VM: what the VM's link carries, in megabits a second; 0 where it need not be spared.
    double linkMegabits = 0;
    /// Entry VM: address of the platform's store.
    Endpoint platform;
    /// Entry VM: addresses of other entry daemons that may tell what they know while the platform cannot be read. Of these only the
    /// IP address counts; the port is that of `operators`, which is the same on all VMs.
    std::vector<Endpoint> peers;
    /// Target VM: the service of the target.
    std::string service;
    /// Target VM: UDP address on which the target takes packets.
    Endpoint target;
    /// Target VM: UDP address to which the target sends packets.
    Endpoint outbound;
    /// Target VM: whether the whole system starts for the first time, so that no flow is older than this process.
    bool isFirstStart = false;

    bool operator==(const RelaySettings &) const = default;
};

/// Reads a settings file: one `[relay]` section. Every failure is appended to `failures` with its line.
[[nodiscard]] RelaySettings readRelaySettings(std::string_view text, RelayRole role, std::vector<Failure> &failures);

} // namespace Papaya
