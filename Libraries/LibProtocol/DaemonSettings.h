#pragma once

#include "LibState/Endpoint.h"

#include <string>
#include <string_view>
#include <vector>

namespace Papaya {

/// What a process must know to start. Everything else it learns from the platform and its peers.
struct DaemonSettings {
    /// The name of the VM, as the platform's list spells it.
    std::string name;
    std::string failureDomain;
    /// Address of this daemon for other daemons: UDP for datagrams, TCP for peer frames.
    Endpoint daemon;
    /// HTTP address for operators.
    Endpoint operators;
    /// HTTP address of the platform's service.
    Endpoint platform;
    /// Daemons to ask for a configuration before the VM list is known.
    std::vector<Endpoint> seedPeers;
    /// Entry VM: UDP address on which the fabric delivers IP packets.
    Endpoint fabricListen;
    /// Target VM: UDP address of the fabric, to which answers are sent.
    Endpoint fabric;
    /// Target VM: TCP address of the target.
    Endpoint target;
};

/// Which program the settings are for: it decides the required keys.
enum class DaemonRole {
    Entry,
    Target,
};

/// Reads a settings file: one `[daemon]` section. Every failure is appended to `failures` with its line.
[[nodiscard]] DaemonSettings readDaemonSettings(std::string_view text, DaemonRole role, std::vector<Failure> &failures);

} // namespace Papaya
