#include "LibCoordination/RouteFinding.h"

#include <algorithm>

namespace Papaya {

namespace {

std::string_view severityName(FindingSeverity severity)
{
    switch (severity) {
    case FindingSeverity::Error:
        return "error";
    case FindingSeverity::Warning:
        return "warning";
    case FindingSeverity::Difference:
        return "difference";
    }
    return "unknown";
}

bool isPlain(char character)
{
    return character > ' ' && character <= '~' && character != '"' && character != '\\' && character != '=';
}

void appendEscaped(std::string &text, char character)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    if (character == '"' || character == '\\') {
        text += '\\';
        text += character;
        return;
    }
    if (character >= ' ' && character <= '~') {
        text += character;
        return;
    }
    const auto code = static_cast<unsigned char>(character);
    text += "\\x";
    text += Digits[code >> 4U];
    text += Digits[code & 15U];
}

void appendPair(std::string &text, std::string_view key, std::string_view value)
{
    text += ' ';
    text += key;
    text += '=';
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        text += value;
        return;
    }
    text += '"';
    for (const char character : value)
        appendEscaped(text, character);
    text += '"';
}

} // namespace

std::string_view findingName(RouteFindingKind kind)
{
    switch (kind) {
    case RouteFindingKind::MalformedJson:
        return "malformed_json";
    case RouteFindingKind::TruncatedJson:
        return "truncated_json";
    case RouteFindingKind::MissingKey:
        return "missing_key";
    case RouteFindingKind::InvalidType:
        return "invalid_type";
    case RouteFindingKind::ValueOutOfRange:
        return "value_out_of_range";
    case RouteFindingKind::InvalidAddress:
        return "invalid_address";
    case RouteFindingKind::RefusedByDaemons:
        return "refused_by_daemons";
    case RouteFindingKind::VersionNotHigher:
        return "version_not_higher";
    case RouteFindingKind::UnknownKey:
        return "unknown_key";
    case RouteFindingKind::DuplicateKey:
        return "duplicate_key";
    case RouteFindingKind::DuplicateName:
        return "duplicate_name";
    case RouteFindingKind::IgnoredKey:
        return "ignored_key";
    case RouteFindingKind::KindNotStated:
        return "kind_not_stated";
    case RouteFindingKind::DuplicateAddress:
        return "duplicate_address";
    case RouteFindingKind::WeightsAllZero:
        return "weights_all_zero";
    case RouteFindingKind::ServiceNotListed:
        return "service_not_listed";
    case RouteFindingKind::LatencyAboveTimeout:
        return "latency_above_timeout";
    case RouteFindingKind::IdleTimeoutBelowTimeout:
        return "idle_timeout_below_timeout";
    case RouteFindingKind::ColdRateWithoutColdTime:
        return "cold_rate_without_cold_time";
    case RouteFindingKind::VersionChanged:
        return "version_changed";
    case RouteFindingKind::IdleTimeoutChanged:
        return "idle_timeout_changed";
    case RouteFindingKind::RouteAdded:
        return "route_added";
    case RouteFindingKind::RouteRemoved:
        return "route_removed";
    case RouteFindingKind::RouteChanged:
        return "route_changed";
    case RouteFindingKind::ServiceAdded:
        return "service_added";
    case RouteFindingKind::ServiceRemoved:
        return "service_removed";
    case RouteFindingKind::ServiceChanged:
        return "service_changed";
    }
    return "unknown";
}

FindingSeverity severityOf(RouteFindingKind kind)
{
    switch (kind) {
    case RouteFindingKind::MalformedJson:
    case RouteFindingKind::TruncatedJson:
    case RouteFindingKind::MissingKey:
    case RouteFindingKind::InvalidType:
    case RouteFindingKind::ValueOutOfRange:
    case RouteFindingKind::InvalidAddress:
    case RouteFindingKind::RefusedByDaemons:
    case RouteFindingKind::VersionNotHigher:
        return FindingSeverity::Error;
    case RouteFindingKind::UnknownKey:
    case RouteFindingKind::DuplicateKey:
    case RouteFindingKind::DuplicateName:
    case RouteFindingKind::IgnoredKey:
    case RouteFindingKind::KindNotStated:
    case RouteFindingKind::DuplicateAddress:
    case RouteFindingKind::WeightsAllZero:
    case RouteFindingKind::ServiceNotListed:
    case RouteFindingKind::LatencyAboveTimeout:
    case RouteFindingKind::IdleTimeoutBelowTimeout:
    case RouteFindingKind::ColdRateWithoutColdTime:
        return FindingSeverity::Warning;
    case RouteFindingKind::VersionChanged:
    case RouteFindingKind::IdleTimeoutChanged:
    case RouteFindingKind::RouteAdded:
    case RouteFindingKind::RouteRemoved:
    case RouteFindingKind::RouteChanged:
    case RouteFindingKind::ServiceAdded:
    case RouteFindingKind::ServiceRemoved:
    case RouteFindingKind::ServiceChanged:
        return FindingSeverity::Difference;
    }
    return FindingSeverity::Error;
}

std::size_t countFindings(const std::vector<RouteFinding> &findings, FindingSeverity severity)
{
    const auto hasSeverity = [&](const RouteFinding &finding) { return severityOf(finding.kind) == severity; };
    return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(), hasSeverity));
}

std::string describe(const RouteFinding &finding)
{
    std::string text(severityName(severityOf(finding.kind)));
    text += '=';
    text += findingName(finding.kind);
    if (!finding.place.empty())
        appendPair(text, "place", finding.place);
    for (const auto &[key, value] : finding.details)
        appendPair(text, key, value);
    return text;
}

} // namespace Papaya
