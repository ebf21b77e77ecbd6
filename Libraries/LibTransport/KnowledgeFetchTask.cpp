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
/// Rounds over all peers before the task stops. After that, only the platform can provide the routes and targets.
constexpr int MaximumRounds = 60;

} // namespace

KnowledgeFetchTask::KnowledgeFetchTask(caf::actor_config &config, std::vector<Endpoint> peers, caf::actor mainTask)
    : caf::blocking_actor(config)
    , m_peers(std::move(peers))
    , m_mainTask(std::move(mainTask))
{
}

void KnowledgeFetchTask::act()
{
    for (int round = 0; round < MaximumRounds; ++round) {
        for (const auto &peer : m_peers) {
            if (fetchKnowledge(peer))
                return;
        }
        std::this_thread::sleep_for(RoundInterval);
    }
    EventLog("peers_uninformed", LogLevel::Warning).with("peers", m_peers.size());
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
