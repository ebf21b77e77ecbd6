#include "LibCoordination/AgentRelay.h"

#include "LibBalancing/Admission.h"
#include "LibCoordination/AgentPace.h"
#include "LibCoordination/UnconfirmedRequests.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr std::uint32_t MicrosecondsPerMillisecond = 1'000;
constexpr std::uint32_t Percent = 100;

void endRequest(AgentRelay &agent, AgentFlow &flow)
{
    if (!flow.requestStartedAt)
        return;
    flow.requestStartedAt.reset();
    --agent.load.runningRequests;
}

void closeFlow(AgentRelay &agent, AgentFlow &flow, TimePoint now)
{
    if (flow.requestStartedAt)
        recordFailedRequest(agent, now);
    endRequest(agent, flow);
    if (!flow.isOpen)
        return;
    flow.isOpen = false;
    --agent.load.openFlows;
}

void openFlow(AgentRelay &agent, AgentFlow &flow)
{
    if (flow.isOpen)
        return;
    flow.isOpen = true;
    ++agent.load.openFlows;
}

void removeFlow(AgentRelay &agent, const FlowKey &key, TimePoint now)
{
    releaseSlot(agent.reservations, key, agent.load);
    const auto flow = agent.flows.find(key);
    if (flow == agent.flows.end())
        return;
    closeFlow(agent, flow->second, now);
    agent.flows.erase(flow);
}

/// Returns the entry of a flow and creates it if necessary. Returns nothing when the table is full.
AgentFlow *findOrCreateFlow(AgentRelay &agent, const FlowKey &key, TimePoint now)
{
    const auto existing = agent.flows.find(key);
    if (existing != agent.flows.end())
        return &existing->second;
    if (agent.flows.size() >= agent.limits.flows) {
        agent.tableFullAt = now;
        return nullptr;
    }
    return &agent.flows[key];
}

void updateResponseTime(AgentRelay &agent, const AgentFlow &flow, TimePoint now)
{
    const auto sample = static_cast<std::uint32_t>((now - *flow.requestStartedAt).count()) * MicrosecondsPerMillisecond;
    auto &mean = agent.load.responseTime;
    const auto weight = static_cast<std::uint32_t>(agent.limits.responseTimeWeight);
    const auto next = mean == 0 ? sample : (mean * (Percent - weight) + sample * weight) / Percent;
    // 0 means that nothing was measured since the agent's start.
    mean = std::max<std::uint32_t>(next, 1);
}

void recordSyn(AgentRelay &agent, const Endpoint &entry, const PacketSummary &summary, TimePoint now)
{
    if (!agent.unansweredSynSince)
        agent.unansweredSynSince = now;
    removeUnconfirmed(agent, summary.flow);
    recordPassedSyn(agent.coldBound, now);
    auto *flow = findOrCreateFlow(agent, summary.flow, now);
    if (flow == nullptr || !flow->isOpen)
        reserveSlot(agent.reservations, summary.flow, now, agent.load);
    if (flow == nullptr)
        return;
    flow->entry = entry;
    flow->lastSeenAt = now;
    flow->isReset = false;
    flow->synSequence = summary.sequence;
}

/// Returns whether the target holds the flow open once it gets this packet from the caller. The first packet that opens the flow
/// acknowledges the target's SYN-ACK: the target sends nothing else before. A caller that opened the flow at another target
/// acknowledges that target's SYN-ACK instead.
bool isOpenedBy(const AgentFlow &flow, const PacketSummary &summary)
{
    return flow.isOpen || (flow.sequence && summary.acknowledgement == *flow.sequence + 1);
}

