#pragma once

#include "LibBalancing/TargetDirectory.h"
#include "LibState/RouteTable.h"

#include <caf/all.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The messages between the task that watches the platform's store and the main task of a relaying entry daemon.
namespace Papaya {

/// A route table read from the platform. It may be older than the one in force.
struct RoutesReceived {
    std::shared_ptr<const RouteTable> routes;
};

/// All changes that the platform had at the time `asOf`, up to `revision`, have been sent to the main task.
struct TargetsCurrent {
    TimePoint asOf;
    PlatformRevision revision;
};

/// The platform's revision at the time `asOf`, read on a connection of its own.
struct ListChecked {
    PlatformRevision revision;
    TimePoint asOf;
};

/// Requests a ListChecked. Sent by the main task. A check that fails has no answer.
struct ListCheckRequest {
};

/// The first message of the task that answers a ListCheckRequest.
struct ListCheckReady {
};

/// The platform responded for the first time, or again after a failure.
struct PlatformReachable {
};

/// Requests changes from the platform without delay. Sent by the main task.
struct RefreshRequest {
};

/// The complete list of targets on the platform.
struct TargetsListed {
    std::shared_ptr<const std::vector<PublishedTarget>> targets;
    /// How long a target that is missing from the list may still be published again. It counts as withdrawn after that.
    Duration withdrawalGrace {0};
};

/// A target that was published for the first time or has changed.
struct TargetPublished {
    PublishedTarget target;
};

/// A target that was removed from the platform.
struct TargetWithdrawn {
    MemberId target = 0;
    /// How long the target may still be published again. It counts as withdrawn after that.
    Duration grace {0};
};

/// The evacuated failure domains according to a full read of the platform. Sent before the read's TargetsListed, so that no target of
/// these domains gets a new flow.
struct EvacuationsListed {
    std::shared_ptr<const EvacuationList> list;
};

/// A failure domain was evacuated, or its evacuation has ended.
struct EvacuationChanged {
    std::string domain;
    EvacuationStatement statement;
};

} // namespace Papaya

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::RoutesReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::TargetsCurrent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::PlatformReachable)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::ListChecked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::ListCheckRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::ListCheckReady)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::RefreshRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::TargetsListed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::TargetPublished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::TargetWithdrawn)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::EvacuationsListed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::EvacuationChanged)
