#include "LibBalancing/VmEntries.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Papaya {

namespace {

/// Returns the entries at an agent's address.
std::span<const MemberId> entriesAt(const TargetDirectory &directory, const Endpoint &agent)
{
    const auto entries = directory.targetsOfAgent.find(agent);
    return entries == directory.targetsOfAgent.end() ? std::span<const MemberId> {} : entries->second;
}

/// Returns whether a predicate holds for another entry of the same service on the VM of a record.
template <typename Predicate>
bool isAnyOfSameService(const TargetDirectory &directory, const TargetRecord &record, Predicate predicate)
{
    if (!record.sharesVm)
        return false;
    const auto entries = entriesAt(directory, record.published.agent);
    return std::any_of(entries.begin(), entries.end(), [&](MemberId id) {
        const auto &other = directory.targets.at(id);
        return id != record.published.id && other.published.service == record.published.service && predicate(other);
    });
}

bool isWithdrawn(const TargetRecord &record, TimePoint now)
{
    return record.withdrawnAt && *record.withdrawnAt <= now;
}

/// Returns whether one of two entries describes the newer run. An entry without a start is another writer's, or an older one.
bool isNewerRun(const PublishedTarget &one, const PublishedTarget &other)
{
    const auto order = [](const PublishedTarget &target) {
        return std::tie(target.incarnation, target.listingRevision.era, target.listingRevision.number, target.id);
    };
    return order(one) > order(other);
}

/// Returns whether a newer run supersedes an older one. One whose entry was withdrawn does not, nor one whose withdrawal is pending if the
/// other entry was written later: the clock of the VM was set back then.
bool supersedes(const TargetRecord &newer, const TargetRecord &older, TimePoint now)
{
    if (newer.published.application != older.published.application || !isNewerRun(newer.published, older.published))
        return false;
    return !isWithdrawn(newer, now) && !(newer.withdrawnAt && isLaterInSameEra(older.published.revision, newer.published.revision));
}

/// Returns whether one of two entries was listed first. One without a start is another writer's, and comes last.
bool wasListedBefore(const PublishedTarget &one, const PublishedTarget &other)
{
    const auto order = [](const PublishedTarget &target) {
        return std::make_tuple(target.incarnation == 0, target.listingRevision.era, target.listingRevision.number, target.id);
    };
    return order(one) < order(other);
}

/// Returns whether another entry, with a different endpoint of the same service on the same VM, keeps a record from getting new flows. One
/// of the two is another writer's, and nothing shows which: the one that drains counts, otherwise the one that was listed first.
bool precludes(const TargetRecord &other, const TargetRecord &record, TimePoint now)
{
    if (other.published.application == record.published.application || isWithdrawn(other, now))
        return false;
    if (other.published.incarnation == 0 && record.published.incarnation != 0)
        return false;
    return other.published.isDraining || wasListedBefore(other.published, record.published);
}

} // namespace

bool isSuperseded(const TargetDirectory &directory, const TargetRecord &record, TimePoint now)
{
    return isAnyOfSameService(directory, record, [&](const TargetRecord &other) { return supersedes(other, record, now); });
}

bool isPlaceable(const TargetDirectory &directory, const TargetRecord &record, TimePoint now)
{
    if (!mayTakeNewFlows(record, now))
        return false;
    return !isAnyOfSameService(
        directory, record, [&](const TargetRecord &other) { return supersedes(other, record, now) || precludes(other, record, now); });
}

bool isRedundant(const TargetDirectory &directory, const TargetRecord &record, TimePoint now)
{
    if (!isWithdrawn(record, now))
        return false;
    return isAnyOfSameService(directory, record, [&](const TargetRecord &other) { return !isWithdrawn(other, now); });
}

Incarnation announcedIncarnation(const TargetDirectory &directory, const PublishedTarget &target, TimePoint now)
{
    auto earliest = target.incarnation;
    for (const auto id : entriesAt(directory, target.agent)) {
        const auto &record = directory.targets.at(id);
        const auto incarnation = record.published.incarnation;
        if (record.published.service != target.service || incarnation == 0 || isWithdrawn(record, now))
            continue;
        if (!isSuperseded(directory, record, now))
            earliest = earliest == 0 ? incarnation : std::min(earliest, incarnation);
    }
    return earliest;
}

TargetRecord *findByAgent(TargetDirectory &directory, const Endpoint &agent)
{
    return const_cast<TargetRecord *>(findByAgent(std::as_const(directory), agent));
}

const TargetRecord *findByAgent(const TargetDirectory &directory, const Endpoint &agent)
{
    const TargetRecord *found = nullptr;
    for (const auto id : entriesAt(directory, agent)) {
        const auto &record = directory.targets.at(id);
        if (found == nullptr || record.lastMessageAt > found->lastMessageAt
            || (record.lastMessageAt == found->lastMessageAt && isNewerRun(record.published, found->published)))
            found = &record;
    }
    return found;
}

const TargetRecord *findServiceByAgent(const TargetDirectory &directory, const Endpoint &agent, ServiceId service, TimePoint now)
{
    const TargetRecord *found = nullptr;
    for (const auto id : entriesAt(directory, agent)) {
        const auto &record = directory.targets.at(id);
        if (record.published.service != service)
            continue;
        if (!isTerminated(directory, record, now))
            return &record;
        found = &record;
    }
    return found;
}

} // namespace Papaya
