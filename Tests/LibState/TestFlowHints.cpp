#include "LibState/FlowHints.h"

#include <gtest/gtest.h>

namespace Papaya {

TEST(FlowHints, ReturnsOwnerUntilHintExpiresOrIsEvicted)
{
    constexpr TimePoint Now {Duration(1'000)};
    const FlowKey first {{1, 1}, {2, 2}};
    const FlowKey second {{1, 2}, {2, 2}};
    FlowHints hints(1);
    EXPECT_FALSE(hints.ownerOf(first, Now).has_value());
    hints.set(first, 7, Now + Duration(10));
    EXPECT_EQ(hints.ownerOf(first, Now), MemberId {7});
    EXPECT_FALSE(hints.ownerOf(second, Now).has_value());
    EXPECT_FALSE(hints.ownerOf(first, Now + Duration(10)).has_value());
    hints.set(second, 8, Now + Duration(10));
    EXPECT_FALSE(hints.ownerOf(first, Now).has_value());
}

} // namespace Papaya
