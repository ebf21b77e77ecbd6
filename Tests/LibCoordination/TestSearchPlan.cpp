#include "LibCoordination/SearchPlan.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

// Guards against a search that leaves out the target of a flow: revisions of two eras were compared, so the target counted as listed
// after the current routes.
TEST(SearchPlan, TargetListedInAnotherEraThanRoutesIsQueried)
{
    constexpr FlowKey Flow {{0x64400007, 40'001}, {0xc6120001, 443}};
    constexpr TimePoint Now {Duration(1'000)};
    constexpr std::uint64_t Era = 4;
    EntryRelay entry;
    RouteTable routes;
    routes.version = 1;
    routes.changeRevision = {Era + 1, 40};
    routes.routes[Flow.service] = {"route", Flow.service, {{hashOf("catalogue"), "catalogue", 1}}};
    ASSERT_TRUE(setRoutes(entry, routes, Now));
    PublishedTarget target;
    target.id = 1;
    target.service = hashOf("ledger");
    target.agent = {0x0a020001, 7'720};
    target.listingRevision = {Era, 70};
    // Cold, as a target that has just started: a target that is merely listed again is always queried.
    target.coldTime = Duration(2'000);
    applyPublished(entry.directory, target, Now);
    EXPECT_EQ(planSearch(entry, Flow, Now).agents.size(), 1U);
    entry.routes.changeRevision = {Era, 40};
    EXPECT_TRUE(planSearch(entry, Flow, Now).agents.empty());
}

} // namespace

} // namespace Papaya
