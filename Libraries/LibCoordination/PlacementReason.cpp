#include "LibCoordination/PlacementReason.h"

namespace Papaya {

std::string_view placementReasonName(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::Owned:
        return "owned";
    case PlacementReason::Taken:
        return "taken";
    case PlacementReason::TakenAtLastHop:
        return "taken_at_last_hop";
    case PlacementReason::HandedOn:
        return "handed_on";
    case PlacementReason::DirectoryOwner:
        return "directory_owner";
    case PlacementReason::LocateStarted:
        return "locate_started";
    case PlacementReason::LocateHeld:
        return "locate_held";
    case PlacementReason::LocateFound:
        return "locate_found";
    case PlacementReason::NobodyOwns:
        return "nobody_owns";
    case PlacementReason::ForeignHandshake:
        return "foreign_handshake";
    case PlacementReason::WrongService:
        return "wrong_service";
    case PlacementReason::UnknownAddress:
        return "unknown_address";
    case PlacementReason::RevisionBehind:
        return "revision_behind";
    case PlacementReason::HopLimit:
        return "hop_limit";
    case PlacementReason::ConnectionLimit:
        return "connection_limit";
    case PlacementReason::TargetDown:
        return "target_down";
    case PlacementReason::Leaving:
        return "leaving";
    case PlacementReason::TableFull:
        return "table_full";
    case PlacementReason::StrayReset:
        return "stray_reset";
    case PlacementReason::ProbeLostOwner:
        return "probe_lost_owner";
    }
    return "unknown";
}

} // namespace Papaya
