#pragma once

#include "LibBalancing/Evacuation.h"
#include "LibState/Clock.h"
#include "LibState/PlatformRevision.h"
#include "LibState/RelayMessages.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// An entry daemon's view of the targets: what the platform publishes, updated by what their agents report.
namespace Papaya {

/// A target as the platform publishes it.
struct PublishedTarget {
    MemberId id = 0;
    /// The name that the platform gives this target.
    std::string name;
    ServiceId service = 0;
    /// The endpoint on which the target accepts requests. Its agent runs on the same VM.
    Endpoint application;
    /// The endpoint on which its agent receives datagrams from other daemons.
    Endpoint agent;
    std::string failureDomain;
    /// Number of requests that the target can run concurrently.
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// How much longer the target is cold, that is slow after its start, counted from this publication.
    Duration coldTime {0};
    /// Distinguishes two runs of the target; 0 where the platform gives none.
    Incarnation incarnation = 0;
    /// The number of the target's report, which increases during one run of the target; empty where the platform gives none.
    std::optional<std::uint64_t> sequence;
    /// The platform's revision of this publication.
    PlatformRevision revision;
    /// The platform's revision at which the target was first listed. A target that is listed again after its entry expired keeps the
    /// revision in the directory.
    PlatformRevision listingRevision;

