#include "LibCoordination/RelayReason.h"

namespace Papaya {

std::string_view relayReasonName(RelayReason reason)
{
    switch (reason) {
    case RelayReason::Placed:
        return "placed";
    case RelayReason::PlacedAgain:
        return "placed_again";
    case RelayReason::PlacedAfterReturn:
        return "placed_after_return";
    case RelayReason::PlacedAfterBusy:
        return "placed_after_busy";
    case RelayReason::Opened:
        return "opened";
    case RelayReason::SearchStarted:
        return "search_started";
    case RelayReason::SearchFound:
        return "search_found";
    case RelayReason::SearchUnanswered:
        return "search_unanswered";
    case RelayReason::SearchDeferred:
        return "search_deferred";
    case RelayReason::NotInformed:
        return "not_informed";
    case RelayReason::UnknownRoute:
        return "unknown_route";
    case RelayReason::NoTarget:
        return "no_target";
    case RelayReason::Evacuated:
        return "evacuated";
    case RelayReason::AllReturned:
        return "all_returned";
    case RelayReason::LostAtTarget:
        return "lost_at_target";
    case RelayReason::HeldByNobody:
        return "held_by_nobody";
    case RelayReason::TargetGone:
        return "target_gone";
    case RelayReason::AgentUnreachable:
        return "agent_unreachable";
    case RelayReason::RouteNotYetKnown:
        return "route_not_yet_known";
    case RelayReason::TooManyHeld:
        return "too_many_held";
    case RelayReason::TableFull:
        return "table_full";
    case RelayReason::NoRoom:
        return "no_room";
    }
    return "unknown";
}

} // namespace Papaya
