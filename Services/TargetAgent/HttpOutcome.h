#pragma once

#include <boost/beast/core/string.hpp>

#include <cstdint>
#include <string_view>

/// The headers by which callers and targets speak of outcomes and deadlines.
namespace Papaya {

/// Beast has its own string view; the two convert without copying.
[[nodiscard]] inline boost::beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

[[nodiscard]] inline std::string_view fromBeast(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// On every response to a caller: what became of the request. A target sets it to `not-run` to say that it did not run it.
inline constexpr std::string_view OutcomeHeader = "Papaya-Outcome";
inline constexpr std::string_view OutcomeAnswered = "answered";
inline constexpr std::string_view OutcomeNotRun = "not-run";
inline constexpr std::string_view OutcomeUnknown = "unknown";

/// On a request: the milliseconds that its sender will wait for the answer.
inline constexpr std::string_view DeadlineHeader = "Papaya-Deadline-Ms";

/// The largest request and answer bodies, in bytes.
inline constexpr std::uint64_t RequestSizeLimit = 1U << 20U;
inline constexpr std::uint64_t AnswerSizeLimit = 16U << 20U;

} // namespace Papaya
