#include "RelayAgentTask.h"

namespace {

void exitOnFailure(const Papaya::Failure &failure)
{
    Papaya::EventLog("bind_failed", Papaya::LogLevel::Error).with(failure);
    Papaya::exitProcess(EXIT_FAILURE);
}

caf::actor spawnAgentTask(caf::actor_system &system, const Papaya::RelaySettings &settings, const Papaya::RelayProgramParts &program)
{
    auto daemon = Papaya::DatagramSocket::bind(settings.daemon);
    if (daemon.has_error())
        exitOnFailure(daemon.error());
    auto outbound = Papaya::DatagramSocket::bind(settings.outbound);
    if (outbound.has_error())
        exitOnFailure(outbound.error());
    auto target = Papaya::ConnectedDatagramSocket::connect(settings.outbound, settings.target);
    if (target.has_error())
        exitOnFailure(target.error());
    return system.spawn<Papaya::RelayAgentTask, caf::detached>(
        settings, std::move(daemon.value()), std::move(outbound.value()), std::move(target.value()), program);
}

} // namespace

int main(int argc, char **argv)
{
    const Papaya::RelayDescription description {
        "papaya-relay-agentd",
        "Forwards packets between entry daemons, callers and the target on this VM.\nUsage: papaya-relay-agentd --settings FILE",
        Papaya::RelayRole::Agent,
        Papaya::Duration(100),
        Papaya::KnowledgeService::None,
        spawnAgentTask,
    };
    return Papaya::runRelayProgram(argc, argv, description);
}
