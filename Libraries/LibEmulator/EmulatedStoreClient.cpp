#include "LibEmulator/EmulatedStoreClient.h"

#include <algorithm>
#include <utility>

namespace Papaya::Emulator {

namespace {

/// Maximum time that the store takes for an answer.
constexpr Duration MaximumCallTime {60};
constexpr Duration WatchLatency {150};
/// Pause after a batch of changes, and the part of it that a refresh does not shorten.
constexpr Duration BatchDelay {700};
constexpr Duration MinimumBatchDelay {100};
constexpr Duration CheckInterval {150};
constexpr Duration InitialRetryDelay {150};
constexpr Duration MaximumRetryDelay {1'000};
/// Time after the store became reachable in which withdrawn targets may be listed again.
constexpr Duration RelistingGrace {2'500};

} // namespace

EmulatedStoreClient::EmulatedStoreClient(EventQueue &events,
                                         EmulatedStore &store,
                                         EmulatedProcess &process,
                                         StoreOutput &output,
                                         std::uint64_t seed)
    : m_events(events)
    , m_store(store)
    , m_process(process)
    , m_output(output)
    , m_random(seed)
{
    m_store.addListener([this] { answerWatch(); });
}

void EmulatedStoreClient::start()
{
    m_revision.reset();
    m_watchStartedAt.reset();
    m_isAnswering = false;
    m_isReachable = false;
    m_isPausing = false;
    m_checkedAt.reset();
    m_failures = 0;
    m_routesVersion = 0;
    call(Duration(0));
}

void EmulatedStoreClient::schedule(Duration delay, EventQueue::Action action)
{
    m_events.schedule(delay, [this, generation = m_process.generation(), action = std::move(action)] {
        if (m_process.generation() == generation)
            m_process.post(action);
    });
}

Duration EmulatedStoreClient::callTime()
{
    return Duration(std::uniform_int_distribution<Duration::rep>(1, MaximumCallTime.count())(m_random));
}

void EmulatedStoreClient::call(Duration delay)
{
    schedule(delay, [this] {
        const auto startedAt = m_events.now();
        if (m_revision && m_store.isReachable() && m_epoch == m_store.epoch()) {
            beginWatch();
            return;
        }
        schedule(callTime(), [this, startedAt] {
            if (m_store.isReachable())
                readAll(startedAt);
            else
                fail();
        });
    });
}

void EmulatedStoreClient::fail()
{
    ++m_failures;
    m_isReachable = false;
    const auto delay = std::min<Duration>(InitialRetryDelay * (1 << std::min(m_failures - 1, 4)), MaximumRetryDelay);
    call(delay + callTime());
}

void EmulatedStoreClient::succeed()
{
    if (!std::exchange(m_isReachable, true)) {
        m_reachableSince = m_events.now();
        m_output.onReachable();
    }
    m_failures = 0;
}

Duration EmulatedStoreClient::withdrawalGrace() const
{
    return std::max<Duration>(m_reachableSince + RelistingGrace - m_events.now(), Duration(0));
}

void EmulatedStoreClient::readAll(TimePoint startedAt)
{
    succeed();
    m_epoch = m_store.epoch();
    m_revision = m_store.revision();
    m_output.onRoutes(m_store.routes());
    m_output.onEvacuationList(m_store.evacuations());
    m_output.onTargetList(m_store.targets(), withdrawalGrace());
    m_output.onCurrent(startedAt, {m_epoch, *m_revision});
    call(Duration(0));
}

void EmulatedStoreClient::beginWatch()
{
    m_watchStartedAt = m_events.now();
    answerWatch();
}

void EmulatedStoreClient::answerWatch()
{
    const bool isDue = !m_store.isReachable() || m_store.epoch() != m_epoch || (m_revision && m_store.revision() > *m_revision);
    if (!m_watchStartedAt || m_isAnswering || !isDue)
        return;
    m_isAnswering = true;
    schedule(callTime(), [this] {
        const auto startedAt = *m_watchStartedAt;
        m_watchStartedAt.reset();
        m_isAnswering = false;
        if (!m_store.isReachable() || m_store.epoch() != m_epoch) {
            fail();
            return;
        }
        succeed();
        m_output.onRoutes(m_store.routes());
        for (const auto &[domain, statement] : m_store.evacuationsAfter(*m_revision))
            m_output.onEvacuation(domain, statement);
        for (const auto &entry : m_store.changesAfter(*m_revision)) {
            if (entry.isDeleted)
                m_output.onWithdrawal(entry.target.id, withdrawalGrace());
            else
                m_output.onTarget(entry.target);
        }
        m_revision = m_store.revision();
        m_output.onCurrent(std::max(startedAt, m_events.now() - WatchLatency), {m_epoch, *m_revision});
        m_isPausing = true;
        schedule(BatchDelay, [this, pause = ++m_pause] {
            if (m_isPausing && pause == m_pause)
                call(Duration(0));
        });
    });
}

void EmulatedStoreClient::checkRevision()
{
    const auto startedAt = m_events.now();
    if (m_checkedAt && startedAt - *m_checkedAt < CheckInterval)
        return;
    m_checkedAt = startedAt;
    schedule(callTime(), [this, startedAt] {
        if (m_store.isReachable())
            m_output.onChecked({m_store.epoch(), m_store.revision()}, startedAt);
    });
}

void EmulatedStoreClient::requestRefresh()
{
    checkRevision();
    if (!std::exchange(m_isPausing, false))
        return;
    call(MinimumBatchDelay);
}

} // namespace Papaya::Emulator
