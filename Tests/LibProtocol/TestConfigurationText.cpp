#include "LibProtocol/ConfigurationText.h"

#include "LibProtocol/IniDocument.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

const std::string ValidText = "[service ledger]\n"
                              "addresses = 10.20.0.1:7000,\n"
                              "  10.20.0.3:7000\n"
                              "protocol = tcp\n"
                              "target_group = ledger\n"
                              "; a comment\n"
                              "[service catalogue]\n"
                              "addresses = 10.20.0.2:80\n"
                              "protocol = http\n"
                              "target_group = catalogue\n"
                              "slots = 5\n"
                              "deadline_ms = 2500\n"
                              "depends_on = ledger\n";

struct InvalidText {
    const char *name;
    std::string text;
    FailureKind kind;
    int line;
};

std::string withLine(const std::string &line)
{
    return ValidText + line + "\n";
}

std::vector<InvalidText> invalidTexts()
{
    return {
        {"empty", "", FailureKind::EmptyText, 0},
        {"blank", " \n\n", FailureKind::EmptyText, 0},
        {"large", std::string(TextSizeLimit + 1, ';'), FailureKind::TextTooLarge, 0},
        {"unknown_key", withLine("slotz = 3"), FailureKind::UnknownKey, 14},
        {"range", withLine("queue_limit = -1"), FailureKind::ValueOutOfRange, 14},
        {"not_a_number", withLine("queue_limit = many"), FailureKind::ValueOutOfRange, 14},
        {"duplicate_key", withLine("slots = 3"), FailureKind::DuplicateKey, 14},
        {"unknown_section", withLine("[servce x]\na = 1"), FailureKind::UnknownSection, 14},
        {"duplicate_address",
         withLine("[service x]\naddresses = 10.20.0.1:7000\nprotocol = tcp\ntarget_group = x"),
         FailureKind::DuplicateAddress,
         15},
        {"group_of_two",
         withLine("[service x]\naddresses = 10.20.0.9:7000\nprotocol = tcp\ntarget_group = ledger"),
         FailureKind::TargetGroupOfTwoServices,
         17},
        {"missing_group", withLine("[service x]\naddresses = 10.20.0.9:7000\nprotocol = tcp"), FailureKind::MissingKey, 14},
        {"missing_all", withLine("[service x]"), FailureKind::MissingKey, 14},
        {"bad_address",
         withLine("[service x]\naddresses = 10.20.0:7000\nprotocol = tcp\ntarget_group = x"),
         FailureKind::InvalidAddress,
         15},
        {"bad_protocol",
         withLine("[service x]\naddresses = 10.20.0.9:7000\nprotocol = udp\ntarget_group = x"),
         FailureKind::ValueOutOfRange,
         16},
        {"unknown_dependency",
         withLine("[service x]\naddresses = 10.20.0.9:7000\nprotocol = tcp\ntarget_group = x\ndepends_on = y"),
         FailureKind::UnknownDependency,
         18},
        {"cycle",
         withLine("[service x]\naddresses = 10.20.0.9:7000\nprotocol = tcp\ntarget_group = x\ndepends_on = x"),
         FailureKind::DependencyCycle,
         18},
        {"no_equals", withLine("just words"), FailureKind::SyntaxError, 14},
        {"open_section", withLine("[service x"), FailureKind::SyntaxError, 14},
        {"outside", "slots = 1\n" + ValidText, FailureKind::SyntaxError, 1},
        {"half", ValidText.substr(0, 30), FailureKind::InvalidAddress, 2},
    };
}

} // namespace

TEST(ConfigurationText, ParsesAValidText)
{
    const auto parsed = parseConfiguration(12, ValidText);
    ASSERT_TRUE(parsed.has_value()) << describe(parsed.error());
    const auto &configuration = parsed.value();
    EXPECT_EQ(configuration.revision, 12U);
    ASSERT_EQ(configuration.services.size(), 2U);
    const auto &ledger = configuration.services[0];
    EXPECT_EQ(ledger.name, "ledger");
    EXPECT_EQ(ledger.addresses.size(), 2U);
    EXPECT_EQ(ledger.protocol, ServiceProtocol::Tcp);
    const auto &catalogue = configuration.services[1];
    EXPECT_EQ(catalogue.protocol, ServiceProtocol::Http);
    EXPECT_EQ(catalogue.slots, 5);
    EXPECT_EQ(catalogue.deadline, std::chrono::milliseconds(2'500));
    EXPECT_EQ(catalogue.dependsOn, std::vector<std::string> {"ledger"});
}

TEST(ConfigurationText, ReportsKindAndLineOfEachFailure)
{
    for (const auto &invalid : invalidTexts()) {
        std::vector<Failure> failures;
        (void)readConfiguration(invalid.text, failures);
        const auto isExpected = [&](const Failure &failure) { return failure.kind == invalid.kind && failure.line == invalid.line; };
        std::string all;
        for (const auto &failure : failures)
            all += describe(failure) + "; ";
        EXPECT_TRUE(std::any_of(failures.begin(), failures.end(), isExpected)) << invalid.name << ": " << all;
        EXPECT_TRUE(parseConfiguration(1, invalid.text).has_error()) << invalid.name;
    }
}

} // namespace Papaya
