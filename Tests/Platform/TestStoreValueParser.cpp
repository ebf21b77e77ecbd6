#include "platform/StoreClient.h"
#include "platform/StoreValueParser.h"

#include <gtest/gtest.h>

#include <random>

namespace Papaya::Platform {

namespace {

constexpr std::uint16_t AgentPort = 7'720;
const std::string TargetKey = "servers/i-1";
const std::string TargetText = R"({"Service":"ledger","Address":"10.1.0.13:8165","Zone":"patan","Version":"v1","Slots":5,)"
                               R"("State":"ready","ColdLeftMs":1500,"Sequence":4,"born":1789375152937})";
const std::string RoutesText =
    R"({"Version":7,"Routes":[{"Name":"feed","Host":"198.18.0.1","Prefix":"/8443/","Kind":"idempotent","WeightedServices":)"
    R"([{"Service":"ledger","Weight":90},{"Service":"catalogue","Weight":10}]},)"
    R"({"Name":"photo","Host":"198.18.0.2","Prefix":"/443/","Kind":"download","Service":"catalogue"}],)"
    R"("Services":[],"Limits":{"IdleTimeoutMs":15000}})";

TEST(StoreValueParser, ParsesTargets)
{
    const auto target = parseTarget(TargetKey, TargetText, AgentPort);
    ASSERT_TRUE(target.has_value());
    EXPECT_EQ(target.value().name, "i-1");
    EXPECT_EQ(target.value().service, hashOf("ledger"));
    EXPECT_EQ(toString(target.value().application), "10.1.0.13:8165");
    EXPECT_EQ(toString(target.value().agent), "10.1.0.13:7720");
    EXPECT_EQ(target.value().slots, 5U);
    EXPECT_FALSE(target.value().isDraining);
    EXPECT_EQ(target.value().coldTime, Duration(1'500));
    EXPECT_EQ(target.value().incarnation, 1'789'375'152'937U);
    EXPECT_EQ(target.value().sequence, 4U);
}

TEST(StoreValueParser, RejectsInvalidTargets)
{
    const std::vector<std::string> invalid {
        "",
        "[]",
        "not json",
        R"({"Service":"ledger"})",
        R"({"Service":"ledger","Address":"nowhere","Zone":"a","Slots":5,"State":"ready","ColdLeftMs":0})",
        R"({"Service":"ledger","Address":"10.1.0.1:0","Zone":"a","Slots":5,"State":"ready","ColdLeftMs":0})",
        R"({"Service":"ledger","Address":"10.1.0.1:80","Zone":"a","Slots":"5","State":"ready","ColdLeftMs":0})",
        R"({"Service":"ledger","Address":"10.1.0.1:80","Zone":"a","Slots":5,"State":"asleep","ColdLeftMs":0})",
        R"({"Service":"ledger","Address":"10.1.0.1:80","Zone":"a","Slots":5,"State":"ready","ColdLeftMs":-1})",
        R"({"Service":7,"Address":"10.1.0.1:80","Zone":"a","Slots":5,"State":"ready","ColdLeftMs":0})",
        R"({"Service":"ledger","Address":"10.1.0.1:80","Zone":"a","Slots":5,"State":"ready","ColdLeftMs":0,"born":"x"})",
        R"({"Service":"ledger","Address":"10.1.0.1:80","Zone":"a","Slots":5,"State":"ready","ColdLeftMs":0,"Sequence":"x"})",
    };
    for (const auto &text : invalid)
        EXPECT_TRUE(parseTarget(TargetKey, text, AgentPort).has_error()) << text;
}

TEST(StoreValueParser, ParsesRoutes)
{
    const auto table = parseRouteTable(RoutesText);
    ASSERT_TRUE(table.has_value());
    EXPECT_EQ(table.value().version, 7U);
    EXPECT_EQ(table.value().idleTimeout, Duration(15'000));
    ASSERT_EQ(table.value().routes.size(), 2U);
    const auto &feed = table.value().routes.at(parseEndpoint("198.18.0.1:8443").value());
    ASSERT_EQ(feed.services.size(), 2U);
    EXPECT_EQ(feed.services[0].weight, 90U);
    EXPECT_EQ(feed.services[1].name, "catalogue");
    EXPECT_EQ(table.value().routes.at(parseEndpoint("198.18.0.2:443").value()).services[0].service, hashOf("catalogue"));
}

TEST(StoreValueParser, RouteKindDeterminesWhetherRequestsAreIdempotent)
{
    const auto isIdempotent = [](const std::string &kind) {
        const auto text = R"({"Version":7,"Routes":[{"Name":"r","Host":"198.18.0.1","Prefix":"/443/",)" + kind + R"("Service":"ledger"}]})";
        const auto table = parseRouteTable(text);
        return table.has_value() && table.value().routes.begin()->second.isIdempotent;
    };
    EXPECT_TRUE(isIdempotent(R"("Kind":"idempotent",)"));
    EXPECT_TRUE(isIdempotent(R"("Kind":"download",)"));
    EXPECT_FALSE(isIdempotent(R"("Kind":"non_idempotent",)"));
    EXPECT_FALSE(isIdempotent(R"("Kind":7,)"));
    EXPECT_FALSE(isIdempotent(""));
}

TEST(StoreValueParser, RejectsIncompleteRoutes)
{
    for (const auto *text : {"",
                             "{}",
                             R"({"Version":1})",
                             R"({"Version":"1","Routes":[]})",
                             R"({"Version":1,"Routes":[{}]})",
                             R"({"Version":1,"Routes":[{"Name":"a","Host":"198.18.0.1","Prefix":"//","Service":"s"}]})"})
        EXPECT_TRUE(parseRouteTable(text).has_error()) << text;
}

TEST(StoreValueParser, ParsesStoreResponses)
{
    const auto response = parseStoreResponse(R"({"events":[{"Key":"a","Value":"bm9kZS0x","Revision":412,"Created":400,"Lease":0},)"
                                             R"({"Key":"b","Revision":413,"Tombstone":true}],"StoreRevision":413})",
                                             "events");
    ASSERT_TRUE(response.has_value());
    ASSERT_EQ(response.value().items.size(), 2U);
    EXPECT_EQ(response.value().items[0].value, "node-1");
    EXPECT_EQ(response.value().items[0].createdRevision, 400U);
    EXPECT_TRUE(response.value().items[1].isDeleted);
    EXPECT_EQ(response.value().revision.number, 413U);
}

TEST(StoreValueParser, RejectsIncompleteStoreResponses)
{
    for (const auto *body : {"",
                             "{}",
                             R"({"events":[]})",
                             R"({"events":{},"StoreRevision":1})",
                             R"({"events":[{}],"StoreRevision":1})",
                             R"({"events":[{"Key":"a","Value":"***","Revision":1}],"StoreRevision":1})",
                             R"({"events":[{"Key":"a","Revision":1}],"StoreRevision":1})"})
        EXPECT_TRUE(parseStoreResponse(body, "events").has_error()) << body;
}

/// Overwrites random bytes of a valid text and sometimes truncates it.
std::string mutate(std::string text, std::mt19937_64 &random)
{
    for (int change = 0; change < 3; ++change)
        text[random() % text.size()] = static_cast<char>(random());
    return text.substr(0, text.size() - (random() % 4 == 0 ? random() % text.size() : 0));
}

TEST(StoreValueParser, ToleratesMutatedTexts)
{
    constexpr int Inputs = 100'000;
    std::mt19937_64 random(11);
    for (int input = 0; input < Inputs; ++input) {
        (void)parseTarget(TargetKey, mutate(TargetText, random), AgentPort);
        (void)parseRouteTable(mutate(RoutesText, random));
    }
}

} // namespace

} // namespace Papaya::Platform
