#include "LibTransport/KnowledgeFetchTask.h"

#include "LibProtocol/KnowledgeCodec.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/HttpClient.h"

#include <thread>

namespace Papaya {

namespace {

constexpr int StatusOk = 200;
/// A reachable peer responds within milliseconds. The timeouts are short so that an unreachable peer does not delay the next one.
constexpr Duration ConnectTimeout {150};
constexpr Duration ResponseTimeout {300};
constexpr Duration RoundInterval {200};

} // namespace

KnowledgeFetchTask::KnowledgeFetchTask(caf::actor_config &config,
                                       std::vector<Endpoint> peers,
                                       const KnowledgeFetchLimits &limits,
                                       caf::actor mainTask)
    : caf::blocking_actor(config)
    , m_peers(std::move(peers))
    , m_limits(limits)
    , m_mainTask(std::move(mainTask))
{
}

void KnowledgeFetchTask::act()
{
    if (fetchSnapshots() == 0)
        EventLog("peers_uninformed", LogLevel::Warning).with("peers", m_peers.size());
    send(m_mainTask, PeersQueried {});
}

std::size_t KnowledgeFetchTask::fetchSnapshots()
{
    std::size_t snapshots = 0;
    for (int round = 0; round < m_limits.rounds && snapshots == 0; ++round) {
        if (round > 0)
            std::this_thread::sleep_for(RoundInterval);
        for (const auto &peer : m_peers) {
            snapshots += fetchKnowledge(peer) ? 1 : 0;
            if (snapshots >= m_limits.snapshots)
                break;
        }
    }
    return snapshots;
}

bool KnowledgeFetchTask::fetchKnowledge(const Endpoint &peer)
{
    HttpClient client(peer);
    const auto response = client.get("/knowledge", ConnectTimeout, ResponseTimeout);
    if (response.has_error() || response.value().status != StatusOk)
        return false;
    auto knowledge = decodeKnowledge(response.value().body);
    if (knowledge.has_error()) {
        EventLog("knowledge_unusable", LogLevel::Warning).with("peer", toString(peer)).with(knowledge.error());
        return false;
    }
    send(m_mainTask, PeerKnowledge {peer, std::make_shared<const RelayKnowledge>(std::move(knowledge.value()))});
    return true;
}

} // namespace Papaya