void updateFromCaller(AgentRelay &agent, const Endpoint &entry, const PacketSummary &summary, TimePoint now)
{
    if (summary.isInitialSyn()) {
        recordSyn(agent, entry, summary, now);
        return;
    }
    const auto existing = agent.flows.find(summary.flow);
    if (existing == agent.flows.end()) {
        recordUnconfirmed(agent, entry, summary, now);
        return;
    }
    auto &flow = existing->second;
    flow.entry = entry;
    flow.lastSeenAt = now;
    // The target decides whether it accepts the reset. The entry stays for a while, so that the flow is not denied without a probe.
    if (summary.isReset) {
        closeFlow(agent, flow, now);
        releaseSlot(agent.reservations, summary.flow, agent.load);
        flow.isReset = true;
        return;
    }
    if (!isOpenedBy(flow, summary))
        return;
    openFlow(agent, flow);
    flow.isCallerFinished = flow.isCallerFinished || summary.isFin;
    if (summary.length == 0 || flow.requestStartedAt)
        return;
    flow.requestStartedAt = now;
    flow.concurrency = ++agent.load.runningRequests;
    releaseSlot(agent.reservations, summary.flow, agent.load);
}

void forwardToTarget(AgentRelay &agent,
                     const Endpoint &entry,
                     const PacketSummary &summary,
                     std::span<const std::byte> packet,
                     TimePoint now,
                     AgentOutput &output)
{
    updateFromCaller(agent, entry, summary, now);
    output.sendToTarget(packet, entry.address);
}

RelayNotice makeNotice(const AgentRelay &agent, NoticeKind kind, const FlowKey &flow)
{
    RelayNotice notice;
    notice.kind = kind;
    notice.flow = flow;
    notice.service = agent.service;
    notice.load = agent.load;
    return notice;
}

void onSearch(AgentRelay &agent,
              const Endpoint &entry,
              const PacketSummary &summary,
              std::span<const std::byte> packet,
              TimePoint now,
              AgentOutput &output)
{
    const auto existing = agent.flows.find(summary.flow);
    const bool isIncompleteOrFinished = existing != agent.flows.end() && !existing->second.isOpen;
    if (existing != agent.flows.end() && !isIncompleteOrFinished) {
        output.sendNotice(entry, makeNotice(agent, NoticeKind::Held, summary.flow));
        forwardToTarget(agent, entry, summary, packet, now, output);
        return;
    }
    if ((hasRecordedAllFlows(agent, now) && !isIncompleteOrFinished) || agent.load.state == TargetState::Closed) {
        output.sendNotice(entry, makeNotice(agent, NoticeKind::Denied, summary.flow));
        return;
    }
    if (agent.probes.size() >= agent.limits.probes && !agent.probes.contains(summary.flow))
        return;
    agent.probes[summary.flow] = {entry, now};
    forwardToTarget(agent, entry, summary, packet, now, output);
}

FlowVerdict lookUpFlow(const AgentRelay &agent, const FlowKey &key, TimePoint now)
{
    const auto existing = agent.flows.find(key);
    if (existing != agent.flows.end())
        return existing->second.isOpen ? FlowVerdict::Held : FlowVerdict::Unknown;
    const bool isDenied = hasRecordedAllFlows(agent, now) || agent.load.state == TargetState::Closed;
    return isDenied ? FlowVerdict::Denied : FlowVerdict::Unknown;
}

/// Compares the start times of the target and of this agent. Every packet to a target passes through its agent, so an agent
/// that started before its target, or together with it, has seen all flows.
void applyTargetIncarnation(AgentRelay &agent, Incarnation incarnation)
{
    if (incarnation == 0 || agent.agentIncarnation == 0)
        return;
    if (incarnation + static_cast<Incarnation>(agent.limits.minimumRestartTime.count()) >= agent.agentIncarnation)
        agent.hasCompleteFlowTable = true;
}

void onReturned(AgentRelay &agent, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, AgentOutput &output)
{
    removeUnconfirmed(agent, summary.flow);
    if (const auto probe = agent.probes.find(summary.flow); probe != agent.probes.end() && !summary.isInitialSyn()) {
        output.sendNotice(probe->second.entry, makeNotice(agent, NoticeKind::Denied, summary.flow));
        agent.probes.erase(probe);
        return;
    }
    // A late copy of a SYN may be returned although the target holds the flow that an earlier copy opened.
    const auto flow = agent.flows.find(summary.flow);
    const bool isLateSyn = summary.isInitialSyn() && flow != agent.flows.end() && flow->second.isOpen;
    if (!isLateSyn)
        removeFlow(agent, summary.flow, now);
    auto notice = makeNotice(agent, NoticeKind::Returned, summary.flow);
    notice.packet = packet;
    const Endpoint entry {summary.mark, agent.daemonPort};
    if (agent.subscriptions.contains(entry))
        output.sendNotice(entry, notice);
}

