#pragma once

#include "LibTransport/DaemonMessages.h"
#include "LibTransport/LoopMonitor.h"

#include <memory>

namespace Papaya {

/// Whether a daemon's main task answers a KnowledgeRequest, so that its server has the path /knowledge.
enum class KnowledgeService : std::uint8_t {
    None,
    Served,
};

/// What a daemon's HTTP server serves.
struct OperatorOptions {
    KnowledgeService knowledge = KnowledgeService::None;
    /// Shows whether the main task still turns; null if that is not known. A daemon whose main task does not is not ready.
    std::shared_ptr<const LoopMonitor> monitor;
};

/// The HTTP server for operators (/healthz, /readyz, /metrics, /status, /explain?flow=FIVE-TUPLE) and, where it is served, for other entry
/// daemons (/knowledge). All requests are read-only. Other paths are answered with 404, other methods than GET with 405, and invalid
/// parameters with 400 and one line that says what is wrong.
class OperatorHttpTask : public caf::blocking_actor
{
public:
    OperatorHttpTask(caf::actor_config &config, Endpoint address, caf::actor mainTask, OperatorOptions options = {});

    void act() override;

private:
    Endpoint m_address;
    caf::actor m_mainTask;
    OperatorOptions m_options;
};

} // namespace Papaya
