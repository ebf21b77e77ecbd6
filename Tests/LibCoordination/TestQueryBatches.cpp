#include "LibCoordination/EntryRelayFixture.h"

namespace Papaya {

using namespace EntryTest;

namespace {

// Guards against a false denial: the queries of two searches for flows of two services shared one datagram, which named one of them.
TEST(QueryBatches, QueryNamesServiceOfAllItsFlows)
{
    constexpr FlowKey Other {{0x64400008, 40'002}, {0xc6120002, 443}};
    QueryBatches queries;
    enqueueFlow(queries, agentOf(1), 1, Flow);
    enqueueFlow(queries, agentOf(1), 2, Other);
    const auto first = dequeueQuery(queries, agentOf(1), Start);
    EXPECT_EQ(first.service, 1U);
    EXPECT_EQ(first.flows, std::vector<FlowKey> {Flow});
    const auto second = dequeueQuery(queries, agentOf(1), Start);
    EXPECT_EQ(second.service, 2U);
    EXPECT_EQ(second.flows, std::vector<FlowKey> {Other});
    EXPECT_EQ(queries.agentsWithPendingFlows, 0U);
}

} // namespace

} // namespace Papaya
