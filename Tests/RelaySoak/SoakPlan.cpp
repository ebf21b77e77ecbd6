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
/// The pause between two faults, in milliseconds; faults last longer, so that they overlap.
constexpr int LeastPause = 200;
constexpr int GreatestPause = 1'200;
constexpr int LeastLength = 300;
constexpr int GreatestLength = 2'500;
/// An agent's pause below which no daemon takes it for being out of reach.
constexpr Duration HarmlessPause {700};

} // namespace

std::vector<SoakFault> drawSoakFaults(std::uint64_t seed, const SoakSize &size)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](int least, int greatest) { return std::uniform_int_distribution<int>(least, greatest)(random); };
    std::vector<SoakFault> faults;
    Duration time {draw(LeastPause, GreatestPause)};
    while (time < size.duration) {
        SoakFault fault;
        fault.kind = static_cast<SoakFaultKind>(draw(0, static_cast<int>(KindNames.size()) - 1));
        const bool isOfAgent = fault.kind == SoakFaultKind::KillAgent || fault.kind == SoakFaultKind::PauseAgent;
        fault.which = draw(0, (isOfAgent ? size.agents : size.entries) - 1);
        fault.at = time;
        fault.lasts = Duration(draw(LeastLength, GreatestLength));
        faults.push_back(fault);
        time += Duration(draw(LeastPause, GreatestPause));
    }
    return faults;
}

bool mayEndFlows(const SoakFault &fault)
{
    const bool isOfAgent = fault.kind == SoakFaultKind::KillAgent || fault.kind == SoakFaultKind::PauseAgent;
    return isOfAgent && fault.lasts >= HarmlessPause;
}

std::string describe(const SoakFault &fault)
{
    return std::string("kind=") + KindNames.at(static_cast<std::size_t>(fault.kind)) + " which=" + std::to_string(fault.which)
           + " at_ms=" + std::to_string(fault.at.count()) + " lasts_ms=" + std::to_string(fault.lasts.count());
}

} // namespace Papaya
