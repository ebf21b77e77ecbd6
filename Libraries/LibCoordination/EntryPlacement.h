#pragma once

#include "LibCoordination/EntryRelay.h"

/// Placement of new flows by an entry daemon: which target gets the SYN and its retransmissions, and at which of them the flow opened.
namespace Papaya {

/// Returns the candidate at an agent, or nothing if the flow was not sent there.
[[nodiscard]] FlowCandidate *findCandidate(EntryFlow &flow, const Endpoint &agent);

/// Records that an agent reported the SYN-ACK of a SYN that was sent to it, or rejected the SYN.
void recordPlacementTime(EntryRelay &entry, const FlowCandidate &candidate, TimePoint now);

/// Sends a SYN to a target. The agent may reject it if the target turns out to be busy. Returns whether a target was available.
[[nodiscard]] bool placeSyn(EntryRelay &entry,
                            const FlowKey &key,
                            EntryFlow &flow,
                            std::span<const std::byte> packet,
                            RelayReason reason,
                            TimePoint now,
                            EntryOutput &output);

/// Forwards a SYN that the caller retransmitted: to the target that answered an earlier copy, otherwise, once `synTimeout` has
/// passed for every earlier copy, to a target that was not tried yet. Until then the retransmission is dropped. When every target
/// was tried, the SYN goes to the last one that did not return it and is not in an evacuated domain. If there is none and the others are
/// in evacuated domains, the flow is reset.
void forwardRetransmittedSyn(EntryRelay &entry,
                             const FlowKey &key,
                             EntryFlow &flow,
                             std::span<const std::byte> packet,
                             TimePoint now,
                             EntryOutput &output);

/// Returns whether the caller opened the flow at a target that this entry daemon did not send the SYN to: all targets that may have
/// accepted it here have reported their SYN-ACKs, and the caller acknowledges none of them.
[[nodiscard]] bool isOpenElsewhere(const PacketSummary &summary, const EntryFlow &flow);

/// Selects the target that a flow opened at: the one whose sequence number the caller acknowledges.
void selectOwner(const PacketSummary &summary, EntryFlow &flow, TimePoint now, EntryOutput &output);

} // namespace Papaya
