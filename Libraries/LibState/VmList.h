#pragma once

#include "LibState/Endpoint.h"

#include <string>
#include <vector>

namespace Papaya {

/// The role of a VM.
enum class VmRole {
    Entry,
    Target,
};

/// The state of a VM according to the platform. The list lags behind and may be wrong.
enum class VmState {
    Live,
    Leaving,
};

/// One VM of the platform's list.
struct VirtualMachine {
    std::string name;
    VmRole role = VmRole::Target;
    VmState state = VmState::Live;
    std::string failureDomain;
    /// For target VMs, the group that a service's `target_group` names.
    std::string group;
    /// UDP endpoint of the daemon on the VM. Its peer listener uses the same port number on TCP.
    Endpoint daemon;

    bool operator==(const VirtualMachine &) const = default;
};

/// The platform's list of VMs.
struct VmList {
    std::uint64_t version = 0;
    std::vector<VirtualMachine> machines;
};

} // namespace Papaya