void updateFromTarget(AgentRelay &agent, const PacketSummary &summary, AgentFlow &flow, TimePoint now)
{
    flow.lastSeenAt = now;
    if (summary.isSyn) {
        flow.sequence = summary.sequence;
        flow.answeredSyn = flow.synSequence;
        return;
    }
    openFlow(agent, flow);
    if (summary.length > 0 && flow.requestStartedAt) {
        updateResponseTime(agent, flow, now);
        recordFlowAnswer(agent, flow, now);
        endRequest(agent, flow);
    }
    flow.isTargetFinished = flow.isTargetFinished || summary.isFin;
    if (flow.isTargetFinished && flow.isCallerFinished)
        closeFlow(agent, flow, now);
}

Duration flowRetention(const AgentRelay &agent, const AgentFlow &flow)
{
    const bool isFinished = (flow.isTargetFinished && flow.isCallerFinished) || flow.isReset;
    if (isFinished)
        return agent.limits.finishedFlowRetention;
    return flow.isOpen ? agent.limits.flowIdleTimeout : agent.limits.handshakeRetention;
}

bool isExpired(const AgentRelay &agent, const AgentFlow &flow, TimePoint now)
{
    return now - flow.lastSeenAt >= flowRetention(agent, flow);
}

void removeExpired(AgentRelay &agent, TimePoint now)
{
    for (auto flow = agent.flows.begin(); flow != agent.flows.end();) {
        const auto current = flow++;
        if (!isExpired(agent, current->second, now))
            continue;
        closeFlow(agent, current->second, now);
        agent.flows.erase(current);
    }
    removeExpiredUnconfirmed(agent, now);
    std::erase_if(agent.probes, [&](const auto &probe) { return now - probe.second.sentAt >= agent.limits.finishedFlowRetention; });
    std::erase_if(agent.subscriptions,
                  [&](const auto &entry) { return now - entry.second.lastRenewedAt >= agent.limits.subscriptionTimeout; });
}

Duration reportIntervalPerEntryDaemon(const AgentRelay &agent)
{
    const auto minimumInterval = Duration {1'000} * static_cast<int>(agent.subscriptions.size()) / agent.limits.reportsPerSecond;
    return std::max<Duration>(agent.limits.reportInterval, minimumInterval);
}

void sendReports(AgentRelay &agent, TimePoint now, AgentOutput &output)
{
    const auto interval = reportIntervalPerEntryDaemon(agent);
    for (auto &[entry, subscription] : agent.subscriptions) {
        if (now - subscription.reportedAt < interval)
            continue;
        subscription.reportedAt = now;
        output.sendReport(entry, {agent.service, agent.load});
    }
}

/// Lets the response time of an idle target fall to that of requests that ran alone. It was measured under an earlier load; if it stayed,
/// entry daemons would give the target no flow that shows its present one.
void fadeResponseTime(AgentRelay &agent, TimePoint now)
{
    if (takenSlots(agent.load) > 0)
        agent.lastBusyAt = now;
    const bool isIdle = now - agent.lastBusyAt >= agent.limits.idleFadeDelay;
    if (!isIdle || agent.pace.usualTime == 0 || agent.load.responseTime <= agent.pace.usualTime)
        return;
    const auto faded = agent.load.responseTime * agent.limits.idleFadePercent / Percent;
    agent.load.responseTime = std::max(faded, agent.pace.usualTime);
}

void updateTargetState(AgentRelay &agent, TimePoint now)
{
    const bool isSilent = agent.unansweredSynSince && now - *agent.unansweredSynSince >= agent.limits.synTimeout;
    if (agent.load.state != TargetState::Closed && agent.load.state != TargetState::AgentRestarting)
        agent.load.state = isSilent ? TargetState::Silent : TargetState::Answering;
}

/// Records that an entry daemon gets reports. Returns whether it has just subscribed and may not know the target's load.
bool subscribe(AgentRelay &agent, const Endpoint &entry, TimePoint now)
{
    const auto existing = agent.subscriptions.find(entry);
    if (existing == agent.subscriptions.end()) {
        if (agent.subscriptions.size() < agent.limits.entryDaemons)
            agent.subscriptions[entry] = {now, now, now};
        return agent.subscriptions.contains(entry);
    }
    auto &subscription = existing->second;
    subscription.lastRenewedAt = now;
    return now - subscription.startedAt < agent.limits.firstReportTime && now - subscription.reportedAt >= agent.limits.reportInterval;
}

/// Answers a first subscription with a report. An entry daemon that has just started knows no load.
void answerSubscription(AgentRelay &agent, const Endpoint &entry, EnvelopePurpose purpose, TimePoint now, AgentOutput &output)
{
    const bool isNew = !agent.subscriptions.contains(entry);
    if (!subscribe(agent, entry, now) || !(isNew || purpose == EnvelopePurpose::Subscribe))
        return;
    agent.subscriptions.at(entry).reportedAt = now;
    output.sendReport(entry, {agent.service, agent.load});
}

/// Returns whether an envelope would open a flow at a target whose domain is evacuated. A SYN that the target has answered is a
/// retransmission and stays there, unless the caller has finished the flow since.
bool isRefusedByEvacuation(const AgentRelay &agent, const RelayEnvelope &envelope, const PacketSummary &summary)
{
    if (!agent.evacuation.isEvacuated || envelope.purpose == EnvelopePurpose::Search || !summary.isInitialSyn())
        return false;
    const auto flow = agent.flows.find(summary.flow);
    if (flow == agent.flows.end() || flow->second.answeredSyn != summary.sequence)
        return true;
    return flow->second.isCallerFinished || flow->second.isReset;
}

} // namespace

