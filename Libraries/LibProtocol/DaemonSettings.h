#pragma once

#include "LibState/Endpoint.h"

#include <string>
#include <string_view>
#include <vector>

namespace Papaya {

/// Settings that a daemon needs at start-up. The configuration and the VM list come from the platform or from peers later.
struct DaemonSettings {
    /// The name of the VM as it appears in the platform's VM list.
    std::string name;
    std::string failureDomain;
    /// Address on which this daemon receives from other daemons: UDP for datagrams, TCP for peer frames.
    Endpoint daemon;
    /// Address of this daemon's HTTP interface for operators.
    Endpoint operators;
    /// Address of the platform's HTTP API.
    Endpoint platform;
    /// Daemons from which this daemon requests a configuration before it has a VM list.
    std::vector<Endpoint> seedPeers;
    /// Entry VM only: UDP address to which the fabric delivers IP packets.
    Endpoint fabricListen;
    /// Target VM only: UDP address of the fabric, to which the agent sends packets for callers.
    Endpoint fabric;
    /// Target VM only: TCP address of the target.
    Endpoint target;
};

/// The program that reads the settings, which determines the required keys.
enum class DaemonRole {
    Entry,
    Target,
};

/// Parses a settings file, which consists of one `[daemon]` section. Every failure is appended to `failures` with its line number.
[[nodiscard]] DaemonSettings readDaemonSettings(std::string_view text, DaemonRole role, std::vector<Failure> &failures);

} // namespace Papaya
