#include "LibBalancing/TargetDirectory.h"

#include "LibBalancing/LoadEstimate.h"
#include "LibBalancing/VmEntries.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace Papaya {

namespace {

bool isSameIncarnation(const PublishedTarget &existing, const PublishedTarget &next)
{
    if (existing.service != next.service || existing.application != next.application)
        return false;
    return existing.incarnation == 0 || next.incarnation == 0 || existing.incarnation == next.incarnation;
}

/// Returns the record of a run of a target that is read for the first time.
TargetRecord makeRecord(const PublishedTarget &target, TimePoint now)
{
    TargetRecord record;
    record.published = target;
    record.coldUntil = now + target.coldTime;
    record.firstReadAt = now;
    record.wasColdWhenFirstRead = target.coldTime > Duration(0);
    return record;
}

/// Marks the entries at an agent's address as sharing their VM or not.
void updateSharing(TargetDirectory &directory, const Endpoint &agent)
{
    const auto &entries = directory.targetsOfAgent.at(agent);
    for (const auto id : entries)
        directory.targets.at(id).sharesVm = entries.size() > 1;
}

/// Calls a function for each record at an agent's address.
template <typename Function>
void forEachAt(TargetDirectory &directory, const Endpoint &agent, Function function)
{
    const auto entries = directory.targetsOfAgent.find(agent);
    if (entries == directory.targetsOfAgent.end())
        return;
    for (const auto id : entries->second)
        function(directory.targets.at(id));
}

/// Adds a record under its entry's id. The id has none yet.
TargetRecord &insertRecord(TargetDirectory &directory, TargetRecord record)
{
    const auto id = record.published.id;
    const auto agent = record.published.agent;
    auto &inserted = directory.targets.insert_or_assign(id, std::move(record)).first->second;
    directory.targetsOfAgent[agent].push_back(id);
    updateSharing(directory, agent);
    return inserted;
}

/// Removes the record of an id and returns it.
TargetRecord extractRecord(TargetDirectory &directory, MemberId id)
{
    auto record = std::move(directory.targets.extract(id).mapped());
    const auto entries = directory.targetsOfAgent.find(record.published.agent);
    std::erase(entries->second, id);
    if (entries->second.empty())
        directory.targetsOfAgent.erase(entries);
    else
        updateSharing(directory, record.published.agent);
    return record;
}

/// Returns the id under which the record of an entry's former VM and service is kept after the entry has changed one of them. It is the
/// same at every entry daemon.
MemberId formerId(const PublishedTarget &target)
{
    return hashOf("former/" + std::to_string(target.id) + "/" + toString(target.agent) + "/" + std::to_string(target.service));
}

bool isAtSameVm(const PublishedTarget &one, const PublishedTarget &other)
{
    return one.agent == other.agent && one.service == other.service;
}

/// Returns whether a publication is older than another one of the same target. Later revisions of one era are newer. The platform may
/// return to older publications in the next era; the start of the target and the number of its report show which one is older then.
bool isOlderPublication(const PublishedTarget &next, const PublishedTarget &known)
{
    const bool areRevisionsKnown = next.revision.number > 0 && known.revision.number > 0;
    if (!areRevisionsKnown)
        return false;
    if (next.revision.era == known.revision.era && next.revision.number != known.revision.number)
        return next.revision.number < known.revision.number;
    if (next.incarnation == 0 || known.incarnation == 0)
        return false;
    if (next.incarnation != known.incarnation)
        return next.incarnation < known.incarnation;
    return next.sequence && known.sequence && *next.sequence < *known.sequence;
}

/// Returns the earlier one of two revisions, or the known one. Eras follow one another.
PlatformRevision earlierRevision(const PlatformRevision &one, const PlatformRevision &other)
{
    if (one.number == 0 || other.number == 0)
        return one.number == 0 ? other : one;
    return std::tie(one.era, one.number) < std::tie(other.era, other.number) ? one : other;
}

/// Keeps what is known about a target whose older publication was read again, since the platform was restored from a copy. Later
/// revisions of that era are newer than the known publication.
void confirmListing(TargetRecord &record, const PublishedTarget &older)
{
    if (older.incarnation == record.published.incarnation)
        record.published.listingRevision = earlierRevision(record.published.listingRevision, older.listingRevision);
    if (older.revision.era <= record.published.revision.era)
        return;
    record.withdrawnAt.reset();
    record.published.revision = older.revision;
}

/// Returns when a target's address will have reached all entry daemons. Agents are found by their address, so a new run or
/// another target of the same service at the same address inherits the time of the previous one.
TimePoint propagationEnd(const TargetDirectory &directory, const PublishedTarget &next, TimePoint now)
{
    auto end = now + directory.limits.propagationTime;
    const auto entries = directory.targetsOfAgent.find(next.agent);
    if (entries == directory.targetsOfAgent.end())
        return end;
    for (const auto id : entries->second) {
        const auto &record = directory.targets.at(id);
        if (record.published.service == next.service)
            end = std::min(end, record.propagatedAt);
    }
    return end;
}

/// Returns whether an agent has left requests unanswered for a time, among them enough queries, according to the messages that
/// have been read.
bool hasLeftUnanswered(const TargetDirectory &directory, const TargetRecord &record, Duration time)
{
    if (!record.unanswered || record.unanswered->queryCount < directory.limits.minimumUnansweredQueries)
        return false;
    auto timeout = time;
    if (!record.lastMessageAt)
        timeout = std::max(timeout, directory.limits.unheardAgentTimeout);
    if (record.load.state == TargetState::AgentRestarting)
        timeout = std::max(timeout, directory.limits.plannedRestartTimeout);
    return directory.messagesReadUntil - record.unanswered->since >= timeout;
}

/// Updates the record of a target whose VM and service are as before.
PublicationEffect updateTarget(TargetDirectory &directory, TargetRecord &record, PublishedTarget target, TimePoint now)
{
    const auto propagatedAt = propagationEnd(directory, target, now);
    const bool hasSameIncarnation = isSameIncarnation(record.published, target);
    // An entry that expired and was written again has a new listing revision, although flows may have led to the target before.
    if (hasSameIncarnation)
        target.listingRevision = earlierRevision(record.published.listingRevision, target.listingRevision);
    const bool isUnchanged = record.published == target && !record.withdrawnAt;
    if (!hasSameIncarnation) {
        auto next = makeRecord(target, now);
        next.lastMessageAt = record.lastMessageAt;
        next.sharesVm = record.sharesVm;
        record = std::move(next);
    }
    record.coldUntil = now + target.coldTime;
    record.published = std::move(target);
    record.propagatedAt = propagatedAt;
    record.withdrawnAt.reset();
    if (isUnchanged)
        return PublicationEffect::Unchanged;
    return hasSameIncarnation ? PublicationEffect::Updated : PublicationEffect::Replaced;
}

/// Adds the record of an entry that is read for the first time, or again on a VM and for a service that it had before.
PublicationEffect addTarget(TargetDirectory &directory, PublishedTarget target, TimePoint now)
{
    if (directory.targets.contains(formerId(target))) {
        auto former = extractRecord(directory, formerId(target));
        former.published.id = target.id;
        return updateTarget(directory, insertRecord(directory, std::move(former)), std::move(target), now);
    }
    auto record = makeRecord(target, now);
    record.propagatedAt = propagationEnd(directory, target, now);
    const auto *other = findByAgent(std::as_const(directory), target.agent);
    const bool isVmKnown = other != nullptr;
    if (isVmKnown)
        record.unanswered = other->unanswered;
    insertRecord(directory, std::move(record));
    return isVmKnown ? PublicationEffect::Replaced : PublicationEffect::Added;
}

/// Keeps the record of the VM and service that an entry named before it changed one of them, as withdrawn: the target there may still hold
/// flows, also if the change is another writer's.
void keepFormer(TargetDirectory &directory, TargetRecord record, TimePoint now)
{
    record.published.id = formerId(record.published);
    if (directory.targets.contains(record.published.id))
        (void)extractRecord(directory, record.published.id);
    record.withdrawnAt = std::min(record.withdrawnAt.value_or(now), now);
    insertRecord(directory, std::move(record));
}

} // namespace

