#include "LibState/RelayMessages.h"

namespace Papaya {

std::string_view noticeKindName(NoticeKind kind)
{
    switch (kind) {
    case NoticeKind::Accepted:
        return "accepted";
    case NoticeKind::Returned:
        return "returned";
    case NoticeKind::Busy:
        return "busy";
    case NoticeKind::Held:
        return "held";
    case NoticeKind::Denied:
        return "denied";
    case NoticeKind::TargetDown:
        return "target_down";
    case NoticeKind::WrongService:
        return "wrong_service";
    case NoticeKind::Evacuated:
        return "evacuated";
    }
    return "unknown";
}

std::string_view targetStateName(TargetState state)
{
    switch (state) {
    case TargetState::Answering:
        return "answering";
    case TargetState::Silent:
        return "silent";
    case TargetState::Closed:
        return "closed";
    case TargetState::AgentRestarting:
        return "agent_restarting";
    }
    return "unknown";
}

} // namespace Papaya
