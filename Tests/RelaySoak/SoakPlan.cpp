#include "SoakPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace Papaya {

namespace {

constexpr std::array<const char *, 17> KindNames {
    "kill_entry",
    "pause_entry",
    "restart_entry",
    "kill_agent",
    "pause_agent",
    "store_delayed",
    "store_silent",
    "store_one_way",
    "store_reset",
    "lossy_fabric",
    "change_routes",
    "freeze_entries",
    "restart_agent",
    "drain_target",
    "busy_machine",
    "open_flows",
    "restore_store",
};
constexpr int LastRandomKind = static_cast<int>(SoakFaultKind::ChangeRoutes);
/// The range of the time between the starts of two faults, and the range of the duration of a fault, in milliseconds. Most faults last
/// longer than the time to the next one, so they overlap.
constexpr int MinimumInterval = 200;
constexpr int MaximumInterval = 1'200;
constexpr int MinimumDuration = 300;
constexpr int MaximumDuration = 2'500;

/// The times of a release. Entry daemons are restarted only while they are not frozen.
constexpr Duration RestartInterval {900};
constexpr Duration FirstRestart {500};
constexpr Duration DrainedFrom {500};
constexpr Duration DrainedUntil {4'000};
constexpr Duration BusyTime {6'000};
constexpr Duration FreezeFrom {1'000};
constexpr Duration FreezeUntil {2'500};
constexpr Duration ShortestFreeze {2'700};
constexpr Duration LongestFreeze {3'300};
/// Callers open flows until this long after a freeze.
constexpr Duration OpeningAfterFreeze {1'000};
constexpr Duration ShortestAgentRestart {200};
constexpr Duration LongestAgentRestart {900};

using Random = std::mt19937_64;

int draw(Random &random, int minimum, int maximum)
{
    return std::uniform_int_distribution<int>(minimum, maximum)(random);
}

Duration draw(Random &random, Duration minimum, Duration maximum)
{
    return Duration(draw(random, static_cast<int>(minimum.count()), static_cast<int>(maximum.count())));
}

/// Returns planned restarts of all daemons in random order, one each RestartInterval. Frozen entry daemons follow once they run.
std::vector<SoakFault> restartSeries(Random &random, const SoakSize &size, const SoakFault &freeze)
{
    std::vector<SoakFault> pending;
    pending.reserve(static_cast<std::size_t>(size.agents) + static_cast<std::size_t>(size.entries));
    for (int agent = 0; agent < size.agents; ++agent)
        pending.push_back({SoakFaultKind::RestartAgent, agent, {}, draw(random, ShortestAgentRestart, LongestAgentRestart)});
    for (int entry = 0; entry < size.entries; ++entry)
        pending.push_back({SoakFaultKind::RestartEntry, entry, {}, RestartTime});
    std::shuffle(pending.begin(), pending.end(), random);
    std::vector<SoakFault> series;
    for (auto time = FirstRestart; !pending.empty(); time += RestartInterval) {
        const auto next = std::find_if(pending.begin(), pending.end(), [&](const SoakFault &fault) {
            const bool isDuringFreeze = time <= freeze.at + freeze.duration && time + fault.duration >= freeze.at;
            return !isDuringFreeze || fault.kind == SoakFaultKind::RestartAgent || !isFrozenBy(freeze, fault.index, size.entries);
        });
        if (next == pending.end())
            continue;
        next->at = time;
        series.push_back(*next);
        pending.erase(next);
    }
    return series;
}

/// Restores of the store in one soak, and the longest outage, age of the copy and delay until everything is written again.
constexpr int MaximumRestores = 3;
constexpr Duration MaximumStoreOutage {2'000};
constexpr Duration MaximumCopyAge {6'000};
constexpr Duration MaximumRewriteDelay {1'500};

} // namespace

std::vector<SoakFault> generateSoakFaults(std::uint64_t seed, const SoakSize &size)
{
    Random random(seed);
    std::vector<SoakFault> faults;
    Duration time {draw(random, MinimumInterval, MaximumInterval)};
    while (time < size.duration) {
        SoakFault fault;
        fault.kind = static_cast<SoakFaultKind>(draw(random, 0, LastRandomKind));
        fault.index = draw(random, 0, (isUnplannedAgentFault(fault.kind) ? size.agents : size.entries) - 1);
        fault.at = time;
        fault.duration = Duration(draw(random, MinimumDuration, MaximumDuration));
        faults.push_back(fault);
        time += Duration(draw(random, MinimumInterval, MaximumInterval));
    }
    for (int restore = draw(random, 1, MaximumRestores); restore > 0; --restore) {
        SoakFault fault;
        fault.kind = SoakFaultKind::RestoreStore;
        fault.at = draw(random, Duration(0), size.duration - Duration(1));
        fault.duration = draw(random, Duration(0), MaximumStoreOutage);
        fault.copyAge = draw(random, Duration(0), MaximumCopyAge);
        fault.rewriteDelay = draw(random, Duration(0), MaximumRewriteDelay);
        faults.push_back(fault);
    }
    return faults;
}

std::vector<SoakFault> generateReleaseFaults(std::uint64_t seed, const SoakSize &size)
{
    auto faults = generateSoakFaults(seed, size);
    std::erase_if(faults, [](const SoakFault &fault) { return fault.kind <= SoakFaultKind::PauseAgent; });
    Random random(seed);
    const auto frozenAt = draw(random, FreezeFrom, FreezeUntil);
    const SoakFault freeze {
        SoakFaultKind::FreezeEntries, draw(random, 0, size.entries - 1), frozenAt, draw(random, ShortestFreeze, LongestFreeze)};
    faults.push_back(freeze);
    faults.push_back({SoakFaultKind::OpenFlows, 0, frozenAt, freeze.duration + OpeningAfterFreeze});
    faults.push_back({SoakFaultKind::BusyMachine, 0, draw(random, Duration(0), freeze.at), BusyTime});
    const auto firstDraining = draw(random, 0, size.firstServiceAgents - 1);
    const auto secondDraining = draw(random, size.firstServiceAgents, size.agents - 1);
    for (const int agent : {firstDraining, secondDraining})
        faults.push_back({SoakFaultKind::DrainTarget, agent, draw(random, DrainedFrom, DrainedUntil), Duration(0)});
    const auto restarts = restartSeries(random, size, freeze);
    faults.insert(faults.end(), restarts.begin(), restarts.end());
    std::stable_sort(faults.begin(), faults.end(), [](const SoakFault &left, const SoakFault &right) { return left.at < right.at; });
    return faults;
}

bool isUnplannedAgentFault(SoakFaultKind kind)
{
    return kind == SoakFaultKind::KillAgent || kind == SoakFaultKind::PauseAgent;
}

bool isFrozenBy(const SoakFault &freeze, int entry, int entries)
{
    return (entry - freeze.index + entries) % entries < entries / 2;
}

std::string describe(const SoakFault &fault)
{
    return std::string("kind=") + KindNames.at(static_cast<std::size_t>(fault.kind)) + " index=" + std::to_string(fault.index)
           + " at_ms=" + std::to_string(fault.at.count()) + " duration_ms=" + std::to_string(fault.duration.count())
           + " copy_age_ms=" + std::to_string(fault.copyAge.count()) + " rewrite_delay_ms=" + std::to_string(fault.rewriteDelay.count());
}

} // namespace Papaya
