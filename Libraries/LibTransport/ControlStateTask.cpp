#include "LibTransport/ControlStateTask.h"

#include "LibProtocol/ConfigurationText.h"
#include "LibProtocol/VmListJson.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/MonotonicClock.h"

namespace Papaya {

namespace {

std::string_view sourceName(RevisionSource source)
{
    return source == RevisionSource::Platform ? "platform" : "peer";
}

} // namespace

ControlStateTask::ControlStateTask(caf::actor_config &config)
    : caf::event_based_actor(config)
{
    m_revisions.startedAt = currentTime();
}

caf::behavior ControlStateTask::make_behavior()
{
    return {
        [this](const SubscribeToControlState &subscription) {
            m_subscribers.push_back(subscription.subscriber);
            if (m_configuration)
                send(subscription.subscriber, *m_configuration);
            if (m_vmList)
                send(subscription.subscriber, *m_vmList);
        },
        [this](const OfferConfiguration &offer) { evaluateConfiguration(offer); },
        [this](const OfferVmList &offer) { evaluateVmList(offer); },
        [this](const OfferVmListChange &offer) { applyVmListChange(offer.change); },
        [this](const PeerRevisionReported &peer) {
            recordPeerRevision(m_revisions, peer.revision);
            retryDeferred();
        },
        [this](Tick) { retryDeferred(); },
    };
}

void ControlStateTask::evaluateConfiguration(const OfferConfiguration &offer)
{
    const auto outcome = decideRevision(m_revisions, offer.text, offer.source, currentTime());
    if (outcome.has_error()) {
        EventLog("configuration_refused", LogLevel::Warning)
            .with("revision", offer.text.revision)
            .with("source", sourceName(offer.source))
            .with(outcome.error());
        return;
    }
    if (outcome.value() == RevisionOutcome::AlreadyInForce)
        return;
    if (outcome.value() == RevisionOutcome::Deferred) {
        if (!m_deferred || m_deferred->text.revision <= offer.text.revision)
            m_deferred = offer;
        return;
    }
    auto parsed = parseConfiguration(offer.text.revision, offer.text.text);
    if (parsed.has_error()) {
        EventLog("configuration_invalid", LogLevel::Error)
            .with("revision", offer.text.revision)
            .with("source", sourceName(offer.source))
            .with(parsed.error());
        return;
    }
    activateConfiguration(offer, std::move(parsed.value()));
}

void ControlStateTask::activateConfiguration(const OfferConfiguration &offer, Configuration configuration)
{
    m_revisions.inForce = offer.text;
    m_configuration = ConfigurationInForce {std::make_shared<const Configuration>(std::move(configuration)),
                                            std::make_shared<const RevisionedText>(offer.text)};
    EventLog("configuration_in_force").with("revision", offer.text.revision).with("source", sourceName(offer.source));
    for (const auto &subscriber : m_subscribers)
        send(subscriber, *m_configuration);
}

void ControlStateTask::evaluateVmList(const OfferVmList &offer)
{
    auto parsed = parseVmList(offer.text);
    if (parsed.has_error()) {
        EventLog("vm_list_invalid", LogLevel::Error).with("source", sourceName(offer.source)).with(parsed.error());
        return;
    }
    if (m_vmList && parsed.value().version <= m_vmList->list->version)
        return;
    activateVmList(std::move(parsed.value()), offer.text, offer.source);
}

void ControlStateTask::applyVmListChange(const VmListChange &change)
{
    // A change relative to another version is not an error: after this daemon's next digest, the peer sends the changes since the version
    // in the digest or the whole list.
    auto next = m_vmList ? applyChange(*m_vmList->list, change) : std::nullopt;
    if (!next)
        return;
    auto text = formatVmList(*next);
    activateVmList(std::move(*next), std::move(text), RevisionSource::Peer);
}

void ControlStateTask::activateVmList(VmList list, std::string text, RevisionSource source)
{
    EventLog("vm_list_in_force").with("version", list.version).with("source", sourceName(source));
    m_vmList = VmListInForce {std::make_shared<const VmList>(std::move(list)), std::make_shared<const std::string>(std::move(text))};
    for (const auto &subscriber : m_subscribers)
        send(subscriber, *m_vmList);
}

void ControlStateTask::retryDeferred()
{
    if (!m_deferred)
        return;
    const auto offer = std::move(*m_deferred);
    m_deferred.reset();
    evaluateConfiguration(offer);
}

} // namespace Papaya
