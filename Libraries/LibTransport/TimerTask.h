#pragma once

#include "LibTransport/DaemonMessages.h"

namespace Papaya {

/// Sends a Tick to each subscriber periodically, at the interval of its subscription.
class TimerTask : public caf::event_based_actor
{
public:
    explicit TimerTask(caf::actor_config &config);

protected:
    caf::behavior make_behavior() override; // NOLINT(readability-identifier-naming): CAF's name.
};

} // namespace Papaya
