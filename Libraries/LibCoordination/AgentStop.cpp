#include "LibCoordination/AgentStop.h"

namespace Papaya {

namespace {

AgentStopStep nextAnnouncement(AgentStop &stop, TimePoint now)
{
    if (now - stop.announcedAt < stop.limits.announcementInterval)
        return AgentStopStep::Relay;
    if (stop.announcements == stop.limits.announcements)
        return AgentStopStep::End;
    stop.announcedAt = now;
    ++stop.announcements;
    return AgentStopStep::AnnounceRestart;
}

} // namespace

AgentStopStep nextStopStep(AgentStop &stop, const AgentRelay &agent, TimePoint now)
{
    if (agent.load.state == TargetState::Closed)
        return AgentStopStep::End;
    if (agent.portRefusedAt)
        return AgentStopStep::Relay;
    const bool hasNoFlows = agent.load.openFlows == 0 && hasRecordedAllFlows(agent, now);
    // An announcement ends the service of new flows, so that nothing follows it but the end.
    if (stop.announcements > 0 || hasNoFlows || now >= stop.deadline)
        return nextAnnouncement(stop, now);
    if (now - stop.targetCheckedAt < stop.limits.targetCheckInterval)
        return AgentStopStep::Relay;
    stop.targetCheckedAt = now;
    return AgentStopStep::CheckTarget;
}

} // namespace Papaya
