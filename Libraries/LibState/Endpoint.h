#pragma once

#include "LibState/Failure.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Papaya {

/// An IPv4 address and port, both in host byte order.
struct Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the 0 in the compiler-generated comparison for a null pointer.
    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Parses `a.b.c.d:port`. Fails with InvalidAddress on any other text and on port 0.
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view text);

/// Formats an endpoint as `a.b.c.d:port`.
[[nodiscard]] std::string toString(const Endpoint &endpoint);

} // namespace Papaya

template <>
struct std::hash<Papaya::Endpoint> {
    std::size_t operator()(const Papaya::Endpoint &endpoint) const noexcept
    {
        return std::hash<std::uint64_t> {}((std::uint64_t {endpoint.address} << 16U) | endpoint.port);
    }
};
