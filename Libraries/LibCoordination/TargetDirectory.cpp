#include "LibCoordination/TargetDirectory.h"

#include <algorithm>
#include <utility>

namespace Papaya {

namespace {

bool isSameRun(const PublishedTarget &known, const PublishedTarget &next)
{
    if (known.service != next.service || known.application != next.application)
        return false;
    return known.incarnation == 0 || next.incarnation == 0 || known.incarnation == next.incarnation;
}

/// Returns whether `next` takes the place of another live target on the same VM.
bool displacesAnother(const TargetDirectory &directory, const PublishedTarget &next)
{
    const auto known = directory.targetOfAgent.find(next.agent);
    return known != directory.targetOfAgent.end() && known->second != next.id;
}

/// Returns whether what is known of the VM's present target is newer than `next`.
bool isOutdated(const TargetDirectory &directory, const PublishedTarget &next)
{
    const auto known = directory.targetOfAgent.find(next.agent);
    if (known == directory.targetOfAgent.end() || known->second == next.id)
        return false;
    const auto record = directory.targets.find(known->second);
    if (record == directory.targets.end() || record->second.departedAt)
        return false;
    return next.incarnation != 0 && record->second.published.incarnation > next.incarnation;
}

/// Returns from when on a target counts as known everywhere. A new run or another target of the same service at the same address
/// is as well known as the former one, since agents are found by their address.
TimePoint settlingTime(const TargetDirectory &directory, const PublishedTarget &next, TimePoint now)
{
    const auto unknown = now + directory.limits.settleTime;
    const auto known = directory.targetOfAgent.find(next.agent);
    if (known == directory.targetOfAgent.end())
        return unknown;
    const auto former = directory.targets.find(known->second);
    const bool isSameService = former != directory.targets.end() && former->second.published.service == next.service;
    return isSameService ? std::min(former->second.settledAt, unknown) : unknown;
}

} // namespace

PublicationEffect applyPublished(TargetDirectory &directory, const PublishedTarget &target, TimePoint now)
{
    if (isOutdated(directory, target))
        return PublicationEffect::Unchanged;
    const auto settledAt = settlingTime(directory, target, now);
    const bool isDisplacing = displacesAnother(directory, target);
    if (isDisplacing) {
        const auto former = directory.targets.find(directory.targetOfAgent[target.agent]);
        if (former != directory.targets.end())
            directory.targets.erase(former);
    }
    directory.targetOfAgent[target.agent] = target.id;
    const auto known = directory.targets.find(target.id);
    if (known == directory.targets.end()) {
        TargetRecord record;
        record.published = target;
        record.coldUntil = now + target.coldTime;
        record.settledAt = settledAt;
        directory.targets.emplace(target.id, std::move(record));
        return isDisplacing ? PublicationEffect::Replaced : PublicationEffect::Added;
    }
    auto &record = known->second;
    const bool isSame = isSameRun(record.published, target);
    const bool isUnchanged = record.published == target && !record.departedAt;
    if (!isSame) {
        const auto heardAt = record.heardAt;
        record = TargetRecord {};
        record.heardAt = heardAt;
    }
    record.published = target;
    record.coldUntil = now + target.coldTime;
    record.settledAt = settledAt;
    record.departedAt.reset();
    if (isUnchanged)
        return PublicationEffect::Unchanged;
    return isSame ? PublicationEffect::Updated : PublicationEffect::Replaced;
}

bool applyWithdrawn(TargetDirectory &directory, MemberId target, TimePoint departsAt)
{
    const auto known = directory.targets.find(target);
    if (known == directory.targets.end() || known->second.departedAt)
        return false;
    known->second.departedAt = departsAt;
    return true;
}

void settleFirstList(TargetDirectory &directory, TimePoint now)
{
    for (auto &[id, record] : directory.targets) {
        if (record.coldUntil <= now)
            record.settledAt = now;
    }
}

bool isMostlySettled(const TargetDirectory &directory, ServiceId service, TimePoint now)
{
    std::size_t settled = 0;
    std::size_t total = 0;
    for (const auto &[id, record] : directory.targets) {
        if (record.published.service != service || !mayTakeNewFlows(record, now))
            continue;
        ++total;
        settled += record.settledAt <= now ? 1 : 0;
    }
    return total > 0 && settled * 2 >= total;
}

bool mayTakeNewFlows(const TargetRecord &record, TimePoint now)
{
    const bool hasDeparted = record.departedAt && *record.departedAt <= now;
    return !hasDeparted && !record.published.isDraining;
}

void applyLoad(TargetDirectory &directory, const Endpoint &agent, ServiceId service, const TargetLoad &load, TimePoint now)
{
    auto *record = findByAgent(directory, agent);
    if (record == nullptr)
        return;
    record->askedAt.reset();
    if (record->published.service != service)
        return;
    record->load = load;
    record->heardAt = now;
    record->placedSinceReport = 0;
}

void noteAsked(TargetDirectory &directory, const Endpoint &agent, TimePoint now)
{
    auto *record = findByAgent(directory, agent);
    if (record != nullptr && !record->askedAt)
        record->askedAt = now;
}

void waitAnew(TargetDirectory &directory, TimePoint now)
{
    for (auto &[id, record] : directory.targets) {
        if (record.askedAt)
            record.askedAt = now;
    }
}

bool isUnreachable(const TargetDirectory &directory, const TargetRecord &record, TimePoint now)
{
    const bool hasDeparted = record.departedAt && *record.departedAt <= now;
    const auto limit = hasDeparted ? directory.limits.departedAnswerTime : directory.limits.answerTime;
    return record.askedAt && now - *record.askedAt >= limit;
}

void suspect(TargetDirectory &directory, const Endpoint &agent, TimePoint now)
{
    auto *record = findByAgent(directory, agent);
    if (record == nullptr || record->suspectUntil > now)
        return;
    const auto pause = directory.limits.firstSuspicion * (1 << std::min(record->suspicions, 4));
    record->suspectUntil = now + std::min<Duration>(pause, directory.limits.longestSuspicion);
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

bool isGone(const TargetDirectory &directory, const TargetRecord &record, TimePoint now)
{
    // A target that was leaving and whose port is closed does not come back; a new run would be published as such.
    if (record.published.isDraining && record.load.state == TargetState::Closed)
        return true;
    if (!record.departedAt || now - *record.departedAt < directory.limits.agentSilence)
        return false;
    const bool isAgentSilent = !record.heardAt || now - *record.heardAt >= directory.limits.agentSilence;
    return isAgentSilent || record.load.state != TargetState::Answering;
}

void forgetDeparted(TargetDirectory &directory, TimePoint now)
{
    for (auto record = directory.targets.begin(); record != directory.targets.end();) {
        const auto current = record++;
        if (!current->second.departedAt || now - *current->second.departedAt < directory.limits.departedTime)
            continue;
        const auto agent = directory.targetOfAgent.find(current->second.published.agent);
        if (agent != directory.targetOfAgent.end() && agent->second == current->first)
            directory.targetOfAgent.erase(agent);
        directory.targets.erase(current);
    }
}

} // namespace Papaya
