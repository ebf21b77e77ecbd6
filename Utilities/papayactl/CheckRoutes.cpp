#include "papayactl/CheckRoutes.h"

#include "LibProtocol/KnowledgeCodec.h"
#include "LibTransport/DaemonProgram.h"
#include "LibTransport/HttpClient.h"
#include "platform/RouteCheckReader.h"

#include <iostream>

namespace Papaya {

namespace {

constexpr Duration ResponseTimeout {3'000};
constexpr int HttpOk = 200;

/// Returns the routes in force at an entry daemon. Fails like parseEndpoint(), HttpClient::get() and decodeKnowledge(), and with
/// HttpFailed if the daemon has no routes yet or does not serve them.
Result<RouteTable> fetchRoutes(const std::string &daemon)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(daemon));
    HttpClient client(endpoint);
    const auto path = encodeKnowledgePath(std::nullopt);
    BOOST_OUTCOME_TRY(response, client.get(path, ResponseTimeout, ResponseTimeout));
    if (response.status != HttpOk)
        return Failure {FailureKind::HttpFailed, 0, daemon + path + ":" + std::to_string(response.status)};
    BOOST_OUTCOME_TRY(knowledge, decodeKnowledge(response.body));
    // Version 0 means that the daemon has not read any routes.
    if (knowledge.routes.version == 0)
        return Failure {FailureKind::HttpFailed, 0, daemon + path + ":no_routes"};
    return std::move(knowledge.routes);
}

void printSummary(const std::string &path, const Platform::CheckedConfiguration &checked)
{
    const auto errors = countFindings(checked.findings, FindingSeverity::Error);
    std::cout << "file=" << path << " usable=" << (errors == 0 ? "true" : "false") << " routes=" << checked.routeCount
              << " services=" << checked.serviceCount << " errors=" << errors
              << " warnings=" << countFindings(checked.findings, FindingSeverity::Warning)
              << " differences=" << countFindings(checked.findings, FindingSeverity::Difference) << '\n';
}

} // namespace

int checkRoutesFile(const std::string &path, const std::string &daemon)
{
    const auto text = readFile(path);
    if (text.has_error()) {
        std::cerr << describe(text.error()) << '\n';
        return ExitNotUsable;
    }
    auto checked = Platform::checkConfigurationText(text.value());
    bool isComparisonMissing = false;
    if (checked.routes && !daemon.empty()) {
        const auto inForce = fetchRoutes(daemon);
        isComparisonMissing = inForce.has_error();
        if (isComparisonMissing) {
            std::cerr << "comparison=failed " << describe(inForce.error()) << '\n';
        } else {
            const auto differences = compareRoutes(inForce.value(), *checked.routes);
            checked.findings.insert(checked.findings.end(), differences.begin(), differences.end());
        }
    }
    for (const auto &finding : checked.findings)
        std::cout << "file=" << path << ' ' << describe(finding) << '\n';
    printSummary(path, checked);
    if (countFindings(checked.findings, FindingSeverity::Error) > 0)
        return ExitNotUsable;
    if (isComparisonMissing)
        return ExitNoComparison;
    return countFindings(checked.findings, FindingSeverity::Warning) > 0 ? ExitUsableWithWarnings : ExitUsable;
}

} // namespace Papaya
