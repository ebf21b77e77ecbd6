#pragma once

#include "LibTransport/DaemonMessages.h"

#include <optional>
#include <vector>

namespace Papaya {

/// Keeps the configuration and the VM list in force, takes offers from the platform and from peers, and tells subscribers.
class ControlStateTask : public caf::event_based_actor
{
public:
    explicit ControlStateTask(caf::actor_config &config);

protected:
    caf::behavior make_behavior() override; // NOLINT(readability-identifier-naming): CAF's name.

private:
    void considerConfiguration(const OfferConfiguration &offer);
    void acceptConfiguration(const OfferConfiguration &offer, Configuration configuration);
    void considerVmList(const OfferVmList &offer);
    void considerVmListChange(const VmListChange &change);
    void acceptVmList(VmList list, std::string text, RevisionSource source);
    void reconsiderDeferred();

    RevisionState m_revisions;
    std::optional<OfferConfiguration> m_deferred;
    std::optional<ConfigurationInForce> m_configuration;
    std::optional<VmListInForce> m_machines;
    std::vector<caf::actor> m_subscribers;
};

} // namespace Papaya
