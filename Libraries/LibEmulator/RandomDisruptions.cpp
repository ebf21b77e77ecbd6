#include "LibEmulator/RandomDisruptions.h"

#include "LibBalancing/RendezvousHash.h"

#include <algorithm>
#include <numeric>

namespace Papaya::Emulator {

namespace {

/// Maximum time of an iteration of a slow daemon, below the threshold at which an entry daemon detects a pause.
constexpr Duration::rep MaximumIterationTime = 300;
constexpr std::size_t DefaultBatchSize = 64;
/// Multiplier of a simulation's seed in the seeds of the kinds. It stays the same when kinds are added, so that earlier seeds schedule what
/// they did.
constexpr std::uint64_t SeedStride = 15;

} // namespace

RandomDisruptions::RandomDisruptions(RelaySimulation &simulation,
                                     std::uint64_t seed,
                                     std::vector<DisruptionKind> kinds,
                                     std::vector<Route> routes)
    : m_simulation(simulation)
    , m_seed(seed)
    , m_kinds(std::move(kinds))
    , m_routes(std::move(routes))
{
}

void RandomDisruptions::schedule(Duration duration)
{
    for (const auto kind : m_kinds) {
        // Each kind has random numbers of its own, so that a failure can be reproduced with fewer kinds.
        m_random.seed(m_seed * SeedStride + static_cast<std::uint64_t>(kind));
        if (!chance(0.4))
            continue;
        const auto count = std::uniform_int_distribution<int>(1, 3)(m_random);
        for (int index = 0; index < count; ++index)
            scheduleOne(kind, between(0, duration.count()));
    }
}

void RandomDisruptions::scheduleOne(DisruptionKind kind, Duration at)
{
    switch (kind) {
    case DisruptionKind::FreezeEntries:
        return freezeEntries(at);
    case DisruptionKind::RestartEntries:
        return restartEntries(at);
    case DisruptionKind::KillEntries:
        return killEntries(at);
    case DisruptionKind::RestartAgents:
        return restartAgents(at);
    case DisruptionKind::KillAgents:
        return killAgents(at);
    case DisruptionKind::SlowEntries:
        return slowEntries(at);
    case DisruptionKind::SlowAgents:
        return slowAgents(at);
    case DisruptionKind::WithdrawTargets:
        return withdrawTargets(at);
    case DisruptionKind::ReleaseTargets:
        return releaseTargets(at);
    case DisruptionKind::StopStore:
    case DisruptionKind::RestoreStore:
        return stopStore(at, kind);
    case DisruptionKind::ChangeRoutes:
        return changeRoutes(at);
    case DisruptionKind::LoseDatagrams:
        return loseDatagrams(at);
    case DisruptionKind::CrashTargets:
        return crashTargets(at);
    case DisruptionKind::BurstOfRequests:
        return burst(at);
    case DisruptionKind::LosePower:
        return losePower(at);
    }
}

Duration RandomDisruptions::between(Duration::rep minimum, Duration::rep maximum)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(minimum, maximum)(m_random));
}

