#include "RelayEntryTask.h"

#include "LibBalancing/Admission.h"
#include "LibBalancing/VmEntries.h"
#include "LibCoordination/ListEvidence.h"
#include "LibTransport/ExplainFlow.h"
#include "LibTransport/MonotonicClock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

/// What a relaying entry daemon tells its operators: log lines of its decisions, status, metrics and explanations.
namespace Papaya {

namespace {

/// Limit on the entries that an explanation lists as set aside.
constexpr std::size_t MaximumExplainedEntries = 20;

bool isRoutine(RelayReason reason)
{
    return reason == RelayReason::Placed || reason == RelayReason::PlacedAfterBusy || reason == RelayReason::Opened
           || reason == RelayReason::SearchFound || reason == RelayReason::SearchStarted;
}

/// Returns whether a reset for this reason rests on what the daemon knows of an agent.
bool isDecidedByAgentState(RelayReason reason)
{
    return reason == RelayReason::AgentUnreachable || reason == RelayReason::TargetGone;
}

/// Writes a time in the past as its age. Nothing is written without a time.
void writeAge(EventLog &line, std::string_view key, const std::optional<TimePoint> &time, TimePoint now)
{
    if (time)
        line.with(key, std::to_string((now - *time).count()));
}

/// Writes what a reset was decided by: how long the agent has been silent, and what is known of its target.
void writeAgentState(EventLog &line, const TargetRecord &record, TimePoint now)
{
    if (record.unanswered) {
        writeAge(line, "unanswered_ms", record.unanswered->since, now);
        line.with("unanswered_queries", static_cast<std::uint64_t>(record.unanswered->queryCount));
    }
    writeAge(line, "message_ms", record.lastMessageAt, now);
    writeAge(line, "withdrawn_ms", record.withdrawnAt, now);
    line.with("target", record.published.name)
        .with("target_state", targetStateName(record.load.state))
        .with("draining", record.published.isDraining ? "true" : "false");
}

/// Returns the entries that an explanation lists as set aside.
std::vector<SetAsideEntry> firstSetAside(const EntryRelay &entry, TimePoint now)
{
    auto entries = listSetAside(entry, now);
    entries.resize(std::min(entries.size(), MaximumExplainedEntries));
    return entries;
}

/// Returns what is known of the load of an agent's target.
nlohmann::json explainLoad(const TargetRecord &record, TimePoint now)
{
    const auto &load = record.load;
    nlohmann::json answer {{"name", record.published.name},
                           {"slots", record.published.slots},
                           {"running", load.runningRequests},
                           {"reserved", load.reservedSlots},
                           {"capacity", load.capacity}};
    if (record.lastMessageAt)
        answer["report_age_ms"] = (now - *record.lastMessageAt).count();
    return answer;
}

} // namespace

void RelayEntryTask::recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent)
{
    ++m_decisionCounts[static_cast<std::size_t>(reason)];
    auto &limiter = isRoutine(reason) ? m_routineLogLimiter : m_failureLogLimiter;
    if (!limiter.allow(currentTime()))
        return;
    EventLog line("flow_decision", isRoutine(reason) ? LogLevel::Info : LogLevel::Warning);
    line.with("flow", toString(flow)).with("reason", relayReasonName(reason)).with("routes", m_relay.routes.version);
    if (agent != Endpoint {})
        line.with("agent", toString(agent));
    const auto found = m_relay.flows.find(flow);
    const bool isResetAtTarget =
        reason == RelayReason::LostAtTarget || reason == RelayReason::TargetGone || reason == RelayReason::AgentUnreachable;
    if (found != m_relay.flows.end() && isResetAtTarget)
        line.with("evidence", flowEvidenceName(found->second.evidence));
    if (found != m_relay.flows.end() && isResetAtTarget && found->second.stage == EntryFlowStage::Open)
        line.with("open_ms", static_cast<std::uint64_t>((currentTime() - found->second.changedAt).count()));
    if (found != m_relay.flows.end() && (reason == RelayReason::HeldByNobody || reason == RelayReason::SearchFound))
        line.with("search_ms", static_cast<std::uint64_t>((currentTime() - found->second.searchStartedAt).count()));
    const auto *record = findByAgent(std::as_const(m_relay.directory), agent);
    if (record != nullptr && isDecidedByAgentState(reason))
        writeAgentState(line, *record, currentTime());
}

void RelayEntryTask::recordEvacuation(const std::string &domain, const EvacuationStatement &statement, EvacuationSource source)
{
    EventLog(statement.isEvacuated ? "domain_evacuated" : "domain_returned")
        .with("domain", domain)
        .with("revision", statement.asOf.number)
        .with("era", statement.asOf.era)
        .with("source", evacuationSourceName(source));
}

