#include "SoakPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace Papaya {

namespace {

constexpr std::array<const char *, 12> KindNames {
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
    "restore_store",
};
/// The kinds up to this one are drawn as the main sequence of faults.
constexpr auto LastMainKind = SoakFaultKind::ChangeRoutes;
/// The range of the time between the starts of two faults, and the range of the duration of a fault, in milliseconds. Most faults last
/// longer than the time to the next one, so they overlap.
constexpr int MinimumInterval = 200;
constexpr int MaximumInterval = 1'200;
constexpr int MinimumDuration = 300;
constexpr int MaximumDuration = 2'500;
/// Restores of the store in one soak, and the ranges of their outage, of the age of the copy and of the delay until everything is
/// written again, in milliseconds.
constexpr int MaximumRestores = 3;
constexpr int MaximumStoreOutage = 2'000;
constexpr int MaximumCopyAge = 6'000;
constexpr int MaximumRewriteDelay = 1'500;
/// A pause of an agent that is shorter than this time stays below the timeout after which daemons treat the agent as unreachable.
constexpr Duration HarmlessAgentPause {700};

} // namespace

std::vector<SoakFault> generateSoakFaults(std::uint64_t seed, const SoakSize &size)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](int minimum, int maximum) { return std::uniform_int_distribution<int>(minimum, maximum)(random); };
    std::vector<SoakFault> faults;
    Duration time {draw(MinimumInterval, MaximumInterval)};
    while (time < size.duration) {
        SoakFault fault;
        fault.kind = static_cast<SoakFaultKind>(draw(0, static_cast<int>(LastMainKind)));
        const bool isAgentFault = fault.kind == SoakFaultKind::KillAgent || fault.kind == SoakFaultKind::PauseAgent;
        fault.index = draw(0, (isAgentFault ? size.agents : size.entries) - 1);
        fault.at = time;
        fault.duration = Duration(draw(MinimumDuration, MaximumDuration));
        faults.push_back(fault);
        time += Duration(draw(MinimumInterval, MaximumInterval));
    }
    for (int restore = draw(1, MaximumRestores); restore > 0; --restore) {
        SoakFault fault;
        fault.kind = SoakFaultKind::RestoreStore;
        fault.at = Duration(draw(0, static_cast<int>(size.duration.count()) - 1));
        fault.duration = Duration(draw(0, MaximumStoreOutage));
        fault.copyAge = Duration(draw(0, MaximumCopyAge));
        fault.rewriteDelay = Duration(draw(0, MaximumRewriteDelay));
        faults.push_back(fault);
    }
    return faults;
}

bool mayBreakFlows(const SoakFault &fault)
{
    const bool isAgentFault = fault.kind == SoakFaultKind::KillAgent || fault.kind == SoakFaultKind::PauseAgent;
    return isAgentFault && fault.duration >= HarmlessAgentPause;
}

std::string describe(const SoakFault &fault)
{
    return std::string("kind=") + KindNames.at(static_cast<std::size_t>(fault.kind)) + " index=" + std::to_string(fault.index)
           + " at_ms=" + std::to_string(fault.at.count()) + " duration_ms=" + std::to_string(fault.duration.count())
           + " copy_age_ms=" + std::to_string(fault.copyAge.count()) + " rewrite_delay_ms=" + std::to_string(fault.rewriteDelay.count());
}

} // namespace Papaya
