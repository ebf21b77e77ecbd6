#pragma once

#include "LibCoordination/RelayKnowledge.h"

#include <caf/all.hpp>

#include <memory>
#include <vector>

namespace Papaya {

/// What another entry daemon knows.
struct PeerKnowledge {
    Endpoint peer;
    std::shared_ptr<const RelayKnowledge> knowledge;
};

/// Asks other entry daemons, one after the other, for what they know, until one tells. Ends then, or after a while.
class KnowledgeFetchTask : public caf::blocking_actor
{
public:
    /// `peers` are the operators' addresses of other entry daemons.
    KnowledgeFetchTask(caf::actor_config &config, std::vector<Endpoint> peers, caf::actor mainTask);

    void act() override;

private:
    /// Returns whether the peer told what it knows.
    [[nodiscard]] bool ask(const Endpoint &peer);

    std::vector<Endpoint> m_peers;
    caf::actor m_mainTask;
};

} // namespace Papaya

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::PeerKnowledge)
