#include "LibTransport/MessageGuard.h"

#include "LibTransport/EventLog.h"

namespace Papaya {

void MessageGuard::recordUnexpected(const caf::message &message)
{
    if (m_unexpectedCount++ > 0)
        return;
    const auto *type = message.empty() ? nullptr : message.vals()->type(0).second;
    EventLog("message_unexpected", LogLevel::Error).with("type", type == nullptr ? "unknown" : type->name());
}

void MessageGuard::recordException(const std::exception &exception)
{
    if (m_exceptionCount++ == 0)
        EventLog("message_failed", LogLevel::Error).with("cause", exception.what());
}

void setMessageGauges(Metrics &metrics, const MessageGuard &guard)
{
    metrics.setGauge("messages_unexpected", static_cast<double>(guard.unexpectedCount()));
    metrics.setGauge("messages_failed", static_cast<double>(guard.exceptionCount()));
}

} // namespace Papaya
