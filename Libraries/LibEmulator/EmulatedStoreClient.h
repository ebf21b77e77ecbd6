#pragma once

#include "LibEmulator/EmulatedProcess.h"
#include "LibEmulator/EmulatedStore.h"

#include <optional>
#include <random>

namespace Papaya::Emulator {

/// What an entry daemon learns from the store.
class StoreOutput
{
public:
    virtual ~StoreOutput() = default;

    virtual void onRoutes(const RouteTable &routes) = 0;
    virtual void onTargetList(const std::vector<PublishedTarget> &targets, Duration grace) = 0;
    virtual void onTarget(const PublishedTarget &target) = 0;
    virtual void onWithdrawal(MemberId target, Duration grace) = 0;
    virtual void onEvacuationList(const EvacuationList &list) = 0;
    virtual void onEvacuation(const std::string &domain, const EvacuationStatement &statement) = 0;
    virtual void onCurrent(TimePoint asOf, const PlatformRevision &revision) = 0;
    virtual void onChecked(const PlatformRevision &revision, TimePoint asOf) = 0;
    virtual void onReachable() = 0;
};

/// The reader of the store in an emulated entry daemon: it reads everything, then watches for changes, with a pause after each
/// batch of changes. It repeats failed calls after a delay that doubles.
class EmulatedStoreClient
{
public:
    EmulatedStoreClient(EventQueue &events, EmulatedStore &store, EmulatedProcess &process, StoreOutput &output, std::uint64_t seed);

    /// Starts reading, as in a new process.
    void start();
    /// Ends the pause after a batch of changes, and asks for the store's revision.
    void requestRefresh();

private:
    void call(Duration delay);
    void readAll(TimePoint startedAt);
    void beginWatch();
    void answerWatch();
    void fail();
    /// Asks for the store's revision on a connection of its own, unless that was done within `CheckInterval`.
    void checkRevision();
    void succeed();
    void schedule(Duration delay, EventQueue::Action action);
    [[nodiscard]] Duration callTime();
    [[nodiscard]] Duration withdrawalGrace() const;

    EventQueue &m_events;
    EmulatedStore &m_store;
    EmulatedProcess &m_process;
    StoreOutput &m_output;
    std::mt19937_64 m_random;
    std::optional<std::uint64_t> m_revision;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_routesVersion = 0;
    std::optional<TimePoint> m_watchStartedAt;
    bool m_isAnswering = false;
    bool m_isReachable = false;
    int m_failures = 0;
    TimePoint m_reachableSince;
    /// Identifies the pause that a refresh may end.
    std::uint64_t m_pause = 0;
    bool m_isPausing = false;
    std::optional<TimePoint> m_checkedAt;
};

} // namespace Papaya::Emulator
