#pragma once

#include <boost/beast/core/string.hpp>

#include <cstdint>
#include <string_view>

/// The HTTP headers that carry outcomes and deadlines between callers, agents and targets, and the limits on body sizes.
namespace Papaya {

/// Converts between std::string_view and Beast's own string view without copying.
[[nodiscard]] inline boost::beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

[[nodiscard]] inline std::string_view fromBeast(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Set on every response to a caller: the outcome of the request. A target sets it to `not-run` on a request that it did not run.
inline constexpr std::string_view OutcomeHeader = "Papaya-Outcome";
inline constexpr std::string_view OutcomeAnswered = "answered";
inline constexpr std::string_view OutcomeNotRun = "not-run";
inline constexpr std::string_view OutcomeUnknown = "unknown";

/// Set on a request: how many milliseconds its sender waits for the response.
inline constexpr std::string_view DeadlineHeader = "Papaya-Deadline-Ms";

/// Maximum sizes of request and response bodies, in bytes.
inline constexpr std::uint64_t RequestSizeLimit = 1U << 20U;
inline constexpr std::uint64_t ResponseSizeLimit = 16U << 20U;

} // namespace Papaya
