#pragma once

#include "LibCoordination/EntryRelay.h"

#include <string_view>

/// Whether an entry daemon's list of targets has every target that serves. After an outage of the platform it may lack targets whose
/// entries expired meanwhile, and a daemon that has just started does not know whether there was one. A flow that no listed target holds is
/// reset only with evidence that the list lacks none.
namespace Papaya {

/// Why the list of targets lacks none that serves.
enum class ListEvidence : std::uint8_t {
    /// It may lack some: it comes from another entry daemon, or entries may have expired while the platform was unavailable.
    None,
    /// It is complete up to the time at which expired entries are listed again.
    Elapsed,
    /// A peer has a settled list, and this daemon has all its targets.
    Peer,
    /// All targets began their runs together with this daemon.
    CommonStart,
};

/// Returns the evidence that the list of targets lacks none that serves.
[[nodiscard]] ListEvidence listEvidence(const EntryRelay &entry, TimePoint now);

/// Returns the stable name of an evidence for logs.
[[nodiscard]] std::string_view listEvidenceName(ListEvidence evidence);

/// Returns whether there is no evidence that the list of targets lacks none that serves.
[[nodiscard]] bool mayListLackTargets(const EntryRelay &entry, TimePoint now);

/// Returns whether the platform should be asked whether the list is current, since that would end the wait for expired entries.
[[nodiscard]] bool isListCheckDue(const EntryRelay &entry, TimePoint now);

/// Returns whether the directory holds every target that was listed at a time. Only an answer of the platform shows that: a watch that
/// reports nothing may wait on a connection that has gone silent.
[[nodiscard]] bool areTargetsCurrentAsOf(const EntryRelay &entry, TimePoint time);

} // namespace Papaya
