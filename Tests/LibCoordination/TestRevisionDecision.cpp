#include "LibCoordination/RevisionDecision.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr TimePoint Start {Duration(1'000'000)};

RevisionState stateWith(std::uint64_t revision, const std::string &text)
{
    RevisionState state;
    state.inForce = {revision, text};
    state.startedAt = Start;
    return state;
}

} // namespace

TEST(RevisionDecision, AcceptsANewerTextAndRefusesAnOlderOne)
{
    const auto state = stateWith(5, "five");
    const auto newer = decideRevision(state, {6, "six"}, RevisionSource::Platform, Start);
    ASSERT_TRUE(newer.has_value());
    EXPECT_EQ(newer.value(), RevisionOutcome::Accepted);
    const auto older = decideRevision(state, {4, "four"}, RevisionSource::Platform, Start);
    ASSERT_TRUE(older.has_error());
    EXPECT_EQ(older.error().kind, FailureKind::RevisionOlder);
}

TEST(RevisionDecision, RefusesAnotherTextUnderTheRevisionInForce)
{
    const auto state = stateWith(5, "five");
    const auto conflict = decideRevision(state, {5, "another"}, RevisionSource::Peer, Start);
    ASSERT_TRUE(conflict.has_error());
    EXPECT_EQ(conflict.error().kind, FailureKind::RevisionConflict);
    const auto same = decideRevision(state, {5, "five"}, RevisionSource::Peer, Start);
    ASSERT_TRUE(same.has_value());
    EXPECT_EQ(same.value(), RevisionOutcome::AlreadyInForce);
}

TEST(RevisionDecision, RefusesAPlatformThatIsBehindAPeer)
{
    auto state = stateWith(0, "");
    recordPeerRevision(state, 9);
    const auto stale = decideRevision(state, {7, "seven"}, RevisionSource::Platform, Start + PeerGrace * 10);
    ASSERT_TRUE(stale.has_error());
    EXPECT_EQ(stale.error().kind, FailureKind::RevisionOlder);
    EXPECT_TRUE(decideRevision(state, {9, "nine"}, RevisionSource::Peer, Start).has_value());
}

TEST(RevisionDecision, HoldsThePlatformsFirstTextBackUntilAPeerWasHeardOrTheGraceIsOver)
{
    auto state = stateWith(0, "");
    const RevisionedText offered {7, "seven"};
    EXPECT_EQ(decideRevision(state, offered, RevisionSource::Platform, Start).value(), RevisionOutcome::Deferred);
    EXPECT_EQ(decideRevision(state, offered, RevisionSource::Peer, Start).value(), RevisionOutcome::Accepted);
    EXPECT_EQ(decideRevision(state, offered, RevisionSource::Platform, Start + PeerGrace).value(), RevisionOutcome::Accepted);
    recordPeerRevision(state, 3);
    EXPECT_EQ(decideRevision(state, offered, RevisionSource::Platform, Start).value(), RevisionOutcome::Accepted);
}

} // namespace Papaya
