#pragma once

#include "LibState/Clock.h"
#include "LibState/RelayMessages.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// What a relaying entry daemon believes of the targets: what the platform publishes, corrected by what their agents say.
namespace Papaya {

/// A target as the platform publishes it.
struct PublishedTarget {
    MemberId id = 0;
    /// The platform's name of this target.
    std::string name;
    ServiceId service = 0;
    /// Where the target takes requests; its agent runs on the same VM.
    Endpoint application;
    /// Where its agent takes datagrams from other daemons.
    Endpoint agent;
    std::string failureDomain;
    /// Requests that the target runs at once.
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// How much longer the target is slow after its start, counted from the time of this publication.
    Duration coldTime {0};
    /// Tells one run of the target from another; 0 where the platform does not say.
    Incarnation incarnation = 0;
    /// The platform's revision at which the target was first listed; 0 while unknown.
    std::uint64_t listingRevision = 0;

    bool operator==(const PublishedTarget &) const = default;
};

/// Everything that an entry daemon knows of one target.
struct TargetRecord {
    PublishedTarget published;
    TimePoint coldUntil;
    /// From when on every entry daemon that follows the platform knows the agent's address too.
    TimePoint settledAt;
    TargetLoad load;
    /// When its agent was last heard; nothing before the first word.
    std::optional<TimePoint> heardAt;
    /// When its agent was first asked something that it has not answered.
    std::optional<TimePoint> askedAt;
    /// New flows that were sent there since the last report, which therefore does not count them.
    std::uint32_t placedSinceReport = 0;
    /// While this lies ahead, the target gets no new flows, since it did not answer an earlier one.
    TimePoint suspectUntil;
    int suspicions = 0;
    /// From when on the target gets no new flows, since the platform stopped listing it; it may still hold old ones. This lies
    /// ahead while the platform may yet list it again.
    std::optional<TimePoint> departedAt;
};

/// How long the entry daemon keeps and trusts what it was told.
struct DirectoryLimits {
    /// The first pause in new flows for a target that did not answer one; it doubles with each further one.
    Duration firstSuspicion {1'000};
    Duration longestSuspicion {4'000};
    /// How long a departed target is asked for flows; no flow has to live longer.
    Duration departedTime {65'000};
    /// After this silence of its agent, a departed target counts as gone with all its flows.
    Duration agentSilence {3'000};
    /// Until a target that was just listed counts as known everywhere: the pause between two watches and what a watch may take.
    Duration settleTime {1'200};
    /// An agent that left a question unanswered for this long is out of reach. A process is started again within half of it.
    Duration answerTime {1'000};
    /// The same for the agent of a target that the platform no longer lists: both end together.
    Duration departedAnswerTime {250};
};

/// The targets known to one entry daemon.
struct TargetDirectory {
    DirectoryLimits limits;
    std::unordered_map<MemberId, TargetRecord> targets;
    /// The target that an agent's address stands for: the one published last.
    std::unordered_map<Endpoint, MemberId> targetOfAgent;
};

/// What a publication changed, in the terms on which flows depend.
enum class PublicationEffect {
    Unchanged,
    Added,
    Updated,
    /// The same VM now runs another incarnation of the target, or another target: the flows of the former one are gone.
    Replaced,
};

/// Notes a target that the platform published.
PublicationEffect applyPublished(TargetDirectory &directory, const PublishedTarget &target, TimePoint now);

/// Notes that the platform no longer lists a target, which counts from `departsAt` on. Returns whether that is news.
bool applyWithdrawn(TargetDirectory &directory, MemberId target, TimePoint departsAt);

/// Notes that the targets known now are the first list since the start. Those that are no longer cold were listed long before.
void settleFirstList(TargetDirectory &directory, TimePoint now);

/// Returns whether at least half of a service's targets that may take new flows are settled. Then the others get none, so that no
/// flow is at a target that another entry daemon does not know.
[[nodiscard]] bool isMostlySettled(const TargetDirectory &directory, ServiceId service, TimePoint now);

/// Returns whether a target may be given new flows.
[[nodiscard]] bool mayTakeNewFlows(const TargetRecord &record, TimePoint now);

/// Notes an agent's word on the load of its target. An agent that serves another service than its target was published for is ignored.
void applyLoad(TargetDirectory &directory, const Endpoint &agent, ServiceId service, const TargetLoad &load, TimePoint now);

/// Notes that an agent was asked something that it answers at once.
void noteAsked(TargetDirectory &directory, const Endpoint &agent, TimePoint now);

/// Begins to wait anew for every agent that was asked something, since this daemon could not hear them for a while.
void waitAnew(TargetDirectory &directory, TimePoint now);

/// Returns whether an agent has left a question unanswered for too long.
[[nodiscard]] bool isUnreachable(const TargetDirectory &directory, const TargetRecord &record, TimePoint now);

/// Notes that a target left a new flow unanswered.
void suspect(TargetDirectory &directory, const Endpoint &agent, TimePoint now);

/// Notes that a target answered a new flow.
void clearSuspicion(TargetDirectory &directory, const Endpoint &agent);

/// Returns the record that an agent's address stands for, or nothing.
[[nodiscard]] TargetRecord *findByAgent(TargetDirectory &directory, const Endpoint &agent);
[[nodiscard]] const TargetRecord *findByAgent(const TargetDirectory &directory, const Endpoint &agent);

/// Returns whether all flows of a target are certainly gone with it.
[[nodiscard]] bool isGone(const TargetDirectory &directory, const TargetRecord &record, TimePoint now);

/// Forgets targets that departed so long ago that no flow of theirs can be open.
void forgetDeparted(TargetDirectory &directory, TimePoint now);

} // namespace Papaya
