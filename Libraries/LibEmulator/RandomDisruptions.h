#pragma once

#include "LibEmulator/RelaySimulation.h"

#include <random>
#include <string>
#include <vector>

namespace Papaya::Emulator {

/// Kinds of disruptions and planned work that overlap in a randomized simulation.
enum class DisruptionKind : std::uint8_t {
    /// Some entry daemons are frozen for up to four seconds.
    FreezeEntries,
    /// Entry daemons are restarted as planned, one after the other.
    RestartEntries,
    KillEntries,
    /// Agents are restarted as planned while their targets serve.
    RestartAgents,
    KillAgents,
    /// Daemons are short of processor time, but less than the threshold at which entry daemons detect a pause.
    SlowEntries,
    SlowAgents,
    /// Entries of targets that serve on lapse in the store and are written again up to five seconds later. The platform's
    /// documentation allows this for two seconds after an outage only, so this kind is not among the default ones.
    WithdrawTargets,
    /// Targets drain, end, and are replaced at the same address by targets of the same or another service.
    ReleaseTargets,
    /// The store is unreachable, and entries lapse meanwhile. They are written again within two seconds of its return.
    StopStore,
    /// The same, and the store is restored from an earlier copy.
    RestoreStore,
    ChangeRoutes,
    /// A few datagrams are lost.
    LoseDatagrams,
    CrashTargets,
    BurstOfRequests,
    /// All daemons and targets end at once and start again up to two seconds later, each at its own time.
    LosePower,
};

inline constexpr std::size_t DisruptionKindCount = 16;

/// Schedules a random selection of overlapping disruptions and planned work on a simulation. The selection depends only on the
/// seed and on the kinds that are allowed.
class RandomDisruptions
{
public:
    /// `kinds` are the allowed kinds.
    RandomDisruptions(RelaySimulation &simulation, std::uint64_t seed, std::vector<DisruptionKind> kinds, std::vector<Route> routes);

    /// Schedules disruptions that begin within a duration from now on.
    void schedule(Duration duration);

private:
    void scheduleOne(DisruptionKind kind, Duration at);
    void freezeEntries(Duration at);
    void restartEntries(Duration at);
    void killEntries(Duration at);
    void restartAgents(Duration at);
    void killAgents(Duration at);
    void slowEntries(Duration at);
    void slowAgents(Duration at);
    void withdrawTargets(Duration at);
    void releaseTargets(Duration at);
    void releaseTarget(std::size_t index, Duration at);
    void stopStore(Duration at, DisruptionKind kind);
    void changeRoutes(Duration at);
    void loseDatagrams(Duration at);
    void crashTargets(Duration at);
    void burst(Duration at);
    void losePower(Duration at);
    [[nodiscard]] Duration between(Duration::rep minimum, Duration::rep maximum);
    [[nodiscard]] bool chance(double probability);
    /// Returns between `minimum` and `maximum` as share of `count` indices, in random order.
    [[nodiscard]] std::vector<std::size_t> choose(std::size_t count, double minimum, double maximum);

    RelaySimulation &m_simulation;
    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::vector<DisruptionKind> m_kinds;
    std::vector<Route> m_routes;
    std::size_t m_startedTargets = 0;
};

} // namespace Papaya::Emulator
