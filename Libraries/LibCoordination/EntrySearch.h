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

/// Ends the searches whose last denial waited for the list of targets to be current.
void reviewVerdicts(EntryRelay &entry, TimePoint now, EntryOutput &output);

/// Resets a flow and remembers its end for a while.
void endFlow(const FlowKey &key, EntryFlow &flow, RelayReason reason, std::uint32_t sequence, TimePoint now, EntryOutput &output);

} // namespace Papaya
