#include "LibState/Failure.h"

namespace Papaya {

std::string_view failureKindName(FailureKind kind)
{
    switch (kind) {
    case FailureKind::EmptyText:
        return "empty_text";
    case FailureKind::TextTooLarge:
        return "text_too_large";
    case FailureKind::SyntaxError:
        return "syntax_error";
    case FailureKind::UnknownSection:
        return "unknown_section";
    case FailureKind::UnknownKey:
        return "unknown_key";
    case FailureKind::MissingKey:
        return "missing_key";
    case FailureKind::DuplicateKey:
        return "duplicate_key";
    case FailureKind::ValueOutOfRange:
        return "value_out_of_range";
    case FailureKind::InvalidAddress:
        return "invalid_address";
    case FailureKind::DuplicateAddress:
        return "duplicate_address";
    case FailureKind::TargetGroupOfTwoServices:
        return "target_group_of_two_services";
    case FailureKind::UnknownDependency:
        return "unknown_dependency";
    case FailureKind::DependencyCycle:
        return "dependency_cycle";
    case FailureKind::RevisionOlder:
        return "revision_older";
    case FailureKind::RevisionConflict:
        return "revision_conflict";
    case FailureKind::MalformedJson:
        return "malformed_json";
    case FailureKind::MalformedPacket:
        return "malformed_packet";
    case FailureKind::MalformedDatagram:
        return "malformed_datagram";
    case FailureKind::MalformedFrame:
        return "malformed_frame";
    case FailureKind::FrameTooLarge:
        return "frame_too_large";
    case FailureKind::SocketFailed:
        return "socket_failed";
    case FailureKind::ConnectFailed:
        return "connect_failed";
    case FailureKind::HttpFailed:
        return "http_failed";
    case FailureKind::HistoryGone:
        return "history_gone";
    case FailureKind::FileUnreadable:
        return "file_unreadable";
    case FailureKind::StackRefused:
        return "stack_refused";
    }
    return "unknown";
}

std::string describe(const Failure &failure)
{
    std::string text = "failure=";
    text += failureKindName(failure.kind);
    text += " line=" + std::to_string(failure.line);
    text += " subject=" + (failure.subject.empty() ? std::string("-") : failure.subject);
    return text;
}

} // namespace Papaya