bool hasRecordedAllFlows(const AgentRelay &agent, TimePoint now)
{
    if (agent.tableFullAt && now - *agent.tableFullAt < agent.limits.maximumFlowAge)
        return false;
    return agent.hasCompleteFlowTable || now - agent.startedAt >= agent.limits.maximumFlowAge;
}

void onEnvelope(AgentRelay &agent,
                const Endpoint &entry,
                const RelayEnvelope &envelope,
                const std::optional<PacketSummary> &summary,
                TimePoint now,
                AgentOutput &output)
{
    expireReservations(agent.reservations, now, agent.load);
    answerSubscription(agent, entry, envelope.purpose, now, output);
    if (envelope.purpose == EnvelopePurpose::Subscribe && envelope.service == agent.service) {
        applyTargetIncarnation(agent, envelope.targetIncarnation);
        adoptNewer(agent.evacuation, envelope.evacuation);
        applyTargetStart(agent, envelope, now);
    }
    if (envelope.purpose == EnvelopePurpose::Subscribe || !summary)
        return;
    if (envelope.service != agent.service) {
        auto notice = makeNotice(agent, NoticeKind::WrongService, summary->flow);
        notice.packet = envelope.packet;
        output.sendNotice(entry, notice);
        return;
    }
    if (isRefusedByEvacuation(agent, envelope, *summary)) {
        auto notice = makeNotice(agent, NoticeKind::Evacuated, summary->flow);
        notice.packet = envelope.packet;
        notice.evacuation = agent.evacuation;
        output.sendNotice(entry, notice);
        return;
    }
    if (!admitPacket(agent, envelope, *summary, now)) {
        auto notice = makeNotice(agent, NoticeKind::Busy, summary->flow);
        notice.packet = envelope.packet;
        output.sendNotice(entry, notice);
        return;
    }
    if (envelope.purpose == EnvelopePurpose::Search)
        onSearch(agent, entry, *summary, envelope.packet, now, output);
    else
        forwardToTarget(agent, entry, *summary, envelope.packet, now, output);
}

RelayAnswer answerQuery(AgentRelay &agent, const Endpoint &entry, const RelayQuery &query, TimePoint now)
{
    expireReservations(agent.reservations, now, agent.load);
    // The answer carries the load, so a first subscription gets no report besides.
    (void)subscribe(agent, entry, now);
    RelayAnswer answer;
    answer.service = agent.service;
    answer.load = agent.load;
    const bool isOwnService = query.service == agent.service;
    for (const auto &flow : query.flows)
        answer.findings.push_back({flow, isOwnService ? lookUpFlow(agent, flow, now) : FlowVerdict::Denied});
    return answer;
}

