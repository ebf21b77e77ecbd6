#include "LibBalancing/LoadEstimate.h"

#include <algorithm>

namespace Papaya {

namespace {

/// A load that was heard longer ago is outdated where reports are frequent. With 100 entry daemons an agent reports to each every 4 s.
constexpr Duration LoadValidity {5'000};
/// For this long a target's load from before a restart of its agent counts, less with time. Requests that were running then end within this
/// time, and most callers send on their open flows, so that the agent counts them.
constexpr Duration RestartedAgentTime {3'000};
/// An agent that was silent for this long may have restarted without an announcement. Two lost reports in a row look the same.
constexpr Duration RestartSilence {1'500};
/// With fewer known flows, a fall to less than half is usual without a restart.
constexpr std::uint32_t MinimumFlowsForFall = 4;

bool isRecent(const TargetRecord &record, TimePoint now)
{
    return record.lastMessageAt && now - *record.lastMessageAt < LoadValidity;
}

double slotsOf(const TargetRecord &record)
{
    return std::max<std::uint32_t>(record.published.slots, 1);
}

bool areMostRecent(std::span<TargetRecord *const> targets, TimePoint now)
{
    const auto heard = std::count_if(targets.begin(), targets.end(), [](const auto *record) { return record->lastMessageAt.has_value(); });
    const auto recent = std::count_if(targets.begin(), targets.end(), [&](const auto *record) { return isRecent(*record, now); });
    return heard > 0 && recent * 2 >= heard;
}

/// Returns whether the next load of an agent shows that the agent has restarted. An agent loses its response time only by a restart or
/// when its target's port was closed.
bool hasAgentRestarted(const TargetRecord &record, const TargetLoad &next, TimePoint now)
{
    const auto &known = record.load;
    if (known.state == TargetState::Closed || next.state == TargetState::Closed)
        return false;
    if (known.responseTime > 0 && next.responseTime == 0)
        return true;
    const bool wasSilent = record.lastMessageAt && now - *record.lastMessageAt >= RestartSilence;
    const bool wasRestarting = known.state == TargetState::AgentRestarting && next.state != TargetState::AgentRestarting;
    const bool hasFallen = known.openFlows >= MinimumFlowsForFall && next.openFlows * 2 < known.openFlows;
    return hasFallen && (wasSilent || wasRestarting);
}

} // namespace

ServiceLoad meanLoad(std::span<TargetRecord *const> targets, TimePoint now)
{
    ServiceLoad mean;
    mean.areReportsFrequent = areMostRecent(targets, now);
    double slots = 0;
    int measured = 0;
    for (const auto *record : targets) {
        if (!isLoadKnown(*record, mean, now))
            continue;
        const auto load = reportedLoad(*record, now);
        slots += slotsOf(*record);
        mean.openFlowsPerSlot += load.openFlows;
        mean.runningRequestsPerSlot += load.runningRequests;
        mean.reservedSlotsPerSlot += load.reservedSlots;
        mean.responseTime += load.responseTime;
        measured += load.responseTime > 0 ? 1 : 0;
    }
    if (slots > 0) {
        mean.openFlowsPerSlot /= slots;
        mean.runningRequestsPerSlot /= slots;
        mean.reservedSlotsPerSlot /= slots;
    }
    if (measured > 0)
        mean.responseTime /= measured;
    return mean;
}

bool isLoadKnown(const TargetRecord &record, const ServiceLoad &service, TimePoint now)
{
    return record.lastMessageAt && (isRecent(record, now) || !service.areReportsFrequent);
}

LoadEstimate reportedLoad(const TargetRecord &record, TimePoint now)
{
    const auto &load = record.load;
    LoadEstimate estimate {static_cast<double>(load.openFlows),
                           static_cast<double>(load.runningRequests),
                           static_cast<double>(load.reservedSlots),
                           static_cast<double>(load.responseTime)};
    if (!record.formerLoad || now - record.formerLoad->replacedAt >= RestartedAgentTime)
        return estimate;
    const auto &former = record.formerLoad->load;
    const Duration elapsed = now - record.formerLoad->replacedAt;
    const double weight = 1 - static_cast<double>(elapsed.count()) / static_cast<double>(RestartedAgentTime.count());
    estimate.openFlows = std::max(estimate.openFlows, weight * former.openFlows);
    estimate.runningRequests = std::max(estimate.runningRequests, weight * former.runningRequests);
    if (load.responseTime == 0)
        estimate.responseTime = former.responseTime;
    return estimate;
}

LoadEstimate estimateLoad(const TargetRecord &record, const ServiceLoad &service, TimePoint now)
{
    if (isLoadKnown(record, service, now))
        return reportedLoad(record, now);
    const auto slots = slotsOf(record);
    return {service.openFlowsPerSlot * slots,
            service.runningRequestsPerSlot * slots,
            service.reservedSlotsPerSlot * slots,
            service.responseTime};
}

void keepLoadOverAgentRestart(TargetRecord &record, const TargetLoad &next, TimePoint now)
{
    if (next.state == TargetState::Closed)
        record.formerLoad.reset();
    else if (hasAgentRestarted(record, next, now))
        record.formerLoad = {record.load, now};
}

} // namespace Papaya
