#pragma once

#include "LibCoordination/EntryRelay.h"
#include "LibCoordination/LoadKnowledge.h"
#include "LibEmulator/EmulatedNetwork.h"
#include "LibEmulator/EmulatedProcess.h"
#include "LibEmulator/EmulatedStoreClient.h"
#include "LibProtocol/RelayCodec.h"

namespace Papaya::Emulator {

/// An emulated entry daemon, which runs the production decisions and codec.
class EmulatedEntry : private EntryOutput, private StoreOutput
{
public:
    EmulatedEntry(EventQueue &events,
                  EmulatedNetwork &network,
                  EmulatedStore &store,
                  Endpoint address,
                  std::string name,
                  std::string failureDomain);

    /// Starts a new process, which reads routes and targets from the store, or from another entry daemon if the store is
    /// unreachable.
    void start(const ChoiceWeights &weights);
    /// From now on the daemon reports that it is not ready, and serves on.
    void beginStop() { m_isStopping = true; }

    void receiveFromCaller(const EmulatedPacket &packet);
    void receiveFromAgent(const Endpoint &agent, std::vector<std::byte> datagram);
    /// Returns the routes and targets of this daemon, if it has read them.
    [[nodiscard]] std::optional<RelayKnowledge> answerPeer(const std::optional<KnowledgeDigest> &digest) const
    {
        return answerKnowledgeRequest(m_relay, digest, m_events.now());
    }

    [[nodiscard]] EmulatedProcess &process() { return m_process; }
    [[nodiscard]] const Endpoint &address() const { return m_address; }
    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] const std::string &failureDomain() const { return m_failureDomain; }
    /// Returns whether the daemon answers the fabric's readiness check.
    [[nodiscard]] bool isReady() const { return m_process.isRunning() && !m_isStopping && hasRoutesAndTargets(m_relay); }

private:
    void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) override;
    void sendQuery(const Endpoint &agent, const RelayQuery &query) override;
    void resetCaller(const FlowKey &flow, std::uint32_t sequence) override;
    void refreshTargets() override { m_store.requestRefresh(); }
    void recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent) override;

    void onRoutes(const RouteTable &routes) override;
    void onTargetList(const std::vector<PublishedTarget> &targets, Duration grace) override;
    void onTarget(const PublishedTarget &target) override;
    void onWithdrawal(MemberId target, Duration grace) override;
    void onEvacuationList(const EvacuationList &list) override;
    void onEvacuation(const std::string &domain, const EvacuationStatement &statement) override;
    void onCurrent(TimePoint asOf, const PlatformRevision &revision) override;
    void onChecked(const PlatformRevision &revision, TimePoint asOf) override;
    void onReachable() override;

    void handleDatagram(const Endpoint &agent, std::span<const std::byte> datagram);
    void subscribeTo(const PublishedTarget &target);
    void subscribeToAgents();
    void queryPeers();
    void adoptAnswers(const std::vector<RelayKnowledge> &answers);
    void onIteration();

    EventQueue &m_events;
    EmulatedNetwork &m_network;
    Endpoint m_address;
    std::string m_name;
    std::string m_failureDomain;
    EmulatedProcess m_process;
    EmulatedStoreClient m_store;
    EntryRelay m_relay;
    RelayEncoder m_encoder;
    bool m_isStopping = false;
    EntryStart m_start;
    bool m_hasQueriedPeers = false;
    TimePoint m_tickedAt;
    TimePoint m_subscribedAt;
};

} // namespace Papaya::Emulator