    bool operator==(const PublishedTarget &) const = default;
};

/// The requests that an agent has not answered.
struct UnansweredRequests {
    /// When the oldest one was sent.
    TimePoint since;
    /// Queries sent since then, at least `DirectoryLimits::queryInterval` apart. An agent answers a query itself, at once. The answer
    /// to a probe may depend on its target.
    int queryCount = 0;
    TimePoint lastQueryAt;
};

/// The load of a target before its agent restarted.
struct FormerLoad {
    TargetLoad load;
    TimePoint replacedAt;
};

/// An entry daemon's record of one target.
struct TargetRecord {
    PublishedTarget published;
    TimePoint coldUntil;
    /// When this run of the target was first read from the platform, and whether the target was cold then, that is had just started.
    TimePoint firstReadAt;
    bool wasColdWhenFirstRead = false;
    /// From this time on the agent's address has reached every entry daemon that watches the platform.
    TimePoint propagatedAt;
    TargetLoad load;
    /// The load before the last restart of its agent that was noticed.
    std::optional<FormerLoad> formerLoad {};
    /// When a message from its agent was last received; nothing before the first one.
    std::optional<TimePoint> lastMessageAt;
    /// Nothing if the agent has sent a message since the last request.
    std::optional<UnansweredRequests> unanswered;
    /// New flows placed at the target since its agent's last report, which therefore does not count them.
    std::uint32_t placedSinceReport = 0;
    /// Until this time the target gets new flows only if no other is available, since it did not answer an earlier one.
    TimePoint suspectUntil;
    /// Number of suspicions since the target last answered a new flow.
    int suspicions = 0;
    /// When the platform's withdrawal of the target takes effect. From then on it gets no new flows, but it may still hold old
    /// ones. The time is in the future while the platform may list the target again.
    std::optional<TimePoint> withdrawnAt;
    /// Whether the directory has other entries with the same agent address.
    bool sharesVm = false;
    /// Whether the agent's last message named another service than this entry, so that the VM's target is another one.
    bool isDisownedByAgent = false;
};

/// Timeouts for targets and their agents.
struct DirectoryLimits {
    /// How long a target that did not answer a new flow is suspected at first; the time doubles with each further unanswered
    /// flow.
    Duration initialSuspicionTime {1'000};
    Duration maximumSuspicionTime {4'000};
    /// How long a withdrawn target stays in the directory, so that searches still ask its agent; no flow lives longer than this.
    Duration withdrawnTargetRetention {65'000};
    /// A target that has been withdrawn for this long, and whose agent left queries unanswered for this long, counts as terminated with
    /// all its flows.
    Duration agentSilenceTimeout {3'000};
    /// Time until every entry daemon has read a newly listed target: the pause between two watches and the latency of one.
    Duration propagationTime {1'200};
    /// An agent that left a request unanswered for this long is unreachable. An agent that was killed, or whose announcement of its
    /// restart was lost, is running again within this time.
    Duration answerTimeout {2'000};
    /// The same for an agent that has sent no message since this daemon's start, so that an announcement of its restart may have been
    /// missed.
    Duration unheardAgentTimeout {2'500};
    /// The same for an agent that announced its restart: the time that a process may take to stop and start.
    Duration plannedRestartTimeout {8'000};
    /// How often an agent with an unanswered request is queried again.
    Duration queryInterval {200};
    /// An agent is unreachable only after this many unanswered queries, since any of them or its answer may be lost.
    int minimumUnansweredQueries = 5;
};

/// The targets that one entry daemon has read. There is a record for each entry that the platform lists, and for each one that was
/// withdrawn lately. No entry changes the record of another one, whatever it says: which of the entries on one VM describes the VM's target
/// is decided where that matters (see VmEntries.h).
struct TargetDirectory {
    DirectoryLimits limits;
    std::unordered_map<MemberId, TargetRecord> targets;
    /// The entries at each agent's address. A VM has one target, but the entries of former targets and of other writers may name its
    /// address as well.
    std::unordered_map<Endpoint, std::vector<MemberId>> targetsOfAgent;
    /// The evacuated failure domains, whose targets get no new flows.
    Evacuations evacuations;
    /// All messages of agents that arrived before this time have been applied to the records.
    TimePoint messagesReadUntil;
};

/// What a publication changed, as far as flows depend on it.
enum class PublicationEffect {
    Unchanged,
    Added,
    Updated,
    /// The VM now runs another incarnation of the target, or another entry names the VM: the flows of the previous one may be lost.
    Replaced,
};

/// Adds or updates a target that the platform published. A publication that is older than the known one of the same target changes nothing
/// but the target's withdrawal. If the target's VM or service has changed, the record of the former ones is kept as withdrawn.
PublicationEffect applyPublished(TargetDirectory &directory, PublishedTarget target, TimePoint now);

/// Records that the platform no longer lists a target, with effect from `withdrawnAt`. Returns false if the target is not in the
/// directory or was already withdrawn.
bool applyWithdrawn(TargetDirectory &directory, MemberId target, TimePoint withdrawnAt);

/// Marks the targets of the first list since the start as propagated to all entry daemons, except those that are still cold:
/// the others were listed long before.
void markFirstListPropagated(TargetDirectory &directory, TimePoint now);

/// Returns whether at least half of the targets of a service that accept new flows are propagated to all entry daemons. Then
/// the others get no new flows, so that no flow is at a target that another entry daemon has not read.
[[nodiscard]] bool isMostlyPropagated(const TargetDirectory &directory, ServiceId service, TimePoint now);

/// Returns whether a target accepts new flows according to its own entry: it is neither draining nor withdrawn.
[[nodiscard]] bool mayTakeNewFlows(const TargetRecord &record, TimePoint now);

/// Applies the load of a target from any message of its agent, and ends the agent's answer timeout. The load is ignored if the
/// agent serves another service than its target was published for.
void applyLoad(TargetDirectory &directory, const Endpoint &agent, ServiceId service, const TargetLoad &load, TimePoint now);

/// Starts the answer timeout of an agent, unless it runs already. Call when sending a request.
void startAnswerTimeout(TargetDirectory &directory, const Endpoint &agent, TimePoint now);

/// Starts the answer timeout of an agent, unless it runs already, and counts a query. Call when sending a query.
void recordQuery(TargetDirectory &directory, const Endpoint &agent, TimePoint now);

/// Returns whether `queryInterval` has passed since the last query to an agent that has not answered.
[[nodiscard]] bool isQueryDue(const TargetDirectory &directory, const TargetRecord &record, TimePoint now);

/// Restarts the answer timeout of every agent with an unanswered request, since this daemon was paused and could not receive
/// the answers.
void restartAnswerTimeouts(TargetDirectory &directory, TimePoint now);

/// Returns whether an agent has exceeded its answer timeout, as far as the messages of agents have been read.
[[nodiscard]] bool isUnreachable(const TargetDirectory &directory, const TargetRecord &record);

/// Records that a target left a new flow unanswered, and suspects it for a time that doubles on each further call.
void markSuspect(TargetDirectory &directory, const Endpoint &agent, TimePoint now);

/// Records that a target answered a new flow, and ends the suspicion.
void clearSuspicion(TargetDirectory &directory, const Endpoint &agent);

/// Returns whether a target has certainly terminated, and all its flows with it: it drains and its port is closed, or it was withdrawn and
/// its agent relays to a target of another service, or it was withdrawn some time ago and its port is closed or its agent does not answer
/// either.
[[nodiscard]] bool isTerminated(const TargetDirectory &directory, const TargetRecord &record, TimePoint now);

/// Removes targets that were withdrawn so long ago that none of their flows can still be open.
void removeWithdrawn(TargetDirectory &directory, TimePoint now);

} // namespace Papaya
