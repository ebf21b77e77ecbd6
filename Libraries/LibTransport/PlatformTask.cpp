#include "LibTransport/PlatformTask.h"

#include "LibCoordination/PeerSelection.h"
#include "LibCoordination/RetryBackoff.h"
#include "LibState/FlowKey.h"
#include "LibTransport/EventLog.h"

#include <charconv>

namespace Papaya {

namespace {

/// How long the platform delays its response to a long poll while there is no newer version.
constexpr std::chrono::milliseconds LongPollTimeout {10'000};
constexpr Duration ReadTimeout {13'000};
constexpr Duration ConnectTimeout {2'000};
/// How often a daemon that is not a platform reader polls the platform anyway, in case the readers of its failure domain fail or have a
/// stale version.
constexpr Duration FallbackPollInterval {60'000};

std::string requestPath(PlatformResource resource, std::uint64_t version)
{
    const std::string path = resource == PlatformResource::Configuration ? "/configuration" : "/vms";
    return path + "?after=" + std::to_string(version) + "&wait_ms=" + std::to_string(LongPollTimeout.count());
}

std::uint64_t parseVersion(const std::string &text)
{
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

} // namespace

PlatformTask::PlatformTask(caf::actor_config &config,
                           PlatformResource resource,
                           Endpoint platform,
                           std::string self,
                           caf::actor controlState)
    : caf::blocking_actor(config)
    , m_resource(resource)
    , m_platform(platform)
    , m_client(platform)
    , m_self(std::move(self))
    , m_controlState(std::move(controlState))
{
}

void PlatformTask::act()
{
    send(m_controlState, SubscribeToControlState {this});
    while (!m_isStopped) {
        const auto pause = poll();
        handleMessages(m_isReader ? pause : FallbackPollInterval);
    }
}

Duration PlatformTask::poll()
{
    const auto response = m_client.get(requestPath(m_resource, m_version), ConnectTimeout, ReadTimeout);
    const bool isReachable = response.has_value() && (response.value().status == 200 || response.value().status == 204);
    if (isReachable != m_wasReachable)
        EventLog(isReachable ? "platform_reachable" : "platform_unreachable", isReachable ? LogLevel::Info : LogLevel::Warning)
            .with("address", toString(m_platform));
    m_wasReachable = isReachable;
    if (!isReachable)
        return retryBackoff(++m_failures, hashOf(m_self));
    m_failures = 0;
    if (response.value().status == 200)
        offer(parseVersion(response.value().header("Version")), response.value().body);
    return Duration(0);
}

void PlatformTask::offer(std::uint64_t version, const std::string &body)
{
    // A stale platform may return an older version. Polling with that older version would return the same response immediately, again and
    // again.
    m_version = std::max(m_version, version);
    if (m_resource == PlatformResource::Configuration)
        send(m_controlState, OfferConfiguration {{version, body}, RevisionSource::Platform});
    else
        send(m_controlState, OfferVmList {body, RevisionSource::Platform});
}

void PlatformTask::handleMessages(Duration duration)
{
    bool isOver = false;
    while (!isOver && !m_isStopped) {
        receive(
            [&](const ConfigurationInForce &inForce) {
                if (m_resource == PlatformResource::Configuration)
                    m_version = std::max(m_version, inForce.configuration->revision);
            },
            [&](const VmListInForce &inForce) {
                if (m_resource == PlatformResource::VmList)
                    m_version = std::max(m_version, inForce.list->version);
                const bool wasReader = std::exchange(m_isReader, isPlatformReader(inForce.list->machines, m_self, PeerLimits {}));
                isOver = m_isReader && !wasReader;
            },
            [&](Stop) { m_isStopped = true; },
            caf::after(duration) >> [&] { isOver = true; });
    }
}

} // namespace Papaya
