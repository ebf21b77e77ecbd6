#pragma once

#include "LibState/Clock.h"
#include "LibState/EvacuationStatement.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Which failure domains the operators have evacuated, as the newest known statements say. Statements reach a daemon from the platform,
/// from other entry daemons and from agents, in any order and more than once. Absence of a statement means nothing; absence of a key from a
/// full read of the platform is a statement about every domain whose evacuation was stated before that read.
namespace Papaya {

/// What a full read of the platform says on evacuations.
struct EvacuationList {
    /// The revision of the read's first page.
    PlatformRevision asOf;
    /// The domains that are evacuated, each with the revision at which its key was written.
    std::map<std::string, PlatformRevision> evacuated;
};

/// What a daemon knows of evacuations.
struct Evacuations {
    /// The newest statement on each domain whose evacuation was ever stated.
    std::map<std::string, EvacuationStatement, std::less<>> statements;
    /// The revision of the last full read of the platform; number 0 before the first one.
    PlatformRevision listedAsOf;
    /// The domains whose key that read contained.
    std::set<std::string, std::less<>> listedDomains;
    /// When the first full read in the era of the last one was applied.
    TimePoint eraListedAt;
};

/// A statement that replaced an older one.
struct EvacuationChange {
    std::string domain;
    EvacuationStatement statement;
    /// Whether the domain is evacuated now and was not before, or the reverse.
    bool isStateChanged = false;
};

/// Returns whether a statement is newer than another one: its era is later, or its number is higher in the same era. A statement with
/// number 0 states nothing and is newer than none.
[[nodiscard]] bool isNewer(const EvacuationStatement &statement, const EvacuationStatement &other);

/// Replaces a statement by a newer one. Returns whether it was replaced.
bool adoptNewer(EvacuationStatement &known, const EvacuationStatement &statement);

/// Applies a statement on a domain. If the last full read is newer and lacks the domain, the read's statement is applied instead. Returns
/// the change, if there is one.
std::vector<EvacuationChange>
applyStatement(Evacuations &evacuations, const std::string &domain, const EvacuationStatement &statement, TimePoint now);

/// Applies a full read of the platform. A domain whose key is missing is not evacuated. If the platform was restored since the domain's
/// statement, this counts only some time after the first read in the new era (settleEvacuations()). Returns the changes.
std::vector<EvacuationChange> applyEvacuationList(Evacuations &evacuations, const EvacuationList &list, TimePoint now);

/// Ends the evacuations whose keys are missing from the last full read and whose grace after a restore has passed. Returns the changes.
/// Call ten times a second.
std::vector<EvacuationChange> settleEvacuations(Evacuations &evacuations, TimePoint now);

/// Returns whether a domain is evacuated.
[[nodiscard]] bool isEvacuated(const Evacuations &evacuations, std::string_view domain);

/// Returns the newest statement on a domain; one with number 0 if its evacuation was never stated.
[[nodiscard]] EvacuationStatement statementOn(const Evacuations &evacuations, std::string_view domain);

/// Returns the number of evacuated domains.
[[nodiscard]] std::size_t evacuatedDomainCount(const Evacuations &evacuations);

} // namespace Papaya
