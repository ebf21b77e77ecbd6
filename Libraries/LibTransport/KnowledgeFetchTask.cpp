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
                                       const std::optional<KnowledgeDigest> &digest,
                                       caf::actor mainTask)
    : caf::blocking_actor(config)
    , m_peers(std::move(peers))
    , m_limits(limits)
    , m_path(encodeKnowledgePath(digest))
    , m_mainTask(std::move(mainTask))
{
}

void KnowledgeFetchTask::act()
{
    if (queryPeers() == 0)
        EventLog("peers_uninformed", LogLevel::Warning).with("peers", m_peers.size());
    send(m_mainTask, PeersQueried {});
}

std::size_t KnowledgeFetchTask::queryPeers()
{
    std::size_t answers = 0;
    for (int round = 0; round < m_limits.rounds && answers == 0; ++round) {
        if (round > 0)
            std::this_thread::sleep_for(RoundInterval);
        for (const auto &peer : m_peers) {
            const auto knowledge = fetchKnowledge(peer);
            if (!knowledge)
                continue;
            ++answers;
            if (knowledge->isSettled || answers >= m_limits.answers)
                return answers;
        }
    }
    return answers;
}

std::shared_ptr<const RelayKnowledge> KnowledgeFetchTask::fetchKnowledge(const Endpoint &peer)
{
    HttpClient client(peer);
    const auto response = client.get(m_path, ConnectTimeout, ResponseTimeout);
    if (response.has_error() || response.value().status != StatusOk)
        return nullptr;
    auto decoded = decodeKnowledge(response.value().body);
    if (decoded.has_error()) {
        EventLog("knowledge_unusable", LogLevel::Warning).with("peer", toString(peer)).with(decoded.error());
        return nullptr;
    }
    auto knowledge = std::make_shared<const RelayKnowledge>(std::move(decoded.value()));
    send(m_mainTask, PeerKnowledge {peer, knowledge});
    return knowledge;
}

} // namespace Papaya
