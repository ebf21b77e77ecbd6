#pragma once

#include "RelayDeployment/RelayDeployment.h"

#include "LibTransport/FileDescriptor.h"

#include <map>
#include <string>
#include <vector>

namespace Papaya {

/// The targets of a deployment as the store lists them. It accepts TCP connections at their addresses, as targets do for health
/// checks: an agent that stops would otherwise report that its target has exited.
class SoakTargets
{
public:
    explicit SoakTargets(RelayDeployment &deployment);

    /// Accepts and closes the connections that agents have opened to check their targets.
    void acceptConnections();
    /// Lists the target of an agent, such as `agent-0`, as draining.
    void drain(const std::string &agent);
    /// Returns the IPv4 address of the VM of an agent and its target.
    [[nodiscard]] std::uint32_t hostOf(const std::string &agent) const { return m_targets.at(agent).application.address; }

private:
    struct Target {
        /// The value of the target's entry in the store.
        std::string entry;
        Endpoint application;
        FileDescriptor listener;
    };

    StoreStandIn &m_store;
    std::map<std::string, Target> m_targets;
};

} // namespace Papaya
