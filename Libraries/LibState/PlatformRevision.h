#pragma once

#include <cstdint>

namespace Papaya {

/// A revision of the platform's store. The store counts its changes, and starts a new era whenever it is restored from a backup. It
/// then issues revision numbers again that it had issued before, so numbers of two eras cannot be compared.
struct PlatformRevision {
    /// The era of the store; 0 if the store does not report one.
    std::uint64_t era = 0;
    /// The number of the change; 0 if unknown.
    std::uint64_t number = 0;

    bool operator==(const PlatformRevision &) const = default;
};

/// Returns whether a revision is certainly later than another: both are known and of the same era.
[[nodiscard]] constexpr bool isLaterInSameEra(const PlatformRevision &revision, const PlatformRevision &other)
{
    return revision.era == other.era && other.number > 0 && revision.number > other.number;
}

} // namespace Papaya
