#include "LibTransport/TimerTask.h"

namespace Papaya {

TimerTask::TimerTask(caf::actor_config &config)
    : caf::event_based_actor(config)
{
}

caf::behavior TimerTask::make_behavior()
{
    return {
        [this](const SubscribeToTicks &subscription) {
            send(subscription.subscriber, Tick {});
            delayed_send(this, subscription.interval, subscription);
        },
    };
}

} // namespace Papaya
