#include "LibBalancing/Evacuation.h"

#include <algorithm>
#include <tuple>

namespace Papaya {

namespace {

/// After a restore of the platform from an older copy, operators and writers get this long to write again what the copy lacks. It is the
/// time that targets get to be listed again.
constexpr Duration RestoreGrace {2'500};

bool isEarlier(const PlatformRevision &one, const PlatformRevision &other)
{
    return std::tie(one.era, one.number) < std::tie(other.era, other.number);
}

/// Returns whether the last full read ends an evacuation: the read is newer than the statement and lacks the domain.
bool isOverruledByList(const Evacuations &evacuations, const std::string &domain, const EvacuationStatement &statement, TimePoint now)
{
    const bool isMissing = evacuations.listedAsOf.number > 0 && !evacuations.listedDomains.contains(domain);
    if (!statement.isEvacuated || !isMissing || !isEarlier(statement.asOf, evacuations.listedAsOf))
        return false;
    const bool isFromEarlierEra = statement.asOf.era < evacuations.listedAsOf.era;
    return !isFromEarlierEra || now - evacuations.eraListedAt >= RestoreGrace;
}

/// Adopts a statement if it is newer, and adds the change.
void adopt(Evacuations &evacuations,
           const std::string &domain,
           const EvacuationStatement &statement,
           std::vector<EvacuationChange> &changes)
{
    const bool wasEvacuated = isEvacuated(evacuations, domain);
    if (!isNewer(statement, statementOn(evacuations, domain)))
        return;
    evacuations.statements[domain] = statement;
    changes.push_back({domain, statement, wasEvacuated != statement.isEvacuated});
}

} // namespace

bool isNewer(const EvacuationStatement &statement, const EvacuationStatement &other)
{
    if (statement.asOf.number == 0 || other.asOf.number == 0)
        return statement.asOf.number != 0;
    return isEarlier(other.asOf, statement.asOf);
}

bool adoptNewer(EvacuationStatement &known, const EvacuationStatement &statement)
{
    if (!isNewer(statement, known))
        return false;
    known = statement;
    return true;
}

std::vector<EvacuationChange>
applyStatement(Evacuations &evacuations, const std::string &domain, const EvacuationStatement &statement, TimePoint now)
{
    std::vector<EvacuationChange> changes;
    if (statement.asOf.number == 0)
        return changes;
    const bool isOverruled = isOverruledByList(evacuations, domain, statement, now);
    adopt(evacuations, domain, isOverruled ? EvacuationStatement {evacuations.listedAsOf, false} : statement, changes);
    return changes;
}

std::vector<EvacuationChange> applyEvacuationList(Evacuations &evacuations, const EvacuationList &list, TimePoint now)
{
    if (evacuations.listedAsOf.number == 0 || evacuations.listedAsOf.era != list.asOf.era)
        evacuations.eraListedAt = now;
    evacuations.listedAsOf = list.asOf;
    evacuations.listedDomains.clear();
    std::vector<EvacuationChange> changes;
    for (const auto &[domain, revision] : list.evacuated) {
        evacuations.listedDomains.insert(domain);
        adopt(evacuations, domain, {revision, true}, changes);
    }
    const auto ended = settleEvacuations(evacuations, now);
    changes.insert(changes.end(), ended.begin(), ended.end());
    return changes;
}

std::vector<EvacuationChange> settleEvacuations(Evacuations &evacuations, TimePoint now)
{
    std::vector<EvacuationChange> changes;
    for (auto &[domain, statement] : evacuations.statements) {
        if (!isOverruledByList(evacuations, domain, statement, now))
            continue;
        statement = {evacuations.listedAsOf, false};
        changes.push_back({domain, statement, true});
    }
    return changes;
}

bool isEvacuated(const Evacuations &evacuations, std::string_view domain)
{
    return statementOn(evacuations, domain).isEvacuated;
}

EvacuationStatement statementOn(const Evacuations &evacuations, std::string_view domain)
{
    const auto statement = evacuations.statements.find(domain);
    return statement == evacuations.statements.end() ? EvacuationStatement {} : statement->second;
}

std::size_t evacuatedDomainCount(const Evacuations &evacuations)
{
    const auto &statements = evacuations.statements;
    return static_cast<std::size_t>(
        std::count_if(statements.begin(), statements.end(), [](const auto &item) { return item.second.isEvacuated; }));
}

} // namespace Papaya
