#include "LibCoordination/VmListChange.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace Papaya {

namespace {

/// Maximum number of lists kept. With 2,200 changes a day, a peer may be five minutes behind before it needs a complete list.
constexpr std::size_t MaximumHistoryLists = 8;

std::unordered_map<std::string_view, const VirtualMachine *> indexByName(const VmList &list)
{
    std::unordered_map<std::string_view, const VirtualMachine *> byName;
    for (const auto &machine : list.machines)
        byName.emplace(machine.name, &machine);
    return byName;
}

} // namespace

VmListChange changeBetween(const VmList &base, const VmList &next)
{
    VmListChange change;
    change.baseVersion = base.version;
    change.version = next.version;
    const auto before = indexByName(base);
    const auto after = indexByName(next);
    for (const auto &machine : next.machines) {
        const auto previous = before.find(machine.name);
        if (previous == before.end() || *previous->second != machine)
            change.changed.push_back(machine);
    }
    for (const auto &machine : base.machines) {
        if (!after.contains(machine.name))
            change.removed.push_back(machine.name);
    }
    return change;
}

std::optional<VmList> applyChange(const VmList &base, const VmListChange &change)
{
    if (change.baseVersion != base.version || change.version <= base.version)
        return std::nullopt;
    std::unordered_set<std::string_view> removedOrChanged(change.removed.begin(), change.removed.end());
    for (const auto &machine : change.changed)
        removedOrChanged.insert(machine.name);
    VmList next;
    next.version = change.version;
    std::copy_if(base.machines.begin(), base.machines.end(), std::back_inserter(next.machines), [&](const VirtualMachine &machine) {
        return !removedOrChanged.contains(machine.name);
    });
    next.machines.insert(next.machines.end(), change.changed.begin(), change.changed.end());
    return next;
}

void VmListHistory::add(VmList list)
{
    m_lists.push_back(std::move(list));
    if (m_lists.size() > MaximumHistoryLists)
        m_lists.erase(m_lists.begin());
}

std::optional<VmListChange> VmListHistory::changeSince(std::uint64_t version) const
{
    const auto base = std::find_if(m_lists.begin(), m_lists.end(), [&](const VmList &list) { return list.version == version; });
    if (base == m_lists.end() || m_lists.back().version <= version)
        return std::nullopt;
    return changeBetween(*base, m_lists.back());
}

} // namespace Papaya
