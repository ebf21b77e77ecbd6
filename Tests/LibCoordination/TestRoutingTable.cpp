#include "LibCoordination/RoutingTable.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

const Endpoint Ledger {10, 7'000};
const Endpoint Catalogue {11, 80};

Configuration makeConfiguration()
{
    Configuration configuration;
    configuration.revision = 3;
    ServiceConfiguration ledger;
    ledger.name = "ledger";
    ledger.addresses = {Ledger};
    ServiceConfiguration catalogue;
    catalogue.name = "catalogue";
    catalogue.addresses = {Catalogue};
    configuration.services = {ledger, catalogue};
    return configuration;
}

Member member(const std::string &name, MemberHealth health = MemberHealth::Alive, bool isLeaving = false)
{
    Member result;
    result.id = hashOf(name);
    result.name = name;
    result.health = health;
    result.isLeaving = isLeaving;
    return result;
}

} // namespace

TEST(RoutingTable, RoutesByDestinationAddressOnly)
{
    const auto table = buildRoutingTable(makeConfiguration(), {{"ledger", {member("l1"), member("l2")}}, {"catalogue", {member("c1")}}});
    for (std::uint16_t port = 1; port < 500; ++port) {
        const auto ledger = routeFlow(table, {{99, port}, Ledger});
        ASSERT_EQ(ledger.reason, RouteReason::FirstRanked);
        EXPECT_EQ(ledger.route->name, "ledger");
        EXPECT_EQ(ledger.destination->name.front(), 'l');
        EXPECT_EQ(routeFlow(table, {{99, port}, Catalogue}).destination->name, "c1");
    }
    EXPECT_EQ(routeFlow(table, {{99, 1}, {12, 80}}).reason, RouteReason::UnknownService);
    EXPECT_EQ(routeFlow(table, {{99, 1}, {10, 80}}).reason, RouteReason::UnknownService);
}

TEST(RoutingTable, LeavesOutMembersThatLeaveOrAreSilent)
{
    const auto table = buildRoutingTable(
        makeConfiguration(), {{"ledger", {member("l1"), member("l2", MemberHealth::Alive, true), member("l3", MemberHealth::Suspect)}}});
    ASSERT_EQ(table.services.front().eligible.size(), 1U);
    EXPECT_EQ(table.services.front().eligible.front().name, "l1");
    EXPECT_EQ(routeFlow(table, {{99, 1}, Catalogue}).reason, RouteReason::NoEligibleTarget);
}

TEST(RoutingTable, StillReachesOpenFlowsWhenEveryMemberLeaves)
{
    const auto table = buildRoutingTable(makeConfiguration(),
                                         {{"ledger", {member("l1", MemberHealth::Alive, true), member("l2", MemberHealth::Expired)}}});
    const auto decision = routeFlow(table, {{99, 1}, Ledger});
    ASSERT_EQ(decision.reason, RouteReason::FirstRanked);
    EXPECT_EQ(decision.destination->name, "l1");
}

} // namespace Papaya
