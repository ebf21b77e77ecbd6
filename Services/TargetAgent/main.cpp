#include "FlowTask.h"

#include "LibTransport/DaemonFlags.h"
#include "LibTransport/EventLog.h"

#include <chrono>

namespace {

/// Returns the incarnation of this run: the nanoseconds since the Unix epoch. No two runs on one VM start in the same nanosecond, so
/// their incarnations differ, and a later run has a greater one.
Papaya::Incarnation makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Papaya::Incarnation>(std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

caf::actor spawnFlowTask(caf::actor_system &system, const Papaya::DaemonSettings &settings, const caf::actor &program)
{
    auto daemon = Papaya::DatagramSocket::bind(settings.daemon);
    if (daemon.has_error()) {
        Papaya::EventLog("bind_failed", Papaya::LogLevel::Error).with(daemon.error());
        Papaya::exitProcess(Papaya::ExitFailure);
    }
    return system.spawn<Papaya::FlowTask, caf::detached>(settings, std::move(daemon.value()), makeIncarnation(), program);
}

} // namespace

int main(int argc, char **argv)
{
    const Papaya::DaemonDescription description {
        "papaya-agentd",
        "Owns the flows of the target on this VM.\nUsage: papaya-agentd --settings FILE",
        Papaya::DaemonRole::Target,
        spawnFlowTask,
    };
    return Papaya::runDaemonProgram(argc, argv, description);
}
