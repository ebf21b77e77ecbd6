#pragma once

#include "LibCoordination/EntryRelay.h"

#include <string_view>
#include <vector>

/// Entries that the platform lists and that get no new flows for a reason other than their own state, for operators: another writer's,
/// those of former targets, or a mistake in the settings of an agent.
namespace Papaya {

/// Why a listed entry is set aside. The target that its VM has keeps its flows and gets new ones all the same.
enum class SetAsideReason : std::uint8_t {
    /// No route leads to the entry's service, nor did one that this daemon received.
    UnroutedService,
    /// The agent of the entry's VM says that its target has another service.
    AgentServesAnother,
    /// Another entry describes a newer run at the same endpoint.
    NewerRun,
    /// Another entry of the same service names the VM with a different endpoint.
    AnotherEndpoint,
};

/// An entry that is set aside.
struct SetAsideEntry {
    MemberId id = 0;
    std::string name;
    Endpoint agent;
    SetAsideReason reason = SetAsideReason::UnroutedService;
};

/// Returns the stable name of a reason for logs.
[[nodiscard]] std::string_view setAsideReasonName(SetAsideReason reason);

/// Returns the listed entries that are set aside. It reads all routes and targets, so it is not for the path of packets.
[[nodiscard]] std::vector<SetAsideEntry> listSetAside(const EntryRelay &entry, TimePoint now);

} // namespace Papaya
