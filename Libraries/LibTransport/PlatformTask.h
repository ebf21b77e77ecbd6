#pragma once

#include "LibTransport/DaemonMessages.h"
#include "LibTransport/HttpClient.h"

#include <optional>

namespace Papaya {

/// Which resource of the platform's service a task watches.
enum class PlatformResource {
    Configuration,
    VmList,
};

/// Watches one resource of the platform's service by HTTP long poll and offers what it reads to the knowledge task. Nothing is
/// ever written to the platform.
class PlatformTask : public caf::blocking_actor
{
public:
    PlatformTask(caf::actor_config &config, PlatformResource resource, Endpoint platform, std::string self, caf::actor controlState);

    void act() override;

private:
    /// Reads once. Returns how long to pause before the next read.
    [[nodiscard]] Duration poll();
    void offer(std::uint64_t version, const std::string &body);
    /// Handles messages for a while: pauses between reads, and waits while others read for this daemon.
    void handleMessages(Duration duration);

    PlatformResource m_resource;
    Endpoint m_platform;
    HttpClient m_client;
    std::string m_self;
    caf::actor m_controlState;
    std::uint64_t m_version = 0;
    bool m_isReader = true;
    bool m_isStopped = false;
    bool m_wasReachable = true;
    int m_failures = 0;
};

} // namespace Papaya
