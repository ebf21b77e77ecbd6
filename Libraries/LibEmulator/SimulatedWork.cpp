#include "LibEmulator/RelaySimulation.h"

#include <set>

/// The disruptions and the planned work of a simulation.
namespace Papaya::Emulator {

namespace {

constexpr std::uint16_t DaemonPort = 7'720;
constexpr std::uint16_t ApplicationPort = 8'165;
constexpr std::uint32_t FirstTargetAddress = 0x0a020001;
constexpr Duration GracefulStopTime {2'200};
constexpr Duration StartTime {300};
/// Time after which the store drops the entry of a target that has stopped writing.
constexpr Duration MinimumExpiryTime {1'500};
constexpr Duration MaximumExpiryTime {3'000};
/// Time within which targets and operators write again what a restored store lacks.
constexpr Duration RewriteTime {2'000};

} // namespace

void RelaySimulation::killEntry(std::size_t index)
{
    m_entries.at(index)->process().stop();
    m_flowRule.beginDisruption(addressOfEntry(index));
    recordEventForAll(m_entries[index]->name(), "killed");
}

void RelaySimulation::startEntry(std::size_t index)
{
    m_entries.at(index)->start(m_options.weights);
    m_flowRule.endDisruption(addressOfEntry(index), m_events.now());
    recordEventForAll(m_entries[index]->name(), "started");
}

void RelaySimulation::restartEntryGracefully(std::size_t index)
{
    auto &entry = *m_entries.at(index);
    entry.beginStop();
    recordEventForAll(entry.name(), "begins to stop");
    m_events.schedule(GracefulStopTime, [this, &entry] {
        entry.process().stop();
        recordEventForAll(entry.name(), "has stopped");
    });
    m_events.schedule(GracefulStopTime + StartTime, [this, &entry] {
        entry.start(m_options.weights);
        recordEventForAll(entry.name(), "started");
    });
}

void RelaySimulation::freezeEntry(std::size_t index)
{
    m_entries.at(index)->process().freeze();
    m_flowRule.beginDisruption(addressOfEntry(index));
    recordEventForAll(m_entries[index]->name(), "frozen");
}

void RelaySimulation::thawEntry(std::size_t index)
{
    m_entries.at(index)->process().thaw();
    m_flowRule.endDisruption(addressOfEntry(index), m_events.now());
    recordEventForAll(m_entries[index]->name(), "thawed");
}

void RelaySimulation::setEntryPace(std::size_t index, Duration iterationTime, std::size_t batchSize)
{
    m_entries.at(index)->process().setPace(iterationTime, batchSize);
    recordEventForAll(m_entries[index]->name(), "iterations take " + std::to_string(iterationTime.count()) + " ms");
}

void RelaySimulation::setAgentPace(std::size_t index, Duration iterationTime, std::size_t batchSize)
{
    m_agents.at(index)->process().setPace(iterationTime, batchSize);
    recordEventForAll(target(index).options().name, "agent's iterations take " + std::to_string(iterationTime.count()) + " ms");
}

void RelaySimulation::killAgent(std::size_t index)
{
    m_agents.at(index)->process().stop();
    m_flowRule.beginDisruption(addressOfAgent(index));
    recordEventForAll(target(index).options().name, "agent killed");
}

void RelaySimulation::startAgent(std::size_t index)
{
    m_agents.at(index)->start(FlowTableState::Incomplete);
    m_flowRule.endDisruption(addressOfAgent(index), m_events.now());
    recordEventForAll(target(index).options().name, "agent started");
}

void RelaySimulation::restartAgentGracefully(std::size_t index, Duration downTime)
{
    recordEventForAll(target(index).options().name, "agent begins to stop");
    m_agents.at(index)->stopGracefully([this, index, downTime] {
        recordEventForAll(target(index).options().name, "agent has stopped");
        m_events.schedule(downTime, [this, index] {
            m_agents[index]->start(FlowTableState::Incomplete);
            recordEventForAll(target(index).options().name, "agent started");
        });
    });
}

void RelaySimulation::crashTarget(std::size_t index)
{
    target(index).crash();
    recordEventForAll(target(index).options().name, "target crashed");
    expireEntry(publicationOf(index).id, randomDuration(MinimumExpiryTime, MaximumExpiryTime));
}

void RelaySimulation::restartTarget(std::size_t index)
{
    target(index).restart();
    recordEventForAll(target(index).options().name, "target started");
    publishTarget(index);
}

void RelaySimulation::drainTarget(std::size_t index)
{
    target(index).setDraining();
    recordEventForAll(target(index).options().name, "target drains");
    publishTarget(index);
}

void RelaySimulation::endTarget(std::size_t index)
{
    target(index).crash();
    m_agents.at(index)->stopGracefully([] {});
    recordEventForAll(target(index).options().name, "target has ended, and its agent begins to stop");
    expireEntry(publicationOf(index).id, Duration(0));
}

void RelaySimulation::replaceTarget(std::size_t index, const TargetOptions &options)
{
    expireEntry(publicationOf(index).id, Duration(0));
    m_agents.at(index)->replaceTarget(makeTarget(index, options));
    m_agents[index]->start(FlowTableState::Incomplete);
    recordEventForAll(options.name, "target and agent start at an address that was used before");
    publishTarget(index);
}

std::size_t RelaySimulation::addTarget(const TargetOptions &options)
{
    const auto index = m_agents.size();
    const Endpoint address {FirstTargetAddress + static_cast<std::uint32_t>(index), DaemonPort};
    EmulatedNetwork &network = *this;
    m_agents.push_back(std::make_unique<EmulatedAgent>(m_events, network, address, makeTarget(index, options)));
    m_agents[index]->setPaceLimits(m_options.pace);
    m_agents[index]->start(FlowTableState::Complete);
    publishTarget(index);
    return index;
}

std::unique_ptr<EmulatedTarget> RelaySimulation::makeTarget(std::size_t index, const TargetOptions &options)
{
    auto assigned = options;
    assigned.address = {FirstTargetAddress + static_cast<std::uint32_t>(index), ApplicationPort};
    return std::make_unique<EmulatedTarget>(
        m_events,
        m_random(),
        assigned,
        [this, index](const EmulatedPacket &packet) { m_agents[index]->receiveFromTarget(packet); },
        [this, service = assigned.service](std::uint64_t request, const FlowKey &flow) { recordRequestStart(request, flow, service); });
}

void RelaySimulation::withdrawTemporarily(std::size_t index, Duration absence)
{
    const auto id = publicationOf(index).id;
    m_store.remove(id);
    recordEventForAll(target(index).options().name, "withdrawn though it serves");
    m_events.schedule(absence, [this, index, id] {
        if (publicationOf(index).id != id || !target(index).isUp())
            return;
        recordEventForAll(target(index).options().name, "listed again");
        publishTarget(index);
    });
}

void RelaySimulation::restoreStore(Duration age)
{
    m_store.restore(age);
    recordEventForAll("store", "restored");
    std::set<MemberId> current;
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        if (!target(index).isUp())
            continue;
        current.insert(publicationOf(index).id);
        m_events.schedule(randomDuration(Duration(0), RewriteTime), [this, index] {
            if (target(index).isUp())
                publishTarget(index);
        });
    }
    for (const auto &listed : m_store.targets()) {
        if (!current.contains(listed.id))
            expireEntry(listed.id, randomDuration(MinimumExpiryTime, MaximumExpiryTime));
    }
    m_events.schedule(randomDuration(Duration(0), RewriteTime), [this] { m_store.setRoutes(m_routes); });
}

PublishedTarget RelaySimulation::publicationOf(std::size_t index) const
{
    const auto &target = m_agents.at(index)->target();
    const auto &options = target.options();
    PublishedTarget published;
    published.name = options.name + "-" + std::to_string(target.incarnation());
    published.id = hashOf(published.name);
    published.service = options.service;
    published.application = options.address;
    published.agent = m_agents[index]->address();
    published.failureDomain = options.failureDomain;
    published.slots = options.slots;
    published.isDraining = target.isDraining();
    published.coldTime = target.coldTimeLeft();
    published.incarnation = target.incarnation();
    return published;
}

void RelaySimulation::publishTarget(std::size_t index)
{
    m_store.put(publicationOf(index));
}

void RelaySimulation::expireEntry(MemberId id, Duration delay)
{
    m_events.schedule(delay, [this, id] { m_store.remove(id); });
}

} // namespace Papaya::Emulator