void onTargetPacket(AgentRelay &agent, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, AgentOutput &output)
{
    expireReservations(agent.reservations, now, agent.load);
    detectRecovery(agent, now);
    agent.unansweredSynSince.reset();
    agent.portRefusedAt.reset();
    if (agent.load.state != TargetState::AgentRestarting)
        agent.load.state = TargetState::Answering;
    if (summary.isReturned) {
        onReturned(agent, summary, packet, now, output);
        return;
    }
    output.sendToCaller(summary.flow.caller, packet);
    if (summary.isReset) {
        removeUnconfirmed(agent, summary.flow);
        removeFlow(agent, summary.flow, now);
        return;
    }
    auto *flow = findOrCreateFlow(agent, summary.flow, now);
    if (flow != nullptr)
        confirmRequest(agent, summary.flow, *flow);
    if (flow != nullptr)
        updateFromTarget(agent, summary, *flow, now);
    if (const auto probe = agent.probes.find(summary.flow); probe != agent.probes.end()) {
        output.sendNotice(probe->second.entry, makeNotice(agent, NoticeKind::Held, summary.flow));
        agent.probes.erase(probe);
    }
    if (!summary.isSyn)
        return;
    if (flow == nullptr || flow->entry == Endpoint {})
        return;
    auto notice = makeNotice(agent, NoticeKind::Accepted, summary.flow);
    notice.sequence = summary.sequence;
    output.sendNotice(flow->entry, notice);
}

void onPortRefused(AgentRelay &agent, TimePoint now, AgentOutput &output)
{
    if (!agent.portRefusedAt)
        agent.portRefusedAt = now;
    if (now - *agent.portRefusedAt >= agent.limits.refusalConfirmationTime)
        onPortClosed(agent, now, output);
}

void onPortOpen(AgentRelay &agent)
{
    agent.portRefusedAt.reset();
}

void onPortClosed(AgentRelay &agent, TimePoint now, AgentOutput &output)
{
    agent.portRefusedAt.reset();
    if (agent.load.state == TargetState::Closed)
        return;
    agent.load = TargetLoad {};
    agent.load.state = TargetState::Closed;
    agent.flows.clear();
    agent.unconfirmedRequests.clear();
    clearReservations(agent.reservations);
    // Every packet of the next target on this VM passes through this agent from the target's start.
    agent.hasCompleteFlowTable = true;
    for (const auto &[key, probe] : agent.probes)
        output.sendNotice(probe.entry, makeNotice(agent, NoticeKind::Denied, key));
    agent.probes.clear();
    for (auto &[entry, subscription] : agent.subscriptions) {
        subscription.reportedAt = now;
        output.sendReport(entry, {agent.service, agent.load});
    }
}

void announceRestart(AgentRelay &agent, TimePoint now, AgentOutput &output)
{
    if (agent.load.state == TargetState::Closed)
        return;
    agent.load.state = TargetState::AgentRestarting;
    for (auto &[entry, subscription] : agent.subscriptions) {
        subscription.reportedAt = now;
        output.sendReport(entry, {agent.service, agent.load});
    }
}

bool isPortCheckDue(const AgentRelay &agent, TimePoint now)
{
    if (agent.load.state == TargetState::Closed)
        return false;
    if (agent.portRefusedAt)
        return now - *agent.portRefusedAt >= agent.limits.refusalConfirmationTime;
    const bool isSynUnanswered = agent.unansweredSynSince && now - *agent.unansweredSynSince >= agent.limits.synTimeout;
    return isSynUnanswered || std::any_of(agent.probes.begin(), agent.probes.end(), [&](const auto &probe) {
               return now - probe.second.sentAt >= agent.limits.probeTimeout;
           });
}

void onAgentTick(AgentRelay &agent, TimePoint now, AgentOutput &output)
{
    expireReservations(agent.reservations, now, agent.load);
    fadeResponseTime(agent, now);
    updateTargetState(agent, now);
    sendReports(agent, now, output);
    removeExpired(agent, now);
}

} // namespace Papaya
