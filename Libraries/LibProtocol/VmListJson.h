#pragma once

#include "LibCoordination/VmListChange.h"
#include "LibState/VmList.h"

#include <string_view>

namespace Papaya {

/// Parses the platform's VM list. Fails with MalformedJson, MissingKey, InvalidAddress, ValueOutOfRange, DuplicateKey or
/// TextTooLarge.
[[nodiscard]] Result<VmList> parseVmList(std::string_view text);

/// Formats a VM list as the JSON text that parseVmList() parses.
[[nodiscard]] std::string formatVmList(const VmList &list);

/// Builds a change of the VM list from `changed`, a VM list as JSON text with the new version and only the added or changed VMs,
/// and `removed`, the names of the removed VMs. Fails like parseVmList().
[[nodiscard]] Result<VmListChange> parseVmListChange(std::uint64_t baseVersion, std::string_view changed, std::vector<std::string> removed);

/// Formats the added and changed VMs of a change as the text that parseVmListChange() parses.
[[nodiscard]] std::string formatChangedMachines(const VmListChange &change);

} // namespace Papaya
