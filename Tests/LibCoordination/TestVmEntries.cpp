#include "LibCoordination/EntryRelayFixture.h"

#include <rapidcheck/gtest.h>

#include <map>
#include <random>

/// Properties of the directory of targets over random sequences of entries, compared with a model that is built from the platform's list
/// alone.
namespace Papaya {

using namespace EntryTest;

namespace {

const std::array<std::string, 3> ServiceNames {"ledger", "catalogue", "node-metrics"};
constexpr std::array<std::uint16_t, 2> Ports {8'165, 9'100};
constexpr Incarnation FirstStart = 100;

/// A random source for entries on a number of VMs.
struct EntryGenerator {
    std::mt19937 random;
    std::uint32_t vms = 3;
    std::uint64_t revision = 0;
    std::uint64_t era = 1;

    std::uint32_t below(std::uint32_t limit) { return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random); }

    /// Returns an entry with a random service, VM, port and start; every tenth one has no start.
    PublishedTarget makeEntry(MemberId id)
    {
        PublishedTarget target;
        target.id = id;
        target.name = std::to_string(id);
        target.service = hashOf(ServiceNames.at(below(ServiceNames.size())));
        target.agent = agentOf(1 + below(vms));
        target.application = {target.agent.address, Ports.at(below(Ports.size()))};
        target.incarnation = below(10) == 0 ? 0 : FirstStart + below(4);
        target.isDraining = below(5) == 0;
        target.sequence = 1;
        target.revision = {era, ++revision};
        target.listingRevision = target.revision;
        return target;
    }
};

using EntryList = std::map<MemberId, PublishedTarget>;

/// The agents and services that a search has to cover: those of all listed entries.
std::set<std::pair<Endpoint, ServiceId>> coveredBy(const EntryList &list)
{
    std::set<std::pair<Endpoint, ServiceId>> covered;
    for (const auto &[id, target] : list)
        covered.emplace(target.agent, target.service);
    return covered;
}

/// Whether one entry keeps another one on its VM from getting new flows, by the rules of VmEntries.h.
bool goesBefore(const PublishedTarget &one, const PublishedTarget &other)
{
    if (one.id == other.id || one.agent != other.agent || one.service != other.service)
        return false;
    if (one.application == other.application) {
        if (one.incarnation != other.incarnation)
            return one.incarnation > other.incarnation;
        return one.listingRevision.number > other.listingRevision.number;
    }
    if (one.incarnation == 0 && other.incarnation != 0)
        return false;
    if (one.isDraining)
        return true;
    const bool isOnlyOneStarted = one.incarnation != 0 && other.incarnation == 0;
    return isOnlyOneStarted || one.listingRevision.number < other.listingRevision.number;
}

std::set<MemberId> placeableIn(const EntryList &list)
{
    std::set<MemberId> placeable;
    for (const auto &entry : list) {
        const auto &target = entry.second;
        const bool isPreceded = std::any_of(list.begin(), list.end(), [&](const auto &other) { return goesBefore(other.second, target); });
        if (!target.isDraining && !isPreceded)
            placeable.insert(entry.first);
    }
    return placeable;
}

std::set<MemberId> placeableIn(const TargetDirectory &directory, TimePoint now)
{
    std::set<MemberId> placeable;
    for (const auto &[id, record] : directory.targets) {
        if (isPlaceable(directory, record, now))
            placeable.insert(id);
    }
    return placeable;
}

/// Expects that the indexes of a directory agree with its records.
void expectConsistent(const TargetDirectory &directory)
{
    std::size_t indexed = 0;
    for (const auto &[agent, ids] : directory.targetsOfAgent) {
        RC_ASSERT(!ids.empty());
        indexed += ids.size();
        for (const auto id : ids) {
            RC_ASSERT(directory.targets.contains(id));
            RC_ASSERT(directory.targets.at(id).published.agent == agent);
            RC_ASSERT(directory.targets.at(id).published.id == id);
            RC_ASSERT(directory.targets.at(id).sharesVm == (ids.size() > 1));
        }
    }
    RC_ASSERT(indexed == directory.targets.size());
}

/// Expects that a search covers each agent and service.
void expectCovered(const TargetDirectory &directory, const std::set<std::pair<Endpoint, ServiceId>> &covered, TimePoint now)
{
    for (const auto &[agent, service] : covered) {
        const auto *record = findServiceByAgent(directory, agent, service, now);
        RC_ASSERT(record != nullptr);
        RC_ASSERT(!isTerminated(directory, *record, now));
    }
}

/// A random order of the entries of a list.
std::vector<PublishedTarget> shuffled(const EntryList &list, std::mt19937 &random)
{
    std::vector<PublishedTarget> entries;
    for (const auto &[id, target] : list)
        entries.push_back(target);
    std::shuffle(entries.begin(), entries.end(), random);
    return entries;
}

// Guards against a first read of the platform whose result depends on the order of the keys or on the limits of its pages.
RC_GTEST_PROP(VmEntries, FirstListHasSameEffectInAnyOrder, (std::uint32_t seed))
{
    EntryGenerator generator {std::mt19937(seed), 1 + seed % 4};
    EntryList list;
    for (MemberId id = 1; id <= 10; ++id)
        list[id] = generator.makeEntry(id);
    for (int order = 0; order < 5; ++order) {
        TargetDirectory directory;
        for (const auto &target : shuffled(list, generator.random))
            (void)applyPublished(directory, target, Start);
        markFirstListPropagated(directory, Start);
        expectConsistent(directory);
        expectCovered(directory, coveredBy(list), Start);
        RC_ASSERT(placeableIn(directory, Start) == placeableIn(list));
        for (const auto &[id, target] : list) {
            RC_ASSERT(directory.targets.at(id).published == target);
            RC_ASSERT(directory.targets.at(id).propagatedAt == Start);
        }
    }
}

/// Applies one random change to the platform's list and to the directory.
void applyRandomChange(EntryGenerator &generator, EntryList &list, TargetDirectory &directory, std::uint32_t targets, TimePoint now)
{
    const MemberId id = 1 + generator.below(targets);
    const auto change = generator.below(10);
    if (change < 2) {
        (void)applyWithdrawn(directory, id, now);
        list.erase(id);
        return;
    }
    auto target = list.contains(id) ? list.at(id) : generator.makeEntry(id);
    // Heartbeat or report of draining; restart under the same name; any other entry: a move, or another writer's.
    if (change < 5) {
        target.isDraining = target.isDraining || generator.below(3) == 0;
    } else if (change < 7) {
        target.incarnation = FirstStart + generator.below(8);
    } else {
        target = generator.makeEntry(id);
        target.listingRevision = list.contains(id) ? list.at(id).listingRevision : target.revision;
    }
    target.revision = {generator.era, ++generator.revision};
    (void)applyPublished(directory, target, now);
    list[id] = target;
}

void checkRandomChanges(std::uint32_t seed, std::uint32_t targets, int changes)
{
    EntryGenerator generator {std::mt19937(seed), std::max(1U, targets / 2)};
    EntryList list;
    TargetDirectory directory;
    auto now = Start;
    for (int step = 0; step < changes; ++step) {
        now += Duration(10);
        applyRandomChange(generator, list, directory, targets, now);
        removeWithdrawn(directory, now);
        expectConsistent(directory);
        expectCovered(directory, coveredBy(list), now);
    }
    for (const auto &[id, target] : list) {
        RC_ASSERT(directory.targets.contains(id));
        RC_ASSERT(!directory.targets.at(id).withdrawnAt);
        RC_ASSERT(directory.targets.at(id).published.revision == target.revision);
    }
}

// Guards against a listed target that a search leaves out after any sequence of moves, restarts, withdrawals and entries of other writers.
RC_GTEST_PROP(VmEntries, EveryListedTargetIsCoveredAfterAnyChanges, (std::uint32_t seed))
{
    checkRandomChanges(seed, 3, 200);
}

TEST(VmEntries, EveryListedTargetOfLargeDeploymentIsCovered)
{
    EXPECT_TRUE(rc::check("700 targets", [] { checkRandomChanges(*rc::gen::arbitrary<std::uint32_t>(), 700, 20); }));
}

// Guards against a target that is lost when the platform returns to an older copy of its list.
RC_GTEST_PROP(VmEntries, EveryTargetOfRestoredListIsCovered, (std::uint32_t seed))
{
    constexpr std::uint32_t Targets = 8;
    EntryGenerator generator {std::mt19937(seed), 3};
    EntryList list;
    TargetDirectory directory;
    for (int step = 0; step < 20; ++step)
        applyRandomChange(generator, list, directory, Targets, Start);
    auto copy = list;
    for (int step = 0; step < 10; ++step)
        applyRandomChange(generator, list, directory, Targets, Start);
    const auto covered = coveredBy(list);
    ++generator.era;
    for (auto &target : shuffled(copy, generator.random)) {
        target.revision.era = generator.era;
        target.listingRevision.era = generator.era;
        (void)applyPublished(directory, target, Start);
    }
    for (const auto &[id, target] : list) {
        if (!copy.contains(id))
            (void)applyWithdrawn(directory, id, Start + Duration(2'500));
    }
    expectConsistent(directory);
    expectCovered(directory, covered, Start);
    for (const auto &[id, target] : copy)
        RC_ASSERT(!directory.targets.at(id).withdrawnAt);
}

// Guards against the reset of open flows of a target that started again on another VM: an entry at its former address erased it.
TEST(VmEntries, TargetThatMovedStaysWhenItsFormerAddressIsUsedAgain)
{
    TargetDirectory directory;
    (void)applyPublished(directory, makeTarget(1), Start);
    auto moved = makeTarget(1);
    moved.agent = agentOf(4);
    moved.application.address = moved.agent.address;
    moved.incarnation = 2;
    (void)applyPublished(directory, moved, Start + Duration(1'000));
    auto next = makeTarget(1);
    next.id = hashOf("next");
    next.incarnation = 3;
    (void)applyPublished(directory, next, Start + Duration(11'000));
    expectConsistent(directory);
    const auto now = Start + Duration(20'000);
    EXPECT_EQ(findServiceByAgent(directory, agentOf(4), hashOf("ledger"), now)->published, moved);
    EXPECT_EQ(findByAgent(directory, agentOf(1))->published, next);
    EXPECT_EQ(placeableIn(directory, now), (std::set<MemberId> {moved.id, next.id}));
}

} // namespace

} // namespace Papaya
