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

/// How often signals and the settings file are looked at.
constexpr Duration ReviewTime {200};
constexpr Duration SettingsReviewTime {1'000};

/// Signals that arrived since they were last taken.
struct ArrivedSignals {
    int stops = 0;
    bool hasReload = false;
};

ArrivedSignals takeSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, signal);
    const timespec immediately {0, 0};
    ArrivedSignals arrived;
    for (int signal = sigtimedwait(&signals, nullptr, &immediately); signal > 0; signal = sigtimedwait(&signals, nullptr, &immediately)) {
        if (signal == SIGHUP)
            arrived.hasReload = true;
        else
            ++arrived.stops;
    }
    return arrived;
}

void blockSignals()
{
    blockStopSignals();
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closed its connection is an error of the write, not the end of the process.
    std::signal(SIGPIPE, SIG_IGN);
}

/// Follows the settings file and tells the main task what changed in it.
class SettingsFollower
{
public:
    SettingsFollower(std::string path, RelayRole role, RelaySettings settings)
        : m_path(std::move(path))
        , m_role(role)
        , m_settings(std::move(settings))
    {
        m_text = readText();
    }

    /// Returns the new settings if the file has changed and is valid.
    [[nodiscard]] std::optional<RelaySettings> review(std::string_view cause)
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
        // A file that is being replaced is looked at again at the next review.
        return text.has_value() ? text.value() : m_text;
    }

    std::string m_path;
    RelayRole m_role;
    RelaySettings m_settings;
    std::string m_text;
};

[[noreturn]] void
runRelay(caf::actor_system &system, const ProgramFlags &flags, const RelaySettings &settings, const RelayDescription &description)
{
    caf::scoped_actor self(system);
    const auto timer = system.spawn<TimerTask>();
    const auto mainTask = description.spawnMainTask(system, settings, caf::actor(self));
    self->send(timer, SubscribeToTicks {mainTask, description.tickInterval});
    system.spawn<OperatorHttpTask, caf::detached>(settings.operators, mainTask);
    EventLog("daemon_started").with("program", description.program).with("name", settings.name).with("daemon", toString(settings.daemon));

    SettingsFollower follower(flags.settingsPath, description.role, settings);
    int stopSignals = 0;
    bool isStopped = false;
    auto sinceReview = Duration(0);
    while (!isStopped && stopSignals < 2) {
        const auto arrived = takeSignals();
        if (arrived.stops > 0 && stopSignals == 0) {
            EventLog("daemon_stopping").with("name", settings.name);
            self->send(mainTask, Stop {});
        }
        stopSignals += arrived.stops;
        sinceReview += ReviewTime;
        if (arrived.hasReload || sinceReview >= SettingsReviewTime) {
            sinceReview = Duration(0);
            if (auto changed = follower.review(arrived.hasReload ? "signal" : "file"))
                self->send(mainTask, RelaySettingsChanged {std::move(*changed)});
        }
        self->receive([&](Stopped) { isStopped = true; }, caf::after(ReviewTime) >> [] {});
    }
    EventLog("daemon_stopped").with("name", settings.name).with("graceful", isStopped ? "true" : "false");
    // Some tasks wait in calls that nothing needs any more, so the process ends without joining them.
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
