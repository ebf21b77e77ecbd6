#include "LibEmulator/EmulatedStore.h"

#include <algorithm>

namespace Papaya::Emulator {

void EmulatedStore::put(PublishedTarget target)
{
    const auto revision = ++m_state.revision;
    const auto existing = m_state.entries.find(target.id);
    const bool isListed = existing != m_state.entries.end() && !existing->second.isDeleted;
    target.revision.number = revision;
    target.listingRevision.number = isListed ? existing->second.target.listingRevision.number : revision;
    m_state.entries[target.id] = {target, revision, false};
    recordChange();
}

void EmulatedStore::remove(MemberId target)
{
    if (!lists(target))
        return;
    auto &entry = m_state.entries[target];
    entry.revision = ++m_state.revision;
    entry.isDeleted = true;
    recordChange();
}

void EmulatedStore::setRoutes(RouteTable routes)
{
    routes.changeRevision.number = ++m_state.revision;
    m_state.routes = std::move(routes);
    recordChange();
}

void EmulatedStore::setEvacuated(const std::string &domain, bool isEvacuated)
{
    m_state.evacuations[domain] = {{0, ++m_state.revision}, isEvacuated};
    recordChange();
}

void EmulatedStore::setReachable(bool isReachable)
{
    m_isReachable = isReachable;
    for (const auto &listener : m_listeners)
        listener();
}

void EmulatedStore::restore(Duration age)
{
    const auto at = m_events.now() - age;
    const auto newer = std::find_if(m_history.begin(), m_history.end(), [&](const State &state) { return state.at > at; });
    if (newer != m_history.begin() && newer != m_history.end())
        m_state = *std::prev(newer);
    ++m_epoch;
    recordChange();
}

bool EmulatedStore::lists(MemberId target) const
{
    const auto entry = m_state.entries.find(target);
    return entry != m_state.entries.end() && !entry->second.isDeleted;
}

std::vector<PublishedTarget> EmulatedStore::targets() const
{
    std::vector<PublishedTarget> targets;
    for (const auto &[id, entry] : m_state.entries) {
        if (!entry.isDeleted)
            targets.push_back(inCurrentEra(entry.target));
    }
    return targets;
}

std::vector<StoreEntry> EmulatedStore::changesAfter(std::uint64_t revision) const
{
    std::vector<StoreEntry> changes;
    for (const auto &[id, entry] : m_state.entries) {
        if (entry.revision > revision)
            changes.push_back({inCurrentEra(entry.target), entry.revision, entry.isDeleted});
    }
    std::sort(
        changes.begin(), changes.end(), [](const StoreEntry &left, const StoreEntry &right) { return left.revision < right.revision; });
    return changes;
}

EvacuationList EmulatedStore::evacuations() const
{
    EvacuationList list;
    list.asOf = {m_epoch, m_state.revision};
    for (const auto &[domain, statement] : m_state.evacuations) {
        if (statement.isEvacuated)
            list.evacuated[domain] = {m_epoch, statement.asOf.number};
    }
    return list;
}

std::map<std::string, EvacuationStatement> EmulatedStore::evacuationsAfter(std::uint64_t revision) const
{
    std::map<std::string, EvacuationStatement> changes;
    for (const auto &[domain, statement] : m_state.evacuations) {
        if (statement.asOf.number > revision)
            changes[domain] = {{m_epoch, statement.asOf.number}, statement.isEvacuated};
    }
    return changes;
}

RouteTable EmulatedStore::routes() const
{
    auto routes = m_state.routes;
    routes.changeRevision.era = m_epoch;
    return routes;
}

PublishedTarget EmulatedStore::inCurrentEra(PublishedTarget target) const
{
    target.revision.era = m_epoch;
    target.listingRevision.era = m_epoch;
    return target;
}

void EmulatedStore::recordChange()
{
    m_state.at = m_events.now();
    m_history.push_back(m_state);
    for (const auto &listener : m_listeners)
        listener();
}

} // namespace Papaya::Emulator
