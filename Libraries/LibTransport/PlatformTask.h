#pragma once

#include "LibTransport/DaemonMessages.h"
#include "LibTransport/HttpClient.h"

#include <optional>

namespace Papaya {

/// A resource of the platform's service.
enum class PlatformResource {
    Configuration,
    VmList,
};

/// Watches one resource of the platform's service with HTTP long polls and sends each version to ControlStateTask. Never writes to the
/// platform.
class PlatformTask : public caf::blocking_actor
{
public:
    PlatformTask(caf::actor_config &config, PlatformResource resource, Endpoint platform, std::string self, caf::actor controlState);

    void act() override;

private:
    /// Sends one long poll. Returns how long to wait before the next one.
    [[nodiscard]] Duration poll();
    /// Sends a version of the resource to ControlStateTask.
    void offer(std::uint64_t version, const std::string &body);
    /// Handles messages for `duration`, the time until the next poll. Returns earlier if this daemon becomes a platform reader.
    void handleMessages(Duration duration);

    PlatformResource m_resource;
    Endpoint m_platform;
    HttpClient m_client;
    std::string m_self;
    caf::actor m_controlState;
    std::uint64_t m_version = 0;
    /// Whether this daemon polls the platform itself, rather than relying on peers. See isPlatformReader().
    bool m_isReader = true;
    bool m_isStopped = false;
    bool m_wasReachable = true;
    int m_failures = 0;
};

} // namespace Papaya
