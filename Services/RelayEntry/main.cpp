#include "RelayEntryTask.h"

#include "platform/ListCheckTask.h"
#include "platform/StoreTask.h"

namespace {

caf::actor spawnEntryTask(caf::actor_system &system, const Papaya::RelaySettings &settings, const Papaya::RelayProgramParts &program)
{
    auto callers = Papaya::DatagramSocket::bind(settings.callers);
    auto daemon = Papaya::DatagramSocket::bind(settings.daemon);
    for (const auto *socket : {&callers, &daemon}) {
        if (socket->has_error()) {
            Papaya::EventLog("bind_failed", Papaya::LogLevel::Error).with(socket->error());
            Papaya::exitProcess(EXIT_FAILURE);
        }
    }
    auto task =
        system.spawn<Papaya::RelayEntryTask, caf::detached>(settings, std::move(callers.value()), std::move(daemon.value()), program);
    const Papaya::Platform::StoreReaderOptions store {settings.platform, settings.daemon.port, settings.stalenessLimit};
    system.spawn<Papaya::Platform::StoreTask, caf::detached>(store, Papaya::hashOf(settings.name), task);
    system.spawn<Papaya::Platform::ListCheckTask, caf::detached>(settings.platform, task);
    return task;
}

} // namespace

int main(int argc, char **argv)
{
    const Papaya::RelayDescription description {
        "papaya-relay-entryd",
        "Forwards callers' packets to the agents of the targets that hold the flows.\nUsage: papaya-relay-entryd --settings FILE",
        Papaya::RelayRole::Entry,
        Papaya::Duration(100),
        Papaya::KnowledgeService::Served,
        spawnEntryTask,
    };
    return Papaya::runRelayProgram(argc, argv, description);
}
