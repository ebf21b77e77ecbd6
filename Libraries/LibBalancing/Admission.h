#pragma once

#include "LibBalancing/TargetDirectory.h"
#include "LibState/RouteTable.h"

#include <cstddef>
#include <cstdint>

/// Rules that decide whether a target, or a service, has room for a new flow.
namespace Papaya {

/// Returns the number of requests at which a target counts as busy: the smaller one of a number of slots and the target's
/// capacity. A capacity of 0 means that its agent has no estimate.
[[nodiscard]] std::uint32_t busyLimit(std::uint32_t slots, const TargetLoad &load);

/// Returns the number of slots of a target that are taken by running requests or reserved for requests on their way.
[[nodiscard]] std::uint32_t takenSlots(const TargetLoad &load);

/// Returns whether a target has no room for a flow that is placed with a busy threshold.
[[nodiscard]] bool isBusy(const TargetLoad &load, std::uint32_t busyThreshold);

/// Whether all routes to a service have the urgency of this one, or some are more urgent.
enum class Urgency : std::uint8_t {
    /// No route to the service is more urgent.
    Highest,
    Lower,
};

/// Returns how urgent a route is among the routes to a service. A route with priority 0 takes constant time.
[[nodiscard]] Urgency urgencyOf(const RouteTable &routes, const Route &route, ServiceId service);

/// How a SYN is sent to a target.
struct AdmissionTerms {
    EnvelopePurpose purpose = EnvelopePurpose::Place;
    /// For Place: the number of running requests and reserved slots at which the agent rejects the SYN.
    std::uint32_t busyThreshold = 0;

    bool operator==(const AdmissionTerms &) const = default;
};

/// Returns how a SYN is sent to a target with a number of slots, after agents have rejected the SYN as busy a number of times. A route
/// with lower urgency leaves the last slot of a target with at least two slots to the more urgent ones. Whatever its urgency, a SYN
/// is sent as `Forward` after `maximumRejections`, so it waits for at most that many rejections. An agent returns a `Forward` only for the
/// bound on cold targets or an evacuation.
[[nodiscard]] AdmissionTerms admissionTerms(std::uint32_t slots, Urgency urgency, std::size_t rejections, std::size_t maximumRejections);

/// A report that is older than this says nothing of a target's room.
inline constexpr Duration RoomReportValidity {1'000};

/// Returns whether a target may answer one more request within a time. Only a report that is not older than `RoomReportValidity`
/// denies it, and only if at least as many requests wait at the target as run there.
[[nodiscard]] bool mayAnswerWithin(const TargetRecord &record, Duration timeout, TimePoint now);

/// Returns whether a target of a route's services may answer one more request within the route's timeout. Without a timeout, and
/// without a target that accepts new flows, there is no reason to reject a flow for lack of room.
[[nodiscard]] bool hasRoom(const TargetDirectory &directory, const Route &route, TimePoint now);

} // namespace Papaya
