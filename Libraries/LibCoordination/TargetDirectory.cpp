#include "LibCoordination/TargetDirectory.h"

#include <algorithm>
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

/// Returns whether `next` replaces another target on the same VM.
bool replacesAnother(const TargetDirectory &directory, const PublishedTarget &next)
{
    const auto existing = directory.targetOfAgent.find(next.agent);
    return existing != directory.targetOfAgent.end() && existing->second != next.id;
}

/// Returns whether the directory has another target on the VM of `next` that is newer than `next`.
bool isOlderThanSuccessor(const TargetDirectory &directory, const PublishedTarget &next, TimePoint now)
{
    const auto existing = directory.targetOfAgent.find(next.agent);
    if (existing == directory.targetOfAgent.end() || existing->second == next.id)
        return false;
    const auto record = directory.targets.find(existing->second);
    if (record == directory.targets.end())
        return false;
    const auto &known = record->second;
    const bool isWithdrawn = known.withdrawnAt && (*known.withdrawnAt <= now || isLaterInSameEra(next.revision, known.published.revision));
    // An entry without a start of the target is another writer's, or an older one.
    return !isWithdrawn && known.published.incarnation > next.incarnation;
}

/// Returns whether a publication is older than another one of the same target. Later revisions of one era are newer. The platform may
/// return to older publications in the next era; the start of the target and the number of its report show which one is older then.
bool isOlderPublication(const PublishedTarget &next, const PublishedTarget &known)
{
    const bool areRevisionsKnown = next.revision.number > 0 && known.revision.number > 0;
    if (!areRevisionsKnown || isLaterInSameEra(next.revision, known.revision))
        return false;
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
    record.withdrawnAt.reset();
    if (older.revision.era > record.published.revision.era)
        record.published.revision = older.revision;
    if (older.incarnation == record.published.incarnation)
        record.published.listingRevision = earlierRevision(record.published.listingRevision, older.listingRevision);
}

/// Returns when a target's address will have reached all entry daemons. Agents are found by their address, so a new run or
/// another target of the same service at the same address inherits the time of the previous one.
TimePoint propagationEnd(const TargetDirectory &directory, const PublishedTarget &next, TimePoint now)
{
    const auto fullDelayEnd = now + directory.limits.propagationTime;
    const auto existing = directory.targetOfAgent.find(next.agent);
    if (existing == directory.targetOfAgent.end())
        return fullDelayEnd;
    const auto former = directory.targets.find(existing->second);
    const bool isSameService = former != directory.targets.end() && former->second.published.service == next.service;
    return isSameService ? std::min(former->second.propagatedAt, fullDelayEnd) : fullDelayEnd;
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

} // namespace

PublicationEffect applyPublished(TargetDirectory &directory, PublishedTarget target, TimePoint now)
{
    const auto known = directory.targets.find(target.id);
    if (known != directory.targets.end() && isOlderPublication(target, known->second.published)) {
        confirmListing(known->second, target);
        return PublicationEffect::Unchanged;
    }
    if (isOlderThanSuccessor(directory, target, now))
        return PublicationEffect::Unchanged;
    const auto propagatedAt = propagationEnd(directory, target, now);
    const bool isReplacing = replacesAnother(directory, target);
    if (isReplacing) {
        const auto former = directory.targets.find(directory.targetOfAgent[target.agent]);
        if (former != directory.targets.end())
            directory.targets.erase(former);
    }
    directory.targetOfAgent[target.agent] = target.id;
    const auto existing = directory.targets.find(target.id);
    if (existing == directory.targets.end()) {
        auto record = makeRecord(target, now);
        record.propagatedAt = propagatedAt;
        directory.targets.emplace(target.id, std::move(record));
        return isReplacing ? PublicationEffect::Replaced : PublicationEffect::Added;
    }
    auto &record = existing->second;
    const bool hasSameIncarnation = isSameIncarnation(record.published, target);
    // An entry that expired and was written again has a new listing revision, although flows may have led to the target before.
    if (hasSameIncarnation)
        target.listingRevision = earlierRevision(record.published.listingRevision, target.listingRevision);
    const bool isUnchanged = record.published == target && !record.withdrawnAt;
    if (!hasSameIncarnation) {
        const auto lastMessageAt = record.lastMessageAt;
        record = makeRecord(target, now);
        record.lastMessageAt = lastMessageAt;
    }
    record.coldUntil = now + target.coldTime;
    record.published = std::move(target);
    record.propagatedAt = propagatedAt;
    record.withdrawnAt.reset();
    if (isUnchanged)
        return PublicationEffect::Unchanged;
    return hasSameIncarnation ? PublicationEffect::Updated : PublicationEffect::Replaced;
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
        if (record.published.service != service || !mayTakeNewFlows(record, now))
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
    auto *record = findByAgent(directory, agent);
    if (record == nullptr)
        return;
    record->unanswered.reset();
    if (record->published.service != service)
        return;
    record->load = load;
    record->lastMessageAt = now;
    record->placedSinceReport = 0;
}

