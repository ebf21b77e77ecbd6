#pragma once

#include "LibTransport/DaemonMessages.h"

#include <optional>
#include <vector>

namespace Papaya {

/// Stores the configuration and the VM list in force. Decides whether a text from the platform or a peer replaces them, and sends each
/// replacement to its subscribers.
class ControlStateTask : public caf::event_based_actor
{
public:
    explicit ControlStateTask(caf::actor_config &config);

protected:
    caf::behavior make_behavior() override; // NOLINT(readability-identifier-naming): CAF's name.

private:
    void evaluateConfiguration(const OfferConfiguration &offer);
    void activateConfiguration(const OfferConfiguration &offer, Configuration configuration);
    void evaluateVmList(const OfferVmList &offer);
    void applyVmListChange(const VmListChange &change);
    void activateVmList(VmList list, std::string text, RevisionSource source);
    void retryDeferred();

    RevisionState m_revisions;
    /// The configuration with the highest revision that decideRevision() deferred. Evaluated again on each tick and peer digest.
    std::optional<OfferConfiguration> m_deferred;
    std::optional<ConfigurationInForce> m_configuration;
    std::optional<VmListInForce> m_vmList;
    std::vector<caf::actor> m_subscribers;
};

} // namespace Papaya
