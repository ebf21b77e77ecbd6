// Command line tool for operators: checks a configuration text, shows the state of a daemon, explains how a flow is routed.

#include "LibBalancing/RendezvousHash.h"
#include "LibCoordination/MemberTable.h"
#include "LibCoordination/RoutingTable.h"
#include "LibProtocol/ConfigurationText.h"
#include "LibProtocol/VmListJson.h"
#include "LibTransport/DaemonProgram.h"
#include "LibTransport/HttpClient.h"
#include "papayactl/CheckRoutes.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <nlohmann/json.hpp>

#include <iostream>

ABSL_FLAG(std::string, service, "", "explain: the service that should receive the flow; a warning is printed if another one does.");
ABSL_FLAG(std::string, flow, "", "explain: the flow, CALLER_IP:PORT-SERVICE_IP:PORT.");
ABSL_FLAG(std::string, configuration, "", "explain: file with the configuration text, used instead of a daemon.");
ABSL_FLAG(std::string, vms, "", "explain: file with the VM list (JSON), used instead of a daemon.");
ABSL_FLAG(std::string, daemon, "", "explain, check-routes: operator address of the daemon to query.");

namespace {

using namespace Papaya;

constexpr const char *Usage = "Command line tool for operators of papayaledge.\n"
                              "  papayactl check FILE                 report every error of a configuration text\n"
                              "  papayactl check-routes FILE [--daemon=ADDRESS]\n"
                              "                                       check the platform's routes, compare them with an entry daemon's\n"
                              "  papayactl status ADDRESS             show the state of a daemon\n"
                              "  papayactl explain --service=S --flow=F (--daemon=ADDRESS | --configuration=FILE --vms=FILE)\n"
                              "Exit codes: 0 success, 1 an error was found or a daemon did not answer, 2 invalid arguments.\n"
                              "Exit codes of check-routes: 0 usable, 1 usable with warnings, 2 not usable, 3 no comparison possible.";
constexpr Duration ResponseTimeout {3'000};

int reportFailure(const Failure &failure)
{
    std::cerr << describe(failure) << '\n';
    return ExitFailure;
}

int checkFile(const std::string &path)
{
    const auto text = readFile(path);
    if (text.has_error())
        return reportFailure(text.error());
    std::vector<Failure> failures;
    const auto configuration = readConfiguration(text.value(), failures);
    for (const auto &failure : failures)
        std::cout << "file=" << path << ' ' << describe(failure) << '\n';
    if (!failures.empty())
        return ExitFailure;
    for (const auto &service : configuration.services)
        std::cout << "service=" << service.name << " addresses=" << service.addresses.size() << " target_group=" << service.targetGroup
                  << '\n';
    std::cout << "file=" << path << " valid services=" << configuration.services.size() << '\n';
    return ExitSuccess;
}

/// Sends a GET request to a daemon's operator address and returns the JSON object in the response. Fails with HttpFailed unless a
/// response with status 200 arrives, with MalformedJson if its body is not a JSON object, or like parseEndpoint() if the address is
/// invalid.
Result<nlohmann::json> fetchFromDaemon(const std::string &address, const std::string &path)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    HttpClient client(endpoint);
    const auto response = client.get(path, ResponseTimeout, ResponseTimeout);
    if (response.has_error() || response.value().status != 200)
        return Failure {FailureKind::HttpFailed, 0, address + path};
    auto json = nlohmann::json::parse(response.value().body, nullptr, false);
    if (!json.is_object())
        return Failure {FailureKind::MalformedJson, 0, address + path};
    return json;
}

int showStatus(const std::string &address)
{
    const auto status = fetchFromDaemon(address, "/status");
    if (status.has_error())
        return reportFailure(status.error());
    for (const auto &[key, value] : status.value().items())
        std::cout << key << '=' << value.dump() << '\n';
    return ExitSuccess;
}

int explainFromDaemon(const std::string &address, const std::string &service, const std::string &flow)
{
    const auto answer = fetchFromDaemon(address, "/explain?flow=" + flow);
    if (answer.has_error())
        return reportFailure(answer.error());
    const auto &json = answer.value();
    for (const auto &[key, value] : json.items())
        std::cout << key << '=' << value.dump() << '\n';
    const bool isOtherService = !service.empty() && json.contains("service") && json["service"] != service;
    if (isOtherService)
        std::cout << "warning=the_flow_goes_to_another_service\n";
    return isOtherService || json.contains("failure") ? ExitFailure : ExitSuccess;
}

/// Returns the members of each service according to a VM list. All of them count as alive, since no heartbeats are available.
MembersByService membersOfVmList(const Configuration &configuration, const VmList &list)
{
    MemberTable table;
    (void)applyVmList(table, list, TimePoint {});
    return membersOfServices(table, configuration, TimePoint {});
}

Result<void> explainFromFiles(const std::string &service, const std::string &flowText)
{
    BOOST_OUTCOME_TRY(flow, parseFlowKey(flowText));
    BOOST_OUTCOME_TRY(text, readFile(absl::GetFlag(FLAGS_configuration)));
    BOOST_OUTCOME_TRY(configuration, parseConfiguration(0, text));
    BOOST_OUTCOME_TRY(listText, readFile(absl::GetFlag(FLAGS_vms)));
    BOOST_OUTCOME_TRY(list, parseVmList(listText));
    const auto table = buildRoutingTable(configuration, membersOfVmList(configuration, list));
    const auto decision = routeFlow(table, flow);
    std::cout << "reason=" << routeReasonName(decision.reason) << '\n';
    if (decision.route == nullptr)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    std::cout << "service=" << decision.route->name << '\n';
    if (!service.empty() && decision.route->name != service)
        std::cout << "warning=the_flow_goes_to_another_service\n";
    int rank = 0;
    for (const auto index : rendezvousRank(decision.route->eligibleIds, hashOf(flow), decision.route->eligible.size()))
        std::cout << "rank=" << ++rank << " target=" << decision.route->eligible[index].name << '\n';
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

int explain()
{
    const auto service = absl::GetFlag(FLAGS_service);
    const auto flow = absl::GetFlag(FLAGS_flow);
    const auto daemon = absl::GetFlag(FLAGS_daemon);
    const bool hasFiles = !absl::GetFlag(FLAGS_configuration).empty() && !absl::GetFlag(FLAGS_vms).empty();
    if (flow.empty() || (daemon.empty() && !hasFiles)) {
        std::cerr << Usage << '\n';
        return ExitBadSettings;
    }
    if (!daemon.empty())
        return explainFromDaemon(daemon, service, flow);
    const auto explained = explainFromFiles(service, flow);
    return explained.has_error() ? reportFailure(explained.error()) : ExitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(Usage);
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("papayactl ") + PAPAYA_VERSION + "\n"; };
    absl::SetFlagsUsageConfig(usage);
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::string command = arguments.size() > 1 ? arguments[1] : "";
    if (command == "check" && arguments.size() == 3)
        return checkFile(arguments[2]);
    if (command == "check-routes" && arguments.size() == 3)
        return checkRoutesFile(arguments[2], absl::GetFlag(FLAGS_daemon));
    if (command == "status" && arguments.size() == 3)
        return showStatus(arguments[2]);
    if (command == "explain")
        return explain();
    std::cerr << Usage << '\n';
    return ExitBadSettings;
}