PublicationEffect applyPublished(TargetDirectory &directory, PublishedTarget target, TimePoint now)
{
    const auto known = directory.targets.find(target.id);
    if (known == directory.targets.end())
        return addTarget(directory, std::move(target), now);
    auto &record = known->second;
    if (isOlderPublication(target, record.published)) {
        confirmListing(record, target);
        return PublicationEffect::Unchanged;
    }
    if (isAtSameVm(record.published, target))
        return updateTarget(directory, record, std::move(target), now);
    keepFormer(directory, extractRecord(directory, target.id), now);
    return addTarget(directory, std::move(target), now);
}

bool applyWithdrawn(TargetDirectory &directory, MemberId target, TimePoint withdrawnAt)
{
    const auto existing = directory.targets.find(target);
    if (existing == directory.targets.end() || existing->second.withdrawnAt)
        return false;
    existing->second.withdrawnAt = withdrawnAt;
    return true;
}

void markFirstListPropagated(TargetDirectory &directory, TimePoint now)
{
    for (auto &[id, record] : directory.targets) {
        if (record.coldUntil <= now)
            record.propagatedAt = now;
    }
}

bool isMostlyPropagated(const TargetDirectory &directory, ServiceId service, TimePoint now)
{
    std::size_t propagated = 0;
    std::size_t total = 0;
    for (const auto &[id, record] : directory.targets) {
        if (record.published.service != service || !isPlaceable(directory, record, now))
            continue;
        ++total;
        propagated += record.propagatedAt <= now ? 1 : 0;
    }
    return total > 0 && propagated * 2 >= total;
}

