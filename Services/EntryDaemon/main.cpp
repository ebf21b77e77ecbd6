#include "ForwardTask.h"

#include "LibTransport/DaemonFlags.h"
#include "LibTransport/EventLog.h"

namespace {

caf::actor spawnForwardTask(caf::actor_system &system, const Papaya::DaemonSettings &settings, const caf::actor &program)
{
    auto fabric = Papaya::DatagramSocket::bind(settings.fabricListen);
    auto daemon = Papaya::DatagramSocket::bind(settings.daemon);
    for (const auto *socket : {&fabric, &daemon}) {
        if (socket->has_error()) {
            Papaya::EventLog("bind_failed", Papaya::LogLevel::Error).with(socket->error());
            Papaya::exitProcess(Papaya::ExitFailure);
        }
    }
    return system.spawn<Papaya::ForwardTask, caf::detached>(settings, std::move(fabric.value()), std::move(daemon.value()), program);
}

} // namespace

int main(int argc, char **argv)
{
    const Papaya::DaemonDescription description {
        "papaya-entryd",
        "Forwards IP packets from the fabric to the agents of the services.\nUsage: papaya-entryd --settings FILE",
        Papaya::DaemonRole::Entry,
        spawnForwardTask,
    };
    return Papaya::runDaemonProgram(argc, argv, description);
}
