#pragma once

#include "LibState/Failure.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Papaya {

/// An IPv4 address and port, both in host byte order.
struct Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Parses `a.b.c.d:port`. Fails with InvalidAddress on anything else, port 0 among it.
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view text);

/// Formats an endpoint as `a.b.c.d:port`.
[[nodiscard]] std::string toString(const Endpoint &endpoint);

} // namespace Papaya
