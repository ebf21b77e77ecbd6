#include "FlowTask.h"

#include "LibCoordination/FlowPlacement.h"
#include "LibTransport/ExplainFlow.h"

/// The status, the metrics and the explanations of flows that FlowTask returns to operators.
namespace Papaya {

StatusReport FlowTask::report()
{
    nlohmann::json status;
    status["name"] = m_settings.name;
    status["role"] = "target";
    status["revision"] = m_flows.revision;
    status["vm_list_version"] = m_members.machines.version;
    status["service"] = m_service ? m_service->name : "";
    status["leaving"] = isLeaving();
    status["target_up"] = m_isTargetUp;
    status["flows_owned"] = m_flows.owned.size();
    status["connections"] = connectionCount();
    status["directory"] = m_flows.directory.size();
    status["slots_open"] = m_engine->queue().openSlots;
    status["requests_running"] = m_engine->queue().running.size();
    status["requests_waiting"] = m_engine->queue().waiting.size();
    for (const auto &member : m_flows.members) {
        nlohmann::json entry;
        entry["name"] = member.name;
        entry["eligible"] = isEligible(member);
        entry["connections"] = member.load.connections;
        status["members"].push_back(entry);
    }
    m_metrics.setGauge("configuration_revision", static_cast<double>(m_flows.revision));
    m_metrics.setGauge("connections", static_cast<double>(connectionCount()));
    m_metrics.setGauge("flows_owned", static_cast<double>(m_flows.owned.size()));
    m_metrics.setGauge("flow_directory", static_cast<double>(m_flows.directory.size()));
    m_metrics.setGauge("requests_running", static_cast<double>(m_engine->queue().running.size()));
    m_metrics.setGauge("requests_waiting", static_cast<double>(m_engine->queue().waiting.size()));
    m_metrics.setGauge("slots_open", m_engine->queue().openSlots);
    StatusReport report;
    report.isReady = m_service.has_value() && m_isTargetUp && !isLeaving();
    report.statusJson = status.dump();
    report.metricsText = m_metrics.prometheusText();
    return report;
}

ExplainReport FlowTask::explain(const std::string &text) const
{
    return explainFlow(text, [&](const FlowKey &flow, nlohmann::json &answer) {
        const auto directoryEntry = m_flows.directory.find(flow);
        answer["owned"] = m_flows.owned.contains(flow);
        answer["known_owner"] = directoryEntry == m_flows.directory.end() ? 0 : directoryEntry->second.owner;
        answer["new_flow_decision"] = placementReasonName(decideNewFlow(m_flows, 0));
        const auto witness = witnessOf(m_flows, m_flows.self, flow);
        for (const auto &member : m_flows.members) {
            if (member.id == witness)
                answer["witness"] = member.name;
        }
    });
}

} // namespace Papaya
