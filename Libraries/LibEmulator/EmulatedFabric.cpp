#include "LibEmulator/EmulatedFabric.h"

#include "LibBalancing/RendezvousHash.h"

#include <algorithm>

namespace Papaya::Emulator {

namespace {

constexpr Duration CheckInterval {500};
constexpr int MaximumFailedChecks = 2;
/// Time between the first checks of two daemons, so that daemons are not all checked at the same time.
constexpr Duration CheckOffset {70};

} // namespace

void EmulatedFabric::add(EmulatedEntry &entry)
{
    const auto index = m_members.size();
    m_members.push_back({&entry});
    m_events.schedule(CheckOffset * static_cast<Duration::rep>(index + 1), [this, index] { check(index); });
}

void EmulatedFabric::check(std::size_t index)
{
    auto &member = m_members[index];
    member.failedChecks = member.entry->isReady() ? 0 : member.failedChecks + 1;
    if (member.failedChecks == 0)
        member.isInRotation = true;
    else if (member.failedChecks >= MaximumFailedChecks)
        member.isInRotation = false;
    m_events.schedule(CheckInterval, [this, index] { check(index); });
}

void EmulatedFabric::deliver(const EmulatedPacket &packet)
{
    const auto isInRotation = [](const Member &member) { return member.isInRotation; };
    const auto inRotation = static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), isInRotation));
    const bool areAllUsed = inRotation * 2 < m_members.size();
    std::vector<std::uint64_t> ids;
    std::vector<EmulatedEntry *> used;
    for (const auto &member : m_members) {
        if (!member.isInRotation && !areAllUsed)
            continue;
        ids.push_back(member.entry->address().address);
        used.push_back(member.entry);
    }
    const auto chosen = rendezvousFirst(ids, hashOf(packet.summary.flow));
    if (chosen < used.size())
        used[chosen]->receiveFromCaller(packet);
}

} // namespace Papaya::Emulator
