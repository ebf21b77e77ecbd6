#include "RequestModel.h"

#include "LibBalancing/RendezvousHash.h"
#include "LibCoordination/FlowProtocol.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace Papaya {

namespace {

constexpr TimePoint Start {Duration(1'000'000)};
constexpr Duration WarmUp {2'000};
constexpr Duration ReportInterval {500};
constexpr double RecoveredFraction = 0.95;
constexpr int FixedQueuePerSlot = 4;
constexpr int UnboundedQueue = 1'000'000'000;
constexpr std::uint64_t ShortWork = 1;
constexpr std::uint64_t LongWork = 2;
const Endpoint ServiceAddress {0x0a140001, 80};

struct Request {
    RequestTraits traits;
    FlowKey flow;
    double work = 0;
    std::size_t target = 0;
    int hops = 0;
};

struct Target {
    MemberId id = 0;
    double slowness = 1;
    bool isPresentFromStart = true;
    TimePoint joinedAt = Start;
    RequestQueue queue;
    AgentFlows agent;
    double busyMilliseconds = 0;
    /// The recent load reports with their times, oldest first.
    std::deque<std::pair<TimePoint, LoadReport>> reports;
};

struct Event {
    TimePoint due;
    std::uint64_t order = 0;
    enum class Kind { Arrival, Finish, Report } kind = Kind::Arrival;
    RequestId request = 0;

    bool operator<(const Event &other) const { return std::pair(due, order) > std::pair(other.due, other.order); }
};

/// The counts of the requests that arrived in one second of the run.
struct Second {
    double arrived = 0;
    double answeredInTime = 0;
};

double percentile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty())
        return 0;
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(sorted.size())))];
}

/// The state of one simulated run.
class Run
{
public:
    explicit Run(const RequestPlan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_targets(static_cast<std::size_t>(plan.targets))
        , m_seconds(static_cast<std::size_t>(plan.length.count() / 1'000 + 60))
    {
        for (std::size_t index = 0; index < m_targets.size(); ++index)
            prepareTarget(index);
    }

    RequestOutcome run()
    {
        push(Start, Event::Kind::Report, 0);
        push(Start, Event::Kind::Arrival, 0);
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.due;
            if (event.kind == Event::Kind::Arrival)
                generateArrivals();
            else if (event.kind == Event::Kind::Finish)
                finishRequest(event.request);
            else
                report();
        }
        return computeOutcome();
    }

private:
    void prepareTarget(std::size_t index)
    {
        auto &target = m_targets[index];
        target.id = hashOf("target-" + std::to_string(index));
        const auto position = m_targets.size() > 1 ? static_cast<double>(index) / static_cast<double>(m_targets.size() - 1) : 0;
        target.slowness = std::pow(m_plan.speedSpread, position);
        if (m_plan.coldStartFactor > 0 && index == 0) {
            target.isPresentFromStart = false;
            target.joinedAt = Start + m_plan.length / 2;
        }
        auto &limits = target.queue.limits;
        limits.slots = m_plan.slots;
        target.queue.openSlots = m_plan.slots;
        if (m_plan.queue != QueuePolicy::Policy) {
            limits.order = QueueOrder::FirstComeFirstServed;
            limits.shedsUnmeetable = false;
            limits.slotsReservedForShortRequests = 0;
        }
        limits.queueLimit = m_plan.queue == QueuePolicy::FixedLength ? FixedQueuePerSlot * m_plan.slots : UnboundedQueue;
        target.agent.service = 1;
        target.agent.serviceAddresses = {ServiceAddress};
        target.agent.self = target.id;
        target.agent.selfDaemon = {1, static_cast<std::uint16_t>(index + 1)};
        target.agent.load.report.connectionLimit = 1'000'000;
    }

    [[nodiscard]] double capacityPerMillisecond() const
    {
        double capacity = 0;
        for (const auto &target : m_targets)
            capacity += m_plan.slots / (m_plan.serviceMilliseconds * meanWorkFactor() * target.slowness);
        return capacity;
    }

    [[nodiscard]] double meanWorkFactor() const { return 1 + m_plan.stragglerFraction * (m_plan.stragglerFactor - 1); }

    [[nodiscard]] double loadNow() const
    {
        const auto elapsed = m_now - Start;
        const bool isPeak = m_plan.peakLoad > 0 && elapsed >= m_plan.peakStart && elapsed < m_plan.peakEnd;
        return isPeak ? m_plan.peakLoad : m_plan.load;
    }

    void push(TimePoint due, Event::Kind kind, RequestId request) { m_events.push({due, ++m_order, kind, request}); }

    void generateArrivals()
    {
        const double rate = loadNow() * capacityPerMillisecond();
        // Several requests arrive in one millisecond, which is the resolution of the product's clock.
        const int count = std::poisson_distribution<int>(rate)(m_random);
        for (int index = 0; index < count; ++index)
            startRequest();
        if (m_now - Start < m_plan.length)
            push(m_now + Duration(1), Event::Kind::Arrival, 0);
    }

    void startRequest()
    {
        Request request;
        request.traits.id = ++m_nextRequest;
        const bool isStraggler = std::uniform_real_distribution<double>(0, 1)(m_random) < m_plan.stragglerFraction;
        request.traits.requestClass = isStraggler ? LongWork : ShortWork;
        request.traits.arrivedAt = m_now;
        request.traits.deadline = m_now + m_plan.deadline * (isStraggler ? static_cast<int>(m_plan.stragglerFactor) : 1);
        request.work =
            std::exponential_distribution<double>(1 / m_plan.serviceMilliseconds)(m_random) * (isStraggler ? m_plan.stragglerFactor : 1);
        const auto number = static_cast<std::uint32_t>(request.traits.id);
        request.flow = {{0x0a630000U + number / 60'000U, static_cast<std::uint16_t>(1 + number % 60'000U)}, ServiceAddress};
        place(request);
        auto &target = m_targets[request.target];
        m_hops += request.hops;
        secondOfArrival(request).arrived += 1;
        m_outcome.offered += 1;
        if (admit(target.queue, request.traits, m_now) != Admission::Admitted) {
            m_outcome.shed += 1;
            onAborted(target.agent, request.flow);
            return;
        }
        m_requests.emplace(request.traits.id, request);
        startWaitingRequests(target);
    }

    void place(Request &request)
    {
        switch (m_plan.placement) {
        case PlacementPolicy::Random:
            request.target = pickJoined(std::uniform_int_distribution<std::size_t>(0, m_targets.size() - 1)(m_random));
            return;
        case PlacementPolicy::HashAlone:
            request.target = firstRanked(request.flow);
            return;
        case PlacementPolicy::LowestReportedLoad:
            request.target = targetWithLowestReportedLoad();
            return;
        case PlacementPolicy::Protocol:
            placeByProtocol(request);
            return;
        }
    }

    [[nodiscard]] bool hasJoined(const Target &target) const { return target.isPresentFromStart || m_now >= target.joinedAt; }

    /// Returns `index` if that target has joined, and the last target otherwise.
    [[nodiscard]] std::size_t pickJoined(std::size_t index) const { return hasJoined(m_targets[index]) ? index : m_targets.size() - 1; }

    [[nodiscard]] std::size_t firstRanked(const FlowKey &flow) const
    {
        std::vector<std::uint64_t> ids;
        std::vector<std::size_t> indices;
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            if (!hasJoined(m_targets[index]))
                continue;
            ids.push_back(m_targets[index].id);
            indices.push_back(index);
        }
        return indices[rendezvousFirst(ids, hashOf(flow))];
    }

