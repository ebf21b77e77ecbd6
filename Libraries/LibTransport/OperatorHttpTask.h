#pragma once

#include "LibTransport/DaemonMessages.h"

namespace Papaya {

/// Serves operators over HTTP: /healthz, /readyz, /metrics, /status and /explain?flow=FIVE-TUPLE, and other daemons: /knowledge.
/// Everything is read-only.
class OperatorHttpTask : public caf::blocking_actor
{
public:
    OperatorHttpTask(caf::actor_config &config, Endpoint address, caf::actor mainTask);

    void act() override;

private:
    Endpoint m_address;
    caf::actor m_mainTask;
};

} // namespace Papaya
