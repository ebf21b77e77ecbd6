#pragma once

#include "LibState/Clock.h"
#include "LibState/FlowKey.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace Papaya::Emulator {

/// Checks the rule on open flows, as callers and targets see it. An open flow whose target serves is broken (a) by a reset that its
/// target did not send, or (b) if for two seconds three or more of its packets reach other targets and none its own. The two
/// seconds begin with a packet that reaches another target, so that the silence of an idle flow does not count.
///
/// A break is excused if an unplanned disruption of the VM that sent the reset or the packets, or of the target's VM, lasts or ended
/// less than four seconds ago. Planned restarts excuse nothing.
class FlowRuleMonitor
{
public:
    /// Returns whether the target at an agent's address holds a flow.
    using IsHeld = std::function<bool(std::uint32_t target, const FlowKey &flow)>;

    explicit FlowRuleMonitor(IsHeld isHeld);

    /// Records that a flow has opened at a target.
    void recordOpened(const FlowKey &flow, std::uint32_t target);
    /// Records a packet of a caller that an entry daemon sent and a target received.
    void recordPacket(const FlowKey &flow, std::uint32_t entry, std::uint32_t target, TimePoint now);
    /// Records that the caller received a reset from an entry daemon. Returns whether the flow's target holds the flow.
    bool recordReset(const FlowKey &flow, std::uint32_t entry, TimePoint now);
    /// Evaluates the packets of flows that have not reached their targets since.
    void finish(TimePoint now);

    void beginDisruption(std::uint32_t vm);
    void endDisruption(std::uint32_t vm, TimePoint now);
    /// Records a disruption without duration.
    void recordDisruption(std::uint32_t vm, TimePoint now);

    /// Flows that were reset, and flows whose packets reached other targets.
    [[nodiscard]] const std::vector<FlowKey> &resetFlows() const { return m_resetFlows; }
    [[nodiscard]] const std::vector<FlowKey> &misdirectedFlows() const { return m_misdirectedFlows; }
    /// Number of resets of open flows that were excused.
    [[nodiscard]] std::uint64_t excusedResets() const { return m_excusedResets; }

private:
    struct Owner {
        std::uint32_t target = 0;
        /// When packets reached other targets since the last one that reached this target.
        std::vector<TimePoint> strays;
    };
    struct Disruption {
        int active = 0;
        TimePoint endedAt;
    };

    void evaluate(const FlowKey &flow, Owner &owner, TimePoint now);
    [[nodiscard]] bool isDisrupted(std::uint32_t vm, TimePoint now) const;

    IsHeld m_isHeld;
    std::unordered_map<FlowKey, Owner> m_owners;
    std::unordered_map<std::uint32_t, Disruption> m_disruptions;
    std::vector<FlowKey> m_resetFlows;
    std::vector<FlowKey> m_misdirectedFlows;
    std::uint64_t m_excusedResets = 0;
};

} // namespace Papaya::Emulator
