#pragma once

#include "LibTransport/DaemonMessages.h"

namespace Papaya {

/// The timer service: sends a Tick to each subscriber in every interval that it asked for.
class TimerTask : public caf::event_based_actor
{
public:
    explicit TimerTask(caf::actor_config &config);

protected:
    caf::behavior make_behavior() override; // NOLINT(readability-identifier-naming): CAF's name.
};

} // namespace Papaya
