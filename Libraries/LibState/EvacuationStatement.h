#pragma once

#include "LibState/PlatformRevision.h"

namespace Papaya {

/// States whether the operators have evacuated a failure domain: whether its targets may get new flows.
struct EvacuationStatement {
    /// The platform's revision at which this was so; number 0 if nothing is stated.
    PlatformRevision asOf;
    bool isEvacuated = false;

    bool operator==(const EvacuationStatement &) const = default;
};

} // namespace Papaya
