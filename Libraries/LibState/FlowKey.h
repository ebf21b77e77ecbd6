#pragma once

#include "LibState/Endpoint.h"

#include <functional>

namespace Papaya {

/// A TCP five-tuple seen from the caller. The protocol is always TCP and is left out.
struct FlowKey {
    Endpoint caller;
    Endpoint service;

    // clang-tidy 14 takes the 0 with which the compiler compares for a null pointer.
    auto operator<=>(const FlowKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Returns the 64-bit xxHash (XXH3) of a flow, the same in every process.
[[nodiscard]] std::uint64_t hashOf(const FlowKey &flow);

/// Returns the 64-bit xxHash (XXH3) of a name, the same in every process.
[[nodiscard]] std::uint64_t hashOf(std::string_view name);

/// Parses `caller_ip:port-service_ip:port`, the form that logs print and `papayactl explain` reads.
[[nodiscard]] Result<FlowKey> parseFlowKey(std::string_view text);

/// Formats a flow as `caller_ip:port-service_ip:port`.
[[nodiscard]] std::string toString(const FlowKey &flow);

} // namespace Papaya

template <>
struct std::hash<Papaya::FlowKey> {
    std::size_t operator()(const Papaya::FlowKey &flow) const noexcept { return Papaya::hashOf(flow); }
};