bool mayTakeNewFlows(const TargetRecord &record, TimePoint now)
{
    const bool isWithdrawn = record.withdrawnAt && *record.withdrawnAt <= now;
    return !isWithdrawn && !record.published.isDraining;
}

void applyLoad(TargetDirectory &directory, const Endpoint &agent, ServiceId service, const TargetLoad &load, TimePoint now)
{
    forEachAt(directory, agent, [&](TargetRecord &record) {
        record.unanswered.reset();
        record.isDisownedByAgent = record.published.service != service;
        if (record.isDisownedByAgent)
            return;
        keepLoadOverAgentRestart(record, load, now);
        record.load = load;
        record.lastMessageAt = now;
        record.placedSinceReport = 0;
    });
}

void startAnswerTimeout(TargetDirectory &directory, const Endpoint &agent, TimePoint now)
{
    forEachAt(directory, agent, [&](TargetRecord &record) {
        if (!record.unanswered)
            record.unanswered = {now, 0, {}};
    });
}

void recordQuery(TargetDirectory &directory, const Endpoint &agent, TimePoint now)
{
    startAnswerTimeout(directory, agent, now);
    forEachAt(directory, agent, [&](TargetRecord &record) {
        if (!isQueryDue(directory, record, now))
            return;
        ++record.unanswered->queryCount;
        record.unanswered->lastQueryAt = now;
    });
}

bool isQueryDue(const TargetDirectory &directory, const TargetRecord &record, TimePoint now)
{
    if (!record.unanswered)
        return false;
    return record.unanswered->queryCount == 0 || now - record.unanswered->lastQueryAt >= directory.limits.queryInterval;
}

void restartAnswerTimeouts(TargetDirectory &directory, TimePoint now)
{
    for (auto &[id, record] : directory.targets) {
        if (record.unanswered)
            record.unanswered = {now, 0, {}};
    }
}

bool isUnreachable(const TargetDirectory &directory, const TargetRecord &record)
{
    return hasLeftUnanswered(directory, record, directory.limits.answerTimeout);
}

void markSuspect(TargetDirectory &directory, const Endpoint &agent, TimePoint now)
{
    forEachAt(directory, agent, [&](TargetRecord &record) {
        if (record.suspectUntil > now)
            return;
        const auto suspicionTime = directory.limits.initialSuspicionTime * (1 << std::min(record.suspicions, 4));
        record.suspectUntil = now + std::min<Duration>(suspicionTime, directory.limits.maximumSuspicionTime);
        ++record.suspicions;
    });
}

void clearSuspicion(TargetDirectory &directory, const Endpoint &agent)
{
    forEachAt(directory, agent, [](TargetRecord &record) {
        record.suspectUntil = {};
        record.suspicions = 0;
    });
}

bool isTerminated(const TargetDirectory &directory, const TargetRecord &record, TimePoint now)
{
    // A draining target whose port is closed does not start again. A new run would be published as a new incarnation.
    if (record.published.isDraining && record.load.state == TargetState::Closed)
        return true;
    if (!record.withdrawnAt || *record.withdrawnAt > now)
        return false;
    if (record.isDisownedByAgent)
        return true;
    if (now - *record.withdrawnAt < directory.limits.agentSilenceTimeout)
        return false;
    return record.load.state == TargetState::Closed || hasLeftUnanswered(directory, record, directory.limits.agentSilenceTimeout);
}

void removeWithdrawn(TargetDirectory &directory, TimePoint now)
{
    std::vector<MemberId> expired;
    for (const auto &[id, record] : directory.targets) {
        if (record.withdrawnAt && now - *record.withdrawnAt >= directory.limits.withdrawnTargetRetention)
            expired.push_back(id);
    }
    for (const auto id : expired)
        (void)extractRecord(directory, id);
}

} // namespace Papaya
