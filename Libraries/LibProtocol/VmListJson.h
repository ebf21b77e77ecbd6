#pragma once

#include "LibState/VmList.h"

#include <string_view>

namespace Papaya {

/// Reads the platform's VM list. Fails with MalformedJson, InvalidAddress, MissingKey or TextTooLarge.
[[nodiscard]] Result<VmList> parseVmList(std::string_view text);

/// Writes a VM list in the form that parseVmList() reads.
[[nodiscard]] std::string formatVmList(const VmList &list);

} // namespace Papaya
