#pragma once

#include "LibState/Clock.h"
#include "LibState/Failure.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Papaya {

/// A configuration text with the revision under which the platform published it.
struct RevisionedText {
    std::uint64_t revision = 0;
    std::string text;

    bool operator==(const RevisionedText &) const = default;
};

/// What became of a text that was offered.
enum class RevisionOutcome {
    /// The text is in force from now on.
    Accepted,
    /// The same text is already in force.
    AlreadyInForce,
    /// The text is held back until a peer was heard or the grace time is over.
    Deferred,
};

/// Where an offered text came from.
enum class RevisionSource {
    Platform,
    Peer,
};

/// How long a process that just started waits for a peer before it believes the platform, which may be stale.
inline constexpr Duration PeerGrace {1'500};

/// What a process knows of revisions.
struct RevisionState {
    RevisionedText inForce;
    /// The highest revision that a peer said to have in force.
    std::uint64_t highestPeerRevision = 0;
    bool hasHeardPeer = false;
    TimePoint startedAt;
};

/// Decides whether `offered` replaces the text in force. Fails with RevisionOlder when the revision is lower than the one in
/// force here or at a peer, and with RevisionConflict when the revision is equal and the text differs. The text itself was
/// validated before. The state is not changed.
[[nodiscard]] Result<RevisionOutcome>
decideRevision(const RevisionState &state, const RevisionedText &offered, RevisionSource source, TimePoint now);

/// Notes the revision that a peer has in force.
void recordPeerRevision(RevisionState &state, std::uint64_t revision);

} // namespace Papaya
