#pragma once

#include "LibState/Clock.h"
#include "LibState/Failure.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Papaya {

/// A configuration text and the revision under which the platform published it.
struct RevisionedText {
    std::uint64_t revision = 0;
    std::string text;

    bool operator==(const RevisionedText &) const = default;
};

/// The decision on an offered text.
enum class RevisionOutcome {
    /// The text replaces the one in force.
    Accepted,
    /// The same text is already in force.
    AlreadyInForce,
    /// The text is not applied until a peer has reported its revision or the grace period is over.
    Deferred,
};

/// The source of an offered text.
enum class RevisionSource {
    Platform,
    Peer,
};

/// How long a new process waits for a revision from a peer before it accepts a text of the platform. The platform's text may be
/// out of date.
inline constexpr Duration PeerGracePeriod {1'500};

/// The configuration in force at this process, and the revisions that its peers reported.
struct RevisionState {
    RevisionedText inForce;
    /// The highest revision that a peer reported as its revision in force.
    std::uint64_t highestPeerRevision = 0;
    /// Whether any peer has reported a revision.
    bool hasPeerRevision = false;
    TimePoint startedAt;
};

/// Decides whether `offered` replaces the text in force. Fails with RevisionOlder if its revision is lower than the one in force
/// here or at a peer, and with RevisionConflict if it has the revision in force but another text. The caller has validated the
/// text. The function does not change the state.
[[nodiscard]] Result<RevisionOutcome>
decideRevision(const RevisionState &state, const RevisionedText &offered, RevisionSource source, TimePoint now);

/// Records the revision that a peer reported as its revision in force.
void recordPeerRevision(RevisionState &state, std::uint64_t revision);

} // namespace Papaya
