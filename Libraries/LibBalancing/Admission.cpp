#include "LibBalancing/Admission.h"

#include "LibBalancing/VmEntries.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr double MicrosecondsPerMillisecond = 1'000;

bool isServedBy(const Route &route, ServiceId service)
{
    return std::any_of(route.services.begin(), route.services.end(), [&](const WeightedService &candidate) {
        return candidate.service == service && candidate.weight > 0;
    });
}

} // namespace

std::uint32_t busyLimit(std::uint32_t slots, const TargetLoad &load)
{
    return load.capacity == 0 ? slots : std::min(slots, load.capacity);
}

std::uint32_t takenSlots(const TargetLoad &load)
{
    return load.runningRequests + load.reservedSlots;
}

bool isBusy(const TargetLoad &load, std::uint32_t busyThreshold)
{
    return takenSlots(load) >= busyLimit(busyThreshold, load);
}

Urgency urgencyOf(const RouteTable &routes, const Route &route, ServiceId service)
{
    if (route.priority == 0)
        return Urgency::Highest;
    const bool isAnyMoreUrgent = std::any_of(routes.routes.begin(), routes.routes.end(), [&](const auto &item) {
        return item.second.priority < route.priority && isServedBy(item.second, service);
    });
    return isAnyMoreUrgent ? Urgency::Lower : Urgency::Highest;
}

AdmissionTerms admissionTerms(std::uint32_t slots, Urgency urgency, std::size_t rejections, std::size_t maximumRejections)
{
    const bool leavesLastSlot = urgency == Urgency::Lower && slots >= 2;
    const auto threshold = leavesLastSlot ? slots - 1 : slots;
    return {rejections >= maximumRejections ? EnvelopePurpose::Forward : EnvelopePurpose::Place, threshold};
}

bool mayAnswerWithin(const TargetRecord &record, Duration timeout, TimePoint now)
{
    if (!record.lastMessageAt || now - *record.lastMessageAt > RoomReportValidity)
        return true;
    const auto &load = record.load;
    const double slots = std::max<std::uint32_t>(record.published.slots, 1);
    if (load.responseTime == 0 || load.runningRequests < 2 * slots)
        return true;
    // The response time contains the wait of the requests that are answered now. One more request lengthens it in proportion.
    const double finishTime = load.responseTime * (load.runningRequests + 1.0) / load.runningRequests;
    return finishTime < static_cast<double>(timeout.count()) * MicrosecondsPerMillisecond;
}

bool hasRoom(const TargetDirectory &directory, const Route &route, TimePoint now)
{
    if (route.timeout == Duration(0))
        return true;
    bool isAnyKnown = false;
    for (const auto &[id, record] : directory.targets) {
        const bool isOutside = !isEvacuated(directory.evacuations, record.published.failureDomain);
        if (!isOutside || !isServedBy(route, record.published.service) || !isPlaceable(directory, record, now))
            continue;
        if (mayAnswerWithin(record, route.timeout, now))
            return true;
        isAnyKnown = true;
    }
    return !isAnyKnown;
}

} // namespace Papaya
