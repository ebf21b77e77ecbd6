#include "LibTransport/PlatformTask.h"

#include "LibCoordination/PeerSelection.h"
#include "LibCoordination/RetryPause.h"
#include "LibState/FlowKey.h"
#include "LibTransport/EventLog.h"

#include <httplib.h>

#include <charconv>

namespace Papaya {

namespace {

/// How long the platform holds a read that has nothing new to answer.
constexpr std::chrono::milliseconds HoldTime {10'000};
constexpr std::chrono::seconds ReadTimeout {13};
constexpr std::chrono::seconds ConnectTimeout {2};
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

std::string hostOf(const Endpoint &endpoint)
{
    const auto text = toString(endpoint);
    return text.substr(0, text.find(':'));
}

} // namespace

PlatformTask::PlatformTask(caf::actor_config &config, PlatformValue value, Endpoint platform, std::string self, caf::actor knowledge)
    : caf::blocking_actor(config)
    , m_value(value)
    , m_platform(platform)
    , m_self(std::move(self))
    , m_knowledge(std::move(knowledge))
{
}

void PlatformTask::act()
{
    send(m_knowledge, SubscribeToKnowledge {this});
    while (!m_isStopped) {
        const auto pause = poll();
        handleMessages(m_isReader ? pause : BackstopInterval);
    }
}

Duration PlatformTask::poll()
{
    httplib::Client client(hostOf(m_platform), m_platform.port);
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(ReadTimeout);
    const auto response = client.Get(requestPath(m_value, m_version));
    const bool isReachable = response && (response->status == 200 || response->status == 204);
    if (isReachable != m_wasReachable)
        EventLog(isReachable ? "platform_reachable" : "platform_unreachable", isReachable ? LogLevel::Info : LogLevel::Warning)
            .with("address", toString(m_platform));
    m_wasReachable = isReachable;
    if (!isReachable)
        return retryPause(++m_failures, hashOf(m_self));
    m_failures = 0;
    if (response->status == 200)
        offer(parseVersion(response->get_header_value("Version")), response->body);
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
