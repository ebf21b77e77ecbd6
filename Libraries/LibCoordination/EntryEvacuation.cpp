#include "LibCoordination/EntryEvacuation.h"

#include "LibCoordination/ColdTerms.h"

#include "LibBalancing/VmEntries.h"

#include <algorithm>
#include <span>

namespace Papaya {

namespace {

/// Tells the agents of a domain's targets this daemon's statement on the domain.
void informAgents(const EntryRelay &entry, const std::string &domain, TimePoint now, EntryOutput &output)
{
    for (const auto &[id, record] : entry.directory.targets) {
        if (record.published.failureDomain == domain)
            output.sendToAgent(record.published.agent, makeSubscription(entry, record.published, now));
    }
}

void publishChanges(const EntryRelay &entry,
                    std::span<const EvacuationChange> changes,
                    EvacuationSource source,
                    TimePoint now,
                    EntryOutput &output)
{
    for (const auto &change : changes) {
        if (change.isStateChanged)
            output.recordEvacuation(change.domain, change.statement, source);
        informAgents(entry, change.domain, now, output);
    }
}

/// Returns the record of a service at an agent's address that new flows may be placed at, or nothing. Entries of other writers may name
/// the address with another failure domain.
const TargetRecord *findPlaceable(const EntryRelay &entry, const Endpoint &agent, ServiceId service, TimePoint now)
{
    const auto entries = entry.directory.targetsOfAgent.find(agent);
    if (entries == entry.directory.targetsOfAgent.end())
        return nullptr;
    for (const auto id : entries->second) {
        const auto &record = entry.directory.targets.at(id);
        if (record.published.service == service && isPlaceable(entry.directory, record, now))
            return &record;
    }
    return nullptr;
}

/// Returns the statement that a target's agent is told: nothing if the entry is not the one that counts for the VM, since it may name
/// another failure domain.
EvacuationStatement statementFor(const EntryRelay &entry, const PublishedTarget &target, TimePoint now)
{
    const auto record = entry.directory.targets.find(target.id);
    const bool isSetAside =
        record != entry.directory.targets.end() && record->second.sharesVm && !isPlaceable(entry.directory, record->second, now);
    return isSetAside ? EvacuationStatement {} : statementOn(entry.directory.evacuations, target.failureDomain);
}

enum class Location {
    InEvacuatedDomain,
    Outside,
};

/// Returns whether a service has a target at a location that would get new flows there if no domain were evacuated.
bool hasTarget(const EntryRelay &entry, ServiceId service, Location location, TimePoint now)
{
    const auto &targets = entry.directory.targets;
    return std::any_of(targets.begin(), targets.end(), [&](const auto &item) {
        const auto &record = item.second;
        const bool isInside = isEvacuated(entry.directory.evacuations, record.published.failureDomain);
        return record.published.service == service && isInside == (location == Location::InEvacuatedDomain)
               && isPlaceable(entry.directory, record, now);
    });
}

} // namespace

std::string_view evacuationSourceName(EvacuationSource source)
{
    switch (source) {
    case EvacuationSource::Platform:
        return "platform";
    case EvacuationSource::Peer:
        return "peer";
    case EvacuationSource::Agent:
        return "agent";
    }
    return "unknown";
}

void onEvacuationsListed(EntryRelay &entry, const EvacuationList &list, TimePoint now, EntryOutput &output)
{
    publishChanges(entry, applyEvacuationList(entry.directory.evacuations, list, now), EvacuationSource::Platform, now, output);
}

void onEvacuationStated(EntryRelay &entry,
                        const std::string &domain,
                        const EvacuationStatement &statement,
                        EvacuationSource source,
                        TimePoint now,
                        EntryOutput &output)
{
    publishChanges(entry, applyStatement(entry.directory.evacuations, domain, statement, now), source, now, output);
}

void onEvacuationNotice(EntryRelay &entry, const Endpoint &agent, const RelayNotice &notice, TimePoint now, EntryOutput &output)
{
    const auto *record = findPlaceable(entry, agent, notice.service, now);
    if (record == nullptr)
        return;
    const auto &target = record->published;
    onEvacuationStated(entry, target.failureDomain, notice.evacuation, EvacuationSource::Agent, now, output);
    if (isNewer(statementOn(entry.directory.evacuations, target.failureDomain), notice.evacuation))
        output.sendToAgent(agent, makeSubscription(entry, target, now));
}

void settleEvacuationsOfEntry(EntryRelay &entry, TimePoint now, EntryOutput &output)
{
    publishChanges(entry, settleEvacuations(entry.directory.evacuations, now), EvacuationSource::Platform, now, output);
}

RelayEnvelope makeSubscription(const EntryRelay &entry, const PublishedTarget &target, TimePoint now)
{
    RelayEnvelope envelope;
    envelope.service = target.service;
    envelope.purpose = EnvelopePurpose::Subscribe;
    envelope.targetIncarnation = announcedIncarnation(entry.directory, target, now);
    envelope.evacuation = statementFor(entry, target, now);
    addColdTerms(entry, target, now, envelope);
    return envelope;
}

bool isEvacuatedAt(const EntryRelay &entry, const Endpoint &agent, ServiceId service, TimePoint now)
{
    const auto *record = findPlaceable(entry, agent, service, now);
    if (record == nullptr)
        record = findServiceByAgent(entry.directory, agent, service, now);
    return record != nullptr && isEvacuated(entry.directory.evacuations, record->published.failureDomain);
}

bool isNewFlowAtEvacuated(const EntryRelay &entry, const EntryFlow &flow, const PacketSummary &summary, TimePoint now)
{
    const bool isOtherSyn = flow.isFinished || (flow.synSequence && *flow.synSequence != summary.sequence);
    if (!summary.isInitialSyn() || !isOtherSyn)
        return false;
    if (flow.stage == EntryFlowStage::Open)
        return isEvacuatedAt(entry, flow.agent, flow.service, now);
    return flow.stage == EntryFlowStage::Opening
           && std::any_of(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) {
                  return isEvacuatedAt(entry, candidate.agent, candidate.service, now);
              });
}

RelayReason reasonWithoutTarget(const EntryRelay &entry, const FlowKey &key, RelayReason fallback, TimePoint now)
{
    const auto route = entry.routes.routes.find(key.service);
    if (route == entry.routes.routes.end())
        return fallback;
    const auto &services = route->second.services;
    const auto hasTargetOfRoute = [&](Location location) {
        return std::any_of(services.begin(), services.end(), [&](const WeightedService &service) {
            return service.weight > 0 && hasTarget(entry, service.service, location, now);
        });
    };
    const bool areAllEvacuated = hasTargetOfRoute(Location::InEvacuatedDomain) && !hasTargetOfRoute(Location::Outside);
    return areAllEvacuated ? RelayReason::Evacuated : fallback;
}

} // namespace Papaya
