#pragma once

#include "LibTransport/DaemonMessages.h"

namespace Papaya {

/// The HTTP server for operators (/healthz, /readyz, /metrics, /status, /explain?flow=FIVE-TUPLE) and for other entry daemons
/// (/knowledge). All requests are read-only.
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
