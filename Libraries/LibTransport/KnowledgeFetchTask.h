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

/// Sent to the main task: a KnowledgeFetchTask has ended, and no further PeerKnowledge follows from it.
struct PeersQueried {
};

/// When a KnowledgeFetchTask ends.
struct KnowledgeFetchLimits {
    /// After this many peers have returned their routes and targets.
    std::size_t snapshots = 1;
    /// After this many rounds over all peers.
    int rounds = 1;
};

/// Fetches the routes and targets (/knowledge) from other entry daemons, one after the other.
class KnowledgeFetchTask : public caf::blocking_actor
{
public:
    /// `peers` are the addresses of the operators' HTTP servers of other entry daemons.
    KnowledgeFetchTask(caf::actor_config &config, std::vector<Endpoint> peers, const KnowledgeFetchLimits &limits, caf::actor mainTask);

    void act() override;

private:
    /// Queries the peers until a limit is reached. Returns the number of snapshots fetched.
    [[nodiscard]] std::size_t fetchSnapshots();
    /// Fetches the routes and targets from one peer and sends them to the main task. Returns whether that succeeded.
    [[nodiscard]] bool fetchKnowledge(const Endpoint &peer);

    std::vector<Endpoint> m_peers;
    KnowledgeFetchLimits m_limits;
    caf::actor m_mainTask;
};

} // namespace Papaya

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::PeerKnowledge)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::PeersQueried)
