#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace Papaya {

/// All kinds of failure of an operation. failureKindName() gives the spelling in messages and logs.
enum class FailureKind {
    EmptyText,
    TextTooLarge,
    SyntaxError,
    UnknownSection,
    UnknownKey,
    MissingKey,
    DuplicateKey,
    ValueOutOfRange,
    InvalidAddress,
    DuplicateAddress,
    TargetGroupOfTwoServices,
    UnknownDependency,
    DependencyCycle,
    RevisionOlder,
    RevisionConflict,
    MalformedJson,
    MalformedPacket,
    MalformedDatagram,
    MalformedFrame,
    FrameTooLarge,
    SocketFailed,
    ConnectFailed,
    HttpFailed,
    HistoryGone,
    FileUnreadable,
    StackRefused,
};

/// Returns the stable lower-case name of a failure kind for logs, counters and `papayactl`.
[[nodiscard]] std::string_view failureKindName(FailureKind kind);

/// A failure: its kind, the line of the text that caused it (0 if there is none) and the key, address or call that failed.
struct Failure {
    FailureKind kind;
    int line = 0;
    std::string subject;

    bool operator==(const Failure &) const = default;
};

/// Formats a failure as key=value pairs, e.g. `failure=unknown_key line=3 subject=slotz`.
[[nodiscard]] std::string describe(const Failure &failure);

/// A value or a Failure. Propagate failures with BOOST_OUTCOME_TRY.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Failure, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace Papaya
