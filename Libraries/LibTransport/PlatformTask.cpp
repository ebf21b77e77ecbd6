#include "LibTransport/PlatformTask.h"

#include "LibCoordination/PeerSelection.h"
#include "LibCoordination/RetryBackoff.h"
#include "LibState/FlowKey.h"
#include "LibTransport/EventLog.h"

#include <charconv>

namespace Papaya {

namespace {

/// How long the platform holds a read that has nothing new to answer.
constexpr std::chrono::milliseconds HoldTime {10'000};
constexpr Duration ReadTimeout {13'000};
constexpr Duration ConnectTimeout {2'000};
/// How often a daemon that learns from peers reads all the same, in case all its readers are wrong.
constexpr Duration BackstopInterval {60'000};

std::string requestPath(PlatformValue value, std::uint64_t version)
{
    const std::string path = value == PlatformValue::Configuration ? "/configuration" : "/vms";
    return path + "?after=" + std::to_string(version) + "&wait_ms=" + std::to_string(HoldTime.count());
}

std::uint64_t parseVersion(const std::string &text)
{
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

} // namespace

PlatformTask::PlatformTask(caf::actor_config &config, PlatformValue value, Endpoint platform, std::string self, caf::actor knowledge)
    : caf::blocking_actor(config)
    , m_value(value)
    , m_platform(platform)
    , m_client(platform)
    , m_self(std::move(self))
    , m_knowledge(std::move(knowledge))
{
}

void PlatformTask::act()
{
    send(m_knowledge, SubscribeToControlState {this});
    while (!m_isStopped) {
        const auto pause = poll();
        handleMessages(m_isReader ? pause : BackstopInterval);
    }
}

Duration PlatformTask::poll()
{
    const auto response = m_client.get(requestPath(m_value, m_version), ConnectTimeout, ReadTimeout);
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
    // A stale platform may answer with an older version; asking after it again would only repeat the answer at once.
    m_version = std::max(m_version, version);
    if (m_value == PlatformValue::Configuration)
        send(m_knowledge, OfferConfiguration {{version, body}, RevisionSource::Platform});
    else
        send(m_knowledge, OfferVmList {body, RevisionSource::Platform});
}

void PlatformTask::handleMessages(Duration duration)
{
    bool isOver = false;
    while (!isOver && !m_isStopped) {
        receive(
            [&](const ConfigurationInForce &inForce) {
                if (m_value == PlatformValue::Configuration)
                    m_version = std::max(m_version, inForce.configuration->revision);
            },
            [&](const VmListInForce &inForce) {
                if (m_value == PlatformValue::VmList)
                    m_version = std::max(m_version, inForce.list->version);
                const bool wasReader = std::exchange(m_isReader, isPlatformReader(inForce.list->machines, m_self, PeerLimits {}));
                isOver = m_isReader && !wasReader;
            },
            [&](Stop) { m_isStopped = true; },
            caf::after(duration) >> [&] { isOver = true; });
    }
}

} // namespace Papaya
