#pragma once

#include "LibState/VmList.h"

#include <optional>

namespace Papaya {

/// The difference between two versions of the VM list. At 3,950 machines a list has 490 kB and a change a few hundred bytes.
struct VmListChange {
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0;
    /// Machines that are new or differ, whole.
    std::vector<VirtualMachine> changed;
    /// Names of machines that are gone.
    std::vector<std::string> removed;

    bool operator==(const VmListChange &) const = default;
};

/// Returns what leads from one list to another.
[[nodiscard]] VmListChange changeBetween(const VmList &base, const VmList &next);

/// Applies a change; nothing when the list is not the change's base, or the change is not newer.
[[nodiscard]] std::optional<VmList> applyChange(const VmList &base, const VmListChange &change);

/// The lists that a daemon had in force of late, to tell a peer that is a little behind only what changed.
class VmListHistory
{
public:
    /// Notes a list that is in force from now on. The oldest is forgotten beyond the limit.
    void add(VmList list);

    /// Returns the change from an earlier version to the newest; nothing when that version is not known any more.
    [[nodiscard]] std::optional<VmListChange> changeSince(std::uint64_t version) const;

private:
    std::vector<VmList> m_lists;
};

} // namespace Papaya
