#include "RelayDeployment/RelayDeployment.h"

#include "LibTransport/MonotonicClock.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

/// End-to-end tests of entry daemons whose store is restored from a copy some seconds old.
namespace Papaya {

namespace {

/// The users require that a configuration is in force at all daemons within this time.
constexpr Duration ApplyLimit {3'000};
/// Time between a change and a copy of the store, so that the copy's age determines which changes it contains.
constexpr Duration CopySeparation {10};
/// After this time, all daemons have read earlier changes of the store and wait for the next one.
constexpr Duration SettleTime {1'500};
constexpr Duration StartLimit {10'000};

class StoreRestore : public testing::Test
{
protected:
    [[nodiscard]] std::uint64_t versionAt(const std::string &entry) const
    {
        const auto status = nlohmann::json::parse(m_deployment.readOperatorEndpoint(entry, "/status"), nullptr, false);
        return status.is_object() ? status.value("revision", std::uint64_t {0}) : 0;
    }

    [[nodiscard]] bool isInForceEverywhere(std::uint64_t version) const
    {
        for (const auto &entry : m_deployment.entryNames()) {
            if (versionAt(entry) != version)
                return false;
        }
        return true;
    }

    [[nodiscard]] bool waitUntilInForce(std::uint64_t version) const
    {
        return RelayDeployment::waitUntil([&] { return isInForceEverywhere(version); }, ApplyLimit);
    }

    /// Marks the current contents of the store as the copy from which restore() restores it.
    void takeCopy()
    {
        std::this_thread::sleep_for(CopySeparation);
        m_copyTakenAt = currentTime();
        std::this_thread::sleep_for(CopySeparation);
    }

    void restore() { m_deployment.store().restore(m_copyTakenAt); }

    /// Writes changes that no daemon reacts to, which increase the revision.
    void writeOthers(int changes)
    {
        for (int change = 0; change < changes; ++change)
            m_deployment.store().put("other/key", std::to_string(change));
    }

    void restart(const std::string &entry)
    {
        m_deployment.signal(entry, SIGKILL);
        m_deployment.waitForExit(entry);
        m_deployment.start(entry);
        ASSERT_TRUE(RelayDeployment::waitUntil([&] { return m_deployment.isReady(entry); }, StartLimit));
    }

    RelayDeployment m_deployment {PAPAYA_PROGRAMS, 3, {{"ledger", 1}}, {PeerList::Configured}};
    TimePoint m_copyTakenAt;
};

// Guards against a route that is never served: it was added after a restore, and the daemons watched on from a revision that the
// restored store had already passed when they reached it again.
TEST_F(StoreRestore, RouteAddedAfterRestoreIsInForceInTime)
{
    takeCopy();
    writeOthers(4);
    std::this_thread::sleep_for(SettleTime);
    m_deployment.store().setDown(true);
    restore();
    m_deployment.publishRoutes(1);
    writeOthers(8);
    m_deployment.store().setDown(false);
    EXPECT_TRUE(waitUntilInForce(2));
}

// Guards against a confirmed configuration that comes back older: a daemon that starts after a restore reads the old copy.
TEST_F(StoreRestore, EntryDaemonStartedAfterRestoreHasRoutesOfItsPeers)
{
    takeCopy();
    m_deployment.publishRoutes(1);
    ASSERT_TRUE(waitUntilInForce(2));
    restore();
    restart("entry-2");
    EXPECT_TRUE(waitUntilInForce(2));
}

// Guards against running daemons that return to the configuration of the copy, or that do not follow the next one.
TEST_F(StoreRestore, RunningEntryDaemonsKeepNewerRoutesAndFollowTheNext)
{
    takeCopy();
    m_deployment.publishRoutes(1);
    ASSERT_TRUE(waitUntilInForce(2));
    m_deployment.store().setDown(true);
    restore();
    m_deployment.store().setDown(false);
    const auto end = currentTime() + SettleTime;
    while (currentTime() < end)
        ASSERT_TRUE(isInForceEverywhere(2));
    m_deployment.rewriteStore();
    m_deployment.publishRoutes(2);
    EXPECT_TRUE(waitUntilInForce(3));
}

} // namespace

} // namespace Papaya
