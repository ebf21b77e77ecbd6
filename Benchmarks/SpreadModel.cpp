#include "SpreadModel.h"

#include "LibCoordination/RevisionDecision.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace Papaya {

namespace {

/// The behaviour of the product's peer task: it sends a digest of about 60 bytes on every change, and reads its mailbox at least
/// every 50 ms.
constexpr double DigestBytes = 60;
constexpr int MailboxDelayMilliseconds = 50;
/// The users state a one-way latency of about 1.5 ms between failure domains. 40 ms are assumed between regions.
constexpr Duration DomainLatency {2};
constexpr Duration RegionLatency {40};
constexpr int DomainsPerRegion = 3;
/// The minimum TCP retransmission timeout on Linux.
constexpr Duration RetransmissionTimeout {200};
constexpr Duration QueryInterval {300};
constexpr Duration DigestInterval {2'000};
/// The rate at which a daemon sends a text to a peer. The text is a burst, which may exceed the average budget of control traffic.
constexpr double BytesPerMillisecond = 12'500;

enum class MessageKind {
    Digest,
    Text,
    /// A timer of a daemon: its peer task takes the message that a text was accepted from its mailbox, and sends a digest.
    Accepted,
    /// A timer of a daemon for its digest every DigestInterval.
    PeriodicDigest,
};

struct Message {
    TimePoint due;
    std::uint64_t order = 0;
    int from = 0;
    int to = 0;
    MessageKind kind = MessageKind::Digest;
    std::uint64_t revision = 0;

    bool operator<(const Message &other) const { return std::pair(due, order) > std::pair(other.due, other.order); }
};

struct Daemon {
    RevisionState revisions;
    std::vector<int> peers;
    int domain = 0;
    double bytes = 0;
    TimePoint queriedAt;
    TimePoint reachedAt;
};

const RevisionedText OldText {1, "old"};
const RevisionedText NewText {2, "new"};
constexpr TimePoint Start {Duration(1'000'000)};

std::vector<VirtualMachine> makeMachines(const SpreadPlan &plan)
{
    std::vector<VirtualMachine> machines;
    for (int index = 0; index < plan.daemons; ++index) {
        VirtualMachine machine;
        machine.name = "vm-" + std::to_string(index);
        machine.failureDomain = "domain-" + std::to_string(index % plan.failureDomains);
        machines.push_back(std::move(machine));
    }
    return machines;
}

/// The state of one simulated propagation.
class Spread
{
public:
    Spread(const SpreadPlan &plan, const PeerLimits &limits)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_daemons(static_cast<std::size_t>(plan.daemons))
    {
        connect(makeMachines(plan), limits);
    }

    SpreadResult run()
    {
        const auto end = Start + (m_plan.isDomainPartitioned ? m_plan.partitionEnd + Duration(60'000) : Duration(60'000));
        while (!m_messages.empty() && m_messages.top().due < end && m_reached < m_plan.daemons) {
            const auto message = m_messages.top();
            m_messages.pop();
            handle(message);
        }
        return result();
    }

private:
    void connect(const std::vector<VirtualMachine> &machines, const PeerLimits &limits)
    {
        std::map<std::string, int> indexByName;
        for (int index = 0; index < m_plan.daemons; ++index)
            indexByName[machines[static_cast<std::size_t>(index)].name] = index;
        std::vector<std::set<int>> links(m_daemons.size());
        for (int index = 0; index < m_plan.daemons; ++index) {
            auto &daemon = m_daemons[static_cast<std::size_t>(index)];
            daemon.domain = index % m_plan.failureDomains;
            daemon.revisions.inForce = OldText;
            for (const auto &peer : selectPeers(machines, machines[static_cast<std::size_t>(index)], limits)) {
                const int other = indexByName.at(peer.name);
                links[static_cast<std::size_t>(index)].insert(other);
                links[static_cast<std::size_t>(other)].insert(index);
            }
            const auto phase = std::uniform_int_distribution<Duration::rep>(0, DigestInterval.count())(m_random);
            push(Start + Duration(phase), index, index, MessageKind::PeriodicDigest, 0);
        }
        for (std::size_t index = 0; index < m_daemons.size(); ++index)
            m_daemons[index].peers.assign(links[index].begin(), links[index].end());
        for (int domain = 0; domain < m_plan.failureDomains; ++domain)
            startReaders(machines, domain, limits);
    }

    /// Delivers the new text to each daemon of a failure domain that reads from the platform, unless the domain is partitioned.
    void startReaders(const std::vector<VirtualMachine> &machines, int domain, const PeerLimits &limits)
    {
        std::vector<VirtualMachine> ofDomain;
        for (int index = domain; index < m_plan.daemons; index += m_plan.failureDomains)
            ofDomain.push_back(machines[static_cast<std::size_t>(index)]);
        for (int index = domain; index < m_plan.daemons; index += m_plan.failureDomains) {
            if (!isPlatformReader(ofDomain, machines[static_cast<std::size_t>(index)].name, limits))
                continue;
            ++m_readers;
            if (!m_plan.isDomainPartitioned || domain != 0)
                push(Start + DomainLatency, index, index, MessageKind::Text, NewText.revision);
        }
    }

    void push(TimePoint due, int from, int to, MessageKind kind, std::uint64_t revision)
    {
        m_messages.push({due, ++m_order, from, to, kind, revision});
    }

    Duration latency(int from, int to, double bytes)
    {
        auto delay = Duration(1);
        const int fromDomain = m_daemons[static_cast<std::size_t>(from)].domain;
        const int toDomain = m_daemons[static_cast<std::size_t>(to)].domain;
        if (fromDomain != toDomain)
            delay = fromDomain / DomainsPerRegion == toDomain / DomainsPerRegion ? DomainLatency : RegionLatency;
        delay += Duration(static_cast<Duration::rep>(bytes / BytesPerMillisecond));
        while (std::uniform_real_distribution<double>(0, 1)(m_random) < m_plan.loss)
            delay += RetransmissionTimeout;
        return delay;
    }

    bool isPartitioned(int from, int to, TimePoint now) const
    {
        if (!m_plan.isDomainPartitioned || now >= Start + m_plan.partitionEnd)
            return false;
        return (m_daemons[static_cast<std::size_t>(from)].domain == 0) != (m_daemons[static_cast<std::size_t>(to)].domain == 0);
    }

    void transmit(int from, int to, MessageKind kind, TimePoint now)
    {
        const double bytes = kind == MessageKind::Text ? m_plan.textBytes : DigestBytes;
        auto &sender = m_daemons[static_cast<std::size_t>(from)];
        if (isPartitioned(from, to, now))
            return;
        sender.bytes += bytes;
        push(now + latency(from, to, bytes), from, to, kind, sender.revisions.inForce.revision);
    }

    void handle(const Message &message)
    {
        auto &daemon = m_daemons[static_cast<std::size_t>(message.to)];
        const auto now = message.due;
        switch (message.kind) {
        case MessageKind::PeriodicDigest:
            announce(message.to, now);
            push(now + DigestInterval, message.to, message.to, MessageKind::PeriodicDigest, 0);
            return;
        case MessageKind::Accepted:
            announce(message.to, now);
            return;
        case MessageKind::Digest:
            recordPeerRevision(daemon.revisions, message.revision);
            if (message.revision < daemon.revisions.inForce.revision) {
                transmit(message.to, message.from, MessageKind::Text, now);
            } else if (message.revision > daemon.revisions.inForce.revision && now - daemon.queriedAt >= QueryInterval) {
                daemon.queriedAt = now;
                transmit(message.to, message.from, MessageKind::Digest, now);
            }
            return;
        case MessageKind::Text:
            acceptText(message.to, now);
            return;
        }
    }

    void acceptText(int index, TimePoint now)
    {
        auto &daemon = m_daemons[static_cast<std::size_t>(index)];
        const auto outcome = decideRevision(daemon.revisions, NewText, RevisionSource::Peer, now);
        if (outcome.has_error() || outcome.value() != RevisionOutcome::Accepted)
            return;
        daemon.revisions.inForce = NewText;
        daemon.reachedAt = now;
        ++m_reached;
        const Duration mailboxDelay(std::uniform_int_distribution<int>(0, MailboxDelayMilliseconds)(m_random));
        push(now + mailboxDelay, index, index, MessageKind::Accepted, 0);
    }

    void announce(int index, TimePoint now)
    {
        for (const auto peer : m_daemons[static_cast<std::size_t>(index)].peers)
            transmit(index, peer, MessageKind::Digest, now);
    }

    SpreadResult result() const
    {
        SpreadResult result;
        result.daemonsReached = m_reached;
        result.platformReaders = m_readers;
        double total = 0;
        for (const auto &daemon : m_daemons) {
            const bool isInPartitionedDomain = m_plan.isDomainPartitioned && daemon.domain == 0;
            if (isInPartitionedDomain)
                result.recoveryTimeAfterPartition =
                    std::max(result.recoveryTimeAfterPartition, daemon.reachedAt - (Start + m_plan.partitionEnd));
            else
                result.propagationTime = std::max(result.propagationTime, daemon.reachedAt - Start);
            total += daemon.bytes;
            result.maximumBytesOfADaemon = std::max(result.maximumBytesOfADaemon, daemon.bytes);
        }
        result.bytesPerDaemon = total / m_plan.daemons;
        return result;
    }

    SpreadPlan m_plan;
    std::mt19937_64 m_random;
    std::vector<Daemon> m_daemons;
    std::priority_queue<Message> m_messages;
    std::uint64_t m_order = 0;
    int m_reached = 0;
    int m_readers = 0;
};

} // namespace

SpreadResult spreadRevision(const SpreadPlan &plan, const PeerLimits &limits)
{
    return Spread(plan, limits).run();
}

} // namespace Papaya
