#pragma once

#include "LibEmulator/EmulatedEntry.h"

#include <memory>
#include <vector>

namespace Papaya::Emulator {

/// The fabric that selects an entry daemon for each packet of a caller, by a hash over the daemons that are in rotation. It checks
/// the readiness of each daemon twice a second, takes a daemon out of rotation after two failed checks, and takes it back after a
/// successful one. If fewer than half of the daemons are in rotation, it uses all of them.
class EmulatedFabric
{
public:
    explicit EmulatedFabric(EventQueue &events)
        : m_events(events)
    {
    }

    /// Adds a daemon, which is in rotation at once.
    void add(EmulatedEntry &entry);
    /// Passes a caller's packet to the daemon that the packet's flow is hashed to.
    void deliver(const EmulatedPacket &packet);

private:
    struct Member {
        EmulatedEntry *entry = nullptr;
        int failedChecks = 0;
        bool isInRotation = true;
    };

    void check(std::size_t index);

    EventQueue &m_events;
    std::vector<Member> m_members;
};

} // namespace Papaya::Emulator
