#pragma once

#include "LibCoordination/RelayKnowledge.h"

#include <caf/all.hpp>

#include <memory>
#include <vector>

namespace Papaya {

/// Sent to the main task: the routes and targets fetched from another entry daemon.
struct PeerKnowledge {
    Endpoint peer;
    std::shared_ptr<const RelayKnowledge> knowledge;
};

/// Fetches the routes and targets (/knowledge) from other entry daemons, one after the other, until one of them has returned them. Stops
/// then, or after a fixed number of rounds over all peers.
class KnowledgeFetchTask : public caf::blocking_actor
{
public:
    /// `peers` are the addresses of the operators' HTTP servers of other entry daemons.
    KnowledgeFetchTask(caf::actor_config &config, std::vector<Endpoint> peers, caf::actor mainTask);

    void act() override;

private:
    /// Fetches the routes and targets from one peer and sends them to the main task. Returns whether that succeeded.
    [[nodiscard]] bool fetchKnowledge(const Endpoint &peer);

    std::vector<Endpoint> m_peers;
    caf::actor m_mainTask;
};

} // namespace Papaya

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::PeerKnowledge)
