#include "LibEmulator/FlowRuleMonitor.h"

namespace Papaya::Emulator {

namespace {

constexpr Duration StabilityTime {4'000};
constexpr Duration StrayWindow {2'000};
constexpr std::size_t StrayLimit = 3;

} // namespace

FlowRuleMonitor::FlowRuleMonitor(IsHeld isHeld)
    : m_isHeld(std::move(isHeld))
{
}

void FlowRuleMonitor::recordOpened(const FlowKey &flow, std::uint32_t target)
{
    m_owners[flow] = {target, {}};
}

void FlowRuleMonitor::recordPacket(const FlowKey &flow, std::uint32_t entry, std::uint32_t target, TimePoint now)
{
    const auto found = m_owners.find(flow);
    if (found == m_owners.end())
        return;
    auto &owner = found->second;
    if (!m_isHeld(owner.target, flow)) {
        m_owners.erase(found);
        return;
    }
    if (owner.target == target) {
        evaluate(flow, owner, now);
        owner.strays.clear();
        return;
    }
    if (!isDisrupted(entry, now) && !isDisrupted(owner.target, now))
        owner.strays.push_back(now);
}

bool FlowRuleMonitor::recordReset(const FlowKey &flow, std::uint32_t entry, TimePoint now)
{
    const auto found = m_owners.find(flow);
    if (found == m_owners.end())
        return false;
    auto owner = found->second;
    m_owners.erase(found);
    if (!m_isHeld(owner.target, flow))
        return false;
    evaluate(flow, owner, now);
    if (isDisrupted(entry, now) || isDisrupted(owner.target, now))
        ++m_excusedResets;
    else
        m_resetFlows.push_back(flow);
    return true;
}

void FlowRuleMonitor::finish(TimePoint now)
{
    for (auto &[flow, owner] : m_owners) {
        if (m_isHeld(owner.target, flow))
            evaluate(flow, owner, now);
    }
    m_owners.clear();
}

void FlowRuleMonitor::evaluate(const FlowKey &flow, Owner &owner, TimePoint now)
{
    for (std::size_t last = StrayLimit - 1; last < owner.strays.size(); ++last) {
        const auto first = owner.strays[last - (StrayLimit - 1)];
        if (owner.strays[last] - first > StrayWindow || now - first < StrayWindow)
            continue;
        m_misdirectedFlows.push_back(flow);
        return;
    }
}

void FlowRuleMonitor::beginDisruption(std::uint32_t vm)
{
    ++m_disruptions[vm].active;
}

void FlowRuleMonitor::endDisruption(std::uint32_t vm, TimePoint now)
{
    --m_disruptions[vm].active;
    m_disruptions[vm].endedAt = now;
}

void FlowRuleMonitor::recordDisruption(std::uint32_t vm, TimePoint now)
{
    m_disruptions[vm].endedAt = now;
}

bool FlowRuleMonitor::isDisrupted(std::uint32_t vm, TimePoint now) const
{
    const auto disruption = m_disruptions.find(vm);
    if (disruption == m_disruptions.end())
        return false;
    const bool isRecent = disruption->second.endedAt != TimePoint {} && now - disruption->second.endedAt < StabilityTime;
    return disruption->second.active > 0 || isRecent;
}

} // namespace Papaya::Emulator
