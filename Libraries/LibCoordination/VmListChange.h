#pragma once

#include "LibState/VmList.h"

#include <optional>

namespace Papaya {

/// The difference between two versions of the VM list. With 3,950 machines a list takes 490 kB and a change a few hundred bytes.
struct VmListChange {
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0;
    /// Complete entries of the machines that are new or differ.
    std::vector<VirtualMachine> changed;
    /// Names of the machines that the newer list does not contain.
    std::vector<std::string> removed;

    bool operator==(const VmListChange &) const = default;
};

/// Returns the change that turns `base` into `next`.
[[nodiscard]] VmListChange changeBetween(const VmList &base, const VmList &next);

/// Returns the list after a change, or nothing if `base` is not the version that the change starts from or the change is not
/// newer. The order of the machines is not preserved.
[[nodiscard]] std::optional<VmList> applyChange(const VmList &base, const VmListChange &change);

/// The latest VM lists of a daemon. With them the daemon can send a peer that is a few versions behind only the change instead of
/// the complete list.
class VmListHistory
{
public:
    /// Adds the list that is now in force. Beyond a fixed number of lists the oldest one is removed.
    void add(VmList list);

    /// Returns the change from an earlier version to the newest one, or nothing if `version` is the newest or is no longer kept.
    [[nodiscard]] std::optional<VmListChange> changeSince(std::uint64_t version) const;

private:
    std::vector<VmList> m_lists;
};

} // namespace Papaya
