#include "LibTransport/KnowledgeFetchTask.h"

#include "LibProtocol/KnowledgeCodec.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/HttpClient.h"

#include <thread>

namespace Papaya {

namespace {

constexpr int StatusOk = 200;
/// A peer in reach answers within milliseconds; one that is gone must not hold up the next.
constexpr Duration ConnectTimeout {150};
constexpr Duration AnswerTimeout {300};
constexpr Duration RoundPause {200};
/// Rounds after which only the platform can help.
constexpr int Rounds = 60;

} // namespace

KnowledgeFetchTask::KnowledgeFetchTask(caf::actor_config &config, std::vector<Endpoint> peers, caf::actor mainTask)
    : caf::blocking_actor(config)
    , m_peers(std::move(peers))
    , m_mainTask(std::move(mainTask))
{
}

void KnowledgeFetchTask::act()
{
    for (int round = 0; round < Rounds; ++round) {
        for (const auto &peer : m_peers) {
            if (ask(peer))
                return;
        }
        std::this_thread::sleep_for(RoundPause);
    }
    EventLog("peers_uninformed", LogLevel::Warning).with("peers", m_peers.size());
}

bool KnowledgeFetchTask::ask(const Endpoint &peer)
{
    HttpClient client(peer);
    const auto response = client.get("/knowledge", ConnectTimeout, AnswerTimeout);
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