void RelayEntryTask::logSetAside(TimePoint now)
{
    m_setAsideLoggedAt = now;
    m_setAsideLog.update(listSetAside(m_relay, now), m_metrics);
}

void RelayEntryTask::logListEvidence(TimePoint now)
{
    const auto evidence = listEvidence(m_relay, now);
    if (m_isListSettled || evidence == ListEvidence::None)
        return;
    m_isListSettled = true;
    EventLog("targets_settled")
        .with("evidence", listEvidenceName(evidence))
        .with("targets", m_relay.directory.targets.size())
        .with("after_ms", static_cast<std::uint64_t>((now - m_relay.startedAt).count()));
}

void RelayEntryTask::logSaturatedLink()
{
    const auto delayed = std::exchange(m_shaper.delayedCount, 0);
    const auto dropped = std::exchange(m_shaper.droppedCount, 0);
    if (delayed == 0 && dropped == 0)
        return;
    m_metrics.count("datagrams_delayed", "link", delayed);
    m_metrics.count("datagrams_dropped", "link", dropped);
    EventLog("link_saturated").with("delayed", delayed).with("dropped", dropped).with("waiting", m_shaper.queue.size());
}

void RelayEntryTask::logLoadKnown(TimePoint now) const
{
    const auto knowledge = loadKnowledge(m_relay, now);
    EventLog("load_known")
        .with("heard", knowledge.heard)
        .with("agents", knowledge.agents)
        .with("sufficient", knowledge.isSufficient ? "true" : "false")
        .with("after_ms", static_cast<std::uint64_t>((now - m_relay.startedAt).count()));
}

StatusReport RelayEntryTask::report()
{
    for (std::size_t reason = 0; reason < m_decisionCounts.size(); ++reason)
        m_metrics.count("flow_decisions", relayReasonName(static_cast<RelayReason>(reason)), std::exchange(m_decisionCounts[reason], 0));
    m_metrics.count("packets", "", std::exchange(m_packetCount, 0));
    setMessageGauges(m_metrics, m_messageGuard);
    m_metrics.setGauge("flows", static_cast<double>(m_relay.flows.size()));
    m_metrics.setGauge("targets", static_cast<double>(m_relay.directory.targets.size()));
    m_metrics.setGauge("domains_evacuated", static_cast<double>(evacuatedDomainCount(m_relay.directory.evacuations)));
    const auto knowledge = loadKnowledge(m_relay, currentTime());
    m_metrics.setGauge("agents_unheard", static_cast<double>(knowledge.agents - knowledge.heard));
    m_metrics.setGauge("routes_version", static_cast<double>(m_relay.routes.version));
    nlohmann::json status;
    status["name"] = m_settings.name;
    status["role"] = "relay_entry";
    status["revision"] = m_relay.routes.version;
    status["flows"] = m_relay.flows.size();
    status["targets"] = m_relay.directory.targets.size();
    status["stopping"] = m_stopAt.has_value();
    StatusReport report;
    report.isReady = isReady();
    report.statusJson = status.dump();
    report.metricsText = m_metrics.prometheusText();
    return report;
}

ExplainReport RelayEntryTask::explain(const std::string &text) const
{
    return explainFlow(text, [&](const FlowKey &key, nlohmann::json &answer) {
        const auto flow = m_relay.flows.find(key);
        answer["known"] = flow != m_relay.flows.end();
        if (flow != m_relay.flows.end())
            answer["agent"] = toString(flow->second.agent);
        const auto route = m_relay.routes.routes.find(key.service);
        if (route != m_relay.routes.routes.end()) {
            answer["route"] = route->second.name;
            answer["priority"] = route->second.priority;
            answer["has_room"] = hasRoom(m_relay.directory, route->second, currentTime());
        }
        const auto *record = flow == m_relay.flows.end() ? nullptr : findByAgent(m_relay.directory, flow->second.agent);
        if (record != nullptr)
            answer["target"] = explainLoad(*record, currentTime());
        for (const auto &[domain, statement] : m_relay.directory.evacuations.statements) {
            if (statement.isEvacuated)
                answer["evacuated"].push_back({{"domain", domain}, {"revision", statement.asOf.number}, {"era", statement.asOf.era}});
        }
        for (const auto &entry : firstSetAside(m_relay, currentTime()))
            answer["set_aside"].push_back(
                {{"target", entry.name}, {"agent", toString(entry.agent)}, {"reason", setAsideReasonName(entry.reason)}});
    });
}

} // namespace Papaya
