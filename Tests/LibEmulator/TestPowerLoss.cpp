#include "LibEmulator/RelaySimulation.h"

#include <gtest/gtest.h>

#include <deque>
#include <ostream>

/// Loss of power of the whole system: every flow is lost, and its caller waits until an entry daemon tells it so.
namespace Papaya::Emulator {

namespace {

constexpr Endpoint LedgerAddress {0xc6120001, 443};
constexpr Endpoint CatalogueAddress {0xc6120002, 443};
constexpr Duration WarmUpTime {4'000};
constexpr Duration DownTime {1'200};
constexpr Duration ObservationTime {2'000};
constexpr Duration SampleInterval {20};
/// A caller of a lost flow is told within this time after its first packet, once entry daemons have started.
constexpr Duration ResetTime {300};
constexpr double ResetShare = 0.95;

/// The size of a deployment.
struct Size {
    std::size_t entryDaemons = 0;
    std::size_t ledgerTargets = 0;
    std::size_t catalogueTargets = 0;
    /// Requests a second of keep-alive flows.
    double feeds = 0;
    double photos = 0;
};

std::ostream &operator<<(std::ostream &stream, const Size &size)
{
    return stream << size.entryDaemons << "_" << size.ledgerTargets + size.catalogueTargets;
}

SimulationOptions makeOptions(const Size &size)
{
    SimulationOptions options;
    options.entryDaemons = size.entryDaemons;
    options.targets = makeTargets("ledger", size.ledgerTargets, {});
    const auto catalogue = makeTargets("catalogue", size.catalogueTargets, {});
    options.targets.insert(options.targets.end(), catalogue.begin(), catalogue.end());
    options.routes = {makeRoute(LedgerAddress, "ledger"), makeRoute(CatalogueAddress, "catalogue")};
    options.kinds = {{"feed", LedgerAddress, true, true, size.feeds, 47, Duration(400), Duration(2'000)},
                     {"photo", CatalogueAddress, true, false, size.photos, 4, Duration(800), Duration(4'000)}};
    return options;
}

class PowerLoss : public testing::TestWithParam<Size>
{
protected:
    void losePower()
    {
        for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry)
            m_simulation.killEntry(entry);
        for (std::size_t target = 0; target < m_simulation.targetCount(); ++target) {
            m_simulation.killAgent(target);
            m_simulation.crashTarget(target);
        }
    }

    void restorePower()
    {
        for (std::size_t target = 0; target < m_simulation.targetCount(); ++target) {
            m_simulation.startAgent(target);
            m_simulation.restartTarget(target);
        }
        for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry)
            m_simulation.startEntry(entry);
    }

    [[nodiscard]] std::uint64_t startedSearches() const { return m_simulation.decisionCount(RelayReason::SearchStarted); }

    [[nodiscard]] std::uint64_t endedSearches() const
    {
        return m_simulation.decisionCount(RelayReason::HeldByNobody) + m_simulation.decisionCount(RelayReason::LostAtTarget)
               + m_simulation.decisionCount(RelayReason::SearchFound);
    }

    RelaySimulation m_simulation {makeOptions(GetParam())};
};

// Failure: entry daemons wait for entries that may have expired in an outage of the store before they reset the flows that no target holds,
// although all targets have just started.
TEST_P(PowerLoss, CallersOfLostFlowsAreToldSoon)
{
    m_simulation.startCallers(WarmUpTime + DownTime + ObservationTime);
    m_simulation.run(WarmUpTime);
    losePower();
    m_simulation.run(DownTime);
    restorePower();
    const auto endedBefore = endedSearches();
    const auto startedBefore = startedSearches();
    std::deque<std::uint64_t> samples;
    for (Duration time {0}; time < ObservationTime; time += SampleInterval) {
        samples.push_back(startedSearches() - startedBefore);
        m_simulation.run(SampleInterval);
        if (samples.size() <= static_cast<std::size_t>(ResetTime / SampleInterval))
            continue;
        const auto due = static_cast<double>(samples.front()) * ResetShare;
        samples.pop_front();
        EXPECT_GE(static_cast<double>(endedSearches() - endedBefore), due) << time.count() << " ms after the start";
    }
    EXPECT_GT(startedSearches() - startedBefore, GetParam().entryDaemons);
    EXPECT_EQ(m_simulation.checkFlowRule().resetFlows().size(), 0U);
    EXPECT_EQ(m_simulation.duplicateRequests(), 0U);
    EXPECT_EQ(m_simulation.misroutedRequests(), 0U);
}

// Failure: the same wait, where only the daemons were killed: their targets serve on and hold all flows.
TEST_P(PowerLoss, FlowsAreFoundAfterLossOfAllDaemons)
{
    m_simulation.startCallers(WarmUpTime + DownTime + ObservationTime);
    m_simulation.run(WarmUpTime);
    for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry)
        m_simulation.killEntry(entry);
    for (std::size_t agent = 0; agent < m_simulation.targetCount(); ++agent)
        m_simulation.killAgent(agent);
    m_simulation.run(DownTime);
    for (std::size_t agent = 0; agent < m_simulation.targetCount(); ++agent)
        m_simulation.startAgent(agent);
    for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry)
        m_simulation.startEntry(entry);
    const auto foundBefore = m_simulation.decisionCount(RelayReason::SearchFound);
    const auto startedBefore = startedSearches();
    m_simulation.run(ObservationTime - ResetTime);
    const auto due = static_cast<double>(startedSearches() - startedBefore) * ResetShare;
    m_simulation.run(ResetTime);
    EXPECT_GE(static_cast<double>(m_simulation.decisionCount(RelayReason::SearchFound) - foundBefore), due);
    EXPECT_EQ(m_simulation.checkFlowRule().resetFlows().size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         PowerLoss,
                         testing::Values(Size {7, 7, 3, 257, 22}, Size {19, 41, 10, 600, 50}, Size {59, 109, 27, 1'212, 81}),
                         testing::PrintToStringParamName());

} // namespace

} // namespace Papaya::Emulator
