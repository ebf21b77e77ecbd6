#include "LibTransport/RelayProgram.h"

#include "LibTransport/DaemonProgram.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/OperatorHttpTask.h"
#include "LibTransport/ProgramFlags.h"
#include "LibTransport/TimerTask.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace Papaya {

namespace {

/// How often the program checks for signals, and how often for a change of the settings file.
constexpr Duration SignalPollInterval {200};
constexpr Duration SettingsPollInterval {1'000};

/// The signals received since the last takePendingSignals().
struct PendingSignals {
    int stopCount = 0;
    bool isReloadRequested = false;
};

PendingSignals takePendingSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, signal);
    const timespec immediately {0, 0};
    PendingSignals pending;
    for (int signal = sigtimedwait(&signals, nullptr, &immediately); signal > 0; signal = sigtimedwait(&signals, nullptr, &immediately)) {
        if (signal == SIGHUP)
            pending.isReloadRequested = true;
        else
            ++pending.stopCount;
    }
    return pending;
}

void blockSignals()
{
    blockStopSignals();
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A write to a closed connection must fail with EPIPE instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
}

/// Detects changes of the settings file.
class SettingsWatcher
{
public:
    SettingsWatcher(std::string path, RelayRole role, RelaySettings settings)
        : m_path(std::move(path))
        , m_role(role)
        , m_settings(std::move(settings))
    {
        m_text = readText();
    }

    /// Returns the new settings if the file has changed, is valid and the settings differ. `cause` is logged.
    [[nodiscard]] std::optional<RelaySettings> reloadIfChanged(std::string_view cause)
    {
        auto text = readText();
        if (text == m_text)
            return std::nullopt;
        m_text = std::move(text);
        auto settings = loadRelaySettings(m_path, m_role);
        EventLog("settings_reloaded").with("cause", cause).with("outcome", settings ? "valid" : "refused");
        if (!settings || *settings == m_settings)
            return std::nullopt;
        m_settings = *settings;
        return settings;
    }

private:
    [[nodiscard]] std::string readText() const
    {
        const auto text = readFile(m_path);
        // The file may be unreadable while it is being replaced. Report no change then, so that the next check reads it again.
        return text.has_value() ? text.value() : m_text;
    }

    std::string m_path;
    RelayRole m_role;
    RelaySettings m_settings;
    std::string m_text;
};

/// Ends the process if its main task no longer turns, so that the supervisor starts it again.
void endIfDead(LoopMonitor &monitor)
{
    const auto previous = monitor.state();
    const auto state = monitor.poll();
    if (state != previous && state != LoopMonitor::State::Turning)
        EventLog("main_task_stalled", LogLevel::Error).with("ends", state == LoopMonitor::State::Dead ? "true" : "false");
    if (state == LoopMonitor::State::Dead)
        exitProcess(EXIT_FAILURE);
}

[[noreturn]] void
runRelay(caf::actor_system &system, const ProgramFlags &flags, const RelaySettings &settings, const RelayDescription &description)
{
    caf::scoped_actor self(system);
    const auto timer = system.spawn<TimerTask>();
    const auto monitor = std::make_shared<LoopMonitor>();
    const auto mainTask = description.spawnMainTask(system, settings, {caf::actor(self), monitor});
    self->send(timer, SubscribeToTicks {mainTask, description.tickInterval});
    system.spawn<OperatorHttpTask, caf::detached>(settings.operators, mainTask, OperatorOptions {description.knowledge, monitor});
    EventLog("daemon_started").with("program", description.program).with("name", settings.name).with("daemon", toString(settings.daemon));

    SettingsWatcher watcher(flags.settingsPath, description.role, settings);
    int stopSignals = 0;
    bool isStopped = false;
    auto sinceSettingsPoll = Duration(0);
    while (!isStopped && stopSignals < 2) {
        const auto pending = takePendingSignals();
        if (pending.stopCount > 0 && stopSignals == 0) {
            EventLog("daemon_stopping").with("name", settings.name);
            self->send(mainTask, Stop {});
        }
        stopSignals += pending.stopCount;
        sinceSettingsPoll += SignalPollInterval;
        if (pending.isReloadRequested || sinceSettingsPoll >= SettingsPollInterval) {
            sinceSettingsPoll = Duration(0);
            if (auto changed = watcher.reloadIfChanged(pending.isReloadRequested ? "signal" : "file"))
                self->send(mainTask, RelaySettingsChanged {std::move(*changed)});
        }
        self->receive([&](Stopped) { isStopped = true; }, caf::after(SignalPollInterval) >> [] {});
        endIfDead(*monitor);
    }
    EventLog("daemon_stopped").with("name", settings.name).with("graceful", isStopped ? "true" : "false");
    // Some tasks are blocked in calls whose results are no longer needed, so the process exits without joining them.
    exitProcess(ExitSuccess);
}

} // namespace

std::optional<RelaySettings> loadRelaySettings(const std::string &path, RelayRole role)
{
    std::vector<Failure> failures;
    RelaySettings settings;
    const auto text = readFile(path);
    if (text.has_value())
        settings = readRelaySettings(text.value(), role, failures);
    else
        failures.push_back(text.error());
    for (const auto &failure : failures)
        EventLog("settings_invalid", LogLevel::Error).with(failure);
    if (!failures.empty())
        return std::nullopt;
    return settings;
}

int runRelayProgram(int argc, char **argv, const RelayDescription &description)
{
    const auto flags = parseProgramFlags(argc, argv, description.program, description.usage);
    const auto settings = loadRelaySettings(flags.settingsPath, description.role);
    if (!settings)
        return ExitBadSettings;
    if (flags.isCheckOnly) {
        std::cout << "settings=valid name=" << settings->name << '\n';
        return ExitSuccess;
    }
    blockSignals();
    auto config = makeActorConfiguration();
    caf::actor_system system(config);
    runRelay(system, flags, *settings, description);
}

} // namespace Papaya
