#include "LibCoordination/RevisionDecision.h"

#include <algorithm>

namespace Papaya {

Result<RevisionOutcome> decideRevision(const RevisionState &state, const RevisionedText &offered, RevisionSource source, TimePoint now)
{
    const auto subject = std::to_string(offered.revision);
    const auto &inForce = state.inForce;
    if (offered.revision < std::max(inForce.revision, state.highestPeerRevision))
        return Failure {FailureKind::RevisionOlder, 0, subject};
    if (offered.revision == inForce.revision) {
        if (offered.text != inForce.text)
            return Failure {FailureKind::RevisionConflict, 0, subject};
        return RevisionOutcome::AlreadyInForce;
    }
    const bool isWithinGrace = !state.hasHeardPeer && now - state.startedAt < PeerGrace;
    if (source == RevisionSource::Platform && inForce.revision == 0 && isWithinGrace)
        return RevisionOutcome::Deferred;
    return RevisionOutcome::Accepted;
}

void recordPeerRevision(RevisionState &state, std::uint64_t revision)
{
    state.hasHeardPeer = true;
    state.highestPeerRevision = std::max(state.highestPeerRevision, revision);
}

} // namespace Papaya
