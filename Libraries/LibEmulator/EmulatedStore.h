#pragma once

#include "LibBalancing/Evacuation.h"
#include "LibBalancing/TargetDirectory.h"
#include "LibEmulator/EventQueue.h"
#include "LibState/RouteTable.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Papaya::Emulator {

/// An item of the emulated store: a target, or its deletion.
struct StoreEntry {
    PublishedTarget target;
    std::uint64_t revision = 0;
    bool isDeleted = false;
};

/// The emulated store of the platform, in which targets and routes have revisions. It can be unreachable, and it can be restored
/// from an earlier copy.
class EmulatedStore
{
public:
    using Listener = std::function<void()>;

    explicit EmulatedStore(EventQueue &events)
        : m_events(events)
    {
    }

    /// Calls a listener after each change.
    void addListener(Listener listener) { m_listeners.push_back(std::move(listener)); }

    /// Writes a target. Its listing revision is the revision at which it was written first since its last deletion.
    void put(PublishedTarget target);
    void remove(MemberId target);
    void setRoutes(RouteTable routes);
    /// Writes or deletes the key of an evacuated failure domain.
    void setEvacuated(const std::string &domain, bool isEvacuated);
    void setReachable(bool isReachable);
    /// Replaces the contents by those that the store had a while ago. Watches cannot continue from earlier revisions.
    void restore(Duration age);

    [[nodiscard]] bool isReachable() const { return m_isReachable; }
    [[nodiscard]] std::uint64_t revision() const { return m_state.revision; }
    /// Number of the current era: 1, and one more after each restore.
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }
    [[nodiscard]] RouteTable routes() const;
    /// Returns the keys of evacuated domains, as a full read gets them.
    [[nodiscard]] EvacuationList evacuations() const;
    /// Returns the changes of these keys after a revision.
    [[nodiscard]] std::map<std::string, EvacuationStatement> evacuationsAfter(std::uint64_t revision) const;
    [[nodiscard]] bool lists(MemberId target) const;
    [[nodiscard]] std::vector<PublishedTarget> targets() const;
    [[nodiscard]] std::vector<StoreEntry> changesAfter(std::uint64_t revision) const;

private:
    struct State {
        TimePoint at;
        std::uint64_t revision = 0;
        std::map<MemberId, StoreEntry> entries;
        RouteTable routes;
        std::map<std::string, EvacuationStatement> evacuations;
    };

    /// Returns a target with its revisions in the current era of the store, as a reader gets it.
    [[nodiscard]] PublishedTarget inCurrentEra(PublishedTarget target) const;
    void recordChange();

    EventQueue &m_events;
    std::vector<Listener> m_listeners;
    State m_state;
    std::vector<State> m_history;
    std::uint64_t m_epoch = 1;
    bool m_isReachable = true;
};

} // namespace Papaya::Emulator
