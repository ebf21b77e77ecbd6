#include "SoakPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace Papaya {

namespace {

constexpr std::array<const char *, 11> KindNames {
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
};
/// The range of the time between the starts of two faults, and the range of the duration of a fault, in milliseconds. Most faults last
/// longer than the time to the next one, so they overlap.
constexpr int MinimumInterval = 200;
constexpr int MaximumInterval = 1'200;
constexpr int MinimumDuration = 300;
constexpr int MaximumDuration = 2'500;
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
        fault.kind = static_cast<SoakFaultKind>(draw(0, static_cast<int>(KindNames.size()) - 1));
        const bool isAgentFault = fault.kind == SoakFaultKind::KillAgent || fault.kind == SoakFaultKind::PauseAgent;
        fault.index = draw(0, (isAgentFault ? size.agents : size.entries) - 1);
        fault.at = time;
        fault.duration = Duration(draw(MinimumDuration, MaximumDuration));
        faults.push_back(fault);
        time += Duration(draw(MinimumInterval, MaximumInterval));
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
           + " at_ms=" + std::to_string(fault.at.count()) + " duration_ms=" + std::to_string(fault.duration.count());
}

} // namespace Papaya
