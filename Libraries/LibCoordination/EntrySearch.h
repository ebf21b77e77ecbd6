#pragma once

#include "LibCoordination/EntryRelay.h"

/// How an entry daemon finds the target of a flow that it does not remember: it asks the agents that may have it.
namespace Papaya {

/// Begins to ask the agents that may hold the flow, the likely ones first.
void startSearch(EntryRelay &entry,
                 const PacketSummary &summary,
                 EntryFlow &flow,
                 std::span<const std::byte> packet,
                 TimePoint now,
                 EntryOutput &output);

/// Handles a further packet of a flow that is being searched for.
void continueSearch(EntryRelay &entry,
                    const PacketSummary &summary,
                    EntryFlow &flow,
                    std::span<const std::byte> packet,
                    TimePoint now,
                    EntryOutput &output);

/// Notes that an agent holds the flow, and sends it the packets that waited.
void onHeld(const Endpoint &agent, ServiceId service, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Notes that an agent does not hold the flow, and asks the next ones. The last denial ends the flow, once the list of targets is
/// known to be as new as the search.
void onDenied(EntryRelay &entry, const Endpoint &agent, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Notes that an agent cannot know whether its target holds the flow, and offers the target a packet if it may get it.
void onUndecided(EntryRelay &entry, const Endpoint &agent, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Sends the queries that are due, as far as searches may use the link. Call whenever something was received, and often enough
/// between for QueryLimits::gatherTime.
void sendQueries(EntryRelay &entry, TimePoint now, EntryOutput &output);

/// Goes on with a search whose caller may not send for a while: agents that have not answered are asked again, and those out of
/// reach are left out if the caller may repeat its request. Call some times a second.
void reviewSearch(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Asks an agent whether it is there, unless it was heard a moment ago or is being asked.
void askWhetherThere(EntryRelay &entry, const Endpoint &agent, ServiceId service, TimePoint now, EntryOutput &output);

/// Returns whether an agent is out of reach and the requests of the flow's route may be repeated. A flow whose request must not run
/// twice is left alone, since its target may still answer.
[[nodiscard]] bool isOutOfReach(const EntryRelay &entry, const FlowKey &flow, const Endpoint &agent, TimePoint now);

/// Ends the searches whose last denial waited for the list of targets to be current.
void retryPendingResets(EntryRelay &entry, TimePoint now, EntryOutput &output);

/// Resets a flow and remembers its end for a while.
void endFlow(const FlowKey &key, EntryFlow &flow, RelayReason reason, std::uint32_t sequence, TimePoint now, EntryOutput &output);

} // namespace Papaya
