#pragma once

#include "LibBalancing/TargetDirectory.h"

/// Several entries of the platform may name one VM: that of its target, those of targets that ran there before, and those of other writers,
/// which name no target to use. These functions decide which of them counts. The result depends on the entries only, not on the order in
/// which they were read, and an entry that is set aside counts again as soon as the one that stood before it has gone.
namespace Papaya {

/// Returns whether another entry on the same VM describes a newer run at the target's endpoint, of the same service. The target of the
/// older entry has ended then.
[[nodiscard]] bool isSuperseded(const TargetDirectory &directory, const TargetRecord &record, TimePoint now);

/// Returns whether new flows may be placed at a target: it accepts new flows, and its entry is the one that counts among those of its
/// service on its VM. While another one with a different endpoint drains, none counts.
[[nodiscard]] bool isPlaceable(const TargetDirectory &directory, const TargetRecord &record, TimePoint now);

/// Returns whether a withdrawn entry adds nothing to another one that is listed for the same service on the same VM.
[[nodiscard]] bool isRedundant(const TargetDirectory &directory, const TargetRecord &record, TimePoint now);

/// Returns the start of the target that an agent is told, so that it can compare the start with its own: the earliest one among the entries
/// of the target's service on its VM that are listed and not superseded; 0 if unknown.
[[nodiscard]] Incarnation announcedIncarnation(const TargetDirectory &directory, const PublishedTarget &target, TimePoint now);

/// Returns the record at an agent's address that the agent's messages apply to: the one whose agent was heard last, or the newest run if
/// none was; nothing if there is none.
[[nodiscard]] TargetRecord *findByAgent(TargetDirectory &directory, const Endpoint &agent);
[[nodiscard]] const TargetRecord *findByAgent(const TargetDirectory &directory, const Endpoint &agent);

/// Returns the record of a service at an agent's address, or nothing. A record that has not terminated goes first.
[[nodiscard]] const TargetRecord *
findServiceByAgent(const TargetDirectory &directory, const Endpoint &agent, ServiceId service, TimePoint now);

} // namespace Papaya