    /// Returns the newest load report of a target that is at least `reportLag` old; an empty report if there is none.
    [[nodiscard]] LoadReport laggedReport(const Target &target) const
    {
        LoadReport report;
        for (const auto &[time, past] : target.reports) {
            if (m_now - time >= m_plan.reportLag)
                report = past;
        }
        return report;
    }

    [[nodiscard]] std::size_t targetWithLowestReportedLoad() const
    {
        std::size_t best = m_targets.size();
        std::uint32_t least = 0;
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            if (!hasJoined(m_targets[index]))
                continue;
            const auto connections = laggedReport(m_targets[index]).connections;
            if (best == m_targets.size() || connections < least) {
                best = index;
                least = connections;
            }
        }
        return best;
    }

    /// Passes the SYN of a request from agent to agent without network delay, until an agent accepts it.
    void placeByProtocol(Request &request)
    {
        const SegmentSummary segment {request.flow, 0, 0, true, false, false};
        Envelope envelope;
        envelope.service = 1;
        request.target = firstRanked(request.flow);
        while (true) {
            auto &agent = m_targets[request.target].agent;
            agent.load.report = exactLoad(m_targets[request.target]);
            const auto effects = onEnvelope(agent, envelope, segment, m_now);
            const auto handedOn = std::find_if(
                effects.begin(), effects.end(), [](const Effect &effect) { return std::holds_alternative<SendMessage>(effect); });
            if (handedOn == effects.end())
                return;
            const auto &message = std::get<SendMessage>(*handedOn);
            envelope = std::get<Envelope>(message.message);
            request.target = static_cast<std::size_t>(message.to.port - 1);
            ++request.hops;
        }
    }

    [[nodiscard]] LoadReport exactLoad(const Target &target) const
    {
        LoadReport report;
        report.connections = static_cast<std::uint32_t>(target.queue.running.size() + target.queue.waiting.size());
        report.connectionLimit = 1'000'000;
        report.expectedWait = static_cast<std::uint32_t>(std::lround(expectedWait(target.queue)));
        return report;
    }

    void startWaitingRequests(Target &target)
    {
        for (const auto &expired : takeExpired(target.queue, m_now)) {
            m_outcome.expired += 1;
            endRequest(expired.id);
        }
        for (const auto &started : dispatch(target.queue, m_now)) {
            const auto &request = m_requests.at(started.id);
            double duration = request.work * target.slowness;
            if (!target.isPresentFromStart && m_now - target.joinedAt < m_plan.coldStartTime)
                duration *= m_plan.coldStartFactor;
            target.busyMilliseconds += duration;
            push(m_now + Duration(std::max<Duration::rep>(1, std::lround(duration))), Event::Kind::Finish, started.id);
        }
    }

    void finishRequest(RequestId id)
    {
        const auto request = m_requests.at(id);
        auto &target = m_targets[request.target];
        finish(target.queue, id, AttemptOutcome::Answered, m_now);
        const auto latency = m_now - request.traits.arrivedAt;
        const bool isInTime = m_now <= request.traits.deadline;
        (isInTime ? m_outcome.answeredInTime : m_outcome.answeredLate) += 1;
        if (isInTime)
            secondOfArrival(request).answeredInTime += 1;
        if (!isInTime && !target.isPresentFromStart)
            m_outcome.answeredLateByJoinedTarget += 1;
        if (request.traits.requestClass == ShortWork && request.traits.arrivedAt - Start >= WarmUp)
            m_latencies.push_back(static_cast<double>(latency.count()));
        endRequest(id);
        startWaitingRequests(target);
    }

    void endRequest(RequestId id)
    {
        const auto request = m_requests.find(id);
        onAborted(m_targets[request->second.target].agent, request->second.flow);
        m_requests.erase(request);
    }

    Second &secondOfArrival(const Request &request)
    {
        return m_seconds[static_cast<std::size_t>((request.traits.arrivedAt - Start).count() / 1'000)];
    }

    void report()
    {
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            auto &target = m_targets[index];
            auto load = exactLoad(target);
            if (m_plan.hasMisreportingTarget && index == m_targets.size() - 1) {
                load.connections = 0;
                load.expectedWait = 0;
            }
            target.reports.emplace_back(m_now, load);
            while (m_now - target.reports.front().first > m_plan.reportLag * 2)
                target.reports.pop_front();
        }
        for (auto &target : m_targets) {
            std::vector<Member> members;
            for (std::size_t index = 0; index < m_targets.size(); ++index) {
                if (!hasJoined(m_targets[index]))
                    continue;
                Member member;
                member.id = m_targets[index].id;
                member.daemon = {1, static_cast<std::uint16_t>(index + 1)};
                member.load = laggedReport(m_targets[index]);
                members.push_back(std::move(member));
            }
            setMembers(target.agent, std::move(members));
        }
        if (m_now - Start < m_plan.length)
            push(m_now + ReportInterval, Event::Kind::Report, 0);
    }

    RequestOutcome computeOutcome()
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        m_outcome.median = percentile(m_latencies, 0.5);
        m_outcome.percentile99 = percentile(m_latencies, 0.99);
        m_outcome.percentile999 = percentile(m_latencies, 0.999);
        m_outcome.meanHops = 1 + m_hops / std::max(1.0, m_outcome.offered);
        double maximum = 0;
        double total = 0;
        for (const auto &target : m_targets) {
            maximum = std::max(maximum, target.busyMilliseconds);
            total += target.busyMilliseconds;
        }
        m_outcome.imbalance = maximum * static_cast<double>(m_targets.size()) / std::max(1.0, total);
        computePeakOutcome();
        return m_outcome;
    }

    void computePeakOutcome()
    {
        if (m_plan.peakLoad <= 0)
            return;
        const auto first = static_cast<std::size_t>(m_plan.peakStart.count() / 1'000);
        const auto last = static_cast<std::size_t>(m_plan.peakEnd.count() / 1'000);
        double answered = 0;
        for (auto second = first; second < last; ++second)
            answered += m_seconds[second].answeredInTime;
        m_outcome.peakGoodput = answered / (capacityPerMillisecond() * 1'000 * static_cast<double>(last - first));
        for (auto second = last; second < static_cast<std::size_t>(m_plan.length.count() / 1'000); ++second) {
            if (m_seconds[second].answeredInTime >= RecoveredFraction * m_seconds[second].arrived) {
                m_outcome.recoverySeconds = static_cast<double>(second - last);
                return;
            }
        }
    }

    RequestPlan m_plan;
    std::mt19937_64 m_random;
    std::vector<Target> m_targets;
    std::vector<Second> m_seconds;
    std::map<RequestId, Request> m_requests;
    std::priority_queue<Event> m_events;
    std::vector<double> m_latencies;
    std::uint64_t m_order = 0;
    RequestId m_nextRequest = 0;
    TimePoint m_now = Start;
    double m_hops = 0;
    RequestOutcome m_outcome;
};

} // namespace

std::string_view policyName(PlacementPolicy policy)
{
    switch (policy) {
    case PlacementPolicy::Random:
        return "random";
    case PlacementPolicy::HashAlone:
        return "hash_alone";
    case PlacementPolicy::LowestReportedLoad:
        return "least_reported";
    case PlacementPolicy::Protocol:
        return "protocol";
    }
    return "unknown";
}

std::string_view policyName(QueuePolicy policy)
{
    switch (policy) {
    case QueuePolicy::Unbounded:
        return "unbounded";
    case QueuePolicy::FixedLength:
        return "fixed_length";
    case QueuePolicy::Policy:
        return "policy";
    }
    return "unknown";
}

RequestOutcome runRequests(const RequestPlan &plan)
{
    return Run(plan).run();
}

} // namespace Papaya
