#pragma once

#include "LibCoordination/TargetDirectory.h"
#include "LibState/RouteTable.h"

#include <caf/all.hpp>

#include <memory>
#include <optional>
#include <vector>

/// What the task that reads the platform tells a relaying daemon's main task.
namespace Papaya {

/// A route table that the platform has; it may be older than the one in force.
struct RoutesReceived {
    std::shared_ptr<const RouteTable> routes;
};

/// All changes that the platform had before a time were told.
struct TargetsCurrent {
    TimePoint asOf;
};

/// A watch of the platform began to wait, or ended.
struct WatchStateChanged {
    std::optional<TimePoint> waitingSince;
};

/// Asks the task that reads the platform for changes now.
struct RefreshRequest {
};

/// Every target that the platform lists.
struct TargetsListed {
    std::shared_ptr<const std::vector<PublishedTarget>> targets;
    /// How long targets that are missing from the list may still be listed again.
    Duration withdrawalGrace {0};
};

/// A target whose publication is new or has changed.
struct TargetPublished {
    PublishedTarget target;
};

/// A target that the platform no longer lists.
struct TargetWithdrawn {
    MemberId target = 0;
    /// How long it may still be listed again.
    Duration grace {0};
};

} // namespace Papaya

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::RoutesReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::TargetsCurrent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::WatchStateChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::RefreshRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::TargetsListed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::TargetPublished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::TargetWithdrawn)
