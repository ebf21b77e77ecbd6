#include "LibCoordination/AgentPace.h"

#include "LibBalancing/Admission.h"

#include <algorithm>

namespace Papaya {

namespace {

/// A target that started this long ago or less counts as just started. An entry daemon has read the start after 1.2 s at most and sends
/// its subscriptions every 2 s, of which one may be lost.
constexpr Duration RecentStartTime {5'000};
/// Entry daemons read a publication at different times and state the end of the same cold time with that difference. A cold time that is
/// stated within this time after the end of another one is the same.
constexpr Duration ColdTimeTolerance {2'000};
/// A target that answers again after this time has a backlog that callers notice. An agent that is short of processor time reads answers
/// late, so a shorter time is no evidence of a silent target.
constexpr Duration SilenceBeforePace {1'000};
/// Requests are counted over this time to detect a target that fails most of them. Callers would notice a longer time.
constexpr Duration FailureWindow {2'000};
/// Fewer failed requests may be a coincidence: callers give up requests for reasons of their own.
constexpr std::uint32_t MinimumFailures = 5;

void publishCapacity(AgentRelay &agent)
{
    agent.load.capacity = agent.pace.capacity;
}

void startTargetPace(AgentRelay &agent, PaceCause cause, TimePoint now)
{
    startPace(agent.pace, cause, now);
    publishCapacity(agent);
}

/// Returns whether the agent learns only now that its target has started.
bool isUnseenStart(const AgentRelay &agent, Incarnation incarnation, TimePoint now)
{
    if (incarnation == 0 || agent.agentIncarnation == 0 || incarnation <= agent.pacedIncarnation)
        return false;
    const auto wallTime = agent.agentIncarnation + static_cast<Incarnation>((now - agent.startedAt).count());
    if (incarnation >= wallTime)
        return true;
    const auto age = wallTime - incarnation;
    const bool isRecent = age <= static_cast<Incarnation>(RecentStartTime.count());
    return isRecent && agent.pace.startedAt < now - Duration(static_cast<Duration::rep>(age));
}

/// Returns whether an entry daemon states a cold time that is not one which the agent knows already, and that does not belong to a start
/// which the agent has seen.
bool isNewColdTime(const AgentRelay &agent, const RelayEnvelope &envelope, TimePoint now)
{
    const bool isPacedLately = now - agent.pace.startedAt < RecentStartTime;
    return envelope.coldTime > Duration(0) && now - agent.coldUntil >= ColdTimeTolerance && !isPacedLately;
}

/// Returns whether a copy of this SYN was passed to the target and may have been answered. A later copy that is rejected as busy would open
/// the flow at a second target.
bool hasPassedSyn(const AgentRelay &agent, const FlowKey &key)
{
    if (agent.reservations.reservedAt.contains(key))
        return true;
    const auto flow = agent.flows.find(key);
    return flow != agent.flows.end() && flow->second.sequence && !flow->second.isTargetFinished && !flow->second.isReset;
}

bool isRejectedAsBusy(AgentRelay &agent, const RelayEnvelope &envelope)
{
    if (envelope.purpose != EnvelopePurpose::Place)
        return false;
    recordSlots(agent.pace, envelope.busyThreshold);
    const bool isRejected = isBusy(agent.load, envelope.busyThreshold);
    if (isRejected && takenSlots(agent.load) < envelope.busyThreshold)
        ++agent.limitedPlacements.byPace;
    return isRejected;
}

void resetFailureWindow(AgentRelay &agent, TimePoint now)
{
    agent.requestOutcomes = {};
    agent.requestOutcomes.since = now;
}

} // namespace

void applyTargetStart(AgentRelay &agent, const RelayEnvelope &envelope, TimePoint now)
{
    const bool isStart = isUnseenStart(agent, envelope.targetIncarnation, now) || isNewColdTime(agent, envelope, now);
    agent.pacedIncarnation = std::max(agent.pacedIncarnation, envelope.targetIncarnation);
    if (envelope.coldTime > Duration(0))
        agent.coldUntil = std::max(agent.coldUntil, now + envelope.coldTime);
    applyColdTerms(agent.coldBound, envelope.coldTime, envelope.coldRate, now);
    if (isStart)
        startTargetPace(agent, PaceCause::Started, now);
}

void detectRecovery(AgentRelay &agent, TimePoint now)
{
    if (agent.load.state == TargetState::Closed)
        startTargetPace(agent, PaceCause::Started, now);
    else if (agent.unansweredSynSince && now - *agent.unansweredSynSince >= SilenceBeforePace)
        startTargetPace(agent, PaceCause::Silence, now);
}

bool admitPacket(AgentRelay &agent, const RelayEnvelope &envelope, const PacketSummary &summary, TimePoint now)
{
    if (!summary.isInitialSyn())
        return !isRejectedAsBusy(agent, envelope);
    if (hasPassedSyn(agent, summary.flow))
        return true;
    if (isRejectedAsBusy(agent, envelope))
        return false;
    if (mayPassSyn(agent.coldBound, now))
        return true;
    ++agent.limitedPlacements.byColdBound;
    return false;
}

void recordFlowAnswer(AgentRelay &agent, const AgentFlow &flow, TimePoint now)
{
    constexpr std::uint32_t MicrosecondsPerMillisecond = 1'000;
    const auto responseTime = static_cast<std::uint32_t>((now - *flow.requestStartedAt).count()) * MicrosecondsPerMillisecond;
    recordAnswer(agent.pace, {*flow.requestStartedAt, responseTime, flow.concurrency}, now);
    publishCapacity(agent);
    if (now - agent.requestOutcomes.since >= FailureWindow)
        resetFailureWindow(agent, now);
    ++agent.requestOutcomes.answered;
}

void recordFailedRequest(AgentRelay &agent, TimePoint now)
{
    if (now - agent.requestOutcomes.since >= FailureWindow)
        resetFailureWindow(agent, now);
    auto &outcomes = agent.requestOutcomes;
    ++outcomes.failed;
    if (outcomes.failed < MinimumFailures || outcomes.failed <= outcomes.answered)
        return;
    startTargetPace(agent, PaceCause::Errors, now);
    resetFailureWindow(agent, now);
}

} // namespace Papaya
