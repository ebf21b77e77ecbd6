#pragma once

#include "LibState/Endpoint.h"

#include <functional>

namespace Papaya {

/// The TCP five-tuple of a flow, as packets from the caller have it. The protocol is always TCP and is left out.
struct FlowKey {
    Endpoint caller;
    Endpoint service;

    // clang-tidy 14 mistakes the 0 in the compiler-generated comparison for a null pointer.
    auto operator<=>(const FlowKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Returns the 64-bit xxHash (XXH3) of a flow. It is the same in every process and build, since all daemons have to rank the
/// members of a service alike.
[[nodiscard]] std::uint64_t hashOf(const FlowKey &flow);

/// Returns the 64-bit xxHash (XXH3) of a name. It is the same in every process and build.
[[nodiscard]] std::uint64_t hashOf(std::string_view name);

/// Parses `caller_ip:port-service_ip:port`, the form in which logs print a flow and `papayactl explain` reads it.
[[nodiscard]] Result<FlowKey> parseFlowKey(std::string_view text);

/// Formats a flow as `caller_ip:port-service_ip:port`.
[[nodiscard]] std::string toString(const FlowKey &flow);

} // namespace Papaya

template <>
struct std::hash<Papaya::FlowKey> {
    std::size_t operator()(const Papaya::FlowKey &flow) const noexcept { return Papaya::hashOf(flow); }
};
