#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Papaya {

/// What the findings of a check mean for a configuration that has not been published yet.
enum class FindingSeverity {
    /// Entry daemons would refuse or ignore the configuration, or a value in it.
    Error,
    /// The configuration can be used, but probably does not have the intended effect.
    Warning,
    /// A difference from the configuration in force.
    Difference,
};

/// All kinds of finding on the operators' configuration of routes.
enum class RouteFindingKind {
    // Errors.
    MalformedJson,
    TruncatedJson,
    MissingKey,
    InvalidType,
    ValueOutOfRange,
    InvalidAddress,
    RefusedByDaemons,
    VersionNotHigher,
    // Warnings.
    UnknownKey,
    DuplicateKey,
    DuplicateName,
    IgnoredKey,
    KindNotStated,
    DuplicateAddress,
    WeightsAllZero,
    ServiceNotListed,
    LatencyAboveTimeout,
    IdleTimeoutBelowTimeout,
    ColdRateWithoutColdTime,
    // Differences.
    VersionChanged,
    IdleTimeoutChanged,
    RouteAdded,
    RouteRemoved,
    RouteChanged,
    ServiceAdded,
    ServiceRemoved,
    ServiceChanged,
};

/// One finding of a check.
struct RouteFinding {
    RouteFindingKind kind;
    /// JSON path of the value that the finding is about, such as `Routes[3].Prefix`. Empty for the whole text and for differences.
    std::string place;
    /// Further keys and values in the order of their output.
    std::vector<std::pair<std::string_view, std::string>> details {};

    bool operator==(const RouteFinding &) const = default;
};

/// Returns the stable lower-case name of a kind of finding for the output of `papayactl`.
[[nodiscard]] std::string_view findingName(RouteFindingKind kind);

/// Returns the severity that all findings of a kind have.
[[nodiscard]] FindingSeverity severityOf(RouteFindingKind kind);

/// Returns the number of findings of a severity.
[[nodiscard]] std::size_t countFindings(const std::vector<RouteFinding> &findings, FindingSeverity severity);

/// Formats a finding as one line of key=value pairs, e.g. `error=missing_key place=Routes[3].Prefix`. A value that is empty or has
/// characters other than visible ASCII is quoted and escaped, so that a value from a file can neither add a line nor control a terminal.
[[nodiscard]] std::string describe(const RouteFinding &finding);

} // namespace Papaya
