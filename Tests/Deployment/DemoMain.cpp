// Runs a complete deployment on loopback. `demo` sends a bounded load, kills an entry daemon halfway through and counts the
// outcomes. `up` keeps the deployment running until SIGINT or SIGTERM.

#include "Deployment/Deployment.h"
#include "Deployment/LoadClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <optional>
#include <thread>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed for the fabric's choice of an entry daemon for each packet.");
ABSL_FLAG(int, requests, 300, "Number of requests that the demo sends.");
ABSL_FLAG(int, connections, 40, "Number of long-lived connections that the demo keeps open.");

namespace {

using namespace Papaya;
using namespace std::chrono_literals;

const Endpoint LedgerAddress {0x0a140001, 7000}; // 10.20.0.1
const Endpoint CatalogueAddress {0x0a140002, 80}; // 10.20.0.2

/// Time from the loss of an entry daemon until the fabric stops sending packets to it.
constexpr auto FabricDetectionTime = 1s;
constexpr auto StopPollInterval = 50ms;

volatile std::sig_atomic_t isStopRequested = 0;

void requestStop(int /*signal*/)
{
    isStopRequested = 1;
}

DeploymentPlan makePlan(const char *program)
{
    DeploymentPlan plan;
    plan.programs = std::filesystem::canonical(program).parent_path();
    plan.seed = absl::GetFlag(FLAGS_seed);
    plan.services.push_back({"ledger", LedgerAddress, "tcp", 7, 7, ""});
    plan.services.push_back({"catalogue", CatalogueAddress, "http", 3, 7, "depends_on = ledger\n"});
    return plan;
}

int runDemo(Deployment &deployment)
{
    const int requestCount = absl::GetFlag(FLAGS_requests);
    std::vector<EchoConnection> connections;
    connections.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_connections)));
    for (int index = 0; index < absl::GetFlag(FLAGS_connections); ++index)
        connections.emplace_back(deployment.callerAddress("ledger"));
    OutcomeCounts counts;
    int broken = 0;
    std::optional<std::jthread> fabricChange;
    for (int index = 0; index < requestCount && !isStopRequested; ++index) {
        if (index == requestCount / 2) {
            deployment.killProcess("entry-2");
            fabricChange.emplace([&] {
                std::this_thread::sleep_for(FabricDetectionTime);
                deployment.sprayOver({"entry-1", "entry-3"});
            });
        }
        countOutcome(counts, sendRequest(deployment.callerAddress("catalogue"), "GET", "/horn", std::to_string(index)));
        auto &connection = connections.at(static_cast<std::size_t>(index) % connections.size());
        if (!connection.isBroken() && !connection.exchange("lacquer report " + std::to_string(index) + "\n", 10s))
            ++broken;
    }
    std::cout << requestCount << " requests, " << counts.answered << " answered, " << counts.notRun << " not run, " << counts.unknown
              << " unknown, " << broken << " broken connections" << std::endl;
    const bool isSuccessful = counts.wrong == 0 && broken == 0 && counts.answered + counts.notRun + counts.unknown == requestCount;
    return isSuccessful ? 0 : 1;
}

int runUntilStopped(const Deployment &deployment)
{
    for (const auto &[name, process] : deployment.processes())
        std::cout << "process role=" << process.role << " name=" << name << " pid=" << process.pid << " address=" << process.address
                  << '\n';
    std::cout << "service name=ledger url=tcp://" << toString(deployment.callerAddress("ledger")) << '\n';
    std::cout << "service name=catalogue url=http://" << toString(deployment.callerAddress("catalogue")) << "/\n";
    std::cout << "ready" << std::endl;
    while (!isStopRequested)
        std::this_thread::sleep_for(StopPollInterval);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::string mode = arguments.size() > 1 ? arguments[1] : "demo";
    std::signal(SIGINT, requestStop);
    std::signal(SIGTERM, requestStop);
    Deployment deployment(makePlan(argv[0]));
    if (!deployment.start()) {
        std::cerr << "event=demo_failed reason=daemons_not_ready logs=" << deployment.folder() << std::endl;
        return 1;
    }
    return mode == "up" ? runUntilStopped(deployment) : runDemo(deployment);
}
