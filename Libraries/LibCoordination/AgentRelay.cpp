#include "LibCoordination/AgentRelay.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr std::uint32_t MicrosecondsPerMillisecond = 1'000;
constexpr std::uint32_t Percent = 100;

bool remembersEveryFlow(const AgentRelay &agent, TimePoint now)
{
    return agent.hasCompleteFlowTable || now - agent.startedAt >= agent.limits.flowLifetime;
}

void endRequest(AgentRelay &agent, AgentFlow &flow)
{
    if (!flow.requestedAt)
        return;
    flow.requestedAt.reset();
    --agent.load.runningRequests;
}

void closeFlow(AgentRelay &agent, AgentFlow &flow)
{
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

void forgetFlow(AgentRelay &agent, const FlowKey &key)
{
    const auto flow = agent.flows.find(key);
    if (flow == agent.flows.end())
        return;
    closeFlow(agent, flow->second);
    agent.flows.erase(flow);
}

/// Returns the record of a flow, made if need be; nothing when the table is full.
AgentFlow *recordOf(AgentRelay &agent, const FlowKey &key)
{
    const auto known = agent.flows.find(key);
    if (known != agent.flows.end())
        return &known->second;
    if (agent.flows.size() >= agent.limits.flows)
        return nullptr;
    return &agent.flows[key];
}

void noteResponse(AgentRelay &agent, const AgentFlow &flow, TimePoint now)
{
    const auto sample = static_cast<std::uint32_t>((now - *flow.requestedAt).count()) * MicrosecondsPerMillisecond;
    auto &mean = agent.load.responseTime;
    const auto weight = static_cast<std::uint32_t>(agent.limits.responseWeight);
    mean = mean == 0 ? std::max<std::uint32_t>(sample, 1) : (mean * (Percent - weight) + sample * weight) / Percent;
}

void noteSyn(AgentRelay &agent, const Endpoint &entry, const PacketSummary &summary, TimePoint now)
{
    if (!agent.unansweredSince)
        agent.unansweredSince = now;
    if (auto *flow = recordOf(agent, summary.flow)) {
        flow->entry = entry;
        flow->seenAt = now;
    }
}

void noteFromCaller(AgentRelay &agent, const Endpoint &entry, const PacketSummary &summary, TimePoint now)
{
    if (summary.isInitialSyn()) {
        noteSyn(agent, entry, summary, now);
        return;
    }
    const auto known = agent.flows.find(summary.flow);
    if (known == agent.flows.end())
        return;
    auto &flow = known->second;
    flow.entry = entry;
    flow.seenAt = now;
    if (summary.isReset) {
        forgetFlow(agent, summary.flow);
        return;
    }
    openFlow(agent, flow);
    flow.isCallerFinished = flow.isCallerFinished || summary.isFin;
    if (summary.length == 0 || flow.requestedAt)
        return;
    flow.requestedAt = now;
    ++agent.load.runningRequests;
}

void passToTarget(AgentRelay &agent,
                  const Endpoint &entry,
                  const PacketSummary &summary,
                  std::span<const std::byte> packet,
                  TimePoint now,
                  AgentOutput &output)
{
    noteFromCaller(agent, entry, summary, now);
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
    const auto known = agent.flows.find(summary.flow);
    const bool isUndecided = known != agent.flows.end() && !known->second.isOpen;
    if (known != agent.flows.end() && !isUndecided) {
        output.sendNotice(entry, makeNotice(agent, NoticeKind::Held, summary.flow));
        passToTarget(agent, entry, summary, packet, now, output);
        return;
    }
    if ((remembersEveryFlow(agent, now) && !isUndecided) || agent.load.state == TargetState::Closed) {
        output.sendNotice(entry, makeNotice(agent, NoticeKind::Denied, summary.flow));
        return;
    }
    if (agent.offers.size() >= agent.limits.offers && !agent.offers.contains(summary.flow))
        return;
    agent.offers[summary.flow] = {entry, now};
    passToTarget(agent, entry, summary, packet, now, output);
}

FlowVerdict verdictOn(const AgentRelay &agent, const FlowKey &key, TimePoint now)
{
    const auto known = agent.flows.find(key);
    if (known != agent.flows.end())
        return known->second.isOpen ? FlowVerdict::Held : FlowVerdict::Unknown;
    const bool isDenied = remembersEveryFlow(agent, now) || agent.load.state == TargetState::Closed;
    return isDenied ? FlowVerdict::Denied : FlowVerdict::Unknown;
}

/// Compares the target's run with this process: every packet to a target passes its agent, so an agent that is older than its
/// target, or started together with it, knows all flows.
void noteTargetRun(AgentRelay &agent, Incarnation run)
{
    if (run == 0 || agent.agentIncarnation == 0)
        return;
    if (run + static_cast<Incarnation>(agent.limits.restartTime.count()) >= agent.agentIncarnation)
        agent.hasCompleteFlowTable = true;
}

void onReturned(AgentRelay &agent, const PacketSummary &summary, std::span<const std::byte> packet, AgentOutput &output)
{
    if (const auto offer = agent.offers.find(summary.flow); offer != agent.offers.end() && !summary.isInitialSyn()) {
        output.sendNotice(offer->second.entry, makeNotice(agent, NoticeKind::Denied, summary.flow));
        agent.offers.erase(offer);
        return;
    }
    forgetFlow(agent, summary.flow);
    auto notice = makeNotice(agent, NoticeKind::Returned, summary.flow);
    notice.packet = packet;
    const Endpoint entry {summary.mark, agent.daemonPort};
    if (agent.subscriptions.contains(entry))
        output.sendNotice(entry, notice);
}

void noteFromTarget(AgentRelay &agent, const PacketSummary &summary, AgentFlow &flow, TimePoint now)
{
    flow.seenAt = now;
    if (summary.isSyn) {
        flow.sequence = summary.sequence;
        return;
    }
    openFlow(agent, flow);
    if (summary.length > 0 && flow.requestedAt) {
        noteResponse(agent, flow, now);
        endRequest(agent, flow);
    }
    flow.isTargetFinished = flow.isTargetFinished || summary.isFin;
    if (flow.isTargetFinished && flow.isCallerFinished)
        closeFlow(agent, flow);
}

bool isForgettable(const AgentRelay &agent, const AgentFlow &flow, TimePoint now)
{
    const bool isFinished = flow.isTargetFinished && flow.isCallerFinished;
    const bool isEmbryonic = !flow.isOpen;
    return now - flow.seenAt >= (isFinished || isEmbryonic ? agent.limits.finishedTime : agent.limits.idleTime);
}

void sweep(AgentRelay &agent, TimePoint now)
{
    for (auto flow = agent.flows.begin(); flow != agent.flows.end();) {
        const auto current = flow++;
        if (!isForgettable(agent, current->second, now))
            continue;
        closeFlow(agent, current->second);
        agent.flows.erase(current);
    }
    std::erase_if(agent.offers, [&](const auto &offer) { return now - offer.second.offeredAt >= agent.limits.finishedTime; });
    std::erase_if(agent.subscriptions, [&](const auto &entry) { return now - entry.second.heardAt >= agent.limits.subscription; });
}

Duration reportPause(const AgentRelay &agent)
{
    const auto needed = Duration {1'000} * static_cast<int>(agent.subscriptions.size()) / agent.limits.reportsPerSecond;
    return std::max<Duration>(agent.limits.reportInterval, needed);
}

void sendReports(AgentRelay &agent, TimePoint now, AgentOutput &output)
{
    const auto pause = reportPause(agent);
    for (auto &[entry, subscription] : agent.subscriptions) {
        if (now - subscription.reportedAt < pause)
            continue;
        subscription.reportedAt = now;
        output.sendReport(entry, {agent.service, agent.load});
    }
}

void reviewTarget(AgentRelay &agent, TimePoint now)
{
    const bool isSilent = agent.unansweredSince && now - *agent.unansweredSince >= agent.limits.answerTime;
    if (agent.load.state != TargetState::Closed)
        agent.load.state = isSilent ? TargetState::Silent : TargetState::Answering;
}

void subscribe(AgentRelay &agent, const Endpoint &entry, TimePoint now)
{
    const auto known = agent.subscriptions.find(entry);
    if (known != agent.subscriptions.end())
        known->second.heardAt = now;
    else if (agent.subscriptions.size() < agent.limits.entryDaemons)
        agent.subscriptions[entry] = {now, {}};
}

} // namespace

void onEnvelope(AgentRelay &agent,
                const Endpoint &entry,
                const RelayEnvelope &envelope,
                const std::optional<PacketSummary> &summary,
                TimePoint now,
                AgentOutput &output)
{
    subscribe(agent, entry, now);
    if (envelope.purpose == EnvelopePurpose::Subscribe && envelope.service == agent.service)
        noteTargetRun(agent, envelope.targetIncarnation);
    if (envelope.purpose == EnvelopePurpose::Subscribe || !summary)
        return;
    if (envelope.service != agent.service) {
        auto notice = makeNotice(agent, NoticeKind::WrongService, summary->flow);
        notice.packet = envelope.packet;
        output.sendNotice(entry, notice);
        return;
    }
    if (envelope.purpose == EnvelopePurpose::Place && agent.load.runningRequests >= envelope.busyThreshold) {
        auto notice = makeNotice(agent, NoticeKind::Busy, summary->flow);
        notice.packet = envelope.packet;
        output.sendNotice(entry, notice);
        return;
    }
    if (envelope.purpose == EnvelopePurpose::Search)
        onSearch(agent, entry, *summary, envelope.packet, now, output);
    else
        passToTarget(agent, entry, *summary, envelope.packet, now, output);
}

RelayAnswer answerQuery(AgentRelay &agent, const Endpoint &entry, const RelayQuery &query, TimePoint now)
{
    subscribe(agent, entry, now);
    RelayAnswer answer;
    answer.service = agent.service;
    answer.load = agent.load;
    const bool isOwnService = query.service == agent.service;
    for (const auto &flow : query.flows)
        answer.findings.push_back({flow, isOwnService ? verdictOn(agent, flow, now) : FlowVerdict::Denied});
    return answer;
}

void onTargetPacket(AgentRelay &agent, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, AgentOutput &output)
{
    agent.unansweredSince.reset();
    agent.load.state = TargetState::Answering;
    if (summary.isReturned) {
        onReturned(agent, summary, packet, output);
        return;
    }
    output.sendToCaller(summary.flow.caller, packet);
    if (summary.isReset) {
        forgetFlow(agent, summary.flow);
        return;
    }
    auto *flow = recordOf(agent, summary.flow);
    if (flow != nullptr)
        noteFromTarget(agent, summary, *flow, now);
    if (const auto offer = agent.offers.find(summary.flow); offer != agent.offers.end()) {
        output.sendNotice(offer->second.entry, makeNotice(agent, NoticeKind::Held, summary.flow));
        agent.offers.erase(offer);
    }
    if (!summary.isSyn)
        return;
    if (flow == nullptr || flow->entry == Endpoint {})
        return;
    auto notice = makeNotice(agent, NoticeKind::Accepted, summary.flow);
    notice.sequence = summary.sequence;
    output.sendNotice(flow->entry, notice);
}

void onPortClosed(AgentRelay &agent, TimePoint now, AgentOutput &output)
{
    if (agent.load.state == TargetState::Closed)
        return;
    agent.load = TargetLoad {};
    agent.load.state = TargetState::Closed;
    agent.flows.clear();
    // Whatever target comes next, its flows pass this agent from the first packet on.
    agent.hasCompleteFlowTable = true;
    for (const auto &[key, offer] : agent.offers)
        output.sendNotice(offer.entry, makeNotice(agent, NoticeKind::Denied, key));
    agent.offers.clear();
    for (auto &[entry, subscription] : agent.subscriptions) {
        subscription.reportedAt = now;
        output.sendReport(entry, {agent.service, agent.load});
    }
}

bool isPortCheckDue(const AgentRelay &agent, TimePoint now)
{
    if (agent.load.state == TargetState::Closed)
        return false;
    const bool isSynUnanswered = agent.unansweredSince && now - *agent.unansweredSince >= agent.limits.answerTime;
    return isSynUnanswered || std::any_of(agent.offers.begin(), agent.offers.end(), [&](const auto &offer) {
               return now - offer.second.offeredAt >= agent.limits.offerTime;
           });
}

void onAgentTick(AgentRelay &agent, TimePoint now, AgentOutput &output)
{
    reviewTarget(agent, now);
    sendReports(agent, now, output);
    sweep(agent, now);
}

} // namespace Papaya