void startAnswerTimeout(TargetDirectory &directory, const Endpoint &agent, TimePoint now)
{
    auto *record = findByAgent(directory, agent);
    if (record != nullptr && !record->unanswered)
        record->unanswered = {now, 0, {}};
}

void recordQuery(TargetDirectory &directory, const Endpoint &agent, TimePoint now)
{
    startAnswerTimeout(directory, agent, now);
    auto *record = findByAgent(directory, agent);
    if (record == nullptr || !isQueryDue(directory, *record, now))
        return;
    ++record->unanswered->queryCount;
    record->unanswered->lastQueryAt = now;
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
    auto *record = findByAgent(directory, agent);
    if (record == nullptr || record->suspectUntil > now)
        return;
    const auto suspicionTime = directory.limits.initialSuspicionTime * (1 << std::min(record->suspicions, 4));
    record->suspectUntil = now + std::min<Duration>(suspicionTime, directory.limits.maximumSuspicionTime);
    ++record->suspicions;
}

void clearSuspicion(TargetDirectory &directory, const Endpoint &agent)
{
    auto *record = findByAgent(directory, agent);
    if (record == nullptr)
        return;
    record->suspectUntil = {};
    record->suspicions = 0;
}

TargetRecord *findByAgent(TargetDirectory &directory, const Endpoint &agent)
{
    return const_cast<TargetRecord *>(findByAgent(std::as_const(directory), agent));
}

const TargetRecord *findByAgent(const TargetDirectory &directory, const Endpoint &agent)
{
    const auto target = directory.targetOfAgent.find(agent);
    if (target == directory.targetOfAgent.end())
        return nullptr;
    const auto record = directory.targets.find(target->second);
    return record == directory.targets.end() ? nullptr : &record->second;
}

bool isTerminated(const TargetDirectory &directory, const TargetRecord &record, TimePoint now)
{
    // A draining target whose port is closed does not start again. A new run would be published as a new incarnation.
    if (record.published.isDraining && record.load.state == TargetState::Closed)
        return true;
    if (!record.withdrawnAt || now - *record.withdrawnAt < directory.limits.agentSilenceTimeout)
        return false;
    return record.load.state == TargetState::Closed || hasLeftUnanswered(directory, record, directory.limits.agentSilenceTimeout);
}

void removeWithdrawn(TargetDirectory &directory, TimePoint now)
{
    for (auto record = directory.targets.begin(); record != directory.targets.end();) {
        const auto current = record++;
        if (!current->second.withdrawnAt || now - *current->second.withdrawnAt < directory.limits.withdrawnTargetRetention)
            continue;
        const auto agent = directory.targetOfAgent.find(current->second.published.agent);
        if (agent != directory.targetOfAgent.end() && agent->second == current->first)
            directory.targetOfAgent.erase(agent);
        directory.targets.erase(current);
    }
}

} // namespace Papaya
