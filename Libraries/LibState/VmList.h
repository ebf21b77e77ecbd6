#pragma once

#include "LibState/Endpoint.h"

#include <string>
#include <vector>

namespace Papaya {

/// What a VM is used for.
enum class VmRole {
    Entry,
    Target,
};

/// What the platform says of a VM; the list lags and may be wrong.
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
    /// UDP address of the daemon on the VM; its peer listener has the same number on TCP.
    Endpoint daemon;

    bool operator==(const VirtualMachine &) const = default;
};

/// The platform's list of VMs.
struct VmList {
    std::uint64_t version = 0;
    std::vector<VirtualMachine> machines;
};

} // namespace Papaya
