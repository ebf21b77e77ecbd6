#include "LibCoordination/RelayKnowledge.h"

#include "LibBalancing/RendezvousHash.h"
#include "LibBalancing/VmEntries.h"
#include "LibCoordination/EntryEvacuation.h"
#include "LibCoordination/ListEvidence.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Applies the targets of a snapshot to a directory that already has a list of targets. What the snapshot says of a target is
/// ignored if the platform has withdrawn the target, since the snapshot may be older than the withdrawal.
void mergeTargets(EntryRelay &entry, std::span<const PublishedTarget> targets, TimePoint now, EntryOutput &output)
{
    for (const auto &target : targets) {
        const auto known = entry.directory.targets.find(target.id);
        const bool isMissing = known == entry.directory.targets.end();
        if (!isMissing && known->second.withdrawnAt)
            continue;
        (void)onTargetPublished(entry, target, now, output);
        if (isMissing)
            (void)applyWithdrawn(entry.directory, target.id, now + entry.limits.relistingTime);
    }
}

/// Adds the targets that the peer's list no longer has, so that they are asked for earlier flows. Another target of the same service on the
/// same VM stands for them.
void importWithdrawn(EntryRelay &entry, std::span<const PublishedTarget> targets, TimePoint now, EntryOutput &output)
{
    for (const auto &target : targets) {
        const bool isServiceKnown = findServiceByAgent(entry.directory, target.agent, target.service, now) != nullptr;
        if (entry.directory.targets.contains(target.id) || isServiceKnown)
            continue;
        (void)onTargetPublished(entry, target, now, output);
        (void)applyWithdrawn(entry.directory, target.id, now);
    }
}

std::map<std::string, EvacuationStatement> exportEvacuations(const EntryRelay &entry)
{
    const auto &statements = entry.directory.evacuations.statements;
    return {statements.begin(), statements.end()};
}

bool isListed(const TargetRecord &record, TimePoint now)
{
    return !record.withdrawnAt || *record.withdrawnAt > now;
}

} // namespace

KnowledgeDigest knowledgeDigest(const EntryRelay &entry, TimePoint now)
{
    KnowledgeDigest digest;
    digest.routesVersion = entry.routes.version;
    for (const auto &[id, record] : entry.directory.targets) {
        if (isTerminated(entry.directory, record, now) || isRedundant(entry.directory, record, now))
            continue;
        const auto &target = record.published;
        const auto *state = !isListed(record, now) ? "/withdrawn" : target.isDraining ? "/draining" : "/ready";
        digest.hash ^= hashOf(std::to_string(id) + "/" + std::to_string(target.incarnation) + state);
    }
    for (const auto &[domain, statement] : entry.directory.evacuations.statements) {
        if (statement.isEvacuated)
            digest.hash ^= hashOf("evacuated/" + domain);
    }
    return digest;
}

std::optional<RelayKnowledge> answerKnowledgeRequest(const EntryRelay &entry, const std::optional<KnowledgeDigest> &digest, TimePoint now)
{
    if (!hasRoutesAndTargets(entry))
        return std::nullopt;
    const bool isSettled = !mayListLackTargets(entry, now);
    const bool hasNewerRoutes = digest && entry.routes.version > digest->routesVersion;
    if (digest && !hasNewerRoutes && (!isSettled || *digest == knowledgeDigest(entry, now)))
        return RelayKnowledge {{}, {}, {}, isSettled, exportEvacuations(entry)};
    return exportKnowledge(entry, now);
}

void finishPeerQueries(EntryRelay &entry)
{
    if (entry.peerEvidence == PeerEvidence::None)
        entry.peerEvidence = PeerEvidence::SystemStart;
}

std::optional<RelayKnowledge> exportKnowledge(const EntryRelay &entry, TimePoint now)
{
    if (!hasRoutesAndTargets(entry))
        return std::nullopt;
    RelayKnowledge knowledge;
    knowledge.isSettled = !mayListLackTargets(entry, now);
    knowledge.routes = entry.routes;
    knowledge.evacuations = exportEvacuations(entry);
    for (const auto &[id, record] : entry.directory.targets) {
        if (isTerminated(entry.directory, record, now) || isRedundant(entry.directory, record, now))
            continue;
        auto target = record.published;
        target.coldTime = std::max<Duration>(record.coldUntil - now, Duration(0));
        auto &list = isListed(record, now) ? knowledge.targets : knowledge.withdrawnTargets;
        list.push_back(std::move(target));
    }
    return knowledge;
}

bool importKnowledge(EntryRelay &entry, const RelayKnowledge &knowledge, TimePoint now, EntryOutput &output)
{
    if (knowledge.isSettled)
        entry.peerEvidence = PeerEvidence::Settled;
    for (const auto &[domain, statement] : knowledge.evacuations)
        onEvacuationStated(entry, domain, statement, EvacuationSource::Peer, now, output);
    if (knowledge.routes.version == 0)
        return false;
    const bool isApplied = setRoutes(entry, knowledge.routes, now);
    if (entry.hasTargetList) {
        mergeTargets(entry, knowledge.targets, now, output);
        importWithdrawn(entry, knowledge.withdrawnTargets, now, output);
        return isApplied;
    }
    for (const auto &target : knowledge.targets)
        (void)onTargetPublished(entry, target, now, output);
    importWithdrawn(entry, knowledge.withdrawnTargets, now, output);
    markTargetsListed(entry, now);
    return isApplied;
}

} // namespace Papaya
