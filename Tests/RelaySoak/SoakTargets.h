#pragma once

#include "RelayDeployment/RelayDeployment.h"

#include <map>
#include <string>

namespace Papaya {

/// The targets of a deployment as the store lists them.
class SoakTargets
{
public:
    explicit SoakTargets(RelayDeployment &deployment);

    /// Lists the target of an agent, such as `agent-0`, as draining.
    void drain(const std::string &agent);
    /// Returns the IPv4 address of the VM of an agent and its target.
    [[nodiscard]] std::uint32_t hostOf(const std::string &agent) const { return m_targets.at(agent).host; }

private:
    struct Target {
        /// The value of the target's entry in the store.
        std::string entry;
        std::uint32_t host = 0;
    };

    StoreStandIn &m_store;
    std::map<std::string, Target> m_targets;
};

} // namespace Papaya