bool RandomDisruptions::chance(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

std::vector<std::size_t> RandomDisruptions::choose(std::size_t count, double minimum, double maximum)
{
    std::vector<std::size_t> indices(count);
    std::iota(indices.begin(), indices.end(), 0);
    std::shuffle(indices.begin(), indices.end(), m_random);
    const auto share = std::uniform_real_distribution<double>(minimum, maximum)(m_random);
    indices.resize(std::clamp<std::size_t>(static_cast<std::size_t>(share * static_cast<double>(count)), 1, count));
    return indices;
}

void RandomDisruptions::freezeEntries(Duration at)
{
    const auto time = between(300, 4'000);
    for (const auto entry : choose(m_simulation.entryCount(), 0.1, 0.6)) {
        m_simulation.schedule(at, [this, entry] { m_simulation.freezeEntry(entry); });
        m_simulation.schedule(at + time, [this, entry] { m_simulation.thawEntry(entry); });
    }
}

void RandomDisruptions::restartEntries(Duration at)
{
    const auto gap = between(200, 1'500);
    for (const auto entry : choose(m_simulation.entryCount(), 0.3, 1)) {
        m_simulation.schedule(at, [this, entry] { m_simulation.restartEntryGracefully(entry); });
        at += gap;
    }
}

void RandomDisruptions::killEntries(Duration at)
{
    for (const auto entry : choose(m_simulation.entryCount(), 0, 0.5)) {
        const auto downTime = between(100, 1'500);
        m_simulation.schedule(at, [this, entry] { m_simulation.killEntry(entry); });
        m_simulation.schedule(at + downTime, [this, entry] { m_simulation.startEntry(entry); });
        at += between(0, 500);
    }
}

void RandomDisruptions::restartAgents(Duration at)
{
    const auto gap = between(50, 1'000);
    const auto maximumDownTime = chance(0.3) ? 2'500 : 500;
    for (const auto agent : choose(m_simulation.targetCount(), 0.1, 1)) {
        const auto downTime = between(100, maximumDownTime);
        m_simulation.schedule(at, [this, agent, downTime] { m_simulation.restartAgentGracefully(agent, downTime); });
        at += gap;
    }
}

void RandomDisruptions::killAgents(Duration at)
{
    for (const auto agent : choose(m_simulation.targetCount(), 0, 0.3)) {
        const auto downTime = between(100, 3'000);
        m_simulation.schedule(at, [this, agent] { m_simulation.killAgent(agent); });
        m_simulation.schedule(at + downTime, [this, agent] { m_simulation.startAgent(agent); });
        at += between(0, 500);
    }
}

void RandomDisruptions::slowEntries(Duration at)
{
    const auto time = between(1'000, 6'000);
    const auto batchSize = std::uniform_int_distribution<std::size_t>(4, DefaultBatchSize)(m_random);
    for (const auto entry : choose(m_simulation.entryCount(), 0.1, 1)) {
        const auto iterationTime = between(5, MaximumIterationTime);
        m_simulation.schedule(at, [this, entry, iterationTime, batchSize] { m_simulation.setEntryPace(entry, iterationTime, batchSize); });
        m_simulation.schedule(at + time, [this, entry] { m_simulation.setEntryPace(entry, Duration(0), DefaultBatchSize); });
    }
}

void RandomDisruptions::slowAgents(Duration at)
{
    const auto time = between(1'000, 6'000);
    const auto batchSize = std::uniform_int_distribution<std::size_t>(4, DefaultBatchSize)(m_random);
    for (const auto agent : choose(m_simulation.targetCount(), 0.1, 1)) {
        const auto iterationTime = between(5, MaximumIterationTime);
        m_simulation.schedule(at, [this, agent, iterationTime, batchSize] { m_simulation.setAgentPace(agent, iterationTime, batchSize); });
        m_simulation.schedule(at + time, [this, agent] { m_simulation.setAgentPace(agent, Duration(0), DefaultBatchSize); });
    }
}

void RandomDisruptions::withdrawTargets(Duration at)
{
    for (const auto target : choose(m_simulation.targetCount(), 0, 0.6)) {
        const auto absence = between(50, 5'000);
        m_simulation.schedule(at, [this, target, absence] {
            if (m_simulation.target(target).isUp())
                m_simulation.withdrawTemporarily(target, absence);
        });
        at += between(0, 300);
    }
}

void RandomDisruptions::releaseTargets(Duration at)
{
    const auto gap = between(300, 2'000);
    for (const auto target : choose(m_simulation.targetCount(), 0, 0.5)) {
        releaseTarget(target, at);
        at += gap;
    }
}

void RandomDisruptions::releaseTarget(std::size_t index, Duration at)
{
    const auto drainTime = between(3'000, 9'000);
    const auto pause = between(50, 1'500);
    const bool isAnotherService = chance(0.3);
    const auto number = m_startedTargets++;
    m_simulation.schedule(at, [this, index, drainTime, pause, isAnotherService, number] {
        if (!m_simulation.target(index).isUp() || m_simulation.target(index).isDraining())
            return;
        auto options = m_simulation.target(index).options();
        if (isAnotherService)
            options.service = m_routes[number % m_routes.size()].services.front().service;
        options.name = "released-" + std::to_string(number);
        m_simulation.drainTarget(index);
        m_simulation.schedule(drainTime, [this, index] { m_simulation.endTarget(index); });
        m_simulation.schedule(drainTime + pause, [this, index, options] { m_simulation.replaceTarget(index, options); });
    });
}

void RandomDisruptions::stopStore(Duration at, DisruptionKind kind)
{
    m_simulation.schedule(at, [this] {
        m_simulation.recordEventForAll("store", "unreachable");
        m_simulation.setStoreReachable(false);
    });
    const auto returnsAt = at + between(500, 4'000);
    if (chance(0.5)) {
        for (const auto target : choose(m_simulation.targetCount(), 0.2, 1)) {
            const auto lapsesAt = returnsAt - between(1, 300);
            const auto absence = returnsAt - lapsesAt + between(0, 1'900);
            m_simulation.schedule(lapsesAt, [this, target, absence] {
                if (m_simulation.target(target).isUp() && !m_simulation.isStoreReachable())
                    m_simulation.withdrawTemporarily(target, absence);
            });
        }
    }
    const auto age = between(1'000, 12'000);
    m_simulation.schedule(returnsAt, [this, kind, age] {
        if (kind == DisruptionKind::RestoreStore)
            m_simulation.restoreStore(age);
        m_simulation.recordEventForAll("store", "reachable");
        m_simulation.setStoreReachable(true);
    });
}

void RandomDisruptions::changeRoutes(Duration at)
{
    auto routes = m_routes;
    if (chance(0.5)) {
        auto &services = routes[0].services;
        services.push_back(routes[1].services.front());
        if (chance(0.5))
            services.erase(services.begin());
    }
    m_simulation.schedule(at, [this, routes] {
        m_simulation.recordEventForAll("operator", "changes the routes");
        m_simulation.publishRoutes(routes);
    });
    m_simulation.schedule(at + between(500, 5'000), [this, routes = m_routes] {
        m_simulation.recordEventForAll("operator", "changes the routes back");
        m_simulation.publishRoutes(routes);
    });
}

void RandomDisruptions::loseDatagrams(Duration at)
{
    const auto rate = std::uniform_real_distribution<double>(0.001, 0.02)(m_random);
    m_simulation.schedule(at, [this, rate] {
        m_simulation.recordEventForAll("network", "loses datagrams");
        m_simulation.setLossRate(rate);
    });
    m_simulation.schedule(at + between(1'000, 5'000), [this] { m_simulation.setLossRate(0); });
}

void RandomDisruptions::crashTargets(Duration at)
{
    for (const auto target : choose(m_simulation.targetCount(), 0, 0.3)) {
        const auto downTime = between(200, 4'000);
        m_simulation.schedule(at, [this, target, downTime] {
            if (!m_simulation.target(target).isUp() || m_simulation.target(target).isDraining())
                return;
            m_simulation.crashTarget(target);
            m_simulation.schedule(downTime, [this, target] {
                if (!m_simulation.target(target).isUp())
                    m_simulation.restartTarget(target);
            });
        });
        at += between(0, 1'000);
    }
}

void RandomDisruptions::burst(Duration at)
{
    m_simulation.schedule(at, [this] { m_simulation.callers().setLoadFactor(4); });
    m_simulation.schedule(at + between(500, 4'000), [this] { m_simulation.callers().setLoadFactor(1); });
}

void RandomDisruptions::losePower(Duration at)
{
    constexpr Duration::rep MaximumStartSpread = 800;
    const auto startsAt = at + between(600, 1'200);
    m_simulation.schedule(at, [this] { m_simulation.recordEventForAll("power", "lost"); });
    for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry) {
        m_simulation.schedule(at, [this, entry] { m_simulation.killEntry(entry); });
        m_simulation.schedule(startsAt + between(0, MaximumStartSpread), [this, entry] { m_simulation.startEntry(entry); });
    }
    for (std::size_t index = 0; index < m_simulation.targetCount(); ++index) {
        m_simulation.schedule(at, [this, index] {
            m_simulation.killAgent(index);
            if (m_simulation.target(index).isUp())
                m_simulation.crashTarget(index);
        });
        m_simulation.schedule(startsAt + between(0, MaximumStartSpread), [this, index] {
            m_simulation.startAgent(index);
            if (!m_simulation.target(index).isUp())
                m_simulation.restartTarget(index);
        });
    }
}

} // namespace Papaya::Emulator
