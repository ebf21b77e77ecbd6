#pragma once

#include "LibCoordination/EntryRelay.h"

/// What an entry daemon tells an agent about the cold time of its target.
namespace Papaya {

/// Fills in how much longer a target is cold and how many new flows a second it bears meanwhile, for a Subscribe message.
void addColdTerms(const EntryRelay &entry, const PublishedTarget &target, TimePoint now, RelayEnvelope &envelope);

/// Returns whether a publication states that a target is cold for longer than is known, so that its agent has to be told at once. Call
/// before the publication is applied.
[[nodiscard]] bool hasNewColdTime(const TargetDirectory &directory, const PublishedTarget &target, TimePoint now);

} // namespace Papaya
