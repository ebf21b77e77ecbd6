#pragma once

#include "LibCoordination/RelayKnowledge.h"

#include <caf/all.hpp>

#include <memory>
#include <optional>
#include <string>
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

/// When a KnowledgeFetchTask ends, besides after the answer of a peer whose list is settled.
struct KnowledgeFetchLimits {
    /// After this many peers have answered.
    std::size_t answers = 1;
    /// After this many rounds over all peers.
    int rounds = 1;
};

/// Fetches the routes and targets (/knowledge) from other entry daemons, one after the other.
class KnowledgeFetchTask : public caf::blocking_actor
{
public:
    /// `peers` are the addresses of the operators' HTTP servers of other entry daemons.
    /// `digest` is that of the routes and targets that this daemon has, if it has any.
    KnowledgeFetchTask(caf::actor_config &config,
                       std::vector<Endpoint> peers,
                       const KnowledgeFetchLimits &limits,
                       const std::optional<KnowledgeDigest> &digest,
                       caf::actor mainTask);

    void act() override;

private:
    /// Queries the peers until a limit is reached or one with a settled list has answered. Returns the number of answers.
    [[nodiscard]] std::size_t queryPeers();
    /// Fetches the routes and targets from one peer and sends them to the main task. Returns nothing if that failed.
    [[nodiscard]] std::shared_ptr<const RelayKnowledge> fetchKnowledge(const Endpoint &peer);

    std::vector<Endpoint> m_peers;
    KnowledgeFetchLimits m_limits;
    std::string m_path;
    caf::actor m_mainTask;
};

} // namespace Papaya

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::PeerKnowledge)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::PeersQueried)
