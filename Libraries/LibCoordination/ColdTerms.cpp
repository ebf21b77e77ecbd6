#include "LibCoordination/ColdTerms.h"

#include <algorithm>

namespace Papaya {

namespace {

/// A publication that moves the end of the cold time by less than this is a delayed copy, not a new cold time.
constexpr Duration MinimumColdTimeExtension {1'000};

} // namespace

void addColdTerms(const EntryRelay &entry, const PublishedTarget &target, TimePoint now, RelayEnvelope &envelope)
{
    const auto record = entry.directory.targets.find(target.id);
    if (record == entry.directory.targets.end())
        return;
    envelope.coldTime = std::max<Duration>(record->second.coldUntil - now, Duration(0));
    const auto traits = entry.routes.services.find(target.service);
    envelope.coldRate = traits == entry.routes.services.end() ? 0 : traits->second.coldRate;
}

bool hasNewColdTime(const TargetDirectory &directory, const PublishedTarget &target, TimePoint now)
{
    const auto record = directory.targets.find(target.id);
    if (target.coldTime <= Duration(0) || record == directory.targets.end())
        return false;
    return now + target.coldTime - std::max(record->second.coldUntil, now) >= MinimumColdTimeExtension;
}

} // namespace Papaya
