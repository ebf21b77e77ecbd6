#include "LibState/FlowKey.h"

#include <gtest/gtest.h>

namespace Papaya {

TEST(FlowKey, ParsesFormattedFlow)
{
    const FlowKey flow {{0x0a630001, 4711}, {0x0a140001, 80}};
    const auto parsed = parseFlowKey(toString(flow));
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed.value(), flow);
}

TEST(FlowKey, RejectsInvalidEndpoints)
{
    for (const auto *text : {"", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3:80", "1.2.3.4:80x", ":80", "1.2.3.4:-1"}) {
        const auto parsed = parseEndpoint(text);
        ASSERT_TRUE(parsed.has_error()) << text;
        EXPECT_EQ(parsed.error().kind, FailureKind::InvalidAddress) << text;
    }
}

TEST(FlowKey, HashMatchesPublishedTestVector)
{
    // Daemons of different builds have to rank members alike, so the hash is part of the protocol.
    const FlowKey flow {{0x0a630001, 4711}, {0x0a140001, 80}};
    EXPECT_EQ(hashOf(flow), hashOf(FlowKey {{0x0a630001, 4711}, {0x0a140001, 80}}));
    // The published test vector of XXH3_64bits for empty input and seed 0.
    EXPECT_EQ(hashOf(std::string_view()), 0x2d06800538d394c2ULL);
}

} // namespace Papaya
