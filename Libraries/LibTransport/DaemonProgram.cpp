#include "LibTransport/DaemonProgram.h"

#include "LibTransport/EventLog.h"
#include "LibTransport/ControlStateTask.h"
#include "LibTransport/OperatorHttpTask.h"
#include "LibTransport/PeerTask.h"
#include "LibTransport/PlatformTask.h"
#include "LibTransport/TimerTask.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace Papaya {

namespace {

constexpr Duration TickInterval {100};
constexpr Duration KnowledgeTickInterval {500};
constexpr Duration SignalPollTime {100};

void overrideText(std::string &value, const std::string &override)
{
    if (!override.empty())
        value = override;
}

void overrideEndpoint(Endpoint &value, const std::string &override, std::vector<Failure> &failures)
{
    if (override.empty())
        return;
    auto parsed = parseEndpoint(override);
    if (parsed.has_error())
        failures.push_back(parsed.error());
    else
        value = parsed.value();
}

/// Returns how many stop signals have arrived since the last call.
int takeStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    const timespec immediately {0, 0};
    int count = 0;
    while (sigtimedwait(&signals, nullptr, &immediately) > 0)
        ++count;
    return count;
}

VirtualMachine describeSelf(const DaemonSettings &settings, DaemonRole role)
{
    VirtualMachine self;
    self.name = settings.name;
    self.failureDomain = settings.failureDomain;
    self.daemon = settings.daemon;
    self.role = role == DaemonRole::Entry ? VmRole::Entry : VmRole::Target;
    return self;
}

} // namespace

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    // An empty file sets the fail bit of `text`, and is the parser's to refuse.
    if (!file.is_open())
        return Failure {FailureKind::FileUnreadable, 0, path};
    return text.str();
}

std::optional<DaemonSettings> loadSettings(const std::string &path, DaemonRole role, const SettingsOverrides &overrides)
{
    std::vector<Failure> failures;
    DaemonSettings settings;
    auto text = readFile(path);
    if (text.has_value())
        settings = readDaemonSettings(text.value(), role, failures);
    else
        failures.push_back(text.error());
    overrideText(settings.name, overrides.name);
    overrideText(settings.failureDomain, overrides.failureDomain);
    overrideEndpoint(settings.daemon, overrides.daemon, failures);
    overrideEndpoint(settings.operators, overrides.operators, failures);
    overrideEndpoint(settings.platform, overrides.platform, failures);
    for (const auto &failure : failures)
        EventLog("settings_invalid", LogLevel::Error).with(failure);
    if (!failures.empty())
        return std::nullopt;
    return settings;
}

void blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

caf::actor_system_config makeActorConfiguration()
{
    caf::actor_system_config config;
    // The default policy, work stealing, polls its queues 100 times a second in each of its threads even when idle.
    config.set("scheduler.policy", caf::atom("sharing"));
    config.set("scheduler.max-threads", std::size_t {1});
    return config;
}

void runDaemon(caf::actor_system &system, const DaemonSettings &settings, DaemonRole role, const MainTaskFactory &factory)
{
    caf::scoped_actor self(system);
    const auto timer = system.spawn<TimerTask>();
    const auto knowledge = system.spawn<ControlStateTask>();
    const auto mainTask = factory(system, caf::actor(self));
    self->send(timer, SubscribeToTicks {mainTask, TickInterval});
    self->send(timer, SubscribeToTicks {knowledge, KnowledgeTickInterval});
    self->send(knowledge, SubscribeToControlState {mainTask});
    for (const auto value : {PlatformValue::Configuration, PlatformValue::VmList})
        system.spawn<PlatformTask, caf::detached>(value, settings.platform, settings.name, knowledge);
    system.spawn<PeerTask, caf::detached>(describeSelf(settings, role), settings.seedPeers, knowledge);
    system.spawn<OperatorHttpTask, caf::detached>(settings.operators, mainTask);
    EventLog("daemon_started")
        .with("name", settings.name)
        .with("daemon", toString(settings.daemon))
        .with("operators", toString(settings.operators));

    int stopSignals = 0;
    bool isStopped = false;
    while (!isStopped && stopSignals < 2) {
        const int arrived = takeStopSignals();
        if (arrived > 0 && stopSignals == 0) {
            EventLog("daemon_stopping").with("name", settings.name);
            self->send(mainTask, Stop {});
        }
        stopSignals += arrived;
        self->receive([&](Stopped) { isStopped = true; }, caf::after(SignalPollTime) >> [] {});
    }
    EventLog("daemon_stopped").with("name", settings.name).with("graceful", isStopped ? "true" : "false");
    // Some tasks wait in reads that nothing needs any more, so the process ends without joining them.
    exitProcess(ExitSuccess);
}

} // namespace Papaya
