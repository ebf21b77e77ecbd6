#pragma once

#include "LibCoordination/VmListChange.h"
#include "LibState/VmList.h"

#include <string_view>

namespace Papaya {

/// Reads the platform's VM list. Fails with MalformedJson, InvalidAddress, MissingKey or TextTooLarge.
[[nodiscard]] Result<VmList> parseVmList(std::string_view text);

/// Writes a VM list in the form that parseVmList() reads.
[[nodiscard]] std::string formatVmList(const VmList &list);

/// Reads a change of the list from the text of its changed machines. Fails like parseVmList().
[[nodiscard]] Result<VmListChange> parseVmListChange(std::uint64_t baseVersion, std::string_view changed, std::vector<std::string> removed);

/// Writes the changed machines of a change in the form that parseVmListChange() reads.
[[nodiscard]] std::string formatChangedMachines(const VmListChange &change);

} // namespace Papaya
