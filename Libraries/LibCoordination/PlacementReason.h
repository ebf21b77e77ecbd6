#pragma once

#include <string_view>

namespace Papaya {

/// Why a packet was treated the way it was.
enum class PlacementReason {
    Owned,
    Taken,
    TakenAtLastHop,
    HandedOn,
    DirectoryOwner,
    LocateStarted,
    LocateHeld,
    LocateFound,
    NobodyOwns,
    ForeignHandshake,
    WrongService,
    UnknownAddress,
    RevisionBehind,
    HopLimit,
    ConnectionLimit,
    TargetDown,
    Leaving,
    TableFull,
    StrayReset,
    ProbeLostOwner,
};

/// Returns the stable name of a reason for logs and counters.
[[nodiscard]] std::string_view placementReasonName(PlacementReason reason);

} // namespace Papaya
